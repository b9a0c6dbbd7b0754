"""Encoding and decoding of the simulator protocol marsh-c21d: batches in, replies out.

All integers and floats are little-endian without padding. The events are interpreted in `adapter`.
"""

from __future__ import annotations

import struct
from typing import Any, BinaryIO, NamedTuple

from . import events

BATCH_HEADER = struct.Struct("<IIId")  # number, number of bytes after this field, number of records, clock
UNCOUNTED_HEADER_BYTES = 8  # the start of the batch header, which the length excludes
REPLY_HEADER = struct.Struct("<II")  # number, total bytes of the actions

# Action codes, and the layouts of actions including the code.
ATTEMPT, NOT_NOW, END_FAILED, DEFER, CLOSE_IDLE, DIE = 10, 20, 30, 50, 70, 100
ATTEMPT_LAYOUT = struct.Struct("<BHQId")
NOT_NOW_LAYOUT = struct.Struct("<BHQd")
END_FAILED_LAYOUT = struct.Struct("<BHQ")
DEFER_LAYOUT = struct.Struct("<BHdI")
CLOSE_IDLE_LAYOUT = struct.Struct("<BHI")
DIE_LAYOUT = struct.Struct("<BHH")
MAX_TEXT_BYTES = 65535

ENTRY_LAYOUT = struct.Struct("<BfHdHIH")
FLOAT_SIZE = 4


class ArrayLayout(NamedTuple):
    """A variable-length array after the fixed fields of a record: the item count, then the items."""

    count_layout: struct.Struct
    item_size: int


BYTES = ArrayLayout(struct.Struct("<I"), 1)
TEXT = ArrayLayout(struct.Struct("<H"), 1)
FLOATS = ArrayLayout(struct.Struct("<B"), FLOAT_SIZE)
ENTRIES = ArrayLayout(struct.Struct("<I"), ENTRY_LAYOUT.size)


class RecordLayout(NamedTuple):
    """The layout of a record after its code. `name`: its name in the protocol specification."""

    name: str
    event_type: Any
    fields: struct.Struct
    array: ArrayLayout | None = None


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
    """Input that violates marsh-c21d. The message names the batch, the record and what was expected."""


def encode_attempt(sender: int, message_id: int, receiver_id: int, timeout_ms: float) -> bytes:
    """Encode the action that sends a message to a receiver."""
    return ATTEMPT_LAYOUT.pack(ATTEMPT, sender, message_id, receiver_id, timeout_ms)


def encode_not_now(sender: int, message_id: int, retry_after_ms: float) -> bytes:
    """Encode the action that defers a message, which the client may submit again."""
    return NOT_NOW_LAYOUT.pack(NOT_NOW, sender, message_id, retry_after_ms)


def encode_end_failed(sender: int, message_id: int) -> bytes:
    """Encode the action that bounces a message."""
    return END_FAILED_LAYOUT.pack(END_FAILED, sender, message_id)


def encode_defer(sender: int, fire_at: float, handle: int) -> bytes:
    """Encode the action that sets a timer."""
    return DEFER_LAYOUT.pack(DEFER, sender, fire_at, handle)


def encode_close_idle(sender: int, receiver_id: int) -> bytes:
    """Encode the action that closes idle connections to a receiver."""
    return CLOSE_IDLE_LAYOUT.pack(CLOSE_IDLE, sender, receiver_id)


def encode_die(sender: int, reason: str) -> bytes:
    """Encode the action that terminates a sender after an internal error."""
    text = reason.encode()[:MAX_TEXT_BYTES]
    return DIE_LAYOUT.pack(DIE, sender, len(text)) + text


def encode_reply(batch_number: int, actions: list[bytes]) -> bytes:
    """Encode the reply to a batch."""
    body = b"".join(actions)
    return REPLY_HEADER.pack(batch_number, len(body)) + body


def read_batch(stream: BinaryIO) -> events.Batch | None:
    """Return the next batch, or None at the end of input.

    Raises WireFormatError.
    """
    header = stream.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireFormatError(f"batch header: expected {BATCH_HEADER.size} bytes, got {len(header)}")
    number, length, count, now = BATCH_HEADER.unpack(header)
    min_length = BATCH_HEADER.size - UNCOUNTED_HEADER_BYTES
    if length < min_length:
        raise WireFormatError(f"batch {number}: expected a length of at least {min_length}, got {length}")
    body_size = length - min_length
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
    """Return the record at this offset and the offset after it."""
    location = f"batch {batch_number}, record {index}"
    if offset >= len(body):
        raise WireFormatError(f"{location}: expected a record, got the end of the batch")
    code = body[offset]
    if code not in RECORDS:
        raise WireFormatError(f"{location}: expected a known record code, got {code}")
    name, event_type, layout, array = RECORDS[code]
    try:
        fields = layout.unpack_from(body, offset + 1)
        offset += 1 + layout.size
        if array:
            content, offset = _decode_array(body, offset, array)
            fields += (content,)
    except struct.error as error:
        raise WireFormatError(f"{location}: expected a complete {name}, got the end of the batch") from error
    return event_type(*fields), offset


def _decode_array(body: bytes, offset: int, array: ArrayLayout) -> tuple[Any, int]:
    """Return the items at this offset and the offset after them. Raises struct.error if they are truncated."""
    (count,) = array.count_layout.unpack_from(body, offset)
    start = offset + array.count_layout.size
    end = start + count * array.item_size
    content = body[start:end]
    if len(content) < end - start:
        raise struct.error("truncated")
    if array is ENTRIES:
        return [events.ReceiverEntry(*entry) for entry in ENTRY_LAYOUT.iter_unpack(content)], end
    if array is FLOATS:
        return struct.unpack(f"<{count}f", content), end
    return content, end
