"""Sender leases, and the relay tree derived from them."""

from __future__ import annotations

import hashlib
from bisect import bisect_left, insort
from dataclasses import dataclass
from heapq import heappop, heappush

RELAY_FAN_OUT = 4
LEASE_PERIODS = 8
LEASE_CYCLES = 3
"""A lease lasts for this many of its sender's renewal cycles through all grantors, and at least LEASE_PERIODS."""
RELEASE_RETENTION_S = 60.0
"""Retention time of a release, during which delayed renewals are ignored."""


@dataclass(frozen=True, slots=True)
class Lease:
    """The lease of one sender. `expires_at_s` is a time of the grantor's monotonic clock."""

    sender: str
    address: str
    zone: str
    expires_at_s: float


class LeaseTable:
    """The leases granted by this process.

    `period_s`: the interval between a sender's renewals, which it sends to all control servers in turn.
    """

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._leases: dict[str, Lease] = {}
        self._relay_order: list[tuple[bytes, str]] = []
        """Senders sorted by position in the relay tree; kept sorted because each renewal looks up a position."""
        self._expiries: list[tuple[float, str]] = []
        """A heap of expiry times, including outdated ones of leases renewed since."""
        self._released_at_s: dict[str, float] = {}
        """Release times by sender, oldest first. A sender's id identifies one incarnation, so it is never reused."""

    def duration_s(self, grantors: int) -> float:
        """Return the lease duration for a number of grantors."""
        return self._period_s * max(LEASE_PERIODS, LEASE_CYCLES * grantors)

    def renew(self, sender: str, address: str, zone: str, now_s: float, grantors: int = 1) -> Lease:
        """Grant or renew a sender's lease. A released lease stays released."""
        lease = Lease(sender, address, zone, now_s + self.duration_s(grantors))
        if sender in self._released_at_s:
            return lease
        if sender not in self._leases:
            insort(self._relay_order, (_relay_position(sender), sender))
        self._leases[sender] = lease
        heappush(self._expiries, (lease.expires_at_s, sender))
        return lease

    def release(self, sender: str, now_s: float) -> None:
        """Remove a lease at its holder's request; later renewals have no effect."""
        self._remove(sender)
        self._released_at_s.setdefault(sender, now_s)
        self._remove_old_releases(now_s)

    def _remove_old_releases(self, now_s: float) -> None:
        while self._released_at_s:
            oldest = next(iter(self._released_at_s))
            if now_s - self._released_at_s[oldest] < RELEASE_RETENTION_S:
                return
            del self._released_at_s[oldest]

    def _remove(self, sender: str) -> None:
        if self._leases.pop(sender, None) is not None:
            self._relay_order.remove((_relay_position(sender), sender))

    def live(self, now_s: float) -> list[Lease]:
        """Return the unexpired leases."""
        self._remove_expired(now_s)
        return list(self._leases.values())

    def count(self, now_s: float) -> int:
        """Return the number of unexpired leases."""
        self._remove_expired(now_s)
        return len(self._leases)

    def parents(self, sender: str, now_s: float) -> list[str]:
        """Return the addresses of a sender's ancestors in the relay tree, nearest first; empty for a root."""
        self._remove_expired(now_s)
        if sender not in self._leases:
            return []
        index = bisect_left(self._relay_order, (_relay_position(sender), sender))
        ancestors: list[str] = []
        while index >= RELAY_FAN_OUT:
            index = index // RELAY_FAN_OUT - 1
            ancestors.append(self._leases[self._relay_order[index][1]].address)
        return ancestors

    def _remove_expired(self, now_s: float) -> None:
        while self._expiries and self._expiries[0][0] <= now_s:
            _, sender = heappop(self._expiries)
            lease = self._leases.get(sender)
            if lease is not None and lease.expires_at_s <= now_s:
                self._remove(sender)


def _relay_position(sender: str) -> bytes:
    return hashlib.blake2b(sender.encode(), digest_size=8).digest()
