"""The history of a conversation: the content that a receiver gets, and the turns that it consists of.

A sender keeps the history of a turn until that turn is stored, so that it can supply the turns that a replica lacks
even if no store has them any more.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from dewpin.cluster.store_messages import TurnRecord


@dataclass(frozen=True, slots=True)
class HistoryTurn:
    """One turn of a history, without its bodies.

    retain_ms: retention time of the turn, counted from when a store stores it.
    input_bytes, output_bytes: sizes of the two bodies.
    """

    id: str
    retain_ms: int
    input_bytes: int
    output_bytes: int

    @property
    def size_bytes(self) -> int:
        """The size of both bodies."""
        return self.input_bytes + self.output_bytes


@dataclass(frozen=True, slots=True)
class History:
    """The turns of a conversation, oldest first; each one continues the one before.

    content: starts with the input and output of each turn; what follows them is not part of the history.
    """

    turns: tuple[HistoryTurn, ...] = ()
    content: bytes = b""

    @staticmethod
    def of(records: Iterable[TurnRecord]) -> History:
        """Return the history of consecutive turns, given oldest first."""
        turns: list[HistoryTurn] = []
        bodies: list[bytes] = []
        for record in records:
            turns.append(HistoryTurn(record.turn, record.retain_ms, len(record.input), len(record.output)))
            bodies += (record.input, record.output)
        return History(tuple(turns), b"".join(bodies))

    def records_before(self, program: str, last_turn: str) -> Iterator[TurnRecord]:
        """Yield the turns from `last_turn` back to the first one, as turns of `program`; none if it is not included."""
        end = sum(turn.size_bytes for turn in self.turns)
        is_included = False
        for position in reversed(range(len(self.turns))):
            turn = self.turns[position]
            start = end - turn.size_bytes
            is_included = is_included or turn.id == last_turn
            if is_included:
                previous = self.turns[position - 1].id if position else None
                middle = start + turn.input_bytes
                bodies = self.content[start:middle], self.content[middle:end]
                yield TurnRecord(turn.id, program, previous, turn.retain_ms, *bodies)
            end = start


EMPTY_HISTORY = History()
"""The history of the first turn of a conversation."""
