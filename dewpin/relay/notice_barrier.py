"""Keeps order within a key: attempts wait until the notices of the key's earlier messages are acknowledged."""

from asyncio import TimerHandle

import msgspec

from ..core.model import Receiver
from ..spool.records import MessageRecord


class PostponedAttempt(msgspec.Struct, frozen=True):
    """A waiting attempt: message, receiver, time of its time-out, and the timer that ends the wait earlier."""

    record: MessageRecord
    receiver: Receiver
    timeout_at_ms: float
    timer: TimerHandle


class NoticeBarrier:
    """Tracks unacknowledged notices, and the attempts that wait for them, by ordering key."""

    def __init__(self) -> None:
        self._unacknowledged: dict[bytes, int] = {}
        self._postponed: dict[bytes, dict[MessageRecord, PostponedAttempt]] = {}

    def blocks(self, ordering_key: bytes) -> bool:
        """Return whether a notice of this key is unacknowledged."""
        return ordering_key in self._unacknowledged

    def postponed_count(self) -> int:
        """Return the number of waiting attempts."""
        return sum(map(len, self._postponed.values()))

    def add_notice(self, ordering_key: bytes) -> None:
        """Record that a notice was published for a message with this key; messages without a key are unordered."""
        if ordering_key:
            self._unacknowledged[ordering_key] = self._unacknowledged.get(ordering_key, 0) + 1

    def acknowledge_notice(self, ordering_key: bytes) -> list[PostponedAttempt]:
        """Record an acknowledgement; return the attempts that no longer have to wait, with their timers cancelled."""
        if not ordering_key:
            return []
        self._unacknowledged[ordering_key] -= 1
        if self._unacknowledged[ordering_key]:
            return []
        del self._unacknowledged[ordering_key]
        released = list(self._postponed.pop(ordering_key, {}).values())
        for attempt in released:
            attempt.timer.cancel()
        return released

    def postpone(self, attempt: PostponedAttempt) -> None:
        """Make an attempt wait for the notices of its key."""
        self._postponed.setdefault(attempt.record.ordering_key, {})[attempt.record] = attempt

    def drop(self, record: MessageRecord) -> None:
        """Remove the waiting attempt of a message."""
        del self._postponed[record.ordering_key][record]

    def drop_all(self) -> int:
        """Remove all waiting attempts; return their number."""
        count = self.postponed_count()
        for attempts in self._postponed.values():
            for attempt in attempts.values():
                attempt.timer.cancel()
        self._postponed.clear()
        return count
