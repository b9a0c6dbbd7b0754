"""How many senders live, from the answers to a sender's renewals.

Each control plane process counts the leases that it granted itself: one that was just started knows few of them. The
greatest count of the last few rounds is the one to go by.
"""

from __future__ import annotations

SETTLING_SHARE = 0.5
"""Of a lease's duration, for which the first counts are too small to go by."""


class SenderCount:
    """The counts told lately. Times are of the steady clock."""

    def __init__(self) -> None:
        self._told: list[tuple[float, int]] = []
        self._known_from_s: float | None = None

    def told(self, count: int, duration_s: float, now_s: float) -> int:
        """Takes a count from the answer to a renewal; returns the one to go by, or 0 while it is too early to tell."""
        if self._known_from_s is None:
            self._known_from_s = now_s + SETTLING_SHARE * duration_s
        self._told = [(at_s, one) for at_s, one in self._told if now_s - at_s < duration_s]
        self._told.append((now_s, count))
        return max(one for _, one in self._told) if now_s >= self._known_from_s else 0
