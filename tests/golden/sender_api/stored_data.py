"""The sender's files: journal, endpoint cache and hand-over log."""

import msgspec
from golden.sender_api.text_encoding import octets, text

from dewpin.core import model
from dewpin.ports import (
    AttemptResult,
)
from dewpin.spool.endpoint_cache import EndpointCache
from dewpin.spool.handover_log import AcceptedMessage, FinishedAttempt, HandoverLogReader, HandoverLogWriter
from dewpin.spool.inspector import JournalInspector, describe_state
from dewpin.spool.journal import Journal as SpoolJournal
from dewpin.spool.records import MessageRecord, PendingNotice

OUTCOMES = {
    "delivered": model.Outcome.DELIVERED,
    "error_answer": model.Outcome.ERROR,
    "rejected": model.Outcome.REJECTED,
    "timed_out": model.Outcome.TIMED_OUT,
    "connect_failed": model.Outcome.CONNECT_FAILED,
    "sent_in_part": model.Outcome.DROPPED,
    "connection_reset": model.Outcome.RESET,
    "cancelled": model.Outcome.CANCELLED,
    "not_sent": model.Outcome.NOT_SENT,
}
ENDINGS = {"relayed": model.Decision.RELAYED, "retryable": model.Decision.DEFERRED, "failed": model.Decision.BOUNCED}
RECEIVER_STATES = {
    "active": model.ReceiverState.READY,
    "draining": model.ReceiverState.DRAINING,
    "removed": model.ReceiverState.GONE,
}
OUTCOME_NAMES = {member: name for name, member in OUTCOMES.items()}
ENDING_NAMES = {member: name for name, member in ENDINGS.items()}
RECEIVER_STATE_NAMES = {member: name for name, member in RECEIVER_STATES.items()}


def parse_message(values):
    """Return the record of a newly submitted message with these plain values."""
    return MessageRecord(
        octets(values["id"]),
        octets(values["queue_class"]),
        octets(values["tenant"]),
        octets(values["ordering_key"]),
        octets(values["destination"]),
        octets(values["idempotency_key"]),
        octets(values["body"]),
        values["received_ms"],
        values["expires_ms"],
    )


def format_message(record):
    possibly_executed = record.possibly_executed and {
        "receiver": text(record.possibly_executed.receiver),
        "sent_ms": record.possibly_executed.sent_at_ms,
    }
    in_flight = record.in_flight and {
        "receiver": text(record.in_flight.receiver),
        "sent_ms": record.in_flight.sent_at_ms,
    }
    notice = record.pending_notice and {
        "retryable": record.pending_notice.is_deferred,
        "retry_after_ms": record.pending_notice.retry_after_ms,
    }
    return {
        "serial": record.serial,
        "id": text(record.message_id),
        "queue_class": text(record.queue_class),
        "tenant": text(record.account),
        "ordering_key": text(record.ordering_key),
        "destination": text(record.destination),
        "idempotency_key": text(record.idempotency_key),
        "body": text(record.body),
        "received_ms": record.arrived_at_ms,
        "expires_ms": record.expires_at_ms,
        "attempts": record.attempts,
        "first_attempt_that_may_have_executed": possibly_executed,
        "attempt_in_flight": in_flight or None,
        "notice_owed": notice or None,
    }


class Journal:
    """The writer of a folder's journal, with plain values as arguments and results."""

    def __init__(self, folder, disk_bytes):
        self.journal = SpoolJournal(str(folder), disk_bytes)

    def contents(self):
        journal = self.journal
        return {
            "messages": [format_message(record) for record in journal.pending.values()],
            "finished": [text(ident) for ident in journal.finished_ids],
            "detached_receivers": [text(ident) for ident in journal.detached_receivers],
            "consumed_of_hand_over_log": journal.consumed_handover_bytes,
            "highest_serial": journal.last_serial,
            "file_bytes": journal.size_bytes,
            "bytes_after_compaction_at_most": journal.live_bytes,
        }

    def _find_record(self, ident):
        return next(record for record in self.journal.pending.values() if record.message_id == octets(ident))

    def accept(self, values, already_accepted=False):
        return self.journal.accept(parse_message(values), already_accepted)

    def attempt(self, ident, receiver, sent_ms):
        return self.journal.start_attempt(self._find_record(ident), octets(receiver), sent_ms)

    def attempt_ended(self, ident, may_have_executed):
        self.journal.finish_attempt(self._find_record(ident), may_have_executed)

    def give_up(self, ident, is_deferred, retry_after_ms):
        self.journal.give_up(self._find_record(ident), PendingNotice(is_deferred, retry_after_ms))

    def finish(self, ident):
        self.journal.finish(self._find_record(ident))

    def detach(self, receiver):
        return self.journal.set_detached(octets(receiver), True)

    def attach(self, receiver):
        return self.journal.set_detached(octets(receiver), False)

    def mark_consumed(self, offset):
        self.journal.mark_handover_consumed(offset)

    def assume_attempts_executed(self):
        self.journal.assume_attempts_executed()

    def compact(self):
        self.journal.compact()

    def close(self):
        self.journal.close()


