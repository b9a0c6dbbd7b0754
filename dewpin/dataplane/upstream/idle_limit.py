"""Limits the idle time of the connections that calls to the receivers of a service may reuse.

A receiver announces how long it keeps an idle connection, in whole seconds, but may drop one earlier without notice.
The next call on such a stale connection is reset, which does not prove that the request was not executed. A request
that is not idempotent would be lost, so it is sent only on a recently used connection. After such a reset by any
receiver of the service, the limit for these requests is lowered temporarily.

A connection that is found closed before reuse does not lower the limit, since that also happens when a receiver stops.
"""

from dataclasses import dataclass

MAX_IDLE_S = 2.0
"""Maximum idle time of a connection for a call that is not idempotent."""
KEEP_ALIVE_SHARE = 0.85
"""Maximum idle time for a call that is not idempotent, as a share of the announced keep-alive time."""
LOWERED_LIMIT_SHARE = 0.5
"""A stale connection lowers the limit to this share of its idle time."""
LOWERED_LIMIT_DURATION_S = 30.0
STALE_RESET_WITHIN_S = 0.02
"""A stale connection is reset as soon as data is sent on it; a reset after this time has another cause."""


@dataclass(frozen=True, slots=True)
class _LoweredLimit:
    max_idle_s: float
    expires_at: float


class IdleLimit:
    """The idle limit of one service. Thread-safe without a lock: each method reads or replaces a single attribute."""

    def __init__(self) -> None:
        self._lowered: _LoweredLimit | None = None

    def allows(self, idle_s: float, keep_alive_s: float, is_idempotent: bool, now: float) -> bool:
        """Return whether a call may reuse a connection after `idle_s`, given its announced keep-alive time."""
        if is_idempotent:
            return idle_s < keep_alive_s
        return idle_s < min(keep_alive_s * KEEP_ALIVE_SHARE, self.max_idle_s(now))

    def max_idle_s(self, now: float) -> float:
        """Return the maximum idle time of a connection for a call that is not idempotent."""
        lowered = self._lowered
        if lowered is None or now >= lowered.expires_at:
            return MAX_IDLE_S
        return lowered.max_idle_s

    def is_lowered(self, now: float) -> bool:
        """Return whether a receiver of the service has recently dropped a connection early."""
        lowered = self._lowered
        return lowered is not None and now < lowered.expires_at

    def record_stale_connection(self, idle_s: float, now: float) -> None:
        """Record that a receiver dropped a connection early, after at most `idle_s` of idle time."""
        max_idle_s = min(self.max_idle_s(now), idle_s * LOWERED_LIMIT_SHARE)
        self._lowered = _LoweredLimit(max_idle_s, now + LOWERED_LIMIT_DURATION_S)
