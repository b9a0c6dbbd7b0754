"""The slots of a receiver: limits the number of concurrent and of waiting requests."""

import threading
from collections import deque
from enum import Enum


class AcquireResult(Enum):
    """Result of acquiring a slot; the values of failures are sent in X-Dewpin-Not-Executed."""

    ACQUIRED = "runs"
    FULL = "full"
    TIMED_OUT = "too late"


class SlotPool:
    """Grants slots in first-in, first-out order. Thread-safe.

    capacity: number of slots.
    max_waiting: maximum number of requests waiting for a slot.
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
        """Return the number of requests waiting for a slot."""
        return len(self._waiting)

    def acquire(self, timeout_s: float) -> AcquireResult:
        """Acquire a slot, waiting up to `timeout_s`; after ACQUIRED the caller must call `release`."""
        waiter = object()
        with self._changed:
            if self._is_free() and not self._waiting:
                self.running += 1
                return AcquireResult.ACQUIRED
            if len(self._waiting) >= self.max_waiting:
                return AcquireResult.FULL
            self._waiting.append(waiter)
            is_granted = self._changed.wait_for(lambda: self._waiting[0] is waiter and self._is_free(), timeout_s)
            self._waiting.remove(waiter)
            if is_granted:
                self.running += 1
            self._changed.notify_all()
            return AcquireResult.ACQUIRED if is_granted else AcquireResult.TIMED_OUT

    def release(self) -> None:
        """Release an acquired slot."""
        with self._changed:
            self.running -= 1
            self._changed.notify_all()

    def _is_free(self) -> bool:
        return self.running < self.capacity
