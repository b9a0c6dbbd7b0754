"""Which control plane processes a sender knows, and which one it asks next.

An address stays known for a while after it was named last: a process that is cut off from the others names only itself,
and must not make a sender forget the rest. One that failed is left alone for a moment while others are to be had.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

FORGET_AFTER_S = 30.0
RETRY_AFTER_S = 2.0
RETRY_AFTER_REFUSAL_S = 0.5
"""A process that reaches no majority is there, and may reach one at any moment."""


@dataclass
class _Known:
    named_s: float
    order: float
    tried_s: float = float("-inf")
    failed_until_s: float = float("-inf")


class ControlServerList:
    """The addresses of control plane processes, asked in turn. Times are of the steady clock."""

    def __init__(self, seeds: Iterable[str], rng: random.Random) -> None:
        self._rng = rng
        self._known: dict[str, _Known] = {}
        self._seeds: frozenset[str] = frozenset()
        self._last_asked = ""
        self.set_seeds(seeds)

    def set_seeds(self, seeds: Iterable[str]) -> None:
        """Takes the addresses that are never forgotten; at least one, or what was known stays."""
        self._seeds = frozenset(seeds) or self._seeds
        for seed in sorted(self._seeds):
            self._known.setdefault(seed, self._new(float("-inf")))

    def named(self, addresses: Iterable[str], now_s: float) -> None:
        """Takes addresses that a process gave as those of the control plane."""
        for address in addresses:
            known = self._known.setdefault(address, self._new(now_s))
            known.named_s = now_s
        self._forget(now_s)

    def answered(self, address: str, now_s: float) -> None:
        """Notes that the process answered."""
        known = self._known.setdefault(address, self._new(now_s))
        known.named_s = now_s
        known.failed_until_s = float("-inf")

    def failed(self, address: str, now_s: float) -> None:
        """Notes that the process gave no answer."""
        self._leave_alone(address, now_s + RETRY_AFTER_S)

    def refused(self, address: str, now_s: float) -> None:
        """Notes that the process answered that it reaches no majority."""
        self._leave_alone(address, now_s + RETRY_AFTER_REFUSAL_S)

    def _leave_alone(self, address: str, until_s: float) -> None:
        if address in self._known:
            self._known[address].failed_until_s = until_s

    def usable(self, now_s: float) -> list[str]:
        """Those that did not fail just now, in this sender's own fixed order."""
        found = [address for address, known in self._known.items() if known.failed_until_s <= now_s]
        return sorted(found, key=lambda address: self._known[address].order)

    def next(self, now_s: float) -> str:
        """The one to ask now: the usable one that was asked longest ago, or any where none is usable.

        After a failure it is one that answered when it was asked last, if there is any: however many are gone, a
        time-out is followed by an answer.
        """
        candidates = self.usable(now_s) or list(self._known)
        if self._has_failed(self._last_asked):
            candidates = [address for address in candidates if not self._has_failed(address)] or candidates
        chosen = min(candidates, key=lambda address: (self._known[address].tried_s, self._known[address].order))
        self._known[chosen].tried_s = now_s
        self._last_asked = chosen
        return chosen

    def _has_failed(self, address: str) -> bool:
        """Whether the process failed when it was asked last."""
        return address in self._known and self._known[address].failed_until_s > float("-inf")

    def all(self) -> list[str]:
        """Every address known."""
        return list(self._known)

    def _new(self, named_s: float) -> _Known:
        return _Known(named_s, self._rng.random())

    def _forget(self, now_s: float) -> None:
        for address, known in list(self._known.items()):
            if address not in self._seeds and now_s - known.named_s > FORGET_AFTER_S:
                del self._known[address]
