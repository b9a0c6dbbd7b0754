"""Ranks messages: selects the next message of a queue, and the message to shed when too many are pending."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from .destination_queue import DestinationQueue
from .model import READY, Decision, Message
from .receiver_health import is_probing
from .retry_policy import RetryPolicy
from .sender_state import SenderState
from .settings import DispatcherSettings, Effect, QueueClass

SAFE = Effect.SAFE  # bound once: looking up an enum member on its class costs ten times as much in Python 3.11
VALUE_HORIZON_MS = 1000.0
"""Messages are ranked by the value that they would lose within this time."""


class MessageRanking:
    """Ranks messages by their value, which decreases after the latency target."""

    def __init__(self, settings: DispatcherSettings, sender: SenderState, retry_policy: RetryPolicy) -> None:
        self.settings = settings
        self.sender = sender
        self.retry_policy = retry_policy
        self.has_safe_class = any(queue_class.effect is Effect.SAFE for queue_class in settings.classes)

    def next_message(self, queue: DestinationQueue, now: float) -> Message | None:
        """Return the next message of a queue: the one that loses the most value by waiting.

        Among messages that lose the same value, it is the one whose latency target ends first.

        While all ready receivers are being probed, messages that are safe to send again go first.
        """
        receivers = queue.destination.receivers
        prefers_safe = self.has_safe_class and all(
            is_probing(receiver) for receiver in receivers if receiver.state == READY
        )
        usual_ms = self._usual_call_ms(queue)
        best, best_rank = None, None
        for index, queue_class in enumerate(self.settings.classes):
            fresh, late = queue.fresh[index], queue.late[index]
            margin_ms = min(usual_ms, queue_class.target_ms / 4.0)
            while fresh and now + margin_ms > fresh[0].dispatch_state.target_at:
                late.append(fresh.popleft())  # an average call would deliver it too late
            if queue.waiting == 1 and (fresh or late):
                return (fresh or late)[0]
            is_preferred = prefers_safe and queue_class.effect is SAFE
            candidates = [fresh[0]] if fresh else []
            if late:
                candidates += late[0], late[-1]
            for message in candidates:
                age_ms = now - message.arrived_at + VALUE_HORIZON_MS / 2.0
                loss = self._value_at(queue_class, message, age_ms) - self._value_at(
                    queue_class, message, age_ms + VALUE_HORIZON_MS
                )
                rank = (is_preferred, loss, -message.dispatch_state.target_at)
                if best_rank is None or rank > best_rank:
                    best, best_rank = message, rank
        return best

    def least_valuable(self, queues: Iterable[DestinationQueue], now: float) -> Message | None:
        """Return the message to shed: in the longest queue, the one with the least remaining value.

        A queue that cannot drain (because of an outage, or a limit far below its traffic) would otherwise fill the
        sender, and messages for all other destinations would be rejected. Only messages that clients may submit again
        are shed.
        """
        longest = max(queues, key=lambda queue: queue.waiting)

        def remaining_value(candidate: tuple[QueueClass, Message]) -> tuple[float, int]:
            queue_class, message = candidate
            age_ms = now - message.arrived_at + 2.0 * VALUE_HORIZON_MS
            return self._value_at(queue_class, message, age_ms), -message.dispatch_state.sequence

        candidates = [
            (queue_class, message)
            for queue_class, message in self._first_and_last_messages(longest)
            if self.retry_policy.ending(message) == Decision.DEFERRED
        ]
        return min(candidates, key=remaining_value)[1] if candidates else None

    def _first_and_last_messages(self, queue: DestinationQueue) -> Iterator[tuple[QueueClass, Message]]:
        """Yield the first and the last message of each queue class."""
        for index, queue_class in enumerate(self.settings.classes):
            for messages in (queue.fresh[index], queue.late[index]):
                if messages:
                    yield from ((queue_class, messages[0]), (queue_class, messages[-1]))

    def _usual_call_ms(self, queue: DestinationQueue) -> float:
        destination = queue.destination
        limits = destination.limits or next(
            (receiver.limits for receiver in destination.receivers if receiver.limits), None
        )
        return self.sender.usual_ms(limits.usual_call_ms if limits else None)

    def _value_at(self, queue_class: QueueClass, message: Message, age_ms: float) -> float:
        """Return the value of a message that is relayed at this age."""
        target_ms = queue_class.target_ms
        late_ms = age_ms - target_ms
        if late_ms <= 0:
            return queue_class.value
        if message.arrived_at + age_ms >= message.expires_at:
            return 0.0
        late_share = queue_class.late_value_share
        if self.settings.value_halves:
            share: float = 0.5 ** (late_ms / target_ms)
            return queue_class.value * max(late_share, share)
        span_ms = max(1.0, queue_class.lifetime_ms - target_ms)
        return queue_class.value * max(0.0, 1.0 - (1.0 - late_share) * late_ms / span_ms)
