"""The queue of messages for one destination."""

from __future__ import annotations

from bisect import insort
from collections import deque

from .message_state import MessageState
from .model import Destination, Message
from .sliding_window_counter import SlidingWindowCounter

RATE_WINDOW_MS = 20000.0
"""Period over which the arrival rate of a destination is measured."""
SLOT_TIME_HALF_LIFE_MS = 5000.0
"""Half-life of the slot time that a queue has used."""


class DestinationQueue:
    """The waiting messages of a destination by queue class, and the slot time that the destination has used.

    destination: the destination of the messages.
    sequence: number of the queue, in the order of the queues' first messages.
    waiting: number of waiting messages.
    fresh: per queue class, messages that can still meet their latency target.
    late: per queue class, the other messages.
    slot_time_ms, slot_time_at: slot time used by its calls, with exponential decay, and when it was computed.
    in_flight: number of calls in flight.
    arrivals: number of messages that arrived for the destination.
    started_at: when the sender accepted its first message, for any destination.
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
        """Insert a message, ordered by the end of its latency target."""
        self.waiting += 1
        messages = self.fresh[message.queue_class]
        if messages and _target_at(messages[-1]) > _target_at(message):
            insort(messages, message, key=_target_at)
        else:
            messages.append(message)

    def remove(self, message: Message) -> bool:
        """Remove a message; return False if it is not in the queue."""
        for messages in (self.fresh[message.queue_class], self.late[message.queue_class]):
            if message in messages:
                messages.remove(message)
                self.waiting -= 1
                return True
        return False

    def arrival_rate(self, now: float, count_correction: float = 0.0) -> float:
        """Return this sender's messages per second for the destination: few if many senders share the traffic.

        `count_correction` is subtracted from the count, for callers that are triggered by an arrival.
        """
        span_ms = max(RATE_WINDOW_MS / 4.0, min(RATE_WINDOW_MS, now - self.started_at))
        return (max(1.0, sum(self.arrivals.recent(now, 10))) - count_correction) * 1000.0 / span_ms

    def recent_slot_time(self, now: float) -> float:
        """Return the slot time in ms that its calls used recently, including those in flight."""
        span_ms = now - self.slot_time_at
        if span_ms > 0.0:
            decay = 0.5 ** (span_ms / SLOT_TIME_HALF_LIFE_MS)
            self.slot_time_ms = self.slot_time_ms * decay + self.in_flight * (1.0 - decay) * SLOT_TIME_HALF_LIFE_MS
            self.slot_time_at = now
        return self.slot_time_ms


def _target_at(message: Message) -> float:
    state: MessageState = message.dispatch_state
    return state.target_at
