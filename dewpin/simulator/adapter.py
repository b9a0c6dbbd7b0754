"""Drives dispatchers with the events of simulator batches.

It keeps timers and pending messages; all decisions are made by the dispatchers.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from typing import Any

from ..core import model
from ..core.dispatcher import Dispatcher, DispatchResult, OutcomeResult
from . import events, wire

OUTCOMES = {
    10: model.Outcome.DELIVERED,
    20: model.Outcome.ERROR,
    30: model.Outcome.REJECTED,
    40: model.Outcome.TIMED_OUT,
    50: model.Outcome.CONNECT_FAILED,
    60: model.Outcome.RESET,
    70: model.Outcome.CANCELLED,
    80: model.Outcome.NOT_SENT,
}
GONE = 0
RECEIVER_STATES = {
    GONE: model.ReceiverState.GONE,
    1: model.ReceiverState.READY,
    2: model.ReceiverState.DRAINING,
}
TIMER_HANDLE = 1  # a sender has only one timer
TIMER_TOLERANCE_MS = 0.001


class SimulatedSender:
    """A sender under simulation.

    number: its number on the wire.
    dispatcher: makes its decisions.
    messages: pending messages by id.
    receivers, destinations: all that have appeared in its receiver lists, by id.
    timer_at: when the earliest pending timer fires, in ms; None if no timer is set.
    actions: encoded actions for the reply.
    """

    def __init__(self, number: int, seed: int, settings: dict[str, Any]) -> None:
        self.number = number
        self.dispatcher = Dispatcher(settings, seed)
        self.load_report_fields = [
            model.LOAD_REPORT_FIELDS.get(name, name) for name in settings.get("Report", {}).get("Fields", [])
        ]
        self.messages: dict[int, model.Message] = {}
        self.receivers: dict[int, model.Receiver] = {}
        self.destinations: dict[int, model.Destination] = {}
        self.timer_at: float | None = None
        self.actions: list[bytes] = []
        self.handlers: dict[type[Any], Callable[[float, Any], None]] = {
            events.Query: self.submit,
            events.First: self.ignore,  # no queue class in the simulation streams
            events.Returned: self.record_outcome,
            events.Vanished: self.withdraw,
            events.Wakeup: self.clear_timer,
            events.Checked: self.handle_load_report,
            events.NoteFrom: self.ignore,
        }

    def handle(self, now: float, event: events.SenderEvent) -> None:
        """Handle an event other than an update of the receiver list."""
        self.handlers[type(event)](now, event)

    def update_receivers(self, kind: int, entries: Sequence[events.ReceiverEntry]) -> None:
        """Apply an update of the receiver list."""
        if kind == events.TargetsKind.FAILED:
            return
        for entry in entries:
            self._update_receiver(entry)
        if kind != events.TargetsKind.CHANGES:
            listed_ids = {entry.receiver_id for entry in entries}
            for receiver_id, receiver in self.receivers.items():
                if receiver_id not in listed_ids:
                    receiver.state = model.ReceiverState.GONE

    def submit(self, now: float, query: events.Query) -> None:
        """Accept and dispatch a message."""
        is_resubmitted = bool(query.flags & (events.QueryFlag.RESUBMITTED | events.QueryFlag.INHERITED))
        arrived_at = self.dispatcher.first_submitted_at(query.queue_class, query.time_left_ms, is_resubmitted, now)
        message = model.Message(
            query.message_id,
            self._destination(int(query.destination_id)),
            arrived_at,
            now + query.time_left_ms,
            query.queue_class,
            query.account,
            query.ordering_key,
        )
        self.messages[query.message_id] = message
        self._encode_decision(message, self.dispatcher.dispatch(message, now))

    def record_outcome(self, now: float, returned: events.Returned) -> None:
        """Record the outcome of an attempt."""
        self._set_load_report(returned.receiver_id, returned.load_report)
        message = self.messages.get(returned.message_id)
        if message is None:
            return
        outcome = OUTCOMES.get(returned.outcome, model.Outcome.ERROR)
        message.retry_after_ms = float(returned.detail) if outcome == model.Outcome.REJECTED else 0.0
        message.duration_ms = returned.duration_ms
        if returned.is_complete and outcome != model.Outcome.DELIVERED:
            message.is_withdrawn = True
        result = self.dispatcher.record_outcome(message, outcome, now)
        self._encode_decision(message, result)
        if result.should_close_idle:
            self.actions.append(wire.encode_close_idle(self.number, returned.receiver_id))

    def withdraw(self, now: float, vanished: events.Vanished) -> None:
        """Mark a message as withdrawn."""
        if vanished.message_id in self.messages:
            self.messages[vanished.message_id].is_withdrawn = True

    def clear_timer(self, now: float, wakeup: events.Wakeup) -> None:
        """Clear the timer after it fired."""
        if self.timer_at is not None and self.timer_at <= now + TIMER_TOLERANCE_MS:
            self.timer_at = None

    def handle_load_report(self, now: float, checked: events.Checked) -> None:
        """Record a load report that arrived without a message."""
        self._set_load_report(checked.receiver_id, checked.load_report)

    def ignore(self, now: float, event: events.First | events.NoteFrom) -> None:
        """Ignore an event that the dispatcher does not use."""

    def finish(self, now: float) -> None:
        """Dispatch all messages that are due, then set the timer for the next one."""
        while True:
            delay_ms, message = self.dispatcher.next_due(now)
            if message is None:
                return
            if delay_ms > 0:
                break
            self._encode_decision(message, self.dispatcher.dispatch(message, now))
        if self.timer_at is None or now + delay_ms < self.timer_at - TIMER_TOLERANCE_MS:
            self.timer_at = now + delay_ms
            self.actions.append(wire.encode_defer(self.number, self.timer_at, TIMER_HANDLE))

    def _encode_decision(self, message: model.Message, result: DispatchResult | OutcomeResult) -> None:
        """Add the action for a decision, and forget the message once it is finished."""
        decision = result.decision
        if isinstance(result, DispatchResult) and result.receiver:
            attempt = wire.encode_attempt(
                self.number, message.message_id, result.receiver.receiver_id, result.timeout_ms
            )
            self.actions.append(attempt)
            return
        if decision == model.Decision.NOT_YET:
            return
        if decision == model.Decision.DEFERRED and not message.is_withdrawn:
            self.actions.append(wire.encode_not_now(self.number, message.message_id, result.retry_after_ms))
        elif decision == model.Decision.BOUNCED and not message.is_withdrawn:
            self.actions.append(wire.encode_end_failed(self.number, message.message_id))
        self.messages.pop(message.message_id, None)

    def _update_receiver(self, entry: events.ReceiverEntry) -> None:
        receiver = self.receivers.get(entry.receiver_id)
        if receiver is None:
            if entry.state == GONE:
                return
            receiver = model.Receiver(entry.receiver_id, self._destination(entry.destination_id))
            self.receivers[entry.receiver_id] = receiver
        receiver.state = RECEIVER_STATES.get(entry.state, model.ReceiverState.GONE)
        if entry.state != GONE:
            receiver.kind, receiver.zone, receiver.weight = entry.kind, entry.zone, entry.weight

    def _destination(self, destination_id: int) -> model.Destination:
        if destination_id not in self.destinations:
            self.destinations[destination_id] = model.Destination(destination_id)
        return self.destinations[destination_id]

    def _set_load_report(self, receiver_id: int, values: tuple[float, ...]) -> None:
        if values and receiver_id in self.receivers:
            self.receivers[receiver_id].load_report = dict(zip(self.load_report_fields, values, strict=False))


class Adapter:
    """All senders of one process.

    senders: running senders by number.
    receiver_lists: receiver lists by number, to which updates refer.
    """

    def __init__(self) -> None:
        self.senders: dict[int, SimulatedSender] = {}
        self.receiver_lists: dict[int, list[events.ReceiverEntry]] = {}

    def process_batch(self, batch: events.Batch) -> bytes:
        """Process a batch and return the encoded reply.

        A sender that raises an exception is terminated; the others continue. Raises WireFormatError for an event that
        is invalid in its context.
        """
        processor = BatchProcessor(self, batch)
        for index, event in enumerate(batch.events):
            if isinstance(event, events.Census):
                self.receiver_lists[event.census] = event.entries
            else:
                processor.handle(event, f"batch {batch.number}, record {index}")
        return processor.finish()


class BatchProcessor:
    """Processes one batch.

    actions: encoded actions, first of senders that failed, then of the others.
    active: running senders with events in this batch, in the order of their first event.
    failed: numbers of senders that were terminated in this batch.
    """

    def __init__(self, adapter: Adapter, batch: events.Batch) -> None:
        self.senders = adapter.senders
        self.receiver_lists = adapter.receiver_lists
        self.batch = batch
        self.actions: list[bytes] = []
        self.active: dict[int, SimulatedSender] = {}
        self.failed: set[int] = set()

    def handle(self, event: events.SenderEvent, location: str) -> None:
        """Handle an event of a sender; `location` identifies it in error messages."""
        number = event.sender
        if isinstance(event, events.Provision):
            self._stop(number)
            self.failed.discard(number)
        elif isinstance(event, events.Exit):
            self._stop(number)
            return
        elif number in self.failed:
            return
        elif number not in self.senders:
            name = wire.EVENT_NAMES[type(event)]
            raise wire.WireFormatError(f"{location}: expected a running sender for {name}, got {number}")
        if isinstance(event, events.Targets):
            self._check_list_exists(event, location)
        try:
            self._deliver_event(event, location)
        except wire.WireFormatError:
            raise
        except Exception as error:
            self._terminate(number, error)
            self.failed.add(number)
            self.active.pop(number, None)

    def finish(self) -> bytes:
        """Let every active sender dispatch its due messages; return the encoded reply."""
        for number, sender in self.active.items():
            try:
                sender.finish(self.batch.now)
            except Exception as error:
                self._terminate(number, error)
                continue
            self.actions += sender.actions
            sender.actions = []
        return wire.encode_reply(self.batch.number, self.actions)

    def _deliver_event(self, event: events.SenderEvent, location: str) -> None:
        number = event.sender
        if isinstance(event, events.Provision):
            settings = _decode_settings(event.settings_text, location)
            self.active[number] = SimulatedSender(number, event.seed, settings)
            self.senders[number] = self.active[number]
            return
        sender = self.active[number] = self.senders[number]
        if isinstance(event, events.Targets):
            sender.update_receivers(event.kind, self.receiver_lists.get(event.census, ()))
        else:
            sender.handle(self.batch.now, event)

    def _check_list_exists(self, targets: events.Targets, location: str) -> None:
        if targets.kind != events.TargetsKind.FAILED and targets.census not in self.receiver_lists:
            raise wire.WireFormatError(f"{location}: expected a census under {targets.census} before targets")

    def _stop(self, number: int) -> None:
        self.senders.pop(number, None)
        self.active.pop(number, None)

    def _terminate(self, number: int, error: Exception) -> None:
        """Terminate a sender after an internal error and report the reason to the simulator."""
        self.senders.pop(number, None)
        reason = f"{type(error).__name__}: {error}"
        if isinstance(error, KeyError):
            reason = f"settings lack {error}"
        self.actions.append(wire.encode_die(number, reason))


def _decode_settings(text: bytes, location: str) -> dict[str, Any]:
    try:
        settings = json.loads(text)
    except ValueError:
        settings = None
    if not isinstance(settings, dict):
        raise wire.WireFormatError(f"{location}: expected settings as a JSON object")
    return settings
