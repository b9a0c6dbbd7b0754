"""Which receiver of a destination gets a message, and when it may."""

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
"""The time of something that cannot happen before some update comes."""

# Multiples of these lie evenly in 0 to 1, and so does every second multiple.
GOLDEN_RATIO = 0.5 * (5.0**0.5 - 1.0)
SILVER_RATIO = 2.0**0.5 - 1.0

TURN_IDLE_TIMES = 4.0
"""A sender stays at a receiver for so many idle times of a connection, so that most idle connections are used again."""
RECENT_MESSAGES_MS = 10000.0
"""A failure counts as recent within so long divided by the message rate: the time of ten messages."""


class ReceiverSelector:
    """Chooses receivers for messages.

    rotation_offset: this sender's place in an order of receivers that is the same at all senders.
    zone_offset: its place in the order that decides for which of its messages it stays in its own zone.
    """

    def __init__(self, settings: DispatcherSettings, sender: SenderState, breaker: CircuitBreaker) -> None:
        self.settings = settings
        self.sender = sender
        self.breaker = breaker
        self.kinds_with_own_limits = settings.kinds_with_own_limits
        self.rotation_offset = settings.sender_number * GOLDEN_RATIO % 1.0
        self.zone_offset = settings.sender_number * SILVER_RATIO % 1.0
        self.idle_ms = max(1.0, settings.idle_close_ms)

    def select(self, queue: DestinationQueue, message: Message, now: float) -> Receiver | None:
        """The receiver with fewest calls in flight, of those that may get the message now; None if none may.

        Of equals, one of this sender's zone comes first, then the one that answered last. Where hardly any of the
        sender's calls overlap, its own zone comes first only for the share of its messages that the receivers there
        are of all receivers, else a zone with more than its share; then the receiver whose turn it is: each sender
        begins at its own place in an order that is the same at all of them, and goes on by one so seldom that most
        idle connections are used again.

        That guards against receivers that all senders prefer, against few of one zone that bear all of its senders,
        and against others that stand idle, where each sender sees little of the load.
        """
        receivers = queue.destination.receivers
        free = [receiver for receiver in receivers if self.available_at(receiver, message, now) <= now]
        if len(free) < 2:
            return free[0] if free else None
        ready_count = sum(receiver.state == READY for receiver in receivers)
        arrival_rate = queue.arrival_rate(now)
        recent_since = now - max(self.idle_ms, RECENT_MESSAGES_MS / arrival_rate)
        usual_ms = self.sender.usual_ms(limits_of(free[0], self.kinds_with_own_limits).usual_call_ms)
        is_sparse = arrival_rate * usual_ms < 1000.0
        turn = now / self.idle_ms / TURN_IDLE_TIMES
        foreign_zones = self._foreign_zones(receivers, free, ready_count, is_sparse, turn)
        ranks = [self._rank(receiver, message, now, recent_since, receiver.zone in foreign_zones) for receiver in free]
        best_rank = min(ranks)
        equals = sorted(
            (receiver for receiver, rank in zip(free, ranks, strict=True) if rank == best_rank),
            key=lambda receiver: receiver.receiver_id,
        )
        if not is_sparse:  # calls that overlap spread by themselves, and whoever answered last is alive
            return max(equals, key=lambda receiver: receiver.health.good_at)
        return equals[int(self.rotation_offset * len(equals) + turn) % len(equals)]

    def available_at(self, receiver: Receiver, message: Message, now: float) -> float:
        """When this receiver may get the message as far as is known; `UNKNOWN_TIME`: some update must come first."""
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
        """The call that left at this moment and whose batch a message sent now joins; a first trial goes alone."""
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
        """Whether a retry may go to this receiver, which must know the message's idempotency key."""
        state = message.dispatch_state
        if state.executed_at is None:
            return True
        scope = self.settings.classes[message.queue_class].retry_scope
        first = state.executed_by
        if scope == RetryScope.ALL or receiver is first:
            return True
        # a zone below 0 is not known
        return scope == RetryScope.ZONE and first is not None and receiver.zone == first.zone >= 0

    def _foreign_zones(
        self, receivers: list[Receiver], free: list[Receiver], ready_count: int, is_sparse: bool, turn: float
    ) -> set[int]:
        """Zones whose receivers come last among equals, out of those with a free one."""
        zones = {receiver.zone for receiver in free}
        shares = {
            zone: self.settings.zone_count
            * sum(receiver.zone == zone for receiver in receivers if receiver.state == READY)
            for zone in zones
        }
        own_zone = self.settings.zone
        prefers_own = not is_sparse or (self.zone_offset + turn) % 1.0 * ready_count < shares.get(own_zone, 0)
        if prefers_own:
            return {zone for zone in zones if zone != own_zone}
        return {zone for zone in zones if shares[zone] <= ready_count}

    def _rank(
        self, receiver: Receiver, message: Message, now: float, recent_since: float, is_foreign: bool
    ) -> tuple[bool, bool, bool, bool, int, bool]:
        """A receiver's rank for a message; the least is best."""
        health = receiver.health
        return (
            self.open_batch(receiver, now) is None,
            self.breaker.rejected_recently(receiver, now),
            health.failed_at > max(health.good_at, recent_since),
            message.queue_class in health.failed_classes,
            health.in_flight,
            is_foreign,
        )
