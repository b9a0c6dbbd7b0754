"""Rate and concurrency limits of a destination, or of a receiver where the receivers have limits of their own."""

from __future__ import annotations

from collections import deque

from .call import Call
from .model import Receiver
from .rate_limiter import RateLimiter
from .receiver_health import NEVER
from .sliding_window_counter import SlidingWindowCounter

STUCK_CALL_TIMES = 4.0
"""A call that is in flight for so many usual call times is taken to be stuck."""
MIN_STUCK_MS = 700.0
"""No call is taken to be stuck, and no learned time-out runs out, sooner than this."""
GROWTH_ROOM = 3.0
"""How far the concurrency limit lies above the concurrency that was measured."""


class DestinationLimits:
    """What was learned of the limits that a destination's receivers share.

    retry_after_until: the end of a wait that it asked for.
    rate_limiter: set by a rejection; None: calls are free.
    in_flight: calls.
    calls: the calls in flight, oldest first; those that are over go when they come to the front.
    good_at, failed_at: the latest good answer and the latest failure.
    good_answers: how many came, in buckets of 500 ms.
    usual_call_ms: a moving average; None before the first good answer.
    timeouts, timed_out_at: time-outs since a good answer and the latest of them. Each doubles the time-out, so that a
        slow destination is not taken for an unreachable one again and again.
    rejections, first_rejected_at: rejections since a good answer and the first of them.
    """

    __slots__ = (
        "retry_after_until",
        "rate_limiter",
        "in_flight",
        "calls",
        "good_at",
        "failed_at",
        "good_answers",
        "usual_call_ms",
        "timeouts",
        "timed_out_at",
        "rejections",
        "first_rejected_at",
    )

    def __init__(self) -> None:
        self.retry_after_until = NEVER
        self.rate_limiter: RateLimiter | None = None
        self.in_flight = 0
        self.calls: deque[Call] = deque()
        self.good_at = self.failed_at = NEVER
        self.good_answers = SlidingWindowCounter(500.0, 20)
        self.usual_call_ms: float | None = None
        self.timeouts = 0
        self.timed_out_at = NEVER
        self.rejections = 0
        self.first_rejected_at = 0.0

    def stuck_at(self) -> float:
        """When the oldest call in flight is to be taken for stuck, if nothing good came since it left."""
        while self.calls and self.calls[0].open_count == 0:
            self.calls.popleft()
        if not self.calls or self.calls[0].sent_at < self.good_at:
            return float("inf")
        return self.calls[0].sent_at + max(MIN_STUCK_MS, STUCK_CALL_TIMES * (self.usual_call_ms or 0.0))

    def concurrency_limit(self, now: float, receivers: int) -> float:
        """How many calls may be in flight: rate times latency as measured (Little's law), with room to grow.

        It guards against a destination that takes work and answers none (it hangs, is silent, or has slowed down a
        lot) and that would take all slots and all messages that may be sent only once: while its oldest call is
        stuck, no further one leaves.
        """
        if now >= self.stuck_at():
            return 1
        if self.in_flight <= receivers:  # what was measured only adds to this
            return receivers + 1
        busiest = max(self.good_answers.recent(now, 16))
        return receivers + 1 + GROWTH_ROOM * busiest * (self.usual_call_ms or 1000.0) / 1000.0


def limits_of(receiver: Receiver, kinds_with_own_limits: frozenset[int]) -> DestinationLimits:
    """The limits that hold for a receiver: its own if its kind has such, else those of its destination."""
    owner = receiver if receiver.kind in kinds_with_own_limits else receiver.destination
    limits = owner.limits
    if limits is None:
        limits = owner.limits = DestinationLimits()
    return limits
