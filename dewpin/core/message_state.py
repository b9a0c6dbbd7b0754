"""The dispatcher's state of a pending message."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .call import Call
    from .model import PriorAttempts


class Stage(Enum):
    """The stages of a message."""

    NEW = auto()
    AWAITING_TURN = auto()  # an earlier message of its ordering key is not finished
    QUEUED = auto()
    PAUSED = auto()  # until its next attempt, or until the gap of its ordering key ends
    IN_FLIGHT = auto()
    SETTLED = auto()  # its attempt has ended and the next step is not decided
    FINISHED = auto()


class MessageState:
    """The state of one pending message.

    sequence: its number among the messages that this process accepted.
    target_at: end of its latency target.
    attempts: number of attempts, including those of an earlier process.
    executed_at, executed_by: send time and receiver of the first attempt that may have been executed.
    call: the latest call that carried it.
    due_at: end of its pause.
    settled_at: time of its latest outcome.
    waited_ms: wait between that outcome and the next attempt.
    is_shed: whether it is given up to make room for other messages.
    """

    __slots__ = (
        "sequence",
        "target_at",
        "attempts",
        "executed_at",
        "executed_by",
        "call",
        "due_at",
        "settled_at",
        "waited_ms",
        "is_shed",
        "stage",
    )

    def __init__(self, sequence: int, target_at: float, prior: PriorAttempts) -> None:
        self.sequence = sequence
        self.target_at = target_at
        self.attempts, self.executed_at, self.executed_by = prior
        self.call: Call | None = None
        self.due_at = self.settled_at = self.waited_ms = 0.0
        self.is_shed = False
        self.stage = Stage.NEW
