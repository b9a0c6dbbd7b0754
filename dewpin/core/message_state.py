"""What the dispatcher remembers of a message until it is done with it."""

from __future__ import annotations

from enum import Enum, auto
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .call import Call
    from .model import PriorAttempts


class Stage(Enum):
    """How far a message has come."""

    NEW = auto()
    AWAITING_TURN = auto()  # an earlier message of its ordering key is not done
    QUEUED = auto()
    PAUSED = auto()  # until its next attempt, or until its ordering key may go on
    IN_FLIGHT = auto()
    SETTLED = auto()  # its attempt is over and what follows is not decided yet
    FINISHED = auto()


class MessageState:
    """The state of one pending message.

    sequence: its number among the messages that this process took in.
    target_at: the end of its latency target.
    attempts: how many were made, those of an earlier process included.
    executed_at, executed_by: send time and receiver of the first attempt that may have been executed.
    call: the latest call that carried it.
    due_at: the end of its pause.
    settled_at: when its latest outcome came.
    waited_ms: how long it waited between that outcome and the attempt after it.
    is_shed: it is given up to make room for others.
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
