"""Sets the rate limiter of a destination after a rejection."""

from __future__ import annotations

from .destination_limits import DestinationLimits
from .model import Receiver
from .random_source import RandomSource
from .rate_limiter import RateLimiter
from .traffic_share import TrafficShare

SHORTEST_DOUBLING_MS = 3000.0
"""A rate doubles in this time, or in that of one message, if that is longer."""
SLOWEST_GROWTH_FACTOR = 8.0
"""Rejected again and again, a rate takes up to so many times as long to double."""
CALLS_PER_DOUBLING = 16.0
"""A destination's rate doubles in at most the time of so many calls: with more, a limit is noticed in time."""
FEW_GOOD_ANSWERS = 4
"""Fewer say little about a rate."""
LEAST_SHARE_OF_TRAFFIC = 0.2
"""Of a destination's own traffic; a rate set by rejections never falls below it."""
GROWN_FACTOR = 1.4
"""A rate that has grown by more than this met the limit by its growth."""
FIRST_CALL_JITTER = (0.3, 0.9)


class RateControl:
    """Slows a destination down that rejects calls."""

    def __init__(self, random: RandomSource, traffic: TrafficShare) -> None:
        self.random = random
        self.traffic = traffic

    def reduce_rate(self, receiver: Receiver, limits: DestinationLimits, now: float) -> None:
        """Sets a rate: what was accepted lately, or half of the last rate, from the end of the wait that was asked for.

        It guards against calls that were held back by one rejection or wait and that all fall due together, at one
        sender or at hundreds, and against rejected calls that use up a limit for good: where a rejection that asks for
        no wait meets a rate at which hardly a call went well, the next rate grows half as fast. Senders that see little
        of the traffic would overrun the limit otherwise.
        """
        own_rate = self.traffic.estimate(receiver, now)
        start_at = max(now, limits.retry_after_until)
        accepted_rate = sum(limits.good_answers.recent(now, 4)) / 2.25
        last = limits.rate_limiter
        rate = 0.5 * last.rate_at(now) if last else own_rate
        doubling_ms = max(SHORTEST_DOUBLING_MS, 1000.0 / own_rate)
        if last and self._met_limit_by_growth(last, limits, now):
            longest_ms = min(SLOWEST_GROWTH_FACTOR * doubling_ms, CALLS_PER_DOUBLING * 1000.0 / own_rate)
            doubling_ms = min(2.0 * last.growth_ms, max(doubling_ms, longest_ms))
        limiter = RateLimiter(max(accepted_rate, rate, LEAST_SHARE_OF_TRAFFIC * own_rate), doubling_ms, now)
        limiter.next_at = limiter.time_after(start_at, self.random.uniform(*FIRST_CALL_JITTER))
        limits.rate_limiter = limiter

    @staticmethod
    def _met_limit_by_growth(last: RateLimiter, limits: DestinationLimits, now: float) -> bool:
        return (
            last.good_answers < FEW_GOOD_ANSWERS
            and limits.retry_after_until <= now
            and last.rate_at(now) > GROWN_FACTOR * last.initial_rate
        )
