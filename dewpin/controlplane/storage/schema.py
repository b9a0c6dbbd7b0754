"""The tables of the database and the migrations from one schema version to the next.

The version of a database is its `PRAGMA user_version`. Tables and columns keep their names for all releases.
"""

import secrets
import sqlite3
from collections.abc import Sequence

from .errors import SchemaTooNewError

SCHEMA_VERSION = 3
"""The schema version that this release writes; older ones are migrated."""
INCARNATION_BYTES = 8
"""Length of the random id of a database, stored as hexadecimal text."""

_SCHEMA_1 = (
    "CREATE TABLE meta (name TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID",
    # The replica of a register: ballots and the value are text of the register's own encoding.
    "CREATE TABLE register_replica (key TEXT PRIMARY KEY, promised TEXT, accepted_ballot TEXT, value TEXT,"
    " changed_ms INTEGER NOT NULL DEFAULT 0) WITHOUT ROWID",
    "CREATE INDEX register_replica_changed ON register_replica (changed_ms)",
    # One row for each program that holds a turn; the bodies are kept once, in turn_bodies.
    "CREATE TABLE turns (turn TEXT NOT NULL, program TEXT NOT NULL, previous TEXT, retain_ms INTEGER NOT NULL,"
    " expires_ms INTEGER NOT NULL, PRIMARY KEY (turn, program)) WITHOUT ROWID",
    "CREATE INDEX turns_expiry ON turns (expires_ms)",
    "CREATE INDEX turns_previous ON turns (previous) WHERE previous IS NOT NULL",
    "CREATE TABLE turn_bodies (turn TEXT PRIMARY KEY, input BLOB NOT NULL, output BLOB NOT NULL)",
)
_SCHEMA_2 = (
    # Every change by the operator that was accepted, numbered in order: 1, 2, 3 and so on.
    "CREATE TABLE orders (number INTEGER PRIMARY KEY, generation INTEGER NOT NULL, digest TEXT NOT NULL)",
    "CREATE INDEX orders_generation ON orders (generation)",
    # The operator's configuration of the register's value, which names it by its digest.
    "CREATE TABLE register_bodies (digest TEXT PRIMARY KEY, body TEXT NOT NULL)",
)
_SCHEMA_3 = (
    # The order in which a store of an earlier release received its turns; later ones leave it empty.
    "ALTER TABLE turns ADD COLUMN arrival INTEGER",
    "CREATE UNIQUE INDEX turns_arrival ON turns (arrival) WHERE arrival IS NOT NULL",
    # Whether the replica of a ledger got its value from another one, without a vote of its own.
    "ALTER TABLE register_replica ADD COLUMN copied INTEGER NOT NULL DEFAULT 0",
)
MIGRATIONS: dict[int, Sequence[str]] = {0: _SCHEMA_1, 1: _SCHEMA_2, 2: _SCHEMA_3}
"""By schema version: the statements that lead from it to the next one."""


def migrate(connection: sqlite3.Connection) -> None:
    """Bring the schema to SCHEMA_VERSION, each step in a transaction of its own.

    A new database gets its incarnation with the first step. Raises SchemaTooNewError and sqlite3.Error.
    """
    version = connection.execute("PRAGMA user_version").fetchone()[0]
    if version > SCHEMA_VERSION:
        raise SchemaTooNewError(f"the database has schema {version}, this release knows up to {SCHEMA_VERSION}")
    while version < SCHEMA_VERSION:
        connection.execute("BEGIN IMMEDIATE")
        for statement in MIGRATIONS[version]:
            connection.execute(statement)
        if version == 0:
            identity = secrets.token_hex(INCARNATION_BYTES)
            connection.execute("INSERT INTO meta (name, value) VALUES ('incarnation', ?)", (identity,))
        version += 1
        connection.execute(f"PRAGMA user_version = {version}")
        connection.execute("COMMIT")


def incarnation_of(connection: sqlite3.Connection) -> str:
    """Return the random id of a migrated database."""
    return str(connection.execute("SELECT value FROM meta WHERE name = 'incarnation'").fetchone()[0])
