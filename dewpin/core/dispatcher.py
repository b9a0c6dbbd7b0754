"""All decisions of a sender: where a message goes, what follows an outcome, and how long to wait.

Make one `Dispatcher` for each sender. Call `dispatch` once when a message comes in, and `next_due` whenever something
has changed: it names the next message to call `dispatch` for, now or later. Call `record_outcome` after each attempt.
Whoever drives the dispatcher writes changes of the receiver list, load reports, withdrawals and the measurements of an
attempt onto the objects of `core.model` beforehand. It reads no clock and opens no socket; all times are milliseconds.

docs/design.md explains the mechanisms, what was changed in them, and when each exception acts.
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

SHEDDING_SHARE = 0.85
"""Of the messages that may be pending; above it the longest queue gives some up."""
SHORTEST_DELAY_MS = 0.01

STILL_RUNNING_OUTCOMES = frozenset((Outcome.TIMED_OUT, Outcome.RESET, Outcome.CANCELLED))
"""After these a receiver may still be at work on the message."""

HeapEntry = tuple[float, int, Message]
"""(when it is due, the message's sequence, the message)"""


class DispatchResult(NamedTuple):
    """What happens to a message now.

    decision: SEND, NOT_YET, DEFERRED or BOUNCED.
    receiver, timeout_ms: with SEND, where it goes and how long the attempt may take.
    retry_after_ms: with DEFERRED, when its client should submit it again; 0: no advice.
    """

    decision: Decision
    receiver: Receiver | None = None
    timeout_ms: float = 0.0
    retry_after_ms: float = 0.0


class OutcomeResult(NamedTuple):
    """What follows the outcome of an attempt.

    decision: RELAYED, NOT_YET, DEFERRED or BOUNCED.
    retry_after_ms: as in `DispatchResult`.
    should_close_idle: idle connections to the receiver should close.
    """

    decision: Decision
    retry_after_ms: float
    should_close_idle: bool


class NextDue(NamedTuple):
    """The message to call `dispatch` for after `delay_ms`; None: no message is pending that time alone moves on."""

    delay_ms: float
    message: Message | None


NOTHING_YET = DispatchResult(Decision.NOT_YET)
NOTHING_DUE = NextDue(0.0, None)


class Dispatcher:
    """The decisions of one sender.

    settings: as `DispatcherSettings` reads them.
    sender: what is known and held over all destinations.
    queues: one for each destination that ever had a message, in the order of their first messages.
    key_order: the order of messages that share an ordering key.
    """

    def __init__(self, settings: Mapping[str, Any], seed: int) -> None:
        """Raises KeyError if a setting is missing or has an unknown value."""
        self.random = RandomSource(seed)
        drawn_number = int(self.random.uniform(0.0, 1e6))
        self.settings = DispatcherSettings(settings, drawn_number)
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
        self._messages_seen = self._queues_opened = 0
        self._waiting_queues: list[DestinationQueue] = []  # in order of `sequence`: an event costs what it touches
        self._paused: list[HeapEntry] = []
        self._give_ups: list[HeapEntry] = []

    # -- the life of a message ----------------------------------------------------------------------------------------

    def dispatch(self, message: Message, now: float) -> DispatchResult:
        """The ordinary path of a message, from its arrival to its next attempt."""
        state = message.dispatch_state
        if state is None:
            self._take_in(message, now)
            return NOTHING_YET
        stage = state.stage
        if stage is Stage.IN_FLIGHT or stage is Stage.FINISHED:
            return NOTHING_YET
        if message.is_withdrawn or state.is_shed or now >= self.retry_policy.give_up_at(message):
            return self._give_up(message, now)
        if stage is Stage.PAUSED and now >= state.due_at:
            self._enqueue(message)
        queue = message.destination.queue
        if state.stage is not Stage.QUEUED or self.ranking.next_message(queue, now) is not message:
            return NOTHING_YET
        receiver = self.selector.select(queue, message, now)
        if receiver is None:
            return NOTHING_YET
        timeout_ms = attempt_timeout_ms(self.limits_of(receiver), message, self.sender, self.settings)
        time_left_ms = message.expires_at - now - self.settings.tick_ms
        self._dequeue(message)
        self.calls.start(message, receiver, now)
        return DispatchResult(Decision.SEND, receiver, min(timeout_ms, time_left_ms))

    def last_byte_within_ms(self, message: Message, receiver: Receiver, now: float) -> float:
        """How soon the last byte of a message that is to be sent must leave; asked right before its first.

        0: it must not be sent. That guards against a connection that comes up long after the choice: the window for a
        retry may be over by then, the receiver may drain, or a wait may have been asked for.
        """
        if receiver.state != READY or now < self.limits_of(receiver).retry_after_until:
            return 0.0
        return max(0.0, self.retry_policy.last_byte_at(message) - now)

    def record_outcome(self, message: Message, outcome: Outcome, now: float) -> OutcomeResult:
        """What follows the outcome of an attempt: it is classified first and only then retried."""
        state = message.dispatch_state
        call = state.call
        assert call is not None  # it is in flight
        self.outcomes.record(message, call, outcome, now)
        self.calls.end(message, call, now)
        state.stage, state.settled_at = Stage.SETTLED, now
        if outcome not in NOT_EXECUTED_OUTCOMES and state.executed_at is None:
            state.executed_at, state.executed_by = call.sent_at, call.receiver
            self._watch_give_up(message)  # its retry window may end first
        if outcome in STILL_RUNNING_OUTCOMES:
            self.key_order.begin_gap(message, now)
        verdict = None if message.is_withdrawn else self.retry_policy.classify(message, outcome, now)
        if verdict and verdict.decision == Decision.NOT_YET:
            self._pause_until(message, now + verdict.pause_ms)
            return OutcomeResult(Decision.NOT_YET, 0.0, self.should_close_idle(call.receiver, now))
        decision = verdict.decision if verdict else self.retry_policy.ending(message)
        retry_after_ms = self._finish(message, decision, now)
        return OutcomeResult(decision, retry_after_ms, self.should_close_idle(call.receiver, now))

    def adopt_attempt(self, message: Message, receiver: Receiver, sent_at: float, now: float) -> None:
        """Takes over an attempt in flight that the process before this one made."""
        state = message.dispatch_state
        if state.stage is Stage.QUEUED:
            self._dequeue(message)
        self.calls.start(message, receiver, now).sent_at = sent_at

    # -- time ---------------------------------------------------------------------------------------------------------

    def next_due(self, now: float) -> NextDue:
        """The message to call `dispatch` for next, and after how many ms."""
        message = self._wake_paused(now) or self._next_to_give_up(now) or self._next_to_shed(now)
        return NextDue(0.0, message) if message else self._next_sendable(now)

    def _wake_paused(self, now: float) -> Message | None:
        """Puts messages in line whose pause is over; gives one that was withdrawn meanwhile."""
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
        """A message that is given up to keep room for those of other destinations."""
        if not self._waiting_queues or self.sender.pending_messages <= SHEDDING_SHARE * self.settings.max_pending:
            return None
        message = self.ranking.least_valuable(self._waiting_queues, now)
        if message:
            message.dispatch_state.is_shed = True
        return message

    def _next_sendable(self, now: float) -> NextDue:
        """Of the queues with a message that can be sent now, the one that used least slot time lately goes next."""
        heads = [heap[0] for heap in (self._give_ups, self._paused) if heap]
        soonest = min(heads, key=lambda entry: entry[0], default=None)
        next_queue, next_message = None, None
        available_at = self.selector.available_at
        for queue in self._waiting_queues:
            message = self.ranking.next_message(queue, now)
            assert message is not None  # messages wait in it
            if message.is_withdrawn:
                return NextDue(0.0, message)
            at = min(
                [available_at(receiver, message, now) for receiver in queue.destination.receivers],
                default=UNKNOWN_TIME,
            )
            if at > now:
                if at < UNKNOWN_TIME and (soonest is None or at < soonest[0]):
                    soonest = at, 0, message
            elif next_queue is None or queue.recent_slot_time(now) < next_queue.recent_slot_time(now):
                next_queue, next_message = queue, message
        if next_message:
            return NextDue(0.0, next_message)
        return NextDue(max(SHORTEST_DELAY_MS, soonest[0] - now), soonest[2]) if soonest else NOTHING_DUE

    # -- admission ----------------------------------------------------------------------------------------------------

    def first_submitted_at(self, queue_class: int, time_left_ms: float, is_resubmitted: bool, now: float) -> float:
        """When a message was submitted first: if it comes again, what it lacks of its lifetime is its age.

        It guards against messages that come again and are taken for new: in an overload they are most of a queue.
        Where clients mark them, an unmarked one with little time left is a hurried new one.
        """
        if not is_resubmitted and self.settings.clients_mark_retries:
            return now
        age_ms = self.settings.classes[queue_class].lifetime_ms - time_left_ms
        return now - max(0.0, age_ms)

    def retry_after_ms(self, destination: Destination, now: float) -> float:
        """When a client should submit a message again that was deferred or for which there is no room; 0: no advice."""
        if not self.settings.suggests_retry_after:
            return 0.0
        limits = [self.limits_of(receiver) for receiver in destination.receivers if receiver.state == READY]
        asked_wait_ms = max((one.retry_after_until - now for one in limits), default=0.0)
        return self.retry_policy.client_retry_after_ms(asked_wait_ms)

    # -- what is known of destinations and receivers ------------------------------------------------------------------

    @property
    def pending_messages(self) -> int:
        """Messages that were taken in and are not done with yet."""
        return self.sender.pending_messages

    @property
    def calls_in_flight(self) -> int:
        """Calls that take a slot."""
        return self.sender.calls_in_flight

    @property
    def ejected_receivers(self) -> set[Receiver]:
        """Receivers whose circuit breaker is open."""
        return self.sender.ejected_receivers

    def limits_of(self, receiver: Receiver) -> DestinationLimits:
        """The rate and concurrency limits that hold for a receiver."""
        return limits_of(receiver, self.settings.kinds_with_own_limits)

    def health_of(self, receiver: Receiver) -> ReceiverHealth:
        """The recent history of a receiver."""
        return health_of(receiver)

    def queue_of(self, destination: Destination) -> DestinationQueue:
        """The queue of a destination, opened if it has none yet."""
        queue = destination.queue
        if queue is None:
            self._queues_opened += 1
            started_at = self.sender.started_at or 0.0  # none yet: the queue's own is about to be restored
            queue = DestinationQueue(destination, self._queues_opened, len(self.settings.classes), started_at)
            destination.queue = queue
            self.queues.append(queue)
        return queue

    def should_close_idle(self, receiver: Receiver, now: float) -> bool:
        """Whether idle connections to a receiver should close."""
        return should_close_idle_connections(receiver, now, self.sender, self.ranking, self.selector)

    def forget_receiver(self, receiver: Receiver) -> None:
        """A receiver that is gone for good."""
        self.sender.ejected_receivers.discard(receiver)

    def forget_queue(self, queue: DestinationQueue) -> None:
        """The queue of a destination without receivers, messages and calls."""
        self.queues.remove(queue)

    # -- hand-over to the next process --------------------------------------------------------------------------------

    def export_sender_state(self) -> dict[str, Any]:
        """What is known over all destinations, as plain values in the spelling of the hand-over."""
        return learned_state.export_sender(self.sender, self.key_order)

    def export_destination_state(self, destination: Destination) -> tuple[dict[str, Any] | None, dict[str, Any] | None]:
        """Queue and limits of a destination, likewise."""
        return learned_state.export_queue(destination.queue), learned_state.export_limits(destination.limits)

    def export_receiver_state(self, receiver: Receiver) -> tuple[dict[str, Any] | None, dict[str, Any] | None]:
        """Health and own limits of a receiver, likewise."""
        return learned_state.export_health(receiver.health), learned_state.export_limits(receiver.limits)

    def restore_sender_state(self, held: Mapping[str, Any]) -> None:
        """Puts what `export_sender_state` gave in force, beside the messages and calls that are there already."""
        learned_state.restore_sender(self.sender, self.key_order, held)

    def restore_destination_state(
        self, destination: Destination, queue: Mapping[str, Any] | None, limits: Mapping[str, Any] | None
    ) -> None:
        """Puts what `export_destination_state` gave in force."""
        if queue is not None:
            learned_state.restore_queue(self.queue_of(destination), queue)
        if limits is not None:
            learned_state.restore_limits(destination, limits)

    def restore_receiver_state(
        self, receiver: Receiver, health: Mapping[str, Any] | None, limits: Mapping[str, Any] | None
    ) -> None:
        """Puts what `export_receiver_state` gave in force."""
        if health is not None:
            learned_state.restore_health(health_of(receiver), health)
            if receiver.health.slow_start:
                self.sender.ejected_receivers.add(receiver)
        if limits is not None:
            learned_state.restore_limits(receiver, limits)

    # -- queues, pauses and ends --------------------------------------------------------------------------------------

    def _take_in(self, message: Message, now: float) -> None:
        self._messages_seen += 1
        if self.sender.started_at is None:
            self.sender.started_at = now
        self.sender.pending_messages += 1
        target_ms = self.settings.classes[message.queue_class].target_ms
        target_at = min(message.arrived_at + target_ms, message.expires_at)
        state = message.dispatch_state = MessageState(self._messages_seen, target_at, message.prior_attempts)
        self.queue_of(message.destination).arrivals.add(now)
        self._watch_give_up(message)
        if not self.key_order.is_ordered(message):
            self._enqueue(message)
            return
        state.stage = Stage.AWAITING_TURN
        if self.key_order.add(message):
            self._pause_until(message, self.key_order.next_allowed_at(message, now))
        if state.executed_at is not None:  # its call may have been in flight until the process before this one ended
            self.key_order.begin_gap(message, now)

    def _give_up(self, message: Message, now: float) -> DispatchResult:
        decision = self.retry_policy.ending(message)
        return DispatchResult(decision, retry_after_ms=self._finish(message, decision, now))

    def _finish(self, message: Message, decision: Decision, now: float) -> float:
        """Ends a message; gives the ms after which its client should submit it again, 0 without such advice."""
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
            insort(self._waiting_queues, queue, key=lambda one: one.sequence)

    def _dequeue(self, message: Message) -> None:
        queue = message.destination.queue
        if queue.remove(message) and queue.waiting == 0:
            self._waiting_queues.remove(queue)

    def _pause_until(self, message: Message, due_at: float) -> None:
        state = message.dispatch_state
        state.stage, state.due_at = Stage.PAUSED, due_at
        heappush(self._paused, (due_at, state.sequence, message))

    def _watch_give_up(self, message: Message) -> None:
        entry = self.retry_policy.give_up_at(message), message.dispatch_state.sequence, message
        heappush(self._give_ups, entry)
