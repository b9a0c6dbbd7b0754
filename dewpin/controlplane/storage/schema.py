"""Tables of the database, and migrations between schema versions.

The version of a database is its `PRAGMA user_version`. Names of tables and columns never change between releases.
"""

import secrets
import sqlite3
from collections.abc import Sequence

from .errors import SchemaTooNewError

SCHEMA_VERSION = 3
"""Schema version written by this release; older versions are migrated."""
INCARNATION_BYTES = 8
"""Length in bytes of the random id of a database, which is stored as hexadecimal text."""

_SCHEMA_1 = (
    "CREATE TABLE meta (name TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID",
    # Replicas of consensus registers; ballots and values are text in the encoding of the register.
    "CREATE TABLE register_replica (key TEXT PRIMARY KEY, promised TEXT, accepted_ballot TEXT, value TEXT,"
    " changed_ms INTEGER NOT NULL DEFAULT 0) WITHOUT ROWID",
    "CREATE INDEX register_replica_changed ON register_replica (changed_ms)",
    # One row per turn and program that holds it; the bodies are stored once, in turn_bodies.
    "CREATE TABLE turns (turn TEXT NOT NULL, program TEXT NOT NULL, previous TEXT, retain_ms INTEGER NOT NULL,"
    " expires_ms INTEGER NOT NULL, PRIMARY KEY (turn, program)) WITHOUT ROWID",
    "CREATE INDEX turns_expiry ON turns (expires_ms)",
    "CREATE INDEX turns_previous ON turns (previous) WHERE previous IS NOT NULL",
    "CREATE TABLE turn_bodies (turn TEXT PRIMARY KEY, input BLOB NOT NULL, output BLOB NOT NULL)",
)
_SCHEMA_2 = (
    # All accepted operator changes, numbered consecutively from 1.
    "CREATE TABLE orders (number INTEGER PRIMARY KEY, generation INTEGER NOT NULL, digest TEXT NOT NULL)",
    "CREATE INDEX orders_generation ON orders (generation)",
    # Operator configurations, which the value of the system register references by digest.
    "CREATE TABLE register_bodies (digest TEXT PRIMARY KEY, body TEXT NOT NULL)",
)
_SCHEMA_3 = (
    # Order in which a store of an earlier release received its turns; no longer written.
    "ALTER TABLE turns ADD COLUMN arrival INTEGER",
    "CREATE UNIQUE INDEX turns_arrival ON turns (arrival) WHERE arrival IS NOT NULL",
    # Whether a ledger replica copied its value from another replica without voting for it.
    "ALTER TABLE register_replica ADD COLUMN copied INTEGER NOT NULL DEFAULT 0",
)
MIGRATIONS: dict[int, Sequence[str]] = {0: _SCHEMA_1, 1: _SCHEMA_2, 2: _SCHEMA_3}
"""Statements that migrate from each schema version to the next one."""


def migrate(connection: sqlite3.Connection) -> None:
    """Migrate the schema to SCHEMA_VERSION, each step in its own transaction.

    The first step assigns the incarnation of a new database. Raises SchemaTooNewError and sqlite3.Error.
    """
    version = connection.execute("PRAGMA user_version").fetchone()[0]
    if version > SCHEMA_VERSION:
        raise SchemaTooNewError(f"the database has schema {version}, this release supports up to {SCHEMA_VERSION}")
    while version < SCHEMA_VERSION:
        connection.execute("BEGIN IMMEDIATE")
        for statement in MIGRATIONS[version]:
            connection.execute(statement)
        if version == 0:
            incarnation = secrets.token_hex(INCARNATION_BYTES)
            connection.execute("INSERT INTO meta (name, value) VALUES ('incarnation', ?)", (incarnation,))
        version += 1
        connection.execute(f"PRAGMA user_version = {version}")
        connection.execute("COMMIT")


def incarnation_of(connection: sqlite3.Connection) -> str:
    """Return the random id of a migrated database, its incarnation."""
    return str(connection.execute("SELECT value FROM meta WHERE name = 'incarnation'").fetchone()[0])
