"""The health of one receiver as a sender observes it, including the state of its circuit breaker."""

from __future__ import annotations

from .call import Call
from .model import Receiver
from .slow_start import SlowStart

NEVER = -1e12
"""A point in time before all others."""


class ReceiverHealth:
    """The recent history of a receiver.

    in_flight: number of calls in flight to it.
    failures: number of failures that have not been offset by a success.
    is_unanswered: whether a call to it, or a long one to another receiver of its destination, got no response, and
        it has not responded since.
    good_at, rejected_at, failed_at, connect_failed_at: time of the latest outcome of each kind.
    failed_classes: queue classes whose latest call to it failed.
    slow_start: limits the calls while the circuit breaker is open; None while it is closed.
    latest_call: its latest call; messages sent at the same time may be added to its batch.
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
    """Return the health of a receiver; create it on first use."""
    health = receiver.health
    if health is None:
        health = receiver.health = ReceiverHealth()
    return health


def is_probing(receiver: Receiver) -> bool:
    """Return whether the circuit breaker is open and no probe call has succeeded yet."""
    slow_start = health_of(receiver).slow_start
    return slow_start is not None and slow_start.growing_since is None
