"""Sets the rate limiter of a destination after a rejection."""

from __future__ import annotations

from .destination_limits import DestinationLimits
from .model import Receiver
from .random_source import RandomSource
from .rate_limiter import RateLimiter
from .traffic_share import TrafficShare

MIN_DOUBLING_MS = 3000.0
"""A rate doubles in this time, or in the mean time between two messages if that is longer."""
MAX_GROWTH_SLOWDOWN = 8.0
"""After repeated rejections, a rate takes up to this many times as long to double."""
MAX_CALLS_PER_DOUBLING = 16.0
"""Upper limit of the slowed-down doubling time: the time of this many calls, which suffice to notice a limit."""
MIN_SUCCESSES = 4
"""Fewer successes than this say little about a rate."""
MIN_TRAFFIC_SHARE = 0.2
"""Share of the sender's own traffic to a destination; a rate set after rejections never falls below it."""
MIN_GROWTH_FACTOR = 1.4
"""A rate that grew by more than this factor reached the destination's limit by its growth."""
FIRST_CALL_DELAY_JITTER = (0.3, 0.9)


class RateControl:
    """Reduces the rate of calls to a destination that rejects them."""

    def __init__(self, random: RandomSource, traffic: TrafficShare) -> None:
        self.random = random
        self.traffic = traffic

    def reduce_rate(self, receiver: Receiver, limits: DestinationLimits, now: float) -> None:
        """Limit calls to the recently accepted rate or half of the previous limit, from the end of the requested wait.

        Otherwise calls that were held back by one rejection or wait would all become due together, at one sender or at
        hundreds. This also prevents rejected calls from permanently using up the destination's limit: if a rejection
        without a requested wait occurs at a rate at which hardly any call succeeded, the next rate grows half as fast.
        Senders that observe little of the traffic would exceed the limit otherwise.
        """
        own_rate = self.traffic.estimate(receiver, now)
        start_at = max(now, limits.retry_after_until)
        accepted_rate = sum(limits.good_answers.recent(now, 4)) / 2.25
        previous = limits.rate_limiter
        rate = 0.5 * previous.rate_at(now) if previous else own_rate
        doubling_ms = max(MIN_DOUBLING_MS, 1000.0 / own_rate)
        if previous and self._reached_limit_by_growth(previous, limits, now):
            max_doubling_ms = min(MAX_GROWTH_SLOWDOWN * doubling_ms, MAX_CALLS_PER_DOUBLING * 1000.0 / own_rate)
            doubling_ms = min(2.0 * previous.growth_ms, max(doubling_ms, max_doubling_ms))
        limiter = RateLimiter(max(accepted_rate, rate, MIN_TRAFFIC_SHARE * own_rate), doubling_ms, now)
        limiter.next_at = limiter.time_after(start_at, self.random.uniform(*FIRST_CALL_DELAY_JITTER))
        limits.rate_limiter = limiter

    @staticmethod
    def _reached_limit_by_growth(previous: RateLimiter, limits: DestinationLimits, now: float) -> bool:
        return (
            previous.good_answers < MIN_SUCCESSES
            and limits.retry_after_until <= now
            and previous.rate_at(now) > MIN_GROWTH_FACTOR * previous.initial_rate
        )
