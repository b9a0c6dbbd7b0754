"""Selects the receiver of a destination for a message, and determines when a receiver is available."""

from __future__ import annotations

from .call import Call
from .circuit_breaker import CircuitBreaker
from .destination_limits import limits_of
from .destination_queue import DestinationQueue
from .model import READY, Message, Receiver
from .receiver_health import health_of, is_probing
from .sender_state import SenderState
from .settings import DispatcherSettings, RetryScope

UNKNOWN_TIME = float("inf")
"""The time of an event that depends on an update that has not arrived."""

# The fractional parts of the multiples of these numbers are evenly distributed over 0 to 1, also if only every second
# multiple is used.
GOLDEN_RATIO = 0.5 * (5.0**0.5 - 1.0)
SILVER_RATIO = 2.0**0.5 - 1.0

ROTATION_IDLE_TIMES = 4.0
"""A sender stays with a receiver for this many idle time-outs, so that most idle connections are reused."""
RECENT_FAILURE_MESSAGES_MS = 10000.0
"""A failure counts as recent for this time divided by the messages per second: the time of ten messages."""


class ReceiverSelector:
    """Selects receivers for messages.

    rotation_offset: this sender's start position in the rotation of receivers, whose order is the same at all senders.
    zone_offset: its position in the sequence that decides which of its messages stay in its own zone.
    """

    def __init__(self, settings: DispatcherSettings, sender: SenderState, breaker: CircuitBreaker) -> None:
        self.settings = settings
        self.sender = sender
        self.breaker = breaker
        self.kinds_with_own_limits = settings.kinds_with_own_limits
        self.rotation_offset = settings.sender_number * GOLDEN_RATIO % 1.0
        self.zone_offset = settings.sender_number * SILVER_RATIO % 1.0
        self.idle_timeout_ms = max(1.0, settings.idle_close_ms)

    def select(self, queue: DestinationQueue, message: Message, now: float) -> Receiver | None:
        """Return the available receiver with the fewest calls in flight, or None if no receiver is available now.

        Ties are resolved in favor of this sender's zone, then of the receiver that responded last.

        If hardly any of the sender's calls overlap, ties are resolved differently. The sender's own zone is preferred
        only for a share of the messages: the zone's number of receivers, divided by the average over all zones. For the
        other messages, zones with more receivers than the average are preferred. Remaining ties are resolved by
        rotation: each sender starts at its own position in an order that is the same at all senders, and advances by
        one position so rarely that most idle connections are reused. Such a sender observes little of the load;
        otherwise all senders would prefer the same receivers, a zone with few receivers would take the load of all of
        its senders, and other receivers would stay idle.
        """
        receivers = queue.destination.receivers
        available = [receiver for receiver in receivers if self.available_at(receiver, message, now) <= now]
        if len(available) < 2:
            return available[0] if available else None
        ready_count = sum(receiver.state == READY for receiver in receivers)
        arrival_rate = queue.arrival_rate(now)
        recent_since = now - max(self.idle_timeout_ms, RECENT_FAILURE_MESSAGES_MS / arrival_rate)
        usual_ms = self.sender.usual_ms(limits_of(available[0], self.kinds_with_own_limits).usual_call_ms)
        is_sparse = arrival_rate * usual_ms < 1000.0
        rotation = now / self.idle_timeout_ms / ROTATION_IDLE_TIMES
        deprioritized_zones = self._deprioritized_zones(receivers, available, ready_count, is_sparse, rotation)
        ranks = [
            self._rank(receiver, message, now, recent_since, receiver.zone in deprioritized_zones)
            for receiver in available
        ]
        best_rank = min(ranks)
        tied = sorted(
            (receiver for receiver, rank in zip(available, ranks, strict=True) if rank == best_rank),
            key=lambda receiver: receiver.receiver_id,
        )
        if not is_sparse:  # overlapping calls spread by themselves, and the receiver that responded last is alive
            return max(tied, key=lambda receiver: receiver.health.good_at)
        return tied[int(self.rotation_offset * len(tied) + rotation) % len(tied)]

    def available_at(self, receiver: Receiver, message: Message, now: float) -> float:
        """Return when this receiver is available for the message; `UNKNOWN_TIME` if that depends on an update."""
        if receiver.state != READY or not self._is_in_retry_scope(receiver, message):
            return UNKNOWN_TIME
        if receiver.health is None:
            self.breaker.check_new_receiver(receiver, now)
        if self.open_batch(receiver, now):
            return now
        limits, health = limits_of(receiver, self.kinds_with_own_limits), receiver.health
        ready_count = sum([other.state == READY for other in receiver.destination.receivers])
        if (
            self.sender.calls_in_flight >= self.settings.call_slots
            or limits.in_flight >= limits.concurrency_limit(now, ready_count)
            or health.in_flight
            and is_probing(receiver)
        ):
            return UNKNOWN_TIME
        available_at = max(now, limits.retry_after_until)
        for limiter in (limits.rate_limiter, health.slow_start):
            if limiter and limiter.next_at > available_at:
                available_at = limiter.next_at
        return available_at

    def open_batch(self, receiver: Receiver, now: float) -> Call | None:
        """Return the call that started at `now` and whose batch has room; the first probe call carries one message."""
        call = health_of(receiver).latest_call
        if call is None or call.sent_at != now or receiver.kind >= len(self.settings.batch_sizes):
            return None
        has_room = (
            call.message_count < self.settings.batch_sizes[receiver.kind]
            and call.open_count == call.message_count
            and not is_probing(receiver)
        )
        return call if has_room else None

    def _is_in_retry_scope(self, receiver: Receiver, message: Message) -> bool:
        """Return whether the receiver may get a retry, which requires that it knows the message's idempotency key."""
        state = message.dispatch_state
        if state.executed_at is None:
            return True
        scope = self.settings.classes[message.queue_class].retry_scope
        first_receiver = state.executed_by
        if scope == RetryScope.ALL or receiver is first_receiver:
            return True
        # a negative zone is unknown
        return scope == RetryScope.ZONE and first_receiver is not None and receiver.zone == first_receiver.zone >= 0

    def _deprioritized_zones(
        self, receivers: list[Receiver], available: list[Receiver], ready_count: int, is_sparse: bool, rotation: float
    ) -> set[int]:
        """Return the zones whose receivers lose ties; only zones with an available receiver are considered."""
        zones = {receiver.zone for receiver in available}
        shares = {
            zone: self.settings.zone_count
            * sum(receiver.zone == zone for receiver in receivers if receiver.state == READY)
            for zone in zones
        }
        own_zone = self.settings.zone
        prefers_own = not is_sparse or (self.zone_offset + rotation) % 1.0 * ready_count < shares.get(own_zone, 0)
        if prefers_own:
            return {zone for zone in zones if zone != own_zone}
        return {zone for zone in zones if shares[zone] <= ready_count}

    def _rank(
        self, receiver: Receiver, message: Message, now: float, recent_since: float, is_deprioritized: bool
    ) -> tuple[bool, bool, bool, bool, int, bool]:
        """Return the rank of a receiver for a message; the lowest rank is best."""
        health = receiver.health
        return (
            self.open_batch(receiver, now) is None,
            self.breaker.rejected_recently(receiver, now),
            health.failed_at > max(health.good_at, recent_since),
            message.queue_class in health.failed_classes,
            health.in_flight,
            is_deprioritized,
        )
