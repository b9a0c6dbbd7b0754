"""The rate limit that a sender applies to a destination after a rejection."""

from math import log, log2


class RateLimiter:
    """A limit in calls per second that starts low and grows exponentially once calls succeed.

    initial_rate: calls per second until the first success.
    growth_ms: time in which the rate doubles.
    created_at: when it was set.
    growing_since: when growth began, determined at the first success; None before that.
    next_at: when the next call may start.
    good_answers: number of successes since it was set.
    """

    __slots__ = ("initial_rate", "growth_ms", "created_at", "growing_since", "next_at", "good_answers")

    def __init__(self, initial_rate: float, growth_ms: float, created_at: float) -> None:
        self.initial_rate = initial_rate
        self.growth_ms = growth_ms
        self.created_at = created_at
        self.growing_since: float | None = None
        self.next_at = 0.0
        self.good_answers = 0

    def rate_at(self, now: float) -> float:
        """Return the limit at `now`, in calls per second."""
        doublings = 0.0 if self.growing_since is None else (now - self.growing_since) / self.growth_ms
        return float(self.initial_rate * 2.0 ** min(doublings, 60.0))  # no overflow after hours without traffic

    def time_after(self, now: float, calls: float) -> float:
        """Return when `calls` calls fit under the limit, counted from `now` and with the growth until then."""
        rate = self.rate_at(now) / 1000.0
        if self.growing_since is None:
            return now + calls / rate
        return now + self.growth_ms * log2(1.0 + calls * log(2.0) / (rate * self.growth_ms))
