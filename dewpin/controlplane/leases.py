"""Leases of senders: who is there, and each one's place in the relay tree."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

RELAY_FAN_OUT = 4
LEASE_PERIODS = 8
LEASE_ROUNDS = 3
"""A lease lasts for this many rounds of its sender through all processes that grant it, and LEASE_PERIODS at least."""


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

    def duration_s(self, grantors: int) -> float:
        """For how long a lease is granted where so many processes grant it."""
        return self._period_s * max(LEASE_PERIODS, LEASE_ROUNDS * grantors)

    def renew(self, sender: str, address: str, zone: str, now_s: float, grantors: int = 1) -> Lease:
        """Grants or renews a sender's lease."""
        lease = Lease(sender, address, zone, now_s + self.duration_s(grantors))
        self._leases[sender] = lease
        return lease

    def release(self, sender: str) -> None:
        """Ends a lease that its holder gives up."""
        self._leases.pop(sender, None)

    def live(self, now_s: float) -> list[Lease]:
        """The leases in force."""
        for lease in list(self._leases.values()):
            if lease.expires_s <= now_s:
                del self._leases[lease.sender]
        return list(self._leases.values())

    def parents(self, sender: str, now_s: float) -> list[str]:
        """Addresses of the senders above `sender` in the relay tree, nearest first; none for one at the top."""
        order = sorted(self.live(now_s), key=lambda lease: _place(lease.sender))
        index = next((i for i, lease in enumerate(order) if lease.sender == sender), 0)
        above: list[str] = []
        while index >= RELAY_FAN_OUT:
            index = index // RELAY_FAN_OUT - 1
            above.append(order[index].address)
        return above


def _place(sender: str) -> bytes:
    return hashlib.blake2b(sender.encode(), digest_size=8).digest()
