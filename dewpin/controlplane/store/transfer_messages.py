"""Messages by which one store copies from another: parts of an index, turns, and ledgers.

A request is sent by `store_messages.request`, which adds the epoch, the member that is meant and the type.

Bodies travel as raw bytes behind the JSON part of an answer (`cluster/netstring.py`) where the request asks for that;
a store of an earlier release neither asks for it nor does it, so both forms are read.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from dewpin.cluster import store_messages as wire
from dewpin.cluster.netstring import RAW
from dewpin.cluster.rpc import Message
from dewpin.cluster.store_messages import TurnRecord
from dewpin.controlplane.store.ledger_replica import LedgerRecord
from dewpin.controlplane.store.turn_table import IndexEntry

Key = tuple[str, str]
"""Turn and program."""


@dataclass(frozen=True, slots=True)
class IndexRequest:
    """Asks for the index of what `member` is to hold in the next view, behind the key `after`."""

    member: str
    after: Key
    most: int

    def fields(self) -> Message:
        """The request's own part of its form on the wire."""
        return {"member": self.member, "after": list(self.after), "most": self.most}

    @classmethod
    def decode(cls, message: Message) -> IndexRequest:
        """The request of a message. KeyError, TypeError or ValueError if it is none."""
        return cls(str(message["member"]), _key(message["after"]), int(message["most"]))


_NO_ARRIVAL = 0
"""Stores of earlier releases number their turns as they come, and read from an index how far the numbers went."""


@dataclass(frozen=True, slots=True)
class IndexPage:
    """A part of an index. `after`: where the next part begins, if there is one."""

    entries: Sequence[IndexEntry]
    after: Key | None

    def encode(self) -> Message:
        """The form on the wire."""
        after = None if self.after is None else list(self.after)
        entries = _encode_entries(self.entries)
        return {"type": wire.PULLED, "entries": entries, "after": after, "newest": _NO_ARRIVAL}

    @classmethod
    def decode(cls, message: Message) -> IndexPage:
        """The page of an answer. KeyError, TypeError or ValueError if it is none."""
        after = message["after"]
        entries = _decode_entries(message["entries"])
        return cls(entries, None if after is None else _key(after))


@dataclass(frozen=True, slots=True)
class TurnsRequest:
    """Asks for turns by their keys, up to so many bytes; `raw`: with the bodies as raw bytes."""

    keys: Sequence[Key]
    most_bytes: int
    raw: bool = False

    def fields(self) -> Message:
        """The request's own part of its form on the wire."""
        fields: Message = {"keys": [list(key) for key in self.keys], "most_bytes": self.most_bytes}
        if self.raw:
            fields["raw_bodies"] = True
        return fields

    @classmethod
    def decode(cls, message: Message) -> TurnsRequest:
        """The request of a message. KeyError, TypeError or ValueError if it is none."""
        raw = message.get("raw_bodies") is True
        return cls([_key(key) for key in message["keys"]], int(message["most_bytes"]), raw)


@dataclass(frozen=True, slots=True)
class TurnsAnswer:
    """Turns that were asked for; `unread` are those left for the next request, what is in neither is not there."""

    records: Sequence[TurnRecord]
    unread: Sequence[Key]

    def encode(self) -> Message:
        """The form on the wire that every release reads."""
        turns = [record.to_json() for record in self.records]
        return {"type": wire.PULLED, "turns": turns, "unread": [list(key) for key in self.unread]}

    def encode_raw(self) -> Message:
        """The form on the wire with the bodies as raw bytes, for one that asked for it."""
        rows = [
            (record.turn, record.program, record.previous, record.retain_ms, len(record.input), len(record.output))
            for record in self.records
        ]
        bodies = b"".join([body for record in self.records for body in (record.input, record.output)])
        return {"type": wire.PULLED, "rows": rows, "unread": [list(key) for key in self.unread], RAW: bodies}

    @classmethod
    def decode(cls, message: Message) -> TurnsAnswer:
        """The turns of an answer in either form. KeyError, TypeError or ValueError if it is none."""
        unread = [_key(key) for key in message["unread"]]
        if RAW in message:
            return cls(_records_of_rows(message["rows"], message[RAW]), unread)
        return cls([TurnRecord.from_json(value) for value in message["turns"]], unread)


@dataclass(frozen=True, slots=True)
class LedgersRequest:
    """Asks for the ledgers that `member` is to hold in the next view, behind the program `after`."""

    member: str
    after: str
    most: int

    def fields(self) -> Message:
        """The request's own part of its form on the wire."""
        return {"member": self.member, "after": self.after, "most": self.most}

    @classmethod
    def decode(cls, message: Message) -> LedgersRequest:
        """The request of a message. KeyError, TypeError or ValueError if it is none."""
        return cls(str(message["member"]), str(message["after"]), int(message["most"]))


@dataclass(frozen=True, slots=True)
class LedgersPage:
    """Ledgers of a store. `after`: where the next part begins, if there is one."""

    records: Sequence[LedgerRecord]
    after: str | None

    def encode(self) -> Message:
        """The form on the wire."""
        return {"type": wire.PULLED, "ledgers": [record.to_json() for record in self.records], "after": self.after}

    @classmethod
    def decode(cls, message: Message) -> LedgersPage:
        """The ledgers of an answer. KeyError, TypeError or ValueError if it is none."""
        after = message["after"]
        records = [LedgerRecord.from_json(value) for value in message["ledgers"]]
        return cls(records, None if after is None else str(after))


def _records_of_rows(rows: Sequence[Any], bodies: bytes) -> list[TurnRecord]:
    """The turns of `rows`, whose bodies stand in `bodies` one behind the other. TypeError or ValueError for parts that
    do not fit together."""
    records = []
    end = 0
    for turn, program, previous, retain_ms, input_bytes, output_bytes in rows:
        if input_bytes < 0 or output_bytes < 0:
            raise ValueError("a body of less than no bytes")
        start, middle = end, end + input_bytes
        end = middle + output_bytes
        records.append(TurnRecord(turn, program, previous, retain_ms, bodies[start:middle], bodies[middle:end]))
    if end != len(bodies):
        raise ValueError(f"{len(bodies)} bytes of bodies where {end} were told")
    return records


def _key(value: Sequence[Any]) -> Key:
    turn, program = value
    return str(turn), str(program)


def _encode_entries(entries: Sequence[IndexEntry]) -> list[list[str | int]]:
    return [[entry.turn, entry.program, entry.left_ms] for entry in entries]


def _decode_entries(values: Sequence[Any]) -> list[IndexEntry]:
    return [IndexEntry(str(turn), str(program), int(left_ms)) for turn, program, left_ms in values]
