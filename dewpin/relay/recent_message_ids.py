"""The ids of recently accepted messages."""

MAX_IDS_PER_GENERATION = 20_000


class RecentMessageIds:
    """Remembers ids for at least `lifetime_ms`, the maximum lifetime of a message, in two generations.

    They are used to reject a message whose id was accepted before, from any client: it would be delivered twice, or
    after it has ended. Memory is bounded: if there are more ids than a generation can hold, ids are dropped
    earlier."""

    def __init__(self, lifetime_ms: float) -> None:
        self._lifetime_ms = lifetime_ms
        self._current: set[bytes] = set()
        self._previous: set[bytes] = set()
        self._next_generation_at_ms = 0.0

    def __contains__(self, message_id: bytes) -> bool:
        return message_id in self._current or message_id in self._previous

    def add(self, message_id: bytes, now_ms: float) -> None:
        """Store an id."""
        if now_ms > self._next_generation_at_ms or len(self._current) >= MAX_IDS_PER_GENERATION:
            self._current, self._previous = set(), self._current
            self._next_generation_at_ms = now_ms + self._lifetime_ms
        self._current.add(message_id)