def inspected(folder):
    """Return what the read-only inspector of `dewpin spool` reports about a folder's journal."""
    inspector = JournalInspector(str(folder))
    return {
        "messages": [
            {"id": text(record.message_id), "state": describe_state(record)} for record in inspector.pending()
        ],
        "records": {
            text(record.message_id): [
                [at, kind, {name: text(value) if isinstance(value, bytes) else value for name, value in values.items()}]
                for at, kind, values in inspector.records_of(record.serial)
            ]
            for record in inspector.pending()
        },
        "damages": [
            {
                "offset": region.offset,
                "bytes": region.size_bytes,
                "why": region.reason,
                "records_behind": region.records_after,
            }
            for region in inspector.damaged_regions
        ],
        "readable_bytes": inspector.readable_bytes,
        "compaction_under_way": inspector.has_compaction_file,
        "counts": {text(kind): count for kind, count in inspector.replay.counts_by_code.items()},
    }


def parse_receiver(values):
    return (
        octets(values["id"]),
        values["destination"],
        RECEIVER_STATES[values["state"]],
        tuple(values["address"]),
        values["zone"],
        values["kind"],
        values["weight"],
    )


def format_receiver(entry):
    ident, destination, state, address, zone, kind, weight = entry
    return {
        "id": text(ident),
        "destination": destination,
        "state": RECEIVER_STATE_NAMES[state],
        "address": list(address),
        "zone": zone,
        "kind": kind,
        "weight": weight,
    }


class CachedList:
    """The cache file of the receiver list, with plain values as arguments and results."""

    def __init__(self, folder, agent, disk_bytes):
        self.cache = EndpointCache(str(folder), agent, disk_bytes)

    def contents(self):
        return {
            "revision": self.cache.revision,
            "of_another_agent": self.cache.is_from_other_agent,
            "receivers": [format_receiver(entry) for entry in self.cache.entries()],
            "not_active_at_another_agent": [
                format_receiver(entry) for entry in self.cache.unavailable_at_other_agent()
            ],
        }

    def is_newer_than(self, revision):
        return self.cache.is_newer_than(revision)

    def learn(self, receivers, complete, revision, now_ms):
        self.cache.update([parse_receiver(receiver) for receiver in receivers], complete, revision, now_ms)

    def move(self, agent, disk_bytes):
        self.cache.reconfigure(agent, disk_bytes)


class HandOverLog:
    """What a stopping process writes for the next one once the journal belongs to that one."""

    def __init__(self, folder, journal):
        self.writer = HandoverLogWriter(str(folder), journal.journal)

    def accept(self, values):
        return self.writer.accept(parse_message(values))

    def attempt_ended(self, ident, outcome, wait_ms, duration_ms, load, is_withdrawn):
        record = next(record for record in self.writer.pending.values() if record.message_id == octets(ident))
        self.writer.finish_attempt(record, AttemptResult(OUTCOMES[outcome], wait_ms, duration_ms, load, is_withdrawn))

    def detach(self, receiver):
        return self.writer.set_detached(octets(receiver), True)

    def attach(self, receiver):
        return self.writer.set_detached(octets(receiver), False)

    def count_descriptors(self, descriptors):
        self.writer.report_descriptors(descriptors)

    def close(self):
        self.writer.close()


def consumed_hand_over_log(folder, journal):
    """Return the records that the next process reads from the hand-over log."""
    reader, records = HandoverLogReader(str(folder), journal.journal), []

    def accepted(record):
        records.append({"accepted": format_message(record)})

    def attempt_ended(serial, outcome, wait_ms, duration_ms, load, is_withdrawn):
        records.append(
            {
                "attempt_ended": serial,
                "outcome": OUTCOME_NAMES[outcome],
                "wait_ms": wait_ms,
                "took_ms": duration_ms,
                "load": load,
                "over": is_withdrawn,
            }
        )

    def detached(receiver, is_detached):
        records.append({"detached" if is_detached else "attached": text(receiver)})

    for event in reader.read_events():
        if isinstance(event, AcceptedMessage):
            accepted(event.message)
        elif isinstance(event, FinishedAttempt):
            attempt_ended(event.serial, *msgspec.structs.astuple(event.result))
        else:
            detached(event.receiver, event.is_detached)
    return {"records": records, "descriptors": reader.descriptors, "consumed": journal.journal.consumed_handover_bytes}
