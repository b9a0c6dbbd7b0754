"""Order within a key: an attempt waits until the notices of the key's earlier messages are acknowledged."""

from asyncio import TimerHandle

import msgspec

from ..core.model import Receiver
from ..spool.records import MessageRecord


class PostponedAttempt(msgspec.Struct, frozen=True):
    """An attempt that waits: its message and receiver, when it times out, and the timer that gives it up before."""

    record: MessageRecord
    receiver: Receiver
    timeout_at_ms: float
    timer: TimerHandle


class NoticeBarrier:
    """The notices that are not acknowledged yet, and the attempts that wait for them, by ordering key."""

    def __init__(self) -> None:
        self._unacknowledged: dict[bytes, int] = {}
        self._postponed: dict[bytes, dict[MessageRecord, PostponedAttempt]] = {}

    def blocks(self, ordering_key: bytes) -> bool:
        """Whether a notice of this key is not acknowledged yet."""
        return ordering_key in self._unacknowledged

    def postponed_count(self) -> int:
        """How many attempts wait."""
        return sum(map(len, self._postponed.values()))

    def add_notice(self, ordering_key: bytes) -> None:
        """A notice is published for a message with this key; messages without a key have no order."""
        if ordering_key:
            self._unacknowledged[ordering_key] = self._unacknowledged.get(ordering_key, 0) + 1

    def acknowledge_notice(self, ordering_key: bytes) -> list[PostponedAttempt]:
        """A notice is acknowledged; the attempts that need not wait any longer, their timers cancelled."""
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
        """Lets an attempt wait for its key's notices."""
        self._postponed.setdefault(attempt.record.ordering_key, {})[attempt.record] = attempt

    def drop(self, record: MessageRecord) -> None:
        """Its attempt waits no longer."""
        del self._postponed[record.ordering_key][record]

    def drop_all(self) -> int:
        """No attempt waits any longer; how many did."""
        count = self.postponed_count()
        for attempts in self._postponed.values():
            for attempt in attempts.values():
                attempt.timer.cancel()
        self._postponed.clear()
        return count
