"""Encoder and decoder of the journal's on-disk format, without I/O.

A record consists of a header (length and checksum of the payload) and the payload: a kind, a serial number and the
fields of that kind. All numbers are little-endian. The writers of the journal and of the hand-over log and all readers
use this module, so that `dewpin spool` shows what a sender would read at its start.
"""

import struct
from zlib import crc32

import msgspec

from .records import Attempt, MessageRecord, PendingNotice, RecordKind

RECORD_HEADER = struct.Struct("<II")
"""Length and CRC-32 of the payload."""
KIND_AND_SERIAL = struct.Struct("<cQ")
MESSAGE_TIMES = struct.Struct("<dd")
ATTEMPT_SUMMARY = struct.Struct("<Hd")
SENT_AT = struct.Struct("<d")
NOTICE_FIELDS = struct.Struct("<?d")
TEXT_LENGTH = struct.Struct("<I")
MESSAGE_TEXT_COUNT = 7
MAX_PAYLOAD_BYTES = 1_048_576
"""Maximum payload size; a larger length in a header means that the record is corrupt."""
NOT_EXECUTED_AT_MS = -1.0
"""Send time in an attempt summary if no attempt may have been executed."""

KNOWN_KIND_CODES: frozenset[bytes] = frozenset(RecordKind)


class Frame(msgspec.Struct, frozen=True):
    """A complete record: its payload and the offset of the next record."""

    payload: bytes
    end_offset: int


class DamagedFrame(msgspec.Struct, frozen=True):
    """The result of reading at an offset that has no complete record."""

    reason: str


class AttemptSummary(msgspec.Struct, frozen=True):
    """The attempts of a message before a compaction, not counting one in flight.

    `possibly_executed`: the first one that its receiver may have executed; None if there is none."""

    attempts: int
    possibly_executed: Attempt | None


def encode_record(kind: RecordKind, serial: int, *fields: bytes) -> bytes:
    """Return a record with these fields, which are already encoded."""
    payload = KIND_AND_SERIAL.pack(kind, serial) + b"".join(fields)
    return RECORD_HEADER.pack(len(payload), crc32(payload)) + payload


def encode_accepted(message: MessageRecord) -> bytes:
    """Return the record that a message was accepted."""
    texts = (
        message.message_id,
        message.queue_class,
        message.account,
        message.ordering_key,
        message.destination,
        message.idempotency_key,
        message.body,
    )
    return encode_record(
        RecordKind.ACCEPTED,
        message.serial,
        MESSAGE_TIMES.pack(message.arrived_at_ms, message.expires_at_ms),
        *[field for text in texts for field in (TEXT_LENGTH.pack(len(text)), text)],
    )


def encode_attempt_started(serial: int, attempt: Attempt) -> bytes:
    """Return the record of an attempt, written before its first byte is sent."""
    return encode_record(RecordKind.ATTEMPT_STARTED, serial, SENT_AT.pack(attempt.sent_at_ms), attempt.receiver)


def encode_given_up(serial: int, notice: PendingNotice) -> bytes:
    """Return the record that a message was given up, written before its notice is sent."""
    return encode_record(RecordKind.GIVEN_UP, serial, NOTICE_FIELDS.pack(notice.is_deferred, notice.retry_after_ms))


def encode_pending_message(message: MessageRecord) -> bytes:
    """Return all records of a pending message in a compacted journal."""
    records = [encode_accepted(message)]
    finished_attempts = message.attempts - (message.in_flight is not None)
    if finished_attempts:
        records.append(_encode_summary(message.serial, AttemptSummary(finished_attempts, message.possibly_executed)))
    if message.in_flight:
        records.append(encode_attempt_started(message.serial, message.in_flight))
    if message.pending_notice:
        records.append(encode_given_up(message.serial, message.pending_notice))
    return b"".join(records)


