"""The slots of a receiver: so many requests run, a few more wait, the rest is refused."""

import threading
from collections import deque
from enum import Enum


class Admission(Enum):
    """What became of a request that asked for a slot."""

    RUNS = "runs"
    FULL = "full"
    TOO_LATE = "too late"


class Slots:
    """Hands slots out in the order of asking. Called from many threads."""

    def __init__(self, count: int, most_waiting: int) -> None:
        self.count = count
        self.most_waiting = most_waiting
        self.running = 0
        self._changed = threading.Condition()
        self._waiting: deque[object] = deque()

    @property
    def waiting(self) -> int:
        """Return how many wait for a slot."""
        return len(self._waiting)

    def acquire(self, wait_s: float) -> Admission:
        """Take a slot, waiting in the queue for up to `wait_s`; one that runs must call `release`."""
        ticket = object()
        with self._changed:
            if self._is_free() and not self._waiting:
                self.running += 1
                return Admission.RUNS
            if len(self._waiting) >= self.most_waiting:
                return Admission.FULL
            self._waiting.append(ticket)
            granted = self._changed.wait_for(lambda: self._waiting[0] is ticket and self._is_free(), wait_s)
            self._waiting.remove(ticket)
            if granted:
                self.running += 1
            self._changed.notify_all()
            return Admission.RUNS if granted else Admission.TOO_LATE

    def release(self) -> None:
        """Give a slot back."""
        with self._changed:
            self.running -= 1
            self._changed.notify_all()

    def _is_free(self) -> bool:
        return self.running < self.count
