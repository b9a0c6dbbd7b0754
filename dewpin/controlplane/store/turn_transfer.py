"""Transfer of turns from one store to another: building the request and interpreting the reply."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from operator import attrgetter

from dewpin.cluster.store_messages import TurnRecord
from dewpin.controlplane.store import turn_table
from dewpin.controlplane.store.transfer_messages import TurnsReply, TurnsRequest
from dewpin.controlplane.store.turn_table import IndexEntry, TurnKey

TURNS_PER_REQUEST = 50
MAX_BODY_BYTES_PER_REPLY = 96 * 1024
"""Limits how long reading and compressing a reply blocks the event loop of a source: about 4 ms at this size."""
key_of: Callable[[IndexEntry], TurnKey] = attrgetter("turn", "program")
"""Return the key of an entry."""


def turns_request(entries: Sequence[IndexEntry]) -> TurnsRequest:
    """Return a request for the turns of `entries`."""
    return TurnsRequest([key_of(entry) for entry in entries], MAX_BODY_BYTES_PER_REPLY, wants_raw_bodies=True)


@dataclass(frozen=True, slots=True)
class FetchedTurns:
    """Turns returned by a source.

    `remaining_ms`: remaining retention of each of `records` at the source.
    `deleted_keys`: requested keys that no longer exist at the source.
    """

    records: tuple[TurnRecord, ...]
    remaining_ms: tuple[int, ...]
    deleted_keys: frozenset[TurnKey]

    @staticmethod
    def from_reply(entries: Sequence[IndexEntry], reply: TurnsReply) -> FetchedTurns:
        """Interpret the reply to `turns_request(entries)`. Raises KeyError for a turn that was not requested."""
        remaining_ms = {key_of(entry): entry.remaining_ms for entry in entries}
        keys = [(record.turn, record.program) for record in reply.records]
        deleted_keys = frozenset(remaining_ms.keys() - set(keys) - set(reply.unread_keys))
        return FetchedTurns(tuple(reply.records), tuple(remaining_ms[key] for key in keys), deleted_keys)

    @property
    def finished_keys(self) -> frozenset[TurnKey]:
        """Keys of all turns that need no further request."""
        return self.deleted_keys.union((record.turn, record.program) for record in self.records)

    def write_to(self, connection: sqlite3.Connection, now_ms: int) -> None:
        """Store the turns with the retention that they have at the source; called on the storage thread."""
        turn_table.put_copies(connection, self.records, self.remaining_ms, now_ms)
