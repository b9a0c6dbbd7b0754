"""Links of chains that are known to be durable, bounded by bytes and time; used from all threads of a sender."""

from __future__ import annotations

import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

DEFAULT_BYTES = 8 * 1024 * 1024
_ENTRY_OVERHEAD_BYTES = 300


@dataclass(frozen=True, slots=True)
class Link:
    """One turn of a chain: its input and output joined, and the turn before it. Immutable, as turns are."""

    previous: str | None
    body: bytes


class ChainCache:
    """The links used last, by program and turn."""

    def __init__(self, most_bytes: int = DEFAULT_BYTES, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._most_bytes = most_bytes
        self._clock_s = clock_s
        self._bytes = 0
        self._links: OrderedDict[tuple[str, str], tuple[Link, float]] = OrderedDict()
        self._lock = threading.Lock()

    def put(self, program: str, turn: str, link: Link, keep_s: float) -> None:
        """Keep a link that a majority of the program's replicas holds, for `keep_s` at the longest."""
        with self._lock:
            self._drop((program, turn))
            self._links[(program, turn)] = (link, self._clock_s() + keep_s)
            self._bytes += len(link.body) + _ENTRY_OVERHEAD_BYTES
            while self._bytes > self._most_bytes:
                self._drop(next(iter(self._links)))

    def get(self, program: str, turn: str) -> Link | None:
        """Return a link, or None where it is not here or too old."""
        with self._lock:
            found = self._links.get((program, turn))
            if found is None:
                return None
            link, until_s = found
            if until_s <= self._clock_s():
                self._drop((program, turn))
                return None
            self._links.move_to_end((program, turn))
            return link

    def whole_chain(self, program: str, last: str) -> bytes | None:
        """Return the bytes of the chain that ends with turn `last`, oldest first; None if a link is not here."""
        bodies: list[bytes] = []
        turn: str | None = last
        while turn is not None:
            link = self.get(program, turn)
            if link is None:
                return None
            bodies.append(link.body)
            turn = link.previous
        return b"".join(reversed(bodies))

    def _drop(self, key: tuple[str, str]) -> None:
        found = self._links.pop(key, None)
        if found is not None:
            self._bytes -= len(found[0].body) + _ENTRY_OVERHEAD_BYTES
