"""The rate limit that a sender sets itself at a destination after a rejection."""

from math import log, log2


class RateLimiter:
    """A limit in calls a second that starts low and doubles again and again once calls go well.

    initial_rate: calls a second until the first good answer.
    growth_ms: the time in which the rate doubles.
    created_at: when it was set.
    growing_since: when the growth began, by the first good answer; None before it.
    next_at: when the next call may leave.
    good_answers: how many came since it was set.
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
        """The limit at this moment, in calls a second."""
        doublings = 0.0 if self.growing_since is None else (now - self.growing_since) / self.growth_ms
        return float(self.initial_rate * 2.0 ** min(doublings, 60.0))  # after hours without traffic as well

    def time_after(self, now: float, calls: float) -> float:
        """When so many calls fit under the limit, counted from `now`, with the growth until then."""
        rate = self.rate_at(now) / 1000.0
        if self.growing_since is None:
            return now + calls / rate
        return now + self.growth_ms * log2(1.0 + calls * log(2.0) / (rate * self.growth_ms))
