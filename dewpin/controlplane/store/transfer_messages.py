"""Messages with which one store copies from another: index pages of turns, turns, and ledgers.

A request is sent by `store_messages.request`, which adds the epoch, the target member and the type.

Bodies are sent as raw bytes after the JSON part of a reply (`cluster/netstring.py`) if the request asks for that.
Stores of earlier releases support only bodies inside the JSON part, so both forms are decoded.

Every `decode` raises KeyError, TypeError or ValueError for a malformed message.
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
from dewpin.controlplane.store.turn_table import IndexEntry, TurnKey

_NEWEST_ARRIVAL = 0
"""Value of the field `newest`: stores of earlier releases number their turns in order of arrival and read the highest
number from an index page."""


@dataclass(frozen=True, slots=True)
class IndexRequest:
    """Requests an index page of the turns that `member` will hold in the next view.

    `after`: key after which the page starts.
    `limit`: maximum number of turns to read; field `most` on the wire.
    """

    member: str
    after: TurnKey
    limit: int

    def fields(self) -> Message:
        """Return the request's own fields on the wire."""
        return {"member": self.member, "after": list(self.after), "most": self.limit}

    @classmethod
    def decode(cls, message: Message) -> IndexRequest:
        """Return the request of a message."""
        return cls(str(message["member"]), _decode_key(message["after"]), int(message["most"]))


@dataclass(frozen=True, slots=True)
class IndexPage:
    """An index page of turns.

    `after`: key after which the next page starts; None on the last page.
    """

    entries: Sequence[IndexEntry]
    after: TurnKey | None

    def encode(self) -> Message:
        """Return the message."""
        after = None if self.after is None else list(self.after)
        entries = [[entry.turn, entry.program, entry.remaining_ms] for entry in self.entries]
        return {"type": wire.PULLED, "entries": entries, "after": after, "newest": _NEWEST_ARRIVAL}

    @classmethod
    def decode(cls, message: Message) -> IndexPage:
        """Return the index page of a message."""
        after = message["after"]
        entries = [
            IndexEntry(str(turn), str(program), int(remaining_ms)) for turn, program, remaining_ms in message["entries"]
        ]
        return cls(entries, None if after is None else _decode_key(after))


@dataclass(frozen=True, slots=True)
class TurnsRequest:
    """Requests turns by key.

    `max_bytes`: total size of bodies at which the reply ends; field `most_bytes` on the wire.
    `wants_raw_bodies`: whether to send the bodies as raw bytes; field `raw_bodies` on the wire.
    """

    keys: Sequence[TurnKey]
    max_bytes: int
    wants_raw_bodies: bool = False

    def fields(self) -> Message:
        """Return the request's own fields on the wire."""
        fields: Message = {"keys": [list(key) for key in self.keys], "most_bytes": self.max_bytes}
        if self.wants_raw_bodies:
            fields["raw_bodies"] = True
        return fields

    @classmethod
    def decode(cls, message: Message) -> TurnsRequest:
        """Return the request of a message."""
        wants_raw_bodies = message.get("raw_bodies") is True
        return cls([_decode_key(key) for key in message["keys"]], int(message["most_bytes"]), wants_raw_bodies)


@dataclass(frozen=True, slots=True)
class TurnsReply:
    """The requested turns.

    `unread_keys`: keys left for the next request; a requested key in neither field does not exist at the source.
    """

    records: Sequence[TurnRecord]
    unread_keys: Sequence[TurnKey]

    def encode(self) -> Message:
        """Return the message with the bodies in JSON, which every release decodes."""
        turns = [record.to_json() for record in self.records]
        return {"type": wire.PULLED, "turns": turns, "unread": [list(key) for key in self.unread_keys]}

    def encode_with_raw_bodies(self) -> Message:
        """Return the message with the bodies as raw bytes, for a request with `wants_raw_bodies`."""
        rows = [
            (record.turn, record.program, record.previous, record.retain_ms, len(record.input), len(record.output))
            for record in self.records
        ]
        bodies = b"".join([body for record in self.records for body in (record.input, record.output)])
        return {"type": wire.PULLED, "rows": rows, "unread": [list(key) for key in self.unread_keys], RAW: bodies}

    @classmethod
    def decode(cls, message: Message) -> TurnsReply:
        """Return the turns of a message of either form."""
        unread_keys = [_decode_key(key) for key in message["unread"]]
        if RAW in message:
            return cls(_decode_rows(message["rows"], message[RAW]), unread_keys)
        return cls([TurnRecord.from_json(value) for value in message["turns"]], unread_keys)


@dataclass(frozen=True, slots=True)
class LedgersRequest:
    """Requests a page of the ledgers that `member` will hold in the next view.

    `after`: program after which the page starts.
    `limit`: maximum number of ledgers to read; field `most` on the wire.
    """

    member: str
    after: str
    limit: int

    def fields(self) -> Message:
        """Return the request's own fields on the wire."""
        return {"member": self.member, "after": self.after, "most": self.limit}

    @classmethod
    def decode(cls, message: Message) -> LedgersRequest:
        """Return the request of a message."""
        return cls(str(message["member"]), str(message["after"]), int(message["most"]))


@dataclass(frozen=True, slots=True)
class LedgersPage:
    """A page of a store's ledgers.

    `after`: program after which the next page starts; None on the last page.
    """

    records: Sequence[LedgerRecord]
    after: str | None

    def encode(self) -> Message:
        """Return the message."""
        return {"type": wire.PULLED, "ledgers": [record.to_json() for record in self.records], "after": self.after}

    @classmethod
    def decode(cls, message: Message) -> LedgersPage:
        """Return the ledgers of a message."""
        after = message["after"]
        records = [LedgerRecord.from_json(value) for value in message["ledgers"]]
        return cls(records, None if after is None else str(after))


def _decode_rows(rows: Sequence[Any], bodies: bytes) -> list[TurnRecord]:
    """Return the turns of `rows`, whose bodies are concatenated in `bodies`.

    Raises TypeError or ValueError if the lengths in the rows do not add up to the length of `bodies`.
    """
    records = []
    end = 0
    for turn, program, previous, retain_ms, input_bytes, output_bytes in rows:
        if input_bytes < 0 or output_bytes < 0:
            raise ValueError(f"turn {turn!r}: negative body length ({input_bytes} and {output_bytes} bytes)")
        start, split = end, end + input_bytes
        end = split + output_bytes
        records.append(TurnRecord(turn, program, previous, retain_ms, bodies[start:split], bodies[split:end]))
    if end != len(bodies):
        raise ValueError(f"expected {end} bytes of bodies according to the rows, got {len(bodies)}")
    return records


def _decode_key(value: Sequence[Any]) -> TurnKey:
    turn, program = value
    return str(turn), str(program)
