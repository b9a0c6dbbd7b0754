"""The dispatcher as the relay asks it: what is due, what to do with it, and what follows from a result.

The facade owns the dispatcher, its messages and the receivers that endpoint lists have named. It maps names on the wire
to the dispatcher's objects and back. It keeps no timer, opens no socket and decides nothing.
"""

from collections.abc import Mapping, Sequence
from typing import Any, cast

import msgspec

from ..core.dispatcher import Dispatcher
from ..core.model import (
    LOAD_REPORT_FIELDS,
    NOT_EXECUTED_OUTCOMES,
    Decision,
    Destination,
    Message,
    Outcome,
    PriorAttempts,
    Receiver,
    ReceiverState,
)
from ..ports import Address, AttemptResult, EndpointEntry
from ..spool.records import MessageRecord

MAX_GONE_RECEIVERS = 200
"""Receivers that are gone and still remembered."""
UNKNOWN_ZONE = -1


class Send(msgspec.Struct, frozen=True):
    """The dispatcher's decision to make an attempt now."""

    record: MessageRecord
    receiver: Receiver
    timeout_ms: float


class GiveUp(msgspec.Struct, frozen=True):
    """The dispatcher's decision to give a message up. `ending`: deferred or bounced."""

    record: MessageRecord
    ending: Decision
    retry_after_ms: float


class FollowUp(msgspec.Struct, frozen=True):
    """What follows from an attempt's result. `ending`: None where the message stays queued. `closes_idle_connections`:
    those to the receiver are to be closed."""

    ending: Decision | None
    retry_after_ms: float
    closes_idle_connections: bool


