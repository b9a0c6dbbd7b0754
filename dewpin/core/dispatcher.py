"""Makes all decisions of a sender: where a message goes, what follows an outcome, and how long to wait.

Create one `Dispatcher` per sender. Call `dispatch` once when a message arrives, and `next_due` whenever something has
changed: it returns the next message to call `dispatch` for, now or later. Call `record_outcome` after each attempt.
The caller writes changes of the receiver list, load reports, withdrawals and the measurements of an attempt to the
objects of `core.model` beforehand. The dispatcher reads no clock and opens no socket; all times are in milliseconds.

docs/design.md explains the mechanisms, what was changed in them, and when each exception applies.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Mapping
from heapq import heappop, heappush
from typing import Any, NamedTuple

from . import learned_state
from .call_tracker import CallTracker
from .circuit_breaker import CircuitBreaker
from .destination_limits import DestinationLimits, limits_of
from .destination_queue import DestinationQueue
from .idle_connections import should_close_idle_connections
from .key_order import KeyOrder
from .message_ranking import MessageRanking
from .message_state import MessageState, Stage
from .model import (
    NOT_EXECUTED_OUTCOMES,
    READY,
    Decision,
    Destination,
    Message,
    Outcome,
    Receiver,
)
from .outcome_recorder import OutcomeRecorder
from .random_source import RandomSource
from .rate_control import RateControl
from .receiver_health import ReceiverHealth, health_of
from .receiver_selection import UNKNOWN_TIME, ReceiverSelector
from .retry_policy import RetryPolicy
from .sender_state import SenderState
from .settings import DispatcherSettings
from .timeouts import attempt_timeout_ms
from .traffic_share import TrafficShare

SHEDDING_THRESHOLD = 0.85
"""Share of `max_pending`; above it, messages of the longest queue are shed."""
MIN_DELAY_MS = 0.01

STILL_RUNNING_OUTCOMES = frozenset((Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED))
"""After these outcomes the receiver may still be processing the message."""

HeapEntry = tuple[float, int, Message]
"""(due time, sequence number of the message, message)"""


class DispatchResult(NamedTuple):
    """The next step for a message.

    decision: SEND, NOT_YET, DEFERRED or BOUNCED.
    receiver, timeout_ms: with SEND, the receiver to call and the time-out of the attempt.
    retry_after_ms: with DEFERRED, when the client should submit the message again; 0: no suggestion.
    """

    decision: Decision
    receiver: Receiver | None = None
    timeout_ms: float = 0.0
    retry_after_ms: float = 0.0


class OutcomeResult(NamedTuple):
    """The next step after an attempt.

    decision: RELAYED, NOT_YET, DEFERRED or BOUNCED.
    retry_after_ms: as in `DispatchResult`.
    should_close_idle: whether idle connections to the receiver should be closed.
    """

    decision: Decision
    retry_after_ms: float
    should_close_idle: bool


class NextDue(NamedTuple):
    """The message to call `dispatch` for after `delay_ms`; None if no pending message becomes due as time passes."""

    delay_ms: float
    message: Message | None


NO_ACTION = DispatchResult(Decision.NOT_YET)
NOTHING_DUE = NextDue(0.0, None)


class Dispatcher:
    """Makes the decisions of one sender.

    settings: the parsed settings.
    sender: state that covers all destinations.
    queues: one per destination that has ever had a message, in the order of their first messages.
    key_order: keeps messages that share an ordering key in order.
    """

    def __init__(self, settings: Mapping[str, Any], seed: int) -> None:
        """Raise KeyError if a setting is missing or has an unknown value."""
        self.random = RandomSource(seed)
        random_sender_number = int(self.random.uniform(0.0, 1e6))
        self.settings = DispatcherSettings(settings, random_sender_number)
        self.sender = SenderState()
        self.queues: list[DestinationQueue] = []
        self.key_order = KeyOrder(self.settings)
        traffic = TrafficShare(self.settings)
        self.breaker = CircuitBreaker(self.settings, self.random, self.sender, traffic)
        self.rates = RateControl(self.random, traffic)
        self.selector = ReceiverSelector(self.settings, self.sender, self.breaker)
        self.calls = CallTracker(self.settings, self.random, self.sender, traffic, self.selector)
        self.outcomes = OutcomeRecorder(self.settings, self.random, self.sender, self.breaker, self.rates)
        self.retry_policy = RetryPolicy(self.settings, self.random)
        self.ranking = MessageRanking(self.settings, self.sender, self.retry_policy)
        self._message_count = self._queue_count = 0
        # Sorted by `sequence`. Empty queues are not included, so that they add nothing to the cost of an event.
        self._waiting_queues: list[DestinationQueue] = []
        self._paused: list[HeapEntry] = []
        self._give_ups: list[HeapEntry] = []

    # -- message life cycle --------------------------------------------------------------------------------------------

    def dispatch(self, message: Message, now: float) -> DispatchResult:
        """Process a message from its arrival up to its next attempt."""
        state = message.dispatch_state
        if state is None:
            self._admit(message, now)
            return NO_ACTION
        stage = state.stage
        if stage is Stage.IN_FLIGHT or stage is Stage.FINISHED:
            return NO_ACTION
        if message.is_withdrawn or state.is_shed or now >= self.retry_policy.give_up_at(message):
            return self._give_up(message, now)
        if stage is Stage.PAUSED and now >= state.due_at:
            self._enqueue(message)
        queue = message.destination.queue
        if state.stage is not Stage.QUEUED or self.ranking.next_message(queue, now) is not message:
            return NO_ACTION
        receiver = self.selector.select(queue, message, now)
        if receiver is None:
            return NO_ACTION
        timeout_ms = attempt_timeout_ms(self.limits_of(receiver), message, self.sender, self.settings)
        time_left_ms = message.expires_at - now - self.settings.tick_ms
        self._dequeue(message)
        self.calls.start(message, receiver, now)
        return DispatchResult(Decision.SEND, receiver, min(timeout_ms, time_left_ms))

    def last_byte_within_ms(self, message: Message, receiver: Receiver, now: float) -> float:
        """Return within how many ms the last byte of an attempt must be sent; called right before the first byte.

        0 means that the message must not be sent. This covers a connection that is established long after the receiver
        was selected: by then the retry window may have ended, the receiver may be draining, or a retry-after may apply.
        """
        if receiver.state != READY or now < self.limits_of(receiver).retry_after_until:
            return 0.0
        return max(0.0, self.retry_policy.last_byte_at(message) - now)

    def record_outcome(self, message: Message, outcome: Outcome, now: float) -> OutcomeResult:
        """Record the outcome of an attempt, classify it, and then decide whether the message is retried."""
        state = message.dispatch_state
        call = state.call
        assert call is not None  # it is in flight
        self.outcomes.record(message, call, outcome, now)
        self.calls.end(message, call, now)
        state.stage, state.settled_at = Stage.SETTLED, now
        if outcome not in NOT_EXECUTED_OUTCOMES and state.executed_at is None:
            state.executed_at, state.executed_by = call.sent_at, call.receiver
            self._schedule_give_up(message)  # the retry window may end before the lifetime
        if outcome in STILL_RUNNING_OUTCOMES:
            self.key_order.begin_gap(message, now)
        classification = None if message.is_withdrawn else self.retry_policy.classify(message, outcome, now)
        if classification and classification.decision == Decision.NOT_YET:
            self._pause_until(message, now + classification.pause_ms)
            return OutcomeResult(Decision.NOT_YET, 0.0, self.should_close_idle(call.receiver, now))
        decision = classification.decision if classification else self.retry_policy.ending(message)
        retry_after_ms = self._finish(message, decision, now)
        return OutcomeResult(decision, retry_after_ms, self.should_close_idle(call.receiver, now))

    def adopt_attempt(self, message: Message, receiver: Receiver, sent_at: float, now: float) -> None:
        """Take over an attempt in flight that the previous process started."""
        state = message.dispatch_state
        if state.stage is Stage.QUEUED:
            self._dequeue(message)
        self.calls.start(message, receiver, now).sent_at = sent_at

    # -- timing --------------------------------------------------------------------------------------------------------

    def next_due(self, now: float) -> NextDue:
        """Return the message to call `dispatch` for next, and the delay in ms."""
        message = self._resume_paused(now) or self._next_to_give_up(now) or self._next_to_shed(now)
        return NextDue(0.0, message) if message else self._next_sendable(now)

    def _resume_paused(self, now: float) -> Message | None:
        """Enqueue messages whose pause is over; return the first of them that was withdrawn in the meantime."""
        while self._paused and self._paused[0][0] <= now:
            message = heappop(self._paused)[2]
            state = message.dispatch_state
            if state.stage is Stage.PAUSED and state.due_at <= now:
                if message.is_withdrawn:
                    return message
                self._enqueue(message)
        return None

    def _next_to_give_up(self, now: float) -> Message | None:
        heap = self._give_ups
        while heap and (heap[0][0] <= now or heap[0][2].dispatch_state.stage is Stage.FINISHED):
            _, sequence, message = heappop(heap)
            stage = message.dispatch_state.stage
            if stage is Stage.IN_FLIGHT or stage is Stage.FINISHED:
                continue
            give_up_at = self.retry_policy.give_up_at(message)
            if now >= give_up_at:
                return message
            heappush(heap, (give_up_at, sequence, message))
        return None

    def _next_to_shed(self, now: float) -> Message | None:
        """Return a message to shed so that messages for other destinations can still be accepted."""
        if not self._waiting_queues or self.sender.pending_messages <= SHEDDING_THRESHOLD * self.settings.max_pending:
            return None
        message = self.ranking.least_valuable(self._waiting_queues, now)
        if message:
            message.dispatch_state.is_shed = True
        return message

    def _next_sendable(self, now: float) -> NextDue:
        """Return the next message of the queue with the least recent slot time among those that can send one now.

        If none can, return the message that becomes due first.
        """
        next_entries = [heap[0] for heap in (self._give_ups, self._paused) if heap]
        earliest = min(next_entries, key=lambda entry: entry[0], default=None)
        next_queue, next_message = None, None
        available_at = self.selector.available_at
        for queue in self._waiting_queues:
            message = self.ranking.next_message(queue, now)
            assert message is not None  # the queue is not empty
            if message.is_withdrawn:
                return NextDue(0.0, message)
            at = min(
                [available_at(receiver, message, now) for receiver in queue.destination.receivers],
                default=UNKNOWN_TIME,
            )
            if at > now:
                if at < UNKNOWN_TIME and (earliest is None or at < earliest[0]):
                    earliest = at, 0, message
            elif next_queue is None or queue.recent_slot_time(now) < next_queue.recent_slot_time(now):
                next_queue, next_message = queue, message
        if next_message:
            return NextDue(0.0, next_message)
        return NextDue(max(MIN_DELAY_MS, earliest[0] - now), earliest[2]) if earliest else NOTHING_DUE

    # -- admission -----------------------------------------------------------------------------------------------------

    def first_submitted_at(self, queue_class: int, time_left_ms: float, is_resubmission: bool, now: float) -> float:
        """Estimate when a message was first submitted; the age of a resubmission is the elapsed part of its lifetime.

        Otherwise resubmissions would be treated as new messages, and during an overload they make up most of a queue.
        Where clients mark resubmissions, an unmarked message with little time left is a new one with a short deadline.
        """
        if not is_resubmission and self.settings.clients_mark_retries:
            return now
        age_ms = self.settings.classes[queue_class].lifetime_ms - time_left_ms
        return now - max(0.0, age_ms)

    def retry_after_ms(self, destination: Destination, now: float) -> float:
        """Return when a client should resubmit a message that was deferred or not accepted; 0: no suggestion."""
        if not self.settings.suggests_retry_after:
            return 0.0
        limits = [self.limits_of(receiver) for receiver in destination.receivers if receiver.state == READY]
        requested_wait_ms = max((limit.retry_after_until - now for limit in limits), default=0.0)
        return self.retry_policy.suggested_retry_after_ms(requested_wait_ms)

    # -- state of destinations and receivers ---------------------------------------------------------------------------

    @property
    def pending_messages(self) -> int:
        """Number of messages that were accepted and are not finished."""
        return self.sender.pending_messages

    @property
    def calls_in_flight(self) -> int:
        """Number of calls in flight; each occupies a slot."""
        return self.sender.calls_in_flight

    @property
    def ejected_receivers(self) -> set[Receiver]:
        """The receivers whose circuit breaker is open."""
        return self.sender.ejected_receivers

    def limits_of(self, receiver: Receiver) -> DestinationLimits:
        """Return the rate and concurrency limits that apply to a receiver."""
        return limits_of(receiver, self.settings.kinds_with_own_limits)

    def health_of(self, receiver: Receiver) -> ReceiverHealth:
        """Return the health record of a receiver."""
        return health_of(receiver)

    def queue_of(self, destination: Destination) -> DestinationQueue:
        """Return the queue of a destination; create it if needed."""
        queue = destination.queue
        if queue is None:
            self._queue_count += 1
            started_at = self.sender.started_at or 0.0  # None: a restored value replaces 0.0
            queue = DestinationQueue(destination, self._queue_count, len(self.settings.classes), started_at)
            destination.queue = queue
            self.queues.append(queue)
        return queue

    def should_close_idle(self, receiver: Receiver, now: float) -> bool:
        """Return whether idle connections to a receiver should be closed."""
        return should_close_idle_connections(receiver, now, self.sender, self.ranking, self.selector)

    def forget_receiver(self, receiver: Receiver) -> None:
        """Drop the state of a receiver that has been removed permanently."""
        self.sender.ejected_receivers.discard(receiver)

    def forget_queue(self, queue: DestinationQueue) -> None:
        """Drop the queue of a destination that has no receivers, messages or calls."""
        self.queues.remove(queue)

    # -- hand-over to the next process ---------------------------------------------------------------------------------

    def export_sender_state(self) -> dict[str, Any]:
        """Export the state that covers all destinations, as plain values under the names in the hand-over file."""
        return learned_state.export_sender(self.sender, self.key_order)

    def export_destination_state(self, destination: Destination) -> tuple[dict[str, Any] | None, dict[str, Any] | None]:
        """Export the queue and the limits of a destination in the same format."""
        return learned_state.export_queue(destination.queue), learned_state.export_limits(destination.limits)

    def export_receiver_state(self, receiver: Receiver) -> tuple[dict[str, Any] | None, dict[str, Any] | None]:
        """Export the health and the own limits of a receiver in the same format."""
        return learned_state.export_health(receiver.health), learned_state.export_limits(receiver.limits)

    def restore_sender_state(self, exported: Mapping[str, Any]) -> None:
        """Restore the result of `export_sender_state`; existing messages and calls are kept."""
        learned_state.restore_sender(self.sender, self.key_order, exported)

    def restore_destination_state(
        self, destination: Destination, queue: Mapping[str, Any] | None, limits: Mapping[str, Any] | None
    ) -> None:
        """Restore the result of `export_destination_state`."""
        if queue is not None:
            learned_state.restore_queue(self.queue_of(destination), queue)
        if limits is not None:
            learned_state.restore_limits(destination, limits)

    def restore_receiver_state(
        self, receiver: Receiver, health: Mapping[str, Any] | None, limits: Mapping[str, Any] | None
    ) -> None:
        """Restore the result of `export_receiver_state`."""
        if health is not None:
            learned_state.restore_health(health_of(receiver), health)
            if receiver.health.slow_start:
                self.sender.ejected_receivers.add(receiver)
        if limits is not None:
            learned_state.restore_limits(receiver, limits)

    # -- queues, pauses and finished messages --------------------------------------------------------------------------

    def _admit(self, message: Message, now: float) -> None:
        self._message_count += 1
        if self.sender.started_at is None:
            self.sender.started_at = now
        self.sender.pending_messages += 1
        target_ms = self.settings.classes[message.queue_class].target_ms
        target_at = min(message.arrived_at + target_ms, message.expires_at)
        state = message.dispatch_state = MessageState(self._message_count, target_at, message.prior_attempts)
        self.queue_of(message.destination).arrivals.add(now)
        self._schedule_give_up(message)
        if not self.key_order.is_ordered(message):
            self._enqueue(message)
            return
        state.stage = Stage.AWAITING_TURN
        if self.key_order.add(message):
            self._pause_until(message, self.key_order.next_allowed_at(message, now))
        if state.executed_at is not None:  # its call may have been in flight until the previous process ended
            self.key_order.begin_gap(message, now)

    def _give_up(self, message: Message, now: float) -> DispatchResult:
        decision = self.retry_policy.ending(message)
        return DispatchResult(decision, retry_after_ms=self._finish(message, decision, now))

    def _finish(self, message: Message, decision: Decision, now: float) -> float:
        """Finish a message; return the ms after which its client should resubmit it, 0 without a suggestion."""
        state = message.dispatch_state
        if state.stage is Stage.QUEUED:
            self._dequeue(message)
        state.stage = Stage.FINISHED
        self.sender.pending_messages -= 1
        successor = self.key_order.remove(message)
        if successor:
            self._pause_until(successor, self.key_order.next_allowed_at(successor, now))
        return self.retry_after_ms(message.destination, now) if decision == Decision.DEFERRED else 0.0

    def _enqueue(self, message: Message) -> None:
        message.dispatch_state.stage = Stage.QUEUED
        queue = message.destination.queue
        queue.add(message)
        if queue.waiting == 1:
            insort(self._waiting_queues, queue, key=lambda waiting_queue: waiting_queue.sequence)

    def _dequeue(self, message: Message) -> None:
        queue = message.destination.queue
        if queue.remove(message) and queue.waiting == 0:
            self._waiting_queues.remove(queue)

    def _pause_until(self, message: Message, due_at: float) -> None:
        state = message.dispatch_state
        state.stage, state.due_at = Stage.PAUSED, due_at
        heappush(self._paused, (due_at, state.sequence, message))

    def _schedule_give_up(self, message: Message) -> None:
        entry = self.retry_policy.give_up_at(message), message.dispatch_state.sequence, message
        heappush(self._give_ups, entry)
