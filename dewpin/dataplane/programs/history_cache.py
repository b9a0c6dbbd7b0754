"""A thread-safe cache of durable turns, limited by size and age; shared by all threads of a sender."""

from __future__ import annotations

import threading
import time
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

DEFAULT_MAX_BYTES = 8 * 1024 * 1024
_ENTRY_OVERHEAD_BYTES = 300
"""Approximate memory overhead of an entry in addition to its content."""


@dataclass(frozen=True, slots=True)
class CachedTurn:
    """One turn of a conversation. Turns are immutable, so a cached turn never becomes stale.

    previous_id: id of the turn that it continues; None for the first turn of a conversation.
    content: the concatenated input and output.
    """

    previous_id: str | None
    content: bytes


class HistoryCache:
    """LRU cache of turns, keyed by program and turn id.

    Invariant: `_size_bytes` is the sum of `len(content) + _ENTRY_OVERHEAD_BYTES` over all entries.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._max_bytes = max_bytes
        self._clock_s = clock_s
        self._size_bytes = 0
        self._entries: OrderedDict[tuple[str, str], tuple[CachedTurn, float]] = OrderedDict()
        self._lock = threading.Lock()

    def put(self, program: str, turn_id: str, turn: CachedTurn, max_age_s: float) -> None:
        """Cache a turn, which a majority of the program's replicas must have stored, for at most `max_age_s`."""
        with self._lock:
            self._remove((program, turn_id))
            self._entries[(program, turn_id)] = (turn, self._clock_s() + max_age_s)
            self._size_bytes += len(turn.content) + _ENTRY_OVERHEAD_BYTES
            while self._size_bytes > self._max_bytes:
                self._remove(next(iter(self._entries)))

    def get(self, program: str, turn_id: str) -> CachedTurn | None:
        """Return a cached turn; None if it is not cached or has expired."""
        with self._lock:
            entry = self._entries.get((program, turn_id))
            if entry is None:
                return None
            turn, expires_at_s = entry
            if expires_at_s <= self._clock_s():
                self._remove((program, turn_id))
                return None
            self._entries.move_to_end((program, turn_id))
            return turn

    def complete_history(self, program: str, last_turn_id: str) -> bytes | None:
        """Return the conversation up to a turn, oldest turn first; None unless all of its turns are cached."""
        contents: list[bytes] = []
        turn_id: str | None = last_turn_id
        while turn_id is not None:
            turn = self.get(program, turn_id)
            if turn is None:
                return None
            contents.append(turn.content)
            turn_id = turn.previous_id
        return b"".join(reversed(contents))

    def _remove(self, key: tuple[str, str]) -> None:
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._size_bytes -= len(entry[0].content) + _ENTRY_OVERHEAD_BYTES
