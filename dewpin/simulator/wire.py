"""The framing of marsh-c21d: batches in, replies out. Layouts only, no meaning; little-endian without padding."""

from __future__ import annotations

import struct
from typing import Any, BinaryIO, NamedTuple

from . import events

BATCH_HEADER = struct.Struct("<IIId")  # number, bytes that follow this field, count of records, clock
BYTES_BEFORE_LENGTH_COUNTS = 8  # of the batch's header
REPLY_HEADER = struct.Struct("<II")  # number, bytes of actions

# Codes of actions and their layouts, code included.
ATTEMPT, NOT_NOW, END_FAILED, DEFER, CLOSE_IDLE, DIE = 10, 20, 30, 50, 70, 100
ATTEMPT_LAYOUT = struct.Struct("<BHQId")
NOT_NOW_LAYOUT = struct.Struct("<BHQd")
END_FAILED_LAYOUT = struct.Struct("<BHQ")
DEFER_LAYOUT = struct.Struct("<BHdI")
CLOSE_IDLE_LAYOUT = struct.Struct("<BHI")
DIE_LAYOUT = struct.Struct("<BHH")
MOST_TEXT_BYTES = 65535

ENTRY_LAYOUT = struct.Struct("<BfHdHIH")
FLOAT_SIZE = 4


class Tail(NamedTuple):
    """What follows the fixed fields of a record: a count, then so many items."""

    count_layout: struct.Struct
    item_size: int


BYTES = Tail(struct.Struct("<I"), 1)
TEXT = Tail(struct.Struct("<H"), 1)
FLOATS = Tail(struct.Struct("<B"), FLOAT_SIZE)
ENTRIES = Tail(struct.Struct("<I"), ENTRY_LAYOUT.size)


class RecordLayout(NamedTuple):
    """How a record stands on the wire after its code. `name`: that of the interface's page."""

    name: str
    event_type: Any
    fields: struct.Struct
    tail: Tail | None = None


RECORDS = {
    10: RecordLayout("provision", events.Provision, struct.Struct("<HQ"), BYTES),
    20: RecordLayout("targets", events.Targets, struct.Struct("<HIBI")),
    30: RecordLayout("query", events.Query, struct.Struct("<HQHHQddfB")),
    40: RecordLayout("first", events.First, struct.Struct("<HQBId")),
    50: RecordLayout("returned", events.Returned, struct.Struct("<HQBIHdBI"), FLOATS),
    60: RecordLayout("vanished", events.Vanished, struct.Struct("<HQ")),
    70: RecordLayout("wakeup", events.Wakeup, struct.Struct("<HI")),
    80: RecordLayout("checked", events.Checked, struct.Struct("<HIdH"), FLOATS),
    90: RecordLayout("note_from", events.NoteFrom, struct.Struct("<HH"), TEXT),
    100: RecordLayout("exit", events.Exit, struct.Struct("<H")),
    110: RecordLayout("census", events.Census, struct.Struct("<I"), ENTRIES),
}
EVENT_NAMES = {layout.event_type: layout.name for layout in RECORDS.values()}


class WireFormatError(Exception):
    """Input that is not marsh-c21d: one sentence names the batch, the record and what was expected."""


def encode_attempt(sender: int, message_id: int, receiver_id: int, timeout_ms: float) -> bytes:
    """Sends a message to a receiver."""
    return ATTEMPT_LAYOUT.pack(ATTEMPT, sender, message_id, receiver_id, timeout_ms)


def encode_not_now(sender: int, message_id: int, retry_after_ms: float) -> bytes:
    """Defers a message: its client may submit it again."""
    return NOT_NOW_LAYOUT.pack(NOT_NOW, sender, message_id, retry_after_ms)


def encode_end_failed(sender: int, message_id: int) -> bytes:
    """Bounces a message."""
    return END_FAILED_LAYOUT.pack(END_FAILED, sender, message_id)


def encode_defer(sender: int, fire_at: float, handle: int) -> bytes:
    """Sets a timer."""
    return DEFER_LAYOUT.pack(DEFER, sender, fire_at, handle)


def encode_close_idle(sender: int, receiver_id: int) -> bytes:
    """Closes idle connections to a receiver."""
    return CLOSE_IDLE_LAYOUT.pack(CLOSE_IDLE, sender, receiver_id)


def encode_die(sender: int, reason: str) -> bytes:
    """Gives a sender up after a fault of its own."""
    text = reason.encode()[:MOST_TEXT_BYTES]
    return DIE_LAYOUT.pack(DIE, sender, len(text)) + text


def encode_reply(batch_number: int, actions: list[bytes]) -> bytes:
    """The reply to a batch."""
    body = b"".join(actions)
    return REPLY_HEADER.pack(batch_number, len(body)) + body


def read_batch(stream: BinaryIO) -> events.Batch | None:
    """The next batch, or None at the end of input.

    Raises WireFormatError.
    """
    header = stream.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireFormatError(f"batch header: expected {BATCH_HEADER.size} bytes, got {len(header)}")
    number, length, count, now = BATCH_HEADER.unpack(header)
    shortest = BATCH_HEADER.size - BYTES_BEFORE_LENGTH_COUNTS
    if length < shortest:
        raise WireFormatError(f"batch {number}: expected a length of at least {shortest}, got {length}")
    body_size = length - shortest
    body = stream.read(body_size)
    if len(body) < body_size:
        raise WireFormatError(f"batch {number}: expected {body_size} bytes of records, got {len(body)}")
    records: list[events.Event] = []
    offset = 0
    for index in range(count):
        event, offset = _decode_record(body, offset, number, index)
        records.append(event)
    if offset != len(body):
        raise WireFormatError(f"batch {number}: expected {count} records to fill {len(body)} bytes, they fill {offset}")
    return events.Batch(number, now, records)


def _decode_record(body: bytes, offset: int, batch_number: int, index: int) -> tuple[Any, int]:
    """The record at this offset and the offset behind it."""
    where = f"batch {batch_number}, record {index}"
    if offset >= len(body):
        raise WireFormatError(f"{where}: expected a record, got the end of the batch")
    code = body[offset]
    if code not in RECORDS:
        raise WireFormatError(f"{where}: expected a known record code, got {code}")
    name, event_type, layout, tail = RECORDS[code]
    try:
        fields = layout.unpack_from(body, offset + 1)
        offset += 1 + layout.size
        if tail:
            content, offset = _decode_tail(body, offset, tail)
            fields += (content,)
    except struct.error as error:
        raise WireFormatError(f"{where}: expected a whole {name}, got the end of the batch") from error
    return event_type(*fields), offset


def _decode_tail(body: bytes, offset: int, tail: Tail) -> tuple[Any, int]:
    """The items at this offset and the offset behind them; struct.error if they are cut off."""
    (count,) = tail.count_layout.unpack_from(body, offset)
    start = offset + tail.count_layout.size
    end = start + count * tail.item_size
    content = body[start:end]
    if len(content) < end - start:
        raise struct.error("cut off")
    if tail is ENTRIES:
        return [events.ReceiverEntry(*entry) for entry in ENTRY_LAYOUT.iter_unpack(content)], end
    if tail is FLOATS:
        return struct.unpack(f"<{count}f", content), end
    return content, end