class Facade:
    """The dispatcher with the names of one sender's settings.

    `queue_class_indexes`: the dispatcher's number of each queue class. `longest_lifetime_ms`: of any queue class.
    `max_messages`: how many the dispatcher may hold. `receivers` and `destinations`: those that lists have named, by
    id. `detached_receivers`: the receivers that operators detached, each with the state that the list says.
    `listed_count`: receivers that the list names and that are not gone.

    Raises KeyError, TypeError or ValueError for settings that lack what the dispatcher needs."""

    def __init__(self, settings: Mapping[str, Any], seed: int) -> None:
        self.dispatcher = Dispatcher(settings, seed)
        self.queue_class_indexes = _indexes_by_name(settings["Services"])
        self.lifetimes_ms: list[float] = [service["Deadline"] for service in settings["Services"]]
        self.longest_lifetime_ms = max(self.lifetimes_ms)
        self._account_indexes = _indexes_by_name(settings.get("Accounts") or ())
        self.zone_indexes = {name: index for index, name in enumerate(settings.get("Zones") or ())}
        self.kind_indexes = {name: index for index, name in enumerate(settings.get("Kinds") or ())}
        self.max_messages: int = settings["Allowed"]["MaxOpen"]
        self.receivers: dict[bytes, Receiver] = {}
        self.detached_receivers: dict[bytes, str] = {}
        self.listed_count = 0
        self.destinations: dict[int, Destination] = {}
        self._due_message: Message | None = None

    # -- what is due ------------------------------------------------------------------------------------------

    def time_until_due_ms(self, now_ms: float) -> float | None:
        """Ms until something is due: 0 if it is now, None if there is no message."""
        wait_ms, self._due_message = self.dispatcher.next_due(now_ms)
        return None if self._due_message is None else wait_ms

    def decide_due(self, now_ms: float) -> Send | GiveUp | None:
        """What happens to the message that is due now; None if it stays queued."""
        message = self._due_message
        assert message is not None
        result = self.dispatcher.dispatch(message, now_ms)
        if result.decision == Decision.NOT_YET:
            return None
        if result.receiver:
            return Send(message.message_id, result.receiver, result.timeout_ms)
        return GiveUp(message.message_id, result.decision, result.retry_after_ms)

    def report_result(self, record: MessageRecord, result: AttemptResult, now_ms: float) -> FollowUp:
        """Reports an attempt's result; what follows from it."""
        message: Message = record.message
        message.retry_after_ms, message.duration_ms = result.retry_after_ms, result.duration_ms
        message.is_withdrawn = message.is_withdrawn or result.is_withdrawn
        if result.load_report:
            call = message.dispatch_state.call
            assert call is not None  # it is in flight
            call.receiver.load_report = {
                LOAD_REPORT_FIELDS.get(name, name): value for name, value in result.load_report.items()
            }
        decision, retry_after_ms, closes_idle_connections = self.dispatcher.record_outcome(
            message, cast(Outcome, result.outcome), now_ms
        )
        if result.is_withdrawn:
            decision = Decision.RELAYED  # nothing is owed
        ending = None if decision == Decision.NOT_YET else decision
        return FollowUp(ending, retry_after_ms, closes_idle_connections)

    def backoff_ms(self, record: MessageRecord, now_ms: float) -> float:
        """How long a message still waits for its retry."""
        message = record.message
        return max(0.0, message.dispatch_state.due_at - now_ms) if message and message.dispatch_state else 0.0

    # -- messages ---------------------------------------------------------------------------------------------

    def is_known_class(self, queue_class: bytes, account: bytes) -> bool:
        """Whether the settings name this queue class and, where they name accounts, this account."""
        return queue_class in self.queue_class_indexes and (
            not self._account_indexes or account in self._account_indexes
        )

    def overload_retry_after_ms(self, destination: bytes, now_ms: float) -> float | None:
        """The retry-after where no more messages may be held, or none for a destination that no list names; else
        None."""
        known = self.destinations.get(int(destination))
        if known and known.receivers and self.dispatcher.pending_messages < self.max_messages:
            return None
        return self.dispatcher.retry_after_ms(known or Destination(None), now_ms)

    def lifetime_ms(self, queue_class: bytes) -> float:
        """How long a message of this class lasts, at most."""
        return self.lifetimes_ms[self.queue_class_indexes[queue_class]]

    def first_submitted_at_ms(
        self, queue_class: bytes, remaining_ms: float, is_resubmission: bool, now_ms: float
    ) -> float:
        """When the message was submitted first, to this sender or to another one, as far as can be told."""
        index = self.queue_class_indexes[queue_class]
        return self.dispatcher.first_submitted_at(index, remaining_ms, is_resubmission, now_ms)

    def may_have_executed(self, outcome: str) -> bool:
        """Whether the receiver may have executed a message after this outcome."""
        return outcome not in NOT_EXECUTED_OUTCOMES

    def send_window_ms(self, record: MessageRecord, receiver: Receiver, now_ms: float) -> float:
        """Ms within which the last byte of an attempt may leave; 0: none of it may."""
        return self.dispatcher.last_byte_within_ms(record.message, receiver, now_ms)

    def add_message(self, record: MessageRecord, now_ms: float) -> None:
        """Gives an accepted message to the dispatcher."""
        destination = self.destination(int(record.destination))
        executed = record.possibly_executed
        executed_by = None if executed is None else self._receiver(executed.receiver, destination)
        executed_at_ms = None if executed is None else executed.sent_at_ms
        record.message = Message(
            record,
            destination,
            record.arrived_at_ms,
            record.expires_at_ms,
            self.queue_class_indexes[record.queue_class],
            self._account_indexes.get(record.account, 0),
            record.ordering_key or 0,
            PriorAttempts(record.attempts, executed_at_ms, executed_by),
        )
        self.dispatcher.dispatch(record.message, now_ms)

    def adopt_attempt(self, record: MessageRecord, now_ms: float) -> Receiver:
        """Gives a message to the dispatcher whose attempt the previous process has in flight; its receiver."""
        assert record.in_flight is not None
        attempt = record.in_flight
        receiver = self._receiver(attempt.receiver, self.destination(int(record.destination)))
        record.attempts -= 1  # the one in flight is counted when the dispatcher adopts it
        self.add_message(record, now_ms)
        record.attempts += 1
        self.dispatcher.adopt_attempt(record.message, receiver, attempt.sent_at_ms, now_ms)
        return receiver

    def forget_message(self, record: MessageRecord) -> None:
        """Separates an ended message from its record: the dispatcher may hold the message until its lifetime is over.

        Guards against memory that only a full collection gives back."""
        if record.message:
            record.message.message_id = record.message = None

    # -- receivers --------------------------------------------------------------------------------------------

    def update_endpoints(self, entries: Sequence[EndpointEntry | tuple[Any, ...]], is_complete: bool) -> list[Address]:
        """Takes an update of the endpoint list; the addresses that no new attempts go to."""
        named_ids: set[bytes] = set()
        unused: list[Address] = []
        for entry in entries:
            receiver_id = entry[0]
            named_ids.add(receiver_id)
            if entry[2] == ReceiverState.GONE and receiver_id not in self.receivers:
                continue
            if replaced_address := self._apply_entry(entry):
                unused.append(replaced_address)
        if is_complete:
            for receiver_id, receiver in self.receivers.items():
                if receiver_id not in named_ids:
                    self._set_listed_state(receiver, ReceiverState.GONE)
        gone = [receiver for receiver in self.receivers.values() if receiver.state == ReceiverState.GONE]
        self.listed_count = len(self.receivers) - len(gone)
        for receiver in gone[:-MAX_GONE_RECEIVERS]:
            self._forget_receiver(self.receivers.pop(receiver.receiver_id))
        receivers = self.receivers.values()
        ready = {receiver.address for receiver in receivers if receiver.state == ReceiverState.READY}
        unused += [receiver.address for receiver in receivers]
        return [address for address in unused if address and address not in ready]

    def addresses_under_same_limits(self, receiver: Receiver) -> list[Address]:
        """The addresses of the receivers that a retry-after of this one holds for."""
        limits_of = self.dispatcher.limits_of
        limits = limits_of(receiver)
        receivers = receiver.destination.receivers
        return [one.address for one in receivers if one.address and limits_of(one) is limits]

    def is_known_receiver(self, receiver_id: bytes) -> bool:
        """Whether an endpoint list or an operator has named this receiver."""
        return receiver_id in self.receivers or receiver_id in self.detached_receivers

    def detach(self, receiver_id: bytes) -> Address | None:
        """Operators detach a receiver: from now on it counts as draining, whatever the list says. Its address, if it
        has one."""
        receiver = self.receivers.get(receiver_id)
        self.detached_receivers.setdefault(receiver_id, receiver.state if receiver else ReceiverState.GONE)
        if receiver is None:
            return None
        self._set_listed_state(receiver, self.detached_receivers[receiver_id])
        address: Address | None = receiver.address
        return address

    def attach(self, receiver_id: bytes) -> None:
        """Operators attach a receiver again: what the list says of it holds."""
        listed_state = self.detached_receivers.pop(receiver_id, None)
        if listed_state and receiver_id in self.receivers:
            self._set_listed_state(self.receivers[receiver_id], listed_state)

    def avoided_count(self) -> int:
        """How many listed receivers get no or few messages, since they are detached or ejected."""
        detached = {self.receivers[one] for one in self.detached_receivers if one in self.receivers}
        avoided = detached | self.dispatcher.ejected_receivers
        return sum(1 for receiver in avoided if self._listed_state(receiver) != ReceiverState.GONE)

    def destination(self, destination_id: int) -> Destination:
        """The destination with this id, made if it is new."""
        if destination_id not in self.destinations:
            self.destinations[destination_id] = Destination(destination_id)
        return self.destinations[destination_id]

    def _apply_entry(self, entry: EndpointEntry | tuple[Any, ...]) -> Address | None:
        """Applies a receiver's entry; its earlier address where that has changed."""
        receiver_id, destination_id, state, (host, port), zone, kind, weight = entry
        receiver = self._receiver(receiver_id, self.destination(destination_id))
        self._set_listed_state(receiver, state)
        if state == ReceiverState.GONE:
            return None
        address = host, port, receiver_id  # guards against a receiver that took over another's address
        replaced_address: Address | None = receiver.address if receiver.address not in (None, address) else None
        receiver.address, receiver.weight = address, weight
        receiver.zone, receiver.kind = self.zone_indexes.get(zone, UNKNOWN_ZONE), self.kind_indexes.get(kind, 0)
        return replaced_address

    def _receiver(self, receiver_id: bytes, destination: Destination) -> Receiver:
        if receiver_id not in self.receivers:
            self.receivers[receiver_id] = Receiver(
                receiver_id, destination, zone=UNKNOWN_ZONE, state=ReceiverState.GONE
            )
        return self.receivers[receiver_id]

    def _set_listed_state(self, receiver: Receiver, listed_state: str) -> None:
        receiver.state = listed_state
        if receiver.receiver_id in self.detached_receivers:
            self.detached_receivers[receiver.receiver_id] = listed_state
            if listed_state == ReceiverState.READY:
                receiver.state = ReceiverState.DRAINING

    def _listed_state(self, receiver: Receiver) -> str:
        return self.detached_receivers.get(receiver.receiver_id, receiver.state)

    def _forget_receiver(self, receiver: Receiver) -> None:
        """Guards against memory that grows with all receivers and destinations that there ever were."""
        destination = receiver.destination
        destination.receivers.remove(receiver)
        self.dispatcher.forget_receiver(receiver)
        queue = destination.queue
        if not destination.receivers and not (queue and (queue.waiting or queue.in_flight)):
            del self.destinations[destination.destination_id]
            if queue:
                self.dispatcher.forget_queue(queue)

    # -- for operators ----------------------------------------------------------------------------------------

    def queues(self) -> list[Any]:
        """All queues at this moment, for `queue_size` and `describe_queue`."""
        return list(self.dispatcher.queues)

    def queue_size(self, queue: Any) -> int:
        """Messages of a queue that wait for a slot or are in flight."""
        size: int = queue.waiting + queue.in_flight
        return size

    def describe_queue(self, queue: Any, now_ms: float) -> dict[str, Any]:
        """One queue in plain values, under the names of `dewpin status`: what waits, what is in flight, and what limits
        each of its receivers."""
        return {
            "destination": queue.destination.destination_id,
            "waiting": queue.waiting,
            "out": queue.in_flight,
            "rate": round(queue.arrival_rate(now_ms), 3),
            "receivers": [self._describe_receiver(receiver, now_ms) for receiver in queue.destination.receivers],
        }

    def _describe_receiver(self, receiver: Receiver, now_ms: float) -> dict[str, Any]:
        health, limits = receiver.health, receiver.limits or receiver.destination.limits
        facts = {
            "receiver": receiver.receiver_id.decode("latin-1"),
            "state": receiver.state,
            "health": "unknown",
            "out": 0,
            "failures": 0,
            "usual_ms": None,
            "wait_ms": 0.0,
            "pace": None,
            "trickle": None,
        }
        if health:
            facts |= {
                "out": health.in_flight,
                "failures": health.failures,
                "health": "set aside" if health.slow_start else "failing" if health.failures else "well",
                "trickle": round(health.slow_start.rate_at(now_ms), 3) if health.slow_start else None,
            }
        if limits:
            facts |= {
                "wait_ms": round(max(0.0, limits.retry_after_until - now_ms), 1),
                "usual_ms": None if limits.usual_call_ms is None else round(limits.usual_call_ms, 1),
                "pace": round(limits.rate_limiter.rate_at(now_ms), 3) if limits.rate_limiter else None,
            }
        return facts


def _indexes_by_name(items: Sequence[Mapping[str, Any]]) -> dict[bytes, int]:
    return {item["Name"].encode(): index for index, item in enumerate(items)}
