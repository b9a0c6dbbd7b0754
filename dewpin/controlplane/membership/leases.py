"""Leases of senders: who is there, and each one's place in the relay tree."""

from __future__ import annotations

import hashlib
from bisect import bisect_left, insort
from dataclasses import dataclass
from heapq import heappop, heappush

RELAY_FAN_OUT = 4
LEASE_PERIODS = 8
LEASE_ROUNDS = 3
"""A lease lasts for this many rounds of its sender through all processes that grant it, and LEASE_PERIODS at least."""
RELEASES_COUNT_S = 60.0
"""For how long a release is remembered: a renewal that comes late, after it, grants nothing."""


@dataclass(frozen=True)
class Lease:
    """One sender's. `expires_s` on the steady clock of the process that granted it."""

    sender: str
    address: str
    zone: str
    expires_s: float


class LeaseTable:
    """The leases that this process has granted. `period_s`: of a sender's renewals, which go to all in turn."""

    def __init__(self, period_s: float) -> None:
        self._period_s = period_s
        self._leases: dict[str, Lease] = {}
        self._order: list[tuple[bytes, str]] = []
        """Senders by their places in the relay tree; kept sorted, since each renewal asks for one."""
        self._ends: list[tuple[float, str]] = []
        """A heap of the times at which leases end unless they were renewed since."""
        self._released_s: dict[str, float] = {}
        """When senders gave their leases up, the oldest first. A sender's id is of one life of its process."""

    def duration_s(self, grantors: int) -> float:
        """For how long a lease is granted where so many processes grant it."""
        return self._period_s * max(LEASE_PERIODS, LEASE_ROUNDS * grantors)

    def renew(self, sender: str, address: str, zone: str, now_s: float, grantors: int = 1) -> Lease:
        """Grants or renews a sender's lease; one that was given up is not in force again."""
        lease = Lease(sender, address, zone, now_s + self.duration_s(grantors))
        if sender in self._released_s:
            return lease
        if sender not in self._leases:
            insort(self._order, (_place(sender), sender))
        self._leases[sender] = lease
        heappush(self._ends, (lease.expires_s, sender))
        return lease

    def release(self, sender: str, now_s: float) -> None:
        """Ends a lease that its holder gives up, for good."""
        self._end(sender)
        self._released_s.setdefault(sender, now_s)
        self._forget_releases(now_s)

    def _forget_releases(self, now_s: float) -> None:
        while self._released_s:
            oldest = next(iter(self._released_s))
            if now_s - self._released_s[oldest] < RELEASES_COUNT_S:
                return
            del self._released_s[oldest]

    def _end(self, sender: str) -> None:
        if self._leases.pop(sender, None) is not None:
            self._order.remove((_place(sender), sender))

    def live(self, now_s: float) -> list[Lease]:
        """The leases in force."""
        self._end_due(now_s)
        return list(self._leases.values())

    def count(self, now_s: float) -> int:
        """How many leases are in force."""
        self._end_due(now_s)
        return len(self._leases)

    def parents(self, sender: str, now_s: float) -> list[str]:
        """Addresses of the senders above `sender` in the relay tree, nearest first; none for one at the top."""
        self._end_due(now_s)
        if sender not in self._leases:
            return []
        index = bisect_left(self._order, (_place(sender), sender))
        above: list[str] = []
        while index >= RELAY_FAN_OUT:
            index = index // RELAY_FAN_OUT - 1
            above.append(self._leases[self._order[index][1]].address)
        return above

    def _end_due(self, now_s: float) -> None:
        while self._ends and self._ends[0][0] <= now_s:
            _, sender = heappop(self._ends)
            lease = self._leases.get(sender)
            if lease is not None and lease.expires_s <= now_s:
                self._end(sender)


def _place(sender: str) -> bytes:
    return hashlib.blake2b(sender.encode(), digest_size=8).digest()
