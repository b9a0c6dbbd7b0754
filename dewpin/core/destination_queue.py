"""The messages that wait for one destination."""

from __future__ import annotations

from bisect import insort
from collections import deque

from .message_state import MessageState
from .model import Destination, Message
from .sliding_window_counter import SlidingWindowCounter

RATE_WINDOW_MS = 20000.0
"""The rate of a destination's traffic is measured over so long."""
SLOT_TIME_HALF_LIFE_MS = 5000.0
"""The slot time that a queue has had loses half of its weight in this time."""


class DestinationQueue:
    """The messages that wait for a destination, by queue class, and the share of the slots that they had.

    destination: where they go.
    sequence: its number among the queues, in the order of their first messages.
    waiting: how many messages are in it.
    fresh: by queue class, those that can still meet their latency target.
    late: by queue class, the others.
    slot_time_ms, slot_time_at: slot time that its calls used, with decay, and when that was computed.
    in_flight: calls.
    arrivals: how many messages came for the destination.
    started_at: when the sender took its first message in, for whatever destination.
    """

    __slots__ = (
        "destination",
        "sequence",
        "waiting",
        "fresh",
        "late",
        "slot_time_ms",
        "slot_time_at",
        "in_flight",
        "arrivals",
        "started_at",
    )

    def __init__(self, destination: Destination, sequence: int, class_count: int, started_at: float) -> None:
        self.destination = destination
        self.sequence = sequence
        self.waiting = 0
        self.fresh: list[deque[Message]] = [deque() for _ in range(class_count)]
        self.late: list[deque[Message]] = [deque() for _ in range(class_count)]
        self.slot_time_ms = self.slot_time_at = 0.0
        self.in_flight = 0
        self.arrivals = SlidingWindowCounter(RATE_WINDOW_MS / 10.0, 12)
        self.started_at = started_at

    def add(self, message: Message) -> None:
        """Puts a message in line, by the end of its latency target."""
        self.waiting += 1
        messages = self.fresh[message.queue_class]
        if messages and _target_at(messages[-1]) > _target_at(message):
            insort(messages, message, key=_target_at)
        else:
            messages.append(message)

    def remove(self, message: Message) -> bool:
        """Takes a message out; False if it is not here."""
        for messages in (self.fresh[message.queue_class], self.late[message.queue_class]):
            if message in messages:
                messages.remove(message)
                self.waiting -= 1
                return True
        return False

    def arrival_rate(self, now: float, count_correction: float = 0.0) -> float:
        """Messages a second that come for the destination: few where many senders share its traffic.

        `count_correction` is taken off the count, for a caller that asks because a message has come just now.
        """
        span_ms = max(RATE_WINDOW_MS / 4.0, min(RATE_WINDOW_MS, now - self.started_at))
        return (max(1.0, sum(self.arrivals.recent(now, 10))) - count_correction) * 1000.0 / span_ms

    def recent_slot_time(self, now: float) -> float:
        """The slot time in ms that its calls used lately, those in flight included."""
        span_ms = now - self.slot_time_at
        if span_ms > 0.0:
            decay = 0.5 ** (span_ms / SLOT_TIME_HALF_LIFE_MS)
            self.slot_time_ms = self.slot_time_ms * decay + self.in_flight * (1.0 - decay) * SLOT_TIME_HALF_LIFE_MS
            self.slot_time_at = now
        return self.slot_time_ms


def _target_at(message: Message) -> float:
    state: MessageState = message.dispatch_state
    return state.target_at
