"""Turns on their way from one store to another: what is asked for, and what an answer brings."""

from __future__ import annotations

import sqlite3
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from operator import attrgetter
from typing import Protocol

from dewpin.cluster.rpc import Message
from dewpin.cluster.store_messages import TurnRecord
from dewpin.controlplane.store import turn_table
from dewpin.controlplane.store.transfer_messages import Key, TurnsAnswer, TurnsRequest
from dewpin.controlplane.store.turn_table import IndexEntry

TURNS_IN_REQUEST = 250
BODY_BYTES_IN_REQUEST = 512 * 1024
key_of: Callable[[IndexEntry], Key] = attrgetter("turn", "program")
"""The key of an entry."""


class Calls(Protocol):
    """The part of an RpcClient that is needed here."""

    async def call(self, address: str, message: Message, timeout_s: float) -> Message:
        """Return the answer; raises RpcError."""


def body_request(entries: Sequence[IndexEntry]) -> TurnsRequest:
    """Return the request for the turns of `entries`."""
    return TurnsRequest([key_of(entry) for entry in entries], BODY_BYTES_IN_REQUEST, raw=True)


@dataclass(frozen=True, slots=True)
class FetchedTurns:
    """Turns that a source gave, and for how long it keeps each; `gone` are those that it has no more."""

    records: tuple[TurnRecord, ...]
    left_ms: tuple[int, ...]
    gone: frozenset[Key]

    @staticmethod
    def from_answer(entries: Sequence[IndexEntry], answer: TurnsAnswer) -> FetchedTurns:
        """Return what the answer to `body_request(entries)` brings."""
        left_ms = {key_of(entry): entry.left_ms for entry in entries}
        keys = [(record.turn, record.program) for record in answer.records]
        gone = frozenset(left_ms.keys() - set(keys) - set(answer.unread))
        return FetchedTurns(tuple(answer.records), tuple(left_ms[key] for key in keys), gone)

    @property
    def done(self) -> frozenset[Key]:
        """The keys of all turns that need no further request."""
        return self.gone.union((record.turn, record.program) for record in self.records)

    @property
    def body_bytes(self) -> int:
        """The bytes of all bodies."""
        return sum(len(record.input) + len(record.output) for record in self.records)

    def keep(self, connection: sqlite3.Connection, now_ms: int) -> None:
        """Write the turns, for as long as the source keeps them."""
        turn_table.take_over(connection, self.records, self.left_ms, now_ms)
