"""Which control servers a sender knows, and which one it asks next.

An address stays known for a while after it was last named: a control server that is partitioned from the others names
only itself, and must not make a sender forget the rest. One that failed is left alone for a moment while others are
available.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

FORGET_AFTER_S = 30.0
RETRY_AFTER_S = 2.0
RETRY_AFTER_REFUSAL_S = 0.5
"""A control server that reaches no majority is running, and may reach one at any moment."""

_NEVER_S = float("-inf")


@dataclass(slots=True)
class _KnownServer:
    """A control server. `order` is random, so that each sender has its own fixed order; times are of the clock."""

    last_named_s: float
    order: float
    last_asked_s: float = _NEVER_S
    failed_until_s: float = _NEVER_S


class ControlServerList:
    """The addresses of the control servers, asked in turn. Times are in seconds of the monotonic clock.

    Invariant: it is never empty, since seeds are never forgotten and at least one is given.
    """

    def __init__(self, seeds: Iterable[str], rng: random.Random) -> None:
        self._rng = rng
        self._servers: dict[str, _KnownServer] = {}
        self._seeds: frozenset[str] = frozenset()
        self._last_asked = ""
        self.set_seeds(seeds)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Set the addresses that are never forgotten; without any, the former ones stay."""
        self._seeds = frozenset(seeds) or self._seeds
        for seed in sorted(self._seeds):
            self._servers.setdefault(seed, self._new_server(_NEVER_S))

    def add(self, addresses: Iterable[str], now_s: float) -> None:
        """Add the addresses that a control server named; forget those that were not named for long."""
        for address in addresses:
            server = self._servers.setdefault(address, self._new_server(now_s))
            server.last_named_s = now_s
        self._forget_old(now_s)

    def record_answer(self, address: str, now_s: float) -> None:
        """Record that the control server answered."""
        server = self._servers.setdefault(address, self._new_server(now_s))
        server.last_named_s = now_s
        server.failed_until_s = _NEVER_S

    def record_failure(self, address: str, now_s: float) -> None:
        """Record that the control server gave no answer."""
        self._avoid_until(address, now_s + RETRY_AFTER_S)

    def record_refusal(self, address: str, now_s: float) -> None:
        """Record that the control server answered that it reaches no majority."""
        self._avoid_until(address, now_s + RETRY_AFTER_REFUSAL_S)

    def _avoid_until(self, address: str, until_s: float) -> None:
        if address in self._servers:
            self._servers[address].failed_until_s = until_s

    def usable(self, now_s: float) -> list[str]:
        """Return those that have not failed lately, in this sender's own fixed order."""
        found = [address for address, server in self._servers.items() if server.failed_until_s <= now_s]
        return sorted(found, key=lambda address: self._servers[address].order)

    def choose_next(self, now_s: float) -> str:
        """Return the one to ask now: the usable one that was asked longest ago, or any where none is usable.

        After a failure it is one that answered when it was last asked, if there is any: however many are gone, a
        time-out is followed by an answer.
        """
        candidates = self.usable(now_s) or list(self._servers)
        if self._has_failed(self._last_asked):
            candidates = [address for address in candidates if not self._has_failed(address)] or candidates
        chosen = min(candidates, key=self._turn_of)
        self._servers[chosen].last_asked_s = now_s
        self._last_asked = chosen
        return chosen

    def _turn_of(self, address: str) -> tuple[float, float]:
        """Return what orders the control servers by whose turn it is."""
        server = self._servers[address]
        return server.last_asked_s, server.order

    def _has_failed(self, address: str) -> bool:
        """Return whether the control server failed when it was last asked."""
        return address in self._servers and self._servers[address].failed_until_s > _NEVER_S

    def all(self) -> list[str]:
        """Return every known address."""
        return list(self._servers)

    def _new_server(self, named_s: float) -> _KnownServer:
        return _KnownServer(named_s, self._rng.random())

    def _forget_old(self, now_s: float) -> None:
        for address, server in list(self._servers.items()):
            if address not in self._seeds and now_s - server.last_named_s > FORGET_AFTER_S:
                del self._servers[address]
