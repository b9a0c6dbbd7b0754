"""The slots of a receiver: a limited number of requests run, a few more wait, all others are rejected."""

import threading
from collections import deque
from enum import Enum


class AcquireResult(Enum):
    """Result of a request for a slot; the values are sent in X-Dewpin-Not-Executed."""

    ACQUIRED = "runs"
    FULL = "full"
    TIMED_OUT = "too late"


class SlotPool:
    """Grants slots in the order of the requests for them. Safe for use by many threads.

    capacity: number of slots.
    max_waiting: number of requests that may wait for a slot.
    running: number of slots in use.
    """

    def __init__(self, capacity: int, max_waiting: int) -> None:
        self.capacity = capacity
        self.max_waiting = max_waiting
        self.running = 0
        self._changed = threading.Condition()
        self._waiting: deque[object] = deque()

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return len(self._waiting)

    def acquire(self, timeout_s: float) -> AcquireResult:
        """Acquire a slot, waiting for up to `timeout_s`; after ACQUIRED the caller must call `release`."""
        ticket = object()
        with self._changed:
            if self._is_free() and not self._waiting:
                self.running += 1
                return AcquireResult.ACQUIRED
            if len(self._waiting) >= self.max_waiting:
                return AcquireResult.FULL
            self._waiting.append(ticket)
            is_granted = self._changed.wait_for(lambda: self._waiting[0] is ticket and self._is_free(), timeout_s)
            self._waiting.remove(ticket)
            if is_granted:
                self.running += 1
            self._changed.notify_all()
            return AcquireResult.ACQUIRED if is_granted else AcquireResult.TIMED_OUT

    def release(self) -> None:
        """Give an acquired slot back."""
        with self._changed:
            self.running -= 1
            self._changed.notify_all()

    def _is_free(self) -> bool:
        return self.running < self.capacity
