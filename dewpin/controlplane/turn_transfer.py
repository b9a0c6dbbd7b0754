"""Turns on their way from one store to another: what is asked for, and what an answer brings."""

from __future__ import annotations

import sqlite3
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from dewpin.cluster.rpc import Message
from dewpin.cluster.store_messages import TurnRecord
from dewpin.controlplane import turn_table
from dewpin.controlplane.turn_table import IndexEntry

TURNS_IN_REQUEST = 250
BODY_BYTES_IN_REQUEST = 512 * 1024

Key = tuple[str, str]
"""Turn and program."""


class Calls(Protocol):
    """The part of an RpcClient that is needed here."""

    async def call(self, address: str, message: Message, timeout_s: float) -> Message:
        """Return the answer; raises RpcError."""


def key_of(entry: IndexEntry) -> Key:
    """Return the key of an entry."""
    return entry.turn, entry.program


def entries_of(answer: Message) -> list[IndexEntry]:
    """Return the entries of an answer that holds a part of an index."""
    return [IndexEntry(str(turn), str(program), int(left_ms)) for turn, program, left_ms in answer["entries"]]


def body_request(entries: Sequence[IndexEntry]) -> dict[str, Any]:
    """Return the fields of a request for the turns of `entries`."""
    return {"keys": [list(key_of(entry)) for entry in entries], "most_bytes": BODY_BYTES_IN_REQUEST}


@dataclass(frozen=True, slots=True)
class FetchedTurns:
    """Turns that a source gave, and for how long it keeps each; `gone` are those that it has no more."""

    records: tuple[TurnRecord, ...]
    left_ms: tuple[int, ...]
    gone: frozenset[Key]

    @staticmethod
    def from_answer(entries: Sequence[IndexEntry], answer: Message) -> FetchedTurns:
        """Return what the answer to `body_request(entries)` brings."""
        left_ms = {key_of(entry): entry.left_ms for entry in entries}
        records = tuple(TurnRecord.from_json(value) for value in answer["turns"])
        keys = [(record.turn, record.program) for record in records]
        unread = {(str(turn), str(program)) for turn, program in answer["unread"]}
        gone = frozenset(left_ms.keys() - set(keys) - unread)
        return FetchedTurns(records, tuple(left_ms[key] for key in keys), gone)

    @property
    def body_bytes(self) -> int:
        """The bytes of all bodies."""
        return sum(len(record.input) + len(record.output) for record in self.records)

    def keep(self, connection: sqlite3.Connection, now_ms: int) -> None:
        """Write the turns, for as long as the source keeps them."""
        turn_table.take_over(connection, self.records, self.left_ms, now_ms)
