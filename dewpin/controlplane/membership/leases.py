"""Leases of senders: which are alive, and the position of each in the relay tree."""

from __future__ import annotations

import hashlib
from bisect import bisect_left, insort
from dataclasses import dataclass
from heapq import heappop, heappush

RELAY_FAN_OUT = 4
LEASE_PERIODS = 8
LEASE_CYCLES = 3
"""A lease lasts for this many cycles of its sender through all processes that grant it, and LEASE_PERIODS at least."""
RELEASE_MEMORY_S = 60.0
"""For how long a release is remembered: a renewal that was delayed and comes after it has no effect."""


@dataclass(frozen=True, slots=True)
class Lease:
    """The lease of one sender. `expires_at_s`: on the steady clock of the process that granted it."""

    sender: str
    address: str
    zone: str
    expires_at_s: float


class LeaseTable:
    """The leases that this process has granted.

    `period_s`: the time between two renewals of a sender, which go to all control servers in turn.
    """

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._leases: dict[str, Lease] = {}
        self._relay_order: list[tuple[bytes, str]] = []
        """Senders by their positions in the relay tree; kept sorted, since each renewal asks for one."""
        self._expiries: list[tuple[float, str]] = []
        """A heap of the times at which leases expire unless they were renewed since."""
        self._released_at_s: dict[str, float] = {}
        """When senders released their leases, the oldest first. A sender's id is of one incarnation."""

    def duration_s(self, grantors: int) -> float:
        """For how long a lease is granted where so many processes grant leases."""
        return self._period_s * max(LEASE_PERIODS, LEASE_CYCLES * grantors)

    def renew(self, sender: str, address: str, zone: str, now_s: float, grantors: int = 1) -> Lease:
        """Grants or renews a sender's lease; one that was released stays so."""
        lease = Lease(sender, address, zone, now_s + self.duration_s(grantors))
        if sender in self._released_at_s:
            return lease
        if sender not in self._leases:
            insort(self._relay_order, (_relay_position(sender), sender))
        self._leases[sender] = lease
        heappush(self._expiries, (lease.expires_at_s, sender))
        return lease

    def release(self, sender: str, now_s: float) -> None:
        """Ends a lease that its holder gives up; later renewals have no effect."""
        self._remove(sender)
        self._released_at_s.setdefault(sender, now_s)
        self._forget_releases(now_s)

    def _forget_releases(self, now_s: float) -> None:
        while self._released_at_s:
            oldest = next(iter(self._released_at_s))
            if now_s - self._released_at_s[oldest] < RELEASE_MEMORY_S:
                return
            del self._released_at_s[oldest]

    def _remove(self, sender: str) -> None:
        if self._leases.pop(sender, None) is not None:
            self._relay_order.remove((_relay_position(sender), sender))

    def live(self, now_s: float) -> list[Lease]:
        """The leases in force."""
        self._remove_expired(now_s)
        return list(self._leases.values())

    def count(self, now_s: float) -> int:
        """How many leases are in force."""
        self._remove_expired(now_s)
        return len(self._leases)

    def parents(self, sender: str, now_s: float) -> list[str]:
        """Addresses of the senders above `sender` in the relay tree, nearest first; none for one at the top."""
        self._remove_expired(now_s)
        if sender not in self._leases:
            return []
        index = bisect_left(self._relay_order, (_relay_position(sender), sender))
        above: list[str] = []
        while index >= RELAY_FAN_OUT:
            index = index // RELAY_FAN_OUT - 1
            above.append(self._leases[self._relay_order[index][1]].address)
        return above

    def _remove_expired(self, now_s: float) -> None:
        while self._expiries and self._expiries[0][0] <= now_s:
            _, sender = heappop(self._expiries)
            lease = self._leases.get(sender)
            if lease is not None and lease.expires_at_s <= now_s:
                self._remove(sender)


def _relay_position(sender: str) -> bytes:
    return hashlib.blake2b(sender.encode(), digest_size=8).digest()
