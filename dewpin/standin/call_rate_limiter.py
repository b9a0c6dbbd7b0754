"""A token bucket for calls to the platform. Free of I/O."""


class CallRateLimiter:
    """Permits a number of calls per second, with bursts of up to one second's calls."""

    def __init__(self, calls_per_s: float) -> None:
        self._calls_per_s = calls_per_s
        self._burst = max(1.0, calls_per_s)
        self._tokens = self._burst
        self._refilled_at_s: float | None = None

    def try_acquire(self, now_s: float) -> bool:
        """Return whether a call is permitted now; if so, it is counted."""
        if self._refilled_at_s is not None:
            refilled = (now_s - self._refilled_at_s) * self._calls_per_s
            self._tokens = min(self._burst, self._tokens + refilled)
        self._refilled_at_s = now_s
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True
