"""Tracks calls: slots, concurrency, rate limits and batches."""

from __future__ import annotations

from .call import Call
from .destination_limits import limits_of
from .message_state import Stage
from .model import Message, Receiver
from .random_source import RandomSource
from .receiver_health import health_of
from .receiver_selection import ReceiverSelector
from .sender_state import SenderState
from .settings import DispatcherSettings
from .traffic_share import TrafficShare

BATCHED_MESSAGE_COST = 0.25
"""Upper bound, in calls, of the work that each further message of a batch adds at a cold receiver."""
SLOW_START_GAP_JITTER = (0.8, 1.4)
LIMITER_REMOVAL_FACTOR = 4.0
"""A rate limiter is removed once its rate exceeds this multiple of the sender's own traffic."""


class CallTracker:
    """Updates the state of sender, destination and receiver when a call starts or ends."""

    def __init__(
        self,
        settings: DispatcherSettings,
        random: RandomSource,
        sender: SenderState,
        traffic: TrafficShare,
        selector: ReceiverSelector,
    ) -> None:
        self.kinds_with_own_limits = settings.kinds_with_own_limits
        self.random = random
        self.sender = sender
        self.traffic = traffic
        self.selector = selector

    def start(self, message: Message, receiver: Receiver, now: float) -> Call:
        """Put a message in flight, in a call of its own or in the batch of a call that starts at the same time."""
        state, queue, health = message.dispatch_state, message.destination.queue, health_of(receiver)
        queue.recent_slot_time(now)
        state.stage = Stage.IN_FLIGHT
        state.waited_ms = now - state.settled_at if state.attempts else 0.0
        state.attempts += 1
        batch = self.selector.open_batch(receiver, now)
        if batch:
            state.call = batch
            batch.message_count += 1
            batch.open_count += 1
            if health.slow_start:  # a batched message adds work too, but less than a call
                health.slow_start.next_at = health.slow_start.time_after(
                    health.slow_start.next_at, BATCHED_MESSAGE_COST
                )
            return batch
        call = state.call = health.latest_call = Call(receiver, now, health.is_unanswered)
        limits = limits_of(receiver, self.kinds_with_own_limits)
        limits.calls.append(call)
        self.sender.calls_in_flight += 1
        queue.in_flight += 1
        limits.in_flight += 1
        health.in_flight += 1
        self._update_limiters(receiver, now)
        return call

    def end(self, message: Message, call: Call, now: float) -> None:
        """Remove a message from its call; the last one frees the slot."""
        queue = message.destination.queue
        queue.recent_slot_time(now)
        call.open_count -= 1
        if call.open_count == 0:
            self.sender.calls_in_flight -= 1
            queue.in_flight -= 1
            limits_of(call.receiver, self.kinds_with_own_limits).in_flight -= 1
            health_of(call.receiver).in_flight -= 1

    def _update_limiters(self, receiver: Receiver, now: float) -> None:
        limits, health = limits_of(receiver, self.kinds_with_own_limits), health_of(receiver)
        limiter = limits.rate_limiter
        if limiter:
            limiter.next_at = max(limiter.time_after(limiter.next_at, 1.0), now)
            if limiter.rate_at(now) > LIMITER_REMOVAL_FACTOR * self.traffic.estimate(receiver, now):
                limits.rate_limiter = None
        if health.slow_start:
            health.slow_start.next_at = health.slow_start.time_after(now, self.random.uniform(*SLOW_START_GAP_JITTER))
