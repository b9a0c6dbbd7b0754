"""Messages between senders and stores and among stores: message types, records and error kinds.

Every request has the epoch of the caller's view and the id of the member that it is addressed to. Bytes are encoded as
latin-1 strings, which JSON leaves unescaped if they are printable ASCII.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from dewpin.cluster import message_fields as read
from dewpin.cluster.store_view import StoreView

Message = dict[str, Any]

TURN_PUT = "turn.put"
TURN_STORED = "turn.stored"
TURN_HISTORY = "turn.chain"
TURN_HISTORY_PAGE = "turn.links"
LEDGER_PREPARE = "ledger.prepare"
LEDGER_ACCEPT = "ledger.accept"
PULL_INDEX = "store.pull_index"
PULL_TURNS = "store.pull_turns"
PULL_LEDGERS = "store.pull_ledgers"
PULLED = "store.pulled"

STALE_EPOCH = "stale_epoch"
"""Error: the epoch of the request differs from the store's; the reply's field `view` is the store's view or null."""
WRONG_MEMBER = "another_incarnation"
"""Error: the process at this address is another incarnation of the store than the addressed member."""
NOT_REPLICA = "not_replica"
"""Error: the store is not a replica of the program in this epoch."""
STORAGE_FAILED = "storage_failed"
"""Error: reading from or writing to storage failed."""
BUSY = "busy"
"""Error: the store has no memory for the reply at present."""
MALFORMED = "malformed"
"""Error: a field of the request is missing or of the wrong type; retrying the request cannot succeed."""


@dataclass(frozen=True, slots=True)
class TurnRecord:
    """A stored turn.

    `turn`, `program`: ids of the turn and of the program that owns it.
    `previous`: id of the turn that this one continues; None for the first turn of a history.
    `retain_ms`: retention time of the turn, counted from when a store stores it.
    `input`, `output`: bodies of the request and of the response.
    """

    turn: str
    program: str
    previous: str | None
    retain_ms: int
    input: bytes
    output: bytes

    def to_json(self) -> Message:
        """Return the record as a JSON object."""
        return {
            "turn": self.turn,
            "program": self.program,
            "previous": self.previous,
            "retain_ms": self.retain_ms,
            "input": self.input.decode("latin-1"),
            "output": self.output.decode("latin-1"),
        }

    @staticmethod
    def from_json(value: Message) -> TurnRecord:
        """Decode a record encoded by `to_json`. Raises MalformedMessageError if it is invalid."""
        return TurnRecord(
            read.text(value, "turn"),
            read.text(value, "program"),
            read.text_or_none(value, "previous"),
            read.integer(value, "retain_ms"),
            read.octets(value, "input"),
            read.octets(value, "output"),
        )


@dataclass(frozen=True, slots=True)
class HistoryPage:
    """A page of consecutive turns of a conversation history, newest first.

    `turns`: the turns; field `links` on the wire.
    `next_turn`: id of the turn that precedes the oldest of `turns`, or None if that is the first of the history; field
        `following` on the wire.
    `is_next_missing`: whether the store does not have `next_turn`; otherwise the next request starts there. Field
        `absent` on the wire.
    `other_program_turns`: ids of turns that the store has for other programs only; field `foreign` on the wire.
    """

    turns: tuple[TurnRecord, ...]
    next_turn: str | None
    is_next_missing: bool
    other_program_turns: frozenset[str]

    def to_json(self) -> Message:
        """Return the page as a reply."""
        return {
            "type": TURN_HISTORY_PAGE,
            "links": [turn.to_json() for turn in self.turns],
            "following": self.next_turn,
            "absent": self.is_next_missing,
            "foreign": sorted(self.other_program_turns),
        }

    @staticmethod
    def from_json(value: Message) -> HistoryPage:
        """Decode a page encoded by `to_json`. Raises MalformedMessageError if it is invalid."""
        read.check_type(value, TURN_HISTORY_PAGE)
        turns = tuple(TurnRecord.from_json(turn) for turn in read.objects(value, "links"))
        next_turn = read.text_or_none(value, "following")
        is_next_missing = read.boolean(value, "absent")
        return HistoryPage(turns, next_turn, is_next_missing, frozenset(read.texts(value, "foreign")))


def request(kind: str, view: StoreView, member: str, /, **fields: Any) -> Message:
    """Return a request of type `kind` to `member` with the epoch of `view`."""
    return {"type": kind, "epoch": view.epoch, "to": member, **fields}
