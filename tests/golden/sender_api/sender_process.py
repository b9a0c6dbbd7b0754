"""A sender process without its sockets."""

import json
from pathlib import Path
from types import SimpleNamespace

import msgspec
from golden.sender_api.stored_data import ENDING_NAMES, OUTCOMES, parse_receiver
from golden.sender_api.text_encoding import octets, text

from dewpin.daemon import upgrade
from dewpin.daemon.operator_actions import OperatorActions
from dewpin.ports import (
    Accepted,
    AttemptResult,
    Deferred,
    Rejected,
    RejectionReason,
    SubmitRequest,
)
from dewpin.relay import learned_state
from dewpin.relay.facade import Facade
from dewpin.relay.message_lifecycle import DetachmentResult, Relay
from dewpin.relay.queue_description import describe_queue
from dewpin.spool.handover_log import HandoverLogReader, HandoverLogWriter
from dewpin.spool.journal import Journal as SpoolJournal

REJECTION_STATUSES = {RejectionReason.UNKNOWN_QUEUE_CLASS: 400, RejectionReason.DUPLICATE_MESSAGE_ID: 409}
REJECTION_REASONS = {status: reason for reason, status in REJECTION_STATUSES.items()}
PLAIN_DETACHMENTS = {
    DetachmentResult.APPLIED: True,
    DetachmentResult.UNKNOWN_RECEIVER: False,
    DetachmentResult.NOT_RECORDED: None,
}


def plain_submit_result(result):
    """Return (whether it is accepted, retry delay in ms), or (None, HTTP status) for a rejection."""
    if isinstance(result, Accepted):
        return True, 0.0
    if isinstance(result, Deferred):
        return False, result.retry_after_ms
    return None, REJECTION_STATUSES[result.reason]


def submit_result(accepted, number):
    if accepted is None:
        return Rejected(REJECTION_REASONS[number])
    return Accepted() if accepted else Deferred(number)


class SenderProcess:
    """Journal, dispatcher and message relay, connected as in a process, on a clock and transport of the test.

    `loop`: has `time`, `call_soon` and `call_later` of asyncio's loops; `calls`: the transport to receivers, with
    `call`, `cancel_unsent` and `close_idle` on plain values; `notices`: has `publish(id, is_deferred, retry_after_ms,
    on_acknowledged)`.
    """

    def __init__(self, folder, settings, seed, loop, calls, notices):
        self.folder = str(folder)
        self.journal = SpoolJournal(self.folder, 3_000_000)
        self.facade = Facade(settings, seed)
        self.relay = Relay(loop, self.facade, self.journal, Transport(calls), NoticePublisher(notices))
        self.relay.clock.offset_seconds = 0.0
        for ident in self.journal.detached_receivers:
            self.facade.endpoints.detach(ident)
        self.reader = HandoverLogReader(self.folder, self.journal)

    def resume(self):
        """Resume the pending messages after a start without a previous process."""
        self.relay.resume()

    def take_over(self):
        """Take over from the previous process; return its state as it was read."""
        content = Path(self.folder, "handed").read_bytes()
        state = json.loads(content)
        self.learn_entries(learned_state.endpoint_entries(state), True)
        self.relay.resume(self.reader, set(state["out"]))
        learned_state.import_learned_state(self.facade, state)
        return state

    def consume_handover_log(self, previous_has_exited=False):
        self.relay.consume_handover_log(previous_has_exited)

    def hand_over(self):
        """Hand the folder over to the next process; return the handed-over state as bytes."""
        self.journal.mark_handover_consumed(0)
        writer = HandoverLogWriter(self.folder, self.journal)
        upgrade.hand_over_folder(
            self.folder,
            learned_state.export_learned_state(self.facade) | {"out": list(writer.pending), "descriptors": 17},
        )
        self.relay.hand_over(writer)
        self.journal.close()
        return Path(self.folder, "handed").read_bytes()

    def export_state(self):
        """Return the learned state that this process would hand over now, as plain values."""
        return json.loads(msgspec.json.encode(learned_state.export_learned_state(self.facade)))

    def close(self):
        self.relay.record_store.close()

    def learn(self, receivers, complete):
        self.learn_entries([parse_receiver(receiver) for receiver in receivers], complete)

    def learn_entries(self, entries, complete):
        for address in self.facade.endpoints.update(entries, complete):
            self.relay.transport.cancel_unsent(address)
            self.relay.transport.close_idle(address)
        self.relay.wake()

    def submit(self, values, remaining_ms, is_resubmission):
        """Submit a message; return the plain result (see `plain_submit_result`)."""
        names = ("id", "queue_class", "tenant", "ordering_key", "destination", "idempotency_key", "body")
        request = SubmitRequest(*(octets(values[name]) for name in names), remaining_ms, is_resubmission)
        return plain_submit_result(self.relay.submit(request))

    def detach(self, receiver):
        return PLAIN_DETACHMENTS[self.relay.detach(octets(receiver))]

    def attach(self, receiver):
        return PLAIN_DETACHMENTS[self.relay.attach(octets(receiver))]

    def metrics(self):
        actions = OperatorActions()
        actions.serve(self.relay, SimpleNamespace(sent_requests=0))
        metrics = actions.metrics()
        endings = {
            text(name): {ENDING_NAMES[member]: count for member, count in counts.items()}
            for name, counts in metrics.endings.items()
        }
        return {
            "endings": endings,
            "owed": metrics.pending,
            "listed": metrics.listed_receivers,
            "avoided": metrics.avoided_receivers,
        }

    def describe_queues(self):
        """Return the human-readable description of each destination's queue."""
        now = self.relay.clock.now_ms()
        return [describe_queue(queue, now) for queue in self.facade.dispatcher.queues]


class Transport:
    """Calls to receivers, with plain values."""

    def __init__(self, calls):
        self.calls = calls

    def send(self, request):
        def on_finished(outcome, wait_ms, duration_ms, load, is_withdrawn):
            request.on_finished(AttemptResult(OUTCOMES[outcome], wait_ms, duration_ms, load, is_withdrawn))

        self.calls.call(
            plain_address(request.address),
            text(request.message_id),
            text(request.idempotency_key),
            text(request.body),
            request.timeout_ms,
            request.open_send_window,
            on_finished,
        )

    def cancel_unsent(self, address):
        self.calls.cancel_unsent(plain_address(address))

    def close_idle(self, address):
        self.calls.close_idle(plain_address(address))


class NoticePublisher:
    def __init__(self, notices):
        self.notices, self.unacknowledged = notices, ()

    def publish(self, ident, is_deferred, ms, on_acknowledged):
        self.notices.publish(text(ident), is_deferred, ms, on_acknowledged)


def plain_address(address):
    host, port, receiver = address
    return [host, port, text(receiver)]
