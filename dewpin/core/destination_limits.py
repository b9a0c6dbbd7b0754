"""Rate and concurrency limits of a destination, or of a receiver if its kind has limits of its own."""

from __future__ import annotations

from collections import deque

from .call import Call
from .model import Receiver
from .rate_limiter import RateLimiter
from .receiver_health import NEVER
from .sliding_window_counter import SlidingWindowCounter

STUCK_CALL_FACTOR = 4.0
"""A call that has been in flight for this multiple of the average call time is considered stuck."""
MIN_STUCK_MS = 700.0
"""Lower bound for considering a call stuck and for learned time-outs."""
CONCURRENCY_HEADROOM = 3.0
"""Ratio of the concurrency limit to the measured concurrency."""


class DestinationLimits:
    """Learned limits that the receivers of a destination share.

    retry_after_until: end of the wait that the destination requested.
    rate_limiter: set after a rejection; None: calls are not rate-limited.
    in_flight: number of calls in flight.
    calls: calls in flight, oldest first; finished calls are removed when they reach the front.
    good_at, failed_at: time of the latest success and of the latest failure.
    good_answers: number of successes, in buckets of 500 ms.
    usual_call_ms: moving average of the call time; None before the first success.
    timeouts, timed_out_at: number of time-outs since the last success, and time of the latest. Each one doubles the
        time-out, so that a slow destination is not treated as unreachable again and again.
    rejections, first_rejected_at: number of rejections since the last success, and time of the first.
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
        """Return when the oldest call in flight counts as stuck; infinity if a call has succeeded since it started."""
        while self.calls and self.calls[0].open_count == 0:
            self.calls.popleft()
        if not self.calls or self.calls[0].sent_at < self.good_at:
            return float("inf")
        return self.calls[0].sent_at + max(MIN_STUCK_MS, STUCK_CALL_FACTOR * (self.usual_call_ms or 0.0))

    def concurrency_limit(self, now: float, receivers: int) -> float:
        """Return how many calls may be in flight: measured rate times latency (Little's law), with headroom.

        A destination that accepts calls without responding (it hangs, is silent, or has become very slow) would
        otherwise occupy all slots and take all messages that may be sent only once. While its oldest call is stuck, no
        further call starts.
        """
        if now >= self.stuck_at():
            return 1
        if self.in_flight <= receivers:  # the measured concurrency can only raise this limit
            return receivers + 1
        max_bucket_count = max(self.good_answers.recent(now, 16))
        return receivers + 1 + CONCURRENCY_HEADROOM * max_bucket_count * (self.usual_call_ms or 1000.0) / 1000.0


def limits_of(receiver: Receiver, kinds_with_own_limits: frozenset[int]) -> DestinationLimits:
    """Return the limits that apply to a receiver: its own if its kind has them, else those of its destination."""
    owner = receiver if receiver.kind in kinds_with_own_limits else receiver.destination
    limits = owner.limits
    if limits is None:
        limits = owner.limits = DestinationLimits()
    return limits
