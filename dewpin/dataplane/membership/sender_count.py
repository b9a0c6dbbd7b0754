"""How many senders are alive, from the grants of a sender's lease.

Each control server counts the leases that it granted itself: one that was just started knows few of them. So the
greatest count of the last few grants is used.
"""

from __future__ import annotations

SETTLING_SHARE = 0.5
"""Share of a lease's duration during which the first counts are too small to use."""


class SenderCount:
    """The counts received lately. Times are in seconds of the monotonic clock."""

    def __init__(self) -> None:
        self._counts: list[tuple[float, int]] = []
        self._usable_from_s: float | None = None

    def update(self, count: int, lease_duration_s: float, now_s: float) -> int:
        """Add the count of a grant; return the number of senders to assume, or 0 while it is too early to know."""
        if self._usable_from_s is None:
            self._usable_from_s = now_s + SETTLING_SHARE * lease_duration_s
        self._counts = [(at_s, one) for at_s, one in self._counts if now_s - at_s < lease_duration_s]
        self._counts.append((now_s, count))
        return max(one for _, one in self._counts) if now_s >= self._usable_from_s else 0
