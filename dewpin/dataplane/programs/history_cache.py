"""A thread-safe cache of durable turns, limited by size and age; shared by all threads of a sender."""

from __future__ import annotations

import threading
import time
from collections import OrderedDict
from collections.abc import Callable

from dewpin.cluster.store_messages import TurnRecord
from dewpin.dataplane.programs.history import History

DEFAULT_MAX_BYTES = 8 * 1024 * 1024
_ENTRY_OVERHEAD_BYTES = 300
"""Approximate memory overhead of an entry in addition to the bodies."""


class HistoryCache:
    """LRU cache of turns, keyed by program and turn id. Turns are immutable, so a cached turn never becomes stale.

    Invariant: `_size_bytes` is the sum of `_size_of(record)` over all entries.
    """

    def __init__(self, max_bytes: int = DEFAULT_MAX_BYTES, clock_s: Callable[[], float] = time.monotonic) -> None:
        self._max_bytes = max_bytes
        self._clock_s = clock_s
        self._size_bytes = 0
        self._entries: OrderedDict[tuple[str, str], tuple[TurnRecord, float]] = OrderedDict()
        self._lock = threading.Lock()

    def put(self, record: TurnRecord, max_age_s: float) -> None:
        """Cache a turn, which a majority of the program's replicas must have stored, for at most `max_age_s`."""
        key = record.program, record.turn
        with self._lock:
            self._remove(key)
            self._entries[key] = (record, self._clock_s() + max_age_s)
            self._size_bytes += _size_of(record)
            while self._size_bytes > self._max_bytes:
                self._remove(next(iter(self._entries)))

    def get(self, program: str, turn_id: str) -> TurnRecord | None:
        """Return a cached turn; None if it is not cached or has expired."""
        with self._lock:
            entry = self._entries.get((program, turn_id))
            if entry is None:
                return None
            record, expires_at_s = entry
            if expires_at_s <= self._clock_s():
                self._remove((program, turn_id))
                return None
            self._entries.move_to_end((program, turn_id))
            return record

    def complete_history(self, program: str, last_turn_id: str) -> History | None:
        """Return the history up to a turn; None unless all of its turns are cached."""
        newest_first: list[TurnRecord] = []
        turn_id: str | None = last_turn_id
        while turn_id is not None:
            record = self.get(program, turn_id)
            if record is None:
                return None
            newest_first.append(record)
            turn_id = record.previous
        return History.of(reversed(newest_first))

    def _remove(self, key: tuple[str, str]) -> None:
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._size_bytes -= _size_of(entry[0])


def _size_of(record: TurnRecord) -> int:
    """Return the approximate memory of a cached turn, in bytes."""
    return len(record.input) + len(record.output) + _ENTRY_OVERHEAD_BYTES
