"""The control servers that a sender knows, and the choice of the next one to ask.

An address is kept for some time after it was last listed in a grant, because a control server that is partitioned from
the others lists only itself and must not make a sender forget the rest. After a failure, a control server is avoided
for a short time while others are available.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

FORGET_AFTER_S = 30.0
RETRY_AFTER_S = 2.0
RETRY_AFTER_REFUSAL_S = 0.5
"""Shorter than `RETRY_AFTER_S`: a control server without a majority is running and may regain one at any time."""

_NEVER_S = float("-inf")


@dataclass(slots=True)
class _KnownServer:
    """A control server; the random `order` gives each sender its own fixed order. Times are in seconds of the clock."""

    last_listed_s: float
    order: float
    last_asked_s: float = _NEVER_S
    failed_until_s: float = _NEVER_S


class ControlServerList:
    """The addresses of the control servers, asked in rotation. Times are in seconds of the monotonic clock.

    Invariant: the list is never empty, since at least one seed is given and seeds are never removed.
    """

    def __init__(self, seeds: Iterable[str], rng: random.Random) -> None:
        self._rng = rng
        self._servers: dict[str, _KnownServer] = {}
        self._seeds: frozenset[str] = frozenset()
        self._last_asked = ""
        self.set_seeds(seeds)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Set the addresses that are never removed; an empty list keeps the previous ones."""
        self._seeds = frozenset(seeds) or self._seeds
        for seed in sorted(self._seeds):
            self._servers.setdefault(seed, self._new_server(_NEVER_S))

    def add(self, addresses: Iterable[str], now_s: float) -> None:
        """Add the addresses listed by a control server; remove those that have not been listed for `FORGET_AFTER_S`."""
        for address in addresses:
            server = self._servers.setdefault(address, self._new_server(now_s))
            server.last_listed_s = now_s
        self._remove_expired(now_s)

    def record_answer(self, address: str, now_s: float) -> None:
        """Record that the control server answered."""
        server = self._servers.setdefault(address, self._new_server(now_s))
        server.last_listed_s = now_s
        server.failed_until_s = _NEVER_S

    def record_failure(self, address: str, now_s: float) -> None:
        """Record that the control server did not answer."""
        self._back_off_until(address, now_s + RETRY_AFTER_S)

    def record_refusal(self, address: str, now_s: float) -> None:
        """Record that the control server refused because it reaches no majority."""
        self._back_off_until(address, now_s + RETRY_AFTER_REFUSAL_S)

    def _back_off_until(self, address: str, until_s: float) -> None:
        if address in self._servers:
            self._servers[address].failed_until_s = until_s

    def usable(self, now_s: float) -> list[str]:
        """Return the control servers that are not avoided after a failure, in this sender's own fixed order."""
        found = [address for address, server in self._servers.items() if server.failed_until_s <= now_s]
        return sorted(found, key=lambda address: self._servers[address].order)

    def choose_next(self, now_s: float) -> str:
        """Return the least recently asked of the usable control servers, or of all if none is usable.

        After a failure, control servers that answered when last asked are preferred, so that a time-out is followed by
        an answer however many control servers are lost.
        """
        candidates = self.usable(now_s) or list(self._servers)
        if self._has_failed(self._last_asked):
            candidates = [address for address in candidates if not self._has_failed(address)] or candidates
        chosen = min(candidates, key=self._rotation_key)
        self._servers[chosen].last_asked_s = now_s
        self._last_asked = chosen
        return chosen

    def _rotation_key(self, address: str) -> tuple[float, float]:
        """Return the sort key of the rotation: the least recently asked control server comes first."""
        server = self._servers[address]
        return server.last_asked_s, server.order

    def _has_failed(self, address: str) -> bool:
        """Return whether the last request to the control server failed."""
        return address in self._servers and self._servers[address].failed_until_s > _NEVER_S

    def all(self) -> list[str]:
        """Return all known addresses."""
        return list(self._servers)

    def _new_server(self, listed_s: float) -> _KnownServer:
        return _KnownServer(listed_s, self._rng.random())

    def _remove_expired(self, now_s: float) -> None:
        for address, server in list(self._servers.items()):
            if address not in self._seeds and now_s - server.last_listed_s > FORGET_AFTER_S:
                del self._servers[address]
