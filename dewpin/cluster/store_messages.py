"""The messages between senders and stores, and between stores: their types, records and error kinds.

Every request carries the epoch of the sender's view and the id of the member that is meant. Bytes travel as latin-1
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
"""Error: the request's epoch is not the store's; the answer's `view` is the store's own, or null."""
WRONG_MEMBER = "another_incarnation"
"""Error: the process at this address is another incarnation than the one that was meant."""
NOT_REPLICA = "not_replica"
"""Error: the store is no replica of the key under this epoch."""
STORAGE_FAILED = "storage_failed"
"""Error: the disk did not take the write, or did not give the answer."""
MALFORMED = "malformed"
"""Error: a field of the request is missing or of another kind; the same request will not do better."""


@dataclass(frozen=True, slots=True)
class TurnRecord:
    """A turn as the stores keep it. `retain_ms` counts from the moment a store takes it."""

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
        """Return the record of a JSON object made by `to_json`. MalformedMessageError if it is none."""
        return TurnRecord(
            read.text(value, "turn"),
            read.text(value, "program"),
            read.text_or_none(value, "previous"),
            read.whole_number(value, "retain_ms"),
            read.octets(value, "input"),
            read.octets(value, "output"),
        )


@dataclass(frozen=True, slots=True)
class HistoryPage:
    """A run of a chain, newest first. `following` is the link after the last one; `absent` says that the store has
    no such turn, otherwise it is only left for the next request. `foreign` are links kept for other programs only."""

    links: tuple[TurnRecord, ...]
    following: str | None
    absent: bool
    foreign: frozenset[str]

    def to_json(self) -> Message:
        """Return the run as an answer."""
        return {
            "type": TURN_HISTORY_PAGE,
            "links": [link.to_json() for link in self.links],
            "following": self.following,
            "absent": self.absent,
            "foreign": sorted(self.foreign),
        }

    @staticmethod
    def from_json(value: Message) -> HistoryPage:
        """Return the run of an answer made by `to_json`. MalformedMessageError if it is none."""
        read.check_type(value, TURN_HISTORY_PAGE)
        links = tuple(TurnRecord.from_json(link) for link in read.objects(value, "links"))
        following = read.text_or_none(value, "following")
        return HistoryPage(links, following, read.truth(value, "absent"), frozenset(read.texts(value, "foreign")))


def request(kind: str, view: StoreView, member: str, /, **fields: Any) -> Message:
    """Return a request of type `kind` to `member` under the epoch of `view`."""
    return {"type": kind, "epoch": view.epoch, "to": member, **fields}
