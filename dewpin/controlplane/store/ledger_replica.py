"""Replicas of budget ledgers on disk: one consensus register per program, implemented by `dewpin.consensus.Replica`.

All functions run on the storage thread, inside its transaction, so their changes are synced to disk before the reply is
sent. They raise sqlite3.Error.
"""

from __future__ import annotations

import json
import sqlite3
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any

from dewpin.consensus import Accepted, Ballot, Conflict, Promise, Replica
from dewpin.consensus.messages import ballot_from_json

KEY_PREFIX = "ledger/"
_END_OF_KEYS = "ledger0"
"""Exclusive upper bound of the keys that begin with KEY_PREFIX."""

JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class LedgerRecord:
    """The state of one replica of a program's ledger.

    `promised`: the highest ballot promised.
    `accepted`, `value`: the last accepted value and its ballot.
    """

    program: str
    promised: Ballot
    accepted: Ballot
    value: Any

    def to_json(self) -> JsonObject:
        """Return the record as a JSON object."""
        return {
            "program": self.program,
            "promised": list(self.promised),
            "accepted": list(self.accepted),
            "value": self.value,
        }

    @staticmethod
    def from_json(value: JsonObject) -> LedgerRecord:
        """Parse a JSON object made by `to_json`. Raises KeyError, TypeError or ValueError if it is malformed."""
        return LedgerRecord(
            value["program"], ballot_from_json(value["promised"]), ballot_from_json(value["accepted"]), value["value"]
        )


def load(connection: sqlite3.Connection, program: str) -> Replica:
    """Return the replica of the program's ledger; an empty one if none is stored."""
    row = connection.execute(
        "SELECT promised, accepted_ballot, value, copied FROM register_replica WHERE key = ?", (KEY_PREFIX + program,)
    ).fetchone()
    if row is None:
        return Replica()
    promised, accepted, value, copied = row
    return Replica(
        ballot_from_json(json.loads(promised)),
        ballot_from_json(json.loads(accepted)),
        json.loads(value),
        bool(copied),
    )


def save(connection: sqlite3.Connection, program: str, replica: Replica, now_ms: int) -> None:
    """Write the replica of the program's ledger."""
    connection.execute(
        "INSERT OR REPLACE INTO register_replica (key, promised, accepted_ballot, value, copied, changed_ms)"
        " VALUES (?, ?, ?, ?, ?, ?)",
        (
            KEY_PREFIX + program,
            json.dumps(replica.promised),
            json.dumps(replica.accepted),
            json.dumps(replica.value, separators=(",", ":")),
            replica.copied,
            now_ms,
        ),
    )


def prepare(connection: sqlite3.Connection, program: str, ballot: Ballot, now_ms: int) -> Promise | Conflict:
    """Handle the prepare phase of a ballot; a promise is written to disk."""
    replica = load(connection, program)
    reply = replica.prepare(ballot)
    if isinstance(reply, Promise):
        save(connection, program, replica, now_ms)
    return reply


def accept(
    connection: sqlite3.Connection,
    program: str,
    ballot: Ballot,
    value: object,
    next_ballot: Ballot | None,
    now_ms: int,
) -> Accepted | Conflict:
    """Handle the accept phase of a ballot; an accepted value is written to disk.

    `next_ballot` is promised along with it, unless it is None.
    """
    replica = load(connection, program)
    reply = replica.accept(ballot, value, next_ballot)
    if isinstance(reply, Accepted):
        save(connection, program, replica, now_ms)
    return reply


def merge(connection: sqlite3.Connection, records: Sequence[LedgerRecord], now_ms: int) -> None:
    """Merge the states of other replicas into this replica; the highest accepted ballot and the highest promise win.

    A merged value is marked as copied. It has to be stored so that a read from a majority cannot miss a chosen value.
    It never counts as a vote for the value, because this replica may already have promised a higher ballot.
    """
    for record in records:
        replica = load(connection, record.program)
        promised = max(replica.promised, record.promised)
        merged = replace(replica, promised=promised)
        if record.accepted > replica.accepted:
            merged = Replica(promised, record.accepted, record.value, copied=True)
        if merged != replica:
            save(connection, record.program, merged, now_ms)


def read_page(connection: sqlite3.Connection, after: str, limit: int) -> list[LedgerRecord]:
    """Return up to `limit` ledgers whose program sorts after `after`, ordered by program."""
    rows = connection.execute(
        "SELECT key, promised, accepted_ballot, value FROM register_replica"
        " WHERE key > ? AND key < ? ORDER BY key LIMIT ?",
        (KEY_PREFIX + after, _END_OF_KEYS, limit),
    )
    return [
        LedgerRecord(
            key.removeprefix(KEY_PREFIX),
            ballot_from_json(json.loads(promised)),
            ballot_from_json(json.loads(accepted)),
            json.loads(value),
        )
        for key, promised, accepted, value in rows
    ]


def purge(connection: sqlite3.Connection, unchanged_since_ms: int, limit: int) -> int:
    """Delete up to `limit` ledgers last changed before this wall-clock time in ms; return the number deleted."""
    return connection.execute(
        "DELETE FROM register_replica WHERE key IN (SELECT key FROM register_replica"
        " WHERE changed_ms < ? AND key > ? AND key < ? ORDER BY changed_ms LIMIT ?)",
        (unchanged_since_ms, KEY_PREFIX, _END_OF_KEYS, limit),
    ).rowcount