def _encode_summary(serial: int, summary: AttemptSummary) -> bytes:
    executed = summary.possibly_executed or Attempt(b"", NOT_EXECUTED_AT_MS)
    return encode_record(
        RecordKind.ATTEMPT_SUMMARY,
        serial,
        ATTEMPT_SUMMARY.pack(summary.attempts, executed.sent_at_ms),
        executed.receiver,
    )


def read_frame(content: bytes, offset: int) -> Frame | DamagedFrame:
    """Return the record at this offset, or the reason why there is none."""
    if offset + RECORD_HEADER.size > len(content):
        return DamagedFrame("torn: it ends within a record's head")
    length, checksum = RECORD_HEADER.unpack_from(content, offset)
    if not KIND_AND_SERIAL.size <= length <= MAX_PAYLOAD_BYTES:
        return DamagedFrame(f"corrupt: a record of {length} bytes")
    payload = content[offset + RECORD_HEADER.size : offset + RECORD_HEADER.size + length]
    if len(payload) < length:
        return DamagedFrame(f"torn: {len(payload)} of a record's {length} bytes")
    if crc32(payload) != checksum:
        return DamagedFrame("corrupt: the checksum differs")
    return Frame(payload, offset + RECORD_HEADER.size + length)


def decode_kind_and_serial(payload: bytes) -> tuple[bytes, int]:
    """Return a record's kind, which may be unknown if a newer version wrote it, and its serial number."""
    code, serial = KIND_AND_SERIAL.unpack_from(payload)
    return code, serial


def decode_fields(payload: bytes) -> bytes:
    """Return the bytes after the kind and the serial number.

    They are the id in records about receivers, and JSON in an `ATTEMPT_FINISHED` record."""
    return payload[KIND_AND_SERIAL.size :]


def decode_message(serial: int, payload: bytes) -> MessageRecord:
    """Return the message of an `ACCEPTED` record. Raises struct.error if the fields are invalid."""
    arrived_at_ms, expires_at_ms = MESSAGE_TIMES.unpack_from(payload, KIND_AND_SERIAL.size)
    offset = KIND_AND_SERIAL.size + MESSAGE_TIMES.size
    texts = []
    for _ in range(MESSAGE_TEXT_COUNT):
        (length,) = TEXT_LENGTH.unpack_from(payload, offset)
        texts.append(payload[offset + TEXT_LENGTH.size : offset + TEXT_LENGTH.size + length])
        offset += TEXT_LENGTH.size + length
    message_id, queue_class, account, ordering_key, destination, idempotency_key, body = texts
    message = MessageRecord(
        message_id,
        queue_class,
        account,
        ordering_key,
        destination,
        idempotency_key,
        body,
        arrived_at_ms,
        expires_at_ms,
    )
    message.serial = serial
    return message


def decode_attempt(payload: bytes) -> Attempt:
    """Return the attempt of an `ATTEMPT_STARTED` record. Raises struct.error if the fields are invalid."""
    (sent_at_ms,) = SENT_AT.unpack_from(payload, KIND_AND_SERIAL.size)
    return Attempt(payload[KIND_AND_SERIAL.size + SENT_AT.size :], sent_at_ms)


def decode_summary(payload: bytes) -> AttemptSummary:
    """Return the attempts of an `ATTEMPT_SUMMARY` record. Raises struct.error if the fields are invalid."""
    attempts, sent_at_ms = ATTEMPT_SUMMARY.unpack_from(payload, KIND_AND_SERIAL.size)
    receiver = payload[KIND_AND_SERIAL.size + ATTEMPT_SUMMARY.size :]
    return AttemptSummary(attempts, Attempt(receiver, sent_at_ms) if sent_at_ms >= 0.0 else None)


def decode_notice(payload: bytes) -> PendingNotice:
    """Return the notice of a `GIVEN_UP` record. Raises struct.error if the fields are invalid."""
    is_deferred, retry_after_ms = NOTICE_FIELDS.unpack_from(payload, KIND_AND_SERIAL.size)
    return PendingNotice(is_deferred, retry_after_ms)
