"""What a sender has seen of one receiver: the state of its circuit breaker."""

from __future__ import annotations

from .call import Call
from .model import Receiver
from .slow_start import SlowStart

NEVER = -1e12
"""A point of time before all others."""


class ReceiverHealth:
    """The recent history of a receiver.

    in_flight: calls to it.
    failures: those that no good answer has made up for yet.
    is_unanswered: a call there, or a long one to another receiver beside it, got no answer, and none came since.
    good_at, rejected_at, failed_at, connect_failed_at: the latest answer of each kind.
    failed_classes: queue classes whose latest call there failed.
    slow_start: limits the calls while the circuit breaker is open; None while it is closed.
    latest_call: which messages that are sent at the same moment may join.
    """

    __slots__ = (
        "in_flight",
        "failures",
        "is_unanswered",
        "good_at",
        "rejected_at",
        "failed_at",
        "connect_failed_at",
        "failed_classes",
        "slow_start",
        "latest_call",
    )

    def __init__(self) -> None:
        self.in_flight = 0
        self.failures = 0
        self.is_unanswered = False
        self.good_at = self.rejected_at = self.failed_at = self.connect_failed_at = NEVER
        self.failed_classes: set[int] = set()
        self.slow_start: SlowStart | None = None
        self.latest_call: Call | None = None


def health_of(receiver: Receiver) -> ReceiverHealth:
    """The health of a receiver, which begins with the first look at it."""
    health = receiver.health
    if health is None:
        health = receiver.health = ReceiverHealth()
    return health


def is_probing(receiver: Receiver) -> bool:
    """Whether its circuit breaker is open and no trial call has gone well yet."""
    slow_start = health_of(receiver).slow_start
    return slow_start is not None and slow_start.growing_since is None
