"""How long a connection to the receivers of a service may have been idle when it carries a call.

A receiver announces how long it keeps an idle connection, in whole seconds, but may drop one earlier without notice.
The next call on such a stale connection is reset, which does not prove that the request has not run. A request that is
not idempotent would be lost by it, so it is sent only on a connection that was used recently. After such a reset by any
receiver of the service, the limit for these requests is lowered for a while.

A connection that is found closed before it is used does not lower the limit: that also happens when a receiver stops.
"""

from dataclasses import dataclass

MAX_IDLE_S = 2.0
"""Limit for calls that are not idempotent."""
KEEP_ALIVE_SHARE = 0.85
"""The share of the announced keep-alive time in which a connection may carry a call that is not idempotent."""
LOWERED_LIMIT_SHARE = 0.5
"""After a stale connection the limit is this share of the time for which that one had been idle."""
LOWERED_LIMIT_DURATION_S = 30.0
STALE_RESET_WITHIN_S = 0.02
"""A stale connection is reset as soon as something is sent on it; a later reset has another cause."""


@dataclass(frozen=True, slots=True)
class _LoweredLimit:
    max_idle_s: float
    expires_at: float


class IdleLimit:
    """The limit for one service. It is used by many threads; each method reads or replaces one value."""

    def __init__(self) -> None:
        self._lowered: _LoweredLimit | None = None

    def allows(self, idle_s: float, keep_alive_s: float, is_idempotent: bool, now: float) -> bool:
        """Return whether a call may use a connection that the receiver says it keeps for `keep_alive_s`."""
        if is_idempotent:
            return idle_s < keep_alive_s
        return idle_s < min(keep_alive_s * KEEP_ALIVE_SHARE, self.max_idle_s(now))

    def max_idle_s(self, now: float) -> float:
        """Return how long a connection may have been idle for a call that is not idempotent."""
        lowered = self._lowered
        if lowered is None or now >= lowered.expires_at:
            return MAX_IDLE_S
        return lowered.max_idle_s

    def is_lowered(self, now: float) -> bool:
        """Return whether a receiver of the service has dropped a connection early in the recent past."""
        lowered = self._lowered
        return lowered is not None and now < lowered.expires_at

    def record_stale_connection(self, idle_s: float, now: float) -> None:
        """Record that a connection which had been idle for `idle_s` was dropped early by its receiver."""
        max_idle_s = min(self.max_idle_s(now), idle_s * LOWERED_LIMIT_SHARE)
        self._lowered = _LoweredLimit(max_idle_s, now + LOWERED_LIMIT_DURATION_S)
