"""The relay's interface to the dispatcher: what is due, the decision on it, and the next step after a result.

The facade owns the dispatcher and its messages, and maps names on the wire to the dispatcher's objects and back. It has
no timer, opens no socket and makes no decisions.
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
)
from ..ports import Address, AttemptResult
from ..spool.records import MessageRecord
from .endpoint_directory import EndpointDirectory


class Send(msgspec.Struct, frozen=True):
    """The decision to start an attempt now."""

    record: MessageRecord
    receiver: Receiver
    timeout_ms: float


class GiveUp(msgspec.Struct, frozen=True):
    """The decision to give up a message. `ending`: deferred or bounced."""

    record: MessageRecord
    ending: Decision
    retry_after_ms: float


class FollowUp(msgspec.Struct, frozen=True):
    """The next step after an attempt. `ending`: None if the message stays queued. `closes_idle_connections`: whether
    idle connections to the receiver are to be closed."""

    ending: Decision | None
    retry_after_ms: float
    closes_idle_connections: bool


class Facade:
    """The dispatcher together with the names in one sender's settings.

    `queue_class_indexes`: the dispatcher's index of each queue class. `longest_lifetime_ms`: the longest lifetime of
    all queue classes. `max_messages`: maximum number of pending messages. `endpoints`: the receivers and destinations.

    Raises KeyError, TypeError or ValueError if the settings lack what the dispatcher needs."""

    def __init__(self, settings: Mapping[str, Any], seed: int) -> None:
        self.dispatcher = Dispatcher(settings, seed)
        self.queue_class_indexes = _indexes_by_name(settings["Services"])
        self.lifetimes_ms: list[float] = [service["Deadline"] for service in settings["Services"]]
        self.longest_lifetime_ms = max(self.lifetimes_ms)
        self._account_indexes = _indexes_by_name(settings.get("Accounts") or ())
        self.max_messages: int = settings["Allowed"]["MaxOpen"]
        self.endpoints = EndpointDirectory(self.dispatcher, settings)
        self._due_message: Message | None = None

    # -- due messages -----------------------------------------------------------------------------------------

    def time_until_due_ms(self, now_ms: float) -> float | None:
        """Return the ms until the next message is due: 0 if it is due now, None if there is none."""
        wait_ms, self._due_message = self.dispatcher.next_due(now_ms)
        return None if self._due_message is None else wait_ms

    def decide_due(self, now_ms: float) -> Send | GiveUp | None:
        """Return the decision on the message that is due now; None if it stays queued."""
        message = self._due_message
        assert message is not None
        result = self.dispatcher.dispatch(message, now_ms)
        if result.decision == Decision.NOT_YET:
            return None
        if result.receiver:
            return Send(message.message_id, result.receiver, result.timeout_ms)
        return GiveUp(message.message_id, result.decision, result.retry_after_ms)

    def report_result(self, record: MessageRecord, result: AttemptResult, now_ms: float) -> FollowUp:
        """Report the result of an attempt to the dispatcher; return the next step."""
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
            decision = Decision.RELAYED  # it needs no result
        ending = None if decision == Decision.NOT_YET else decision
        return FollowUp(ending, retry_after_ms, closes_idle_connections)

    def backoff_ms(self, record: MessageRecord, now_ms: float) -> float:
        """Return the ms until the retry of a message."""
        message = record.message
        return max(0.0, message.dispatch_state.due_at - now_ms) if message and message.dispatch_state else 0.0

    # -- messages ---------------------------------------------------------------------------------------------

    def is_known_class(self, queue_class: bytes, account: bytes) -> bool:
        """Return whether the settings define this queue class and, if they define accounts, this account."""
        return queue_class in self.queue_class_indexes and (
            not self._account_indexes or account in self._account_indexes
        )

    def overload_retry_after_ms(self, destination: bytes, now_ms: float) -> float | None:
        """Return the retry-after if no further message can be accepted, or if no list names the destination; else
        None."""
        known = self.endpoints.destinations.get(int(destination))
        if known and known.receivers and self.dispatcher.pending_messages < self.max_messages:
            return None
        return self.dispatcher.retry_after_ms(known or Destination(None), now_ms)

    def lifetime_ms(self, queue_class: bytes) -> float:
        """Return the maximum lifetime of a message of this class."""
        return self.lifetimes_ms[self.queue_class_indexes[queue_class]]

    def first_submitted_at_ms(
        self, queue_class: bytes, remaining_ms: float, is_resubmission: bool, now_ms: float
    ) -> float:
        """Estimate when the message was first submitted, to this sender or to another one."""
        index = self.queue_class_indexes[queue_class]
        return self.dispatcher.first_submitted_at(index, remaining_ms, is_resubmission, now_ms)

    def may_have_executed(self, outcome: str) -> bool:
        """Return whether the receiver may have executed the message, given this outcome."""
        return outcome not in NOT_EXECUTED_OUTCOMES

    def send_window_ms(self, record: MessageRecord, receiver: Receiver, now_ms: float) -> float:
        """Return within how many ms the last byte of an attempt must be sent; 0: the attempt must not be sent."""
        return self.dispatcher.last_byte_within_ms(record.message, receiver, now_ms)

    def add_message(self, record: MessageRecord, now_ms: float) -> None:
        """Pass an accepted message to the dispatcher."""
        destination = self.endpoints.destination(int(record.destination))
        executed = record.possibly_executed
        executed_by = None if executed is None else self.endpoints.receiver(executed.receiver, destination)
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
        """Pass on a message that the previous process has in flight; return the receiver of that attempt."""
        assert record.in_flight is not None
        attempt = record.in_flight
        receiver = self.endpoints.receiver(attempt.receiver, self.endpoints.destination(int(record.destination)))
        record.attempts -= 1  # the one in flight is counted when the dispatcher adopts it
        self.add_message(record, now_ms)
        record.attempts += 1
        self.dispatcher.adopt_attempt(record.message, receiver, attempt.sent_at_ms, now_ms)
        return receiver

    def forget_message(self, record: MessageRecord) -> None:
        """Unlink a finished message from its record, as the dispatcher may keep the message until its lifetime ends.

        Otherwise only a full garbage collection would free the memory."""
        if record.message:
            record.message.message_id = record.message = None

    def addresses_under_same_limits(self, receiver: Receiver) -> list[Address]:
        """Return the addresses of all receivers that a retry-after of this receiver applies to."""
        limits_of = self.dispatcher.limits_of
        limits = limits_of(receiver)
        receivers = receiver.destination.receivers
        return [other.address for other in receivers if other.address and limits_of(other) is limits]


def _indexes_by_name(items: Sequence[Mapping[str, Any]]) -> dict[bytes, int]:
    return {item["Name"].encode(): index for index, item in enumerate(items)}
