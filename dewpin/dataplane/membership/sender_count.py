"""Number of live senders, estimated from the grants of a sender's lease.

Each control server counts only the leases that it granted itself, so a recently started one reports too few. Therefore
the maximum of the counts within a lease's duration is used.
"""

from __future__ import annotations

SETTLING_SHARE = 0.5
"""Share of a lease's duration during which the first counts are too low to be used."""


class SenderCount:
    """The recently received counts. Times are in seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._counts: list[tuple[float, int]] = []
        self._usable_from_s: float | None = None

    def update(self, count: int, lease_duration_s: float, now_s: float) -> int:
        """Add the count of a grant; return the estimated number of senders, or 0 while it is unknown."""
        if self._usable_from_s is None:
            self._usable_from_s = now_s + SETTLING_SHARE * lease_duration_s
        self._counts = [(at_s, other) for at_s, other in self._counts if now_s - at_s < lease_duration_s]
        self._counts.append((now_s, count))
        return max(other for _, other in self._counts) if now_s >= self._usable_from_s else 0
