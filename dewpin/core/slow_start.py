"""The rate limit at a receiver that comes back from an outage."""

from math import sqrt

from .rate_limiter import RateLimiter


class SlowStart(RateLimiter):
    """A limit in calls a second that rises evenly, by `initial_rate` in each `growth_ms`.

    It guards against a return at which the calls of all senders double together: doubling outruns a receiver whose
    capacity rises evenly while it warms up.
    """

    __slots__ = ()

    def rate_at(self, now: float) -> float:
        """The limit at this moment, in calls a second."""
        return self.initial_rate * (
            1.0 + (0.0 if self.growing_since is None else (now - self.growing_since) / self.growth_ms)
        )

    def time_after(self, now: float, calls: float) -> float:
        """When so many calls fit under the limit, counted from `now`, with the growth until then."""
        rate = self.rate_at(now) / 1000.0
        if self.growing_since is None:
            return now + calls / rate
        rise = self.initial_rate / 1000.0 / self.growth_ms
        return now + (sqrt(rate * rate + 2.0 * rise * calls) - rate) / rise
