"""The messages between senders and stores, and between stores: their types, records and error kinds.

Every request carries the epoch of the caller's view and the id of the member that is meant. Bytes travel as latin-1
text, which JSON keeps as it is for plain ASCII.
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
"""Error: the request's epoch is not the store's; the field `view` of the reply is the store's own, or null."""
WRONG_MEMBER = "another_incarnation"
"""Error: the process at this address is another incarnation than the member that the request names."""
NOT_REPLICA = "not_replica"
"""Error: the store is no replica of the program under this epoch."""
STORAGE_FAILED = "storage_failed"
"""Error: the storage failed to read or write."""
MALFORMED = "malformed"
"""Error: a field of the request is missing or of another type; repeating the request is of no use."""


@dataclass(frozen=True, slots=True)
class TurnRecord:
    """A turn as the stores keep it.

    `turn`, `program`: id of the turn, and the program that holds it.
    `previous`: id of the turn that this one continues; None for the first of a history.
    `retain_ms`: for how long the turn is to be kept, counted from the moment at which a store stores it.
    `input`, `output`: the bodies of the request and of the response.
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
        """Return the record of a JSON object made by `to_json`. Raises MalformedMessageError if it is none."""
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
    """Consecutive turns of a conversation history, newest first.

    `turns`: the turns; field `links` on the wire.
    `next_turn`: id of the turn before the oldest of `turns`; None if that is the first one. Field `following`.
    `is_next_missing`: whether the store has no turn `next_turn`; otherwise it is left for the next request. Field
        `absent`.
    `other_program_turns`: ids of turns that the store holds for other programs only; field `foreign`.
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
        """Return the page of a reply made by `to_json`. Raises MalformedMessageError if it is none."""
        read.check_type(value, TURN_HISTORY_PAGE)
        turns = tuple(TurnRecord.from_json(turn) for turn in read.objects(value, "links"))
        next_turn = read.text_or_none(value, "following")
        is_next_missing = read.boolean(value, "absent")
        return HistoryPage(turns, next_turn, is_next_missing, frozenset(read.texts(value, "foreign")))


def request(kind: str, view: StoreView, member: str, /, **fields: Any) -> Message:
    """Return a request of type `kind` to `member` under the epoch of `view`."""
    return {"type": kind, "epoch": view.epoch, "to": member, **fields}
