"""Keeps messages that share an ordering key in order."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable

from .model import Message
from .settings import DispatcherSettings

GAP_CLEANUP_THRESHOLD = 200
"""Above this number, expired gaps are removed."""


class KeyOrder:
    """Serializes the messages of each ordering key, for queue classes that require it.

    messages_by_key: pending messages of each key, in order of arrival; the first one may be sent.
    gaps: by key, the time until which its next message waits because an earlier one may still be processed.
    """

    def __init__(self, settings: DispatcherSettings) -> None:
        self.classes = settings.classes
        self.turn_gap_ms = settings.turn_gap_ms
        self.messages_by_key: dict[Hashable, deque[Message]] = {}
        self.gaps: dict[Hashable, float] = {}

    def is_ordered(self, message: Message) -> bool:
        """Return whether a message has to wait for earlier messages of its key."""
        return bool(self.classes[message.queue_class].is_ordered and message.ordering_key)

    def add(self, message: Message) -> bool:
        """Append a message to those of its key; return whether it is the first."""
        messages = self.messages_by_key.setdefault(message.ordering_key, deque())
        messages.append(message)
        return len(messages) == 1

    def next_allowed_at(self, message: Message, now: float) -> float:
        """Return when the first message of a key may be sent."""
        return self.gaps.get(message.ordering_key, now)

    def begin_gap(self, message: Message, now: float) -> None:
        """Delay the next message of the key, as the receiver may still be processing this one.

        The delay applies whether this message is later retried successfully or given up, and also if no other message
        of the key is waiting yet.
        """
        if not self.is_ordered(message):
            return
        self.gaps[message.ordering_key] = now + self.turn_gap_ms
        if len(self.gaps) > GAP_CLEANUP_THRESHOLD:
            self.gaps = {key: until for key, until in self.gaps.items() if until > now}

    def remove(self, message: Message) -> Message | None:
        """Remove a finished message; return the message that may be sent next because of that, or None."""
        messages = self.messages_by_key.get(message.ordering_key) if self.is_ordered(message) else None
        if not messages or message not in messages:
            return None
        was_first = messages[0] is message
        messages.remove(message)
        if not messages:
            del self.messages_by_key[message.ordering_key]
            return None
        return messages[0] if was_first else None
