"""The rate limit for a receiver that recovers from an outage."""

from math import sqrt

from .rate_limiter import RateLimiter


class SlowStart(RateLimiter):
    """A limit in calls per second that rises linearly, by `initial_rate` per `growth_ms`.

    If the calls of all senders doubled together, they would exceed the capacity of a receiver, which rises linearly
    while the receiver warms up.
    """

    __slots__ = ()

    def rate_at(self, now: float) -> float:
        """Return the limit at `now`, in calls per second."""
        return self.initial_rate * (
            1.0 + (0.0 if self.growing_since is None else (now - self.growing_since) / self.growth_ms)
        )

    def time_after(self, now: float, calls: float) -> float:
        """Return when `calls` calls fit under the limit, counted from `now` and with the growth until then."""
        rate = self.rate_at(now) / 1000.0
        if self.growing_since is None:
            return now + calls / rate
        rise = self.initial_rate / 1000.0 / self.growth_ms
        return now + (sqrt(rate * rate + 2.0 * rise * calls) - rate) / rise
