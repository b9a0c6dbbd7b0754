"""The order of messages that share an ordering key."""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable

from .model import Message
from .settings import DispatcherSettings

MOST_GAPS = 200
"""Above so many, gaps that are over are forgotten."""


class KeyOrder:
    """Lets messages of one ordering key go one after the other, where their queue class asks for it.

    messages_by_key: the pending ones of each key, in the order of arrival; the first has its turn.
    gaps: by key, until when its next message waits because work may still be going on.
    """

    def __init__(self, settings: DispatcherSettings) -> None:
        self.classes = settings.classes
        self.turn_gap_ms = settings.turn_gap_ms
        self.messages_by_key: dict[Hashable, deque[Message]] = {}
        self.gaps: dict[Hashable, float] = {}

    def is_ordered(self, message: Message) -> bool:
        """Whether a message has to wait for those of its key that came before it."""
        return bool(self.classes[message.queue_class].is_ordered and message.ordering_key)

    def add(self, message: Message) -> bool:
        """Puts a message behind the others of its key; True if it is the first."""
        messages = self.messages_by_key.setdefault(message.ordering_key, deque())
        messages.append(message)
        return len(messages) == 1

    def next_allowed_at(self, message: Message, now: float) -> float:
        """When the first message of a key may go on."""
        return self.gaps.get(message.ordering_key, now)

    def begin_gap(self, message: Message, now: float) -> None:
        """Work of this message may still be going on: the next one of its key waits from now on.

        It does so whatever becomes of this message meanwhile (it is retried with success, or given up), and even if
        none waits yet.
        """
        if not self.is_ordered(message):
            return
        self.gaps[message.ordering_key] = now + self.turn_gap_ms
        if len(self.gaps) > MOST_GAPS:
            self.gaps = {key: until for key, until in self.gaps.items() if until > now}

    def remove(self, message: Message) -> Message | None:
        """Takes out a message that is done; gives the one whose turn comes by that, if there is one."""
        messages = self.messages_by_key.get(message.ordering_key) if self.is_ordered(message) else None
        if not messages or message not in messages:
            return None
        was_first = messages[0] is message
        messages.remove(message)
        if not messages:
            del self.messages_by_key[message.ordering_key]
            return None
        return messages[0] if was_first else None
