"""The framing of marsh-c21d: batches in, replies out. Layouts only, no meaning."""

import struct

HEADER = struct.Struct("<IIId")
REPLY = struct.Struct("<II")

(PROVISION, TARGETS, QUERY, FIRST, RETURNED, VANISHED, WAKEUP, CHECKED, NOTE_FROM, EXIT, CENSUS) = range(10, 120, 10)

# code: (name, fixed fields, what follows: nothing, bytes or entries with a u32 count, f32 with a u8)
RECORDS = {
    PROVISION: ("provision", struct.Struct("<HQ"), "bytes"),
    TARGETS: ("targets", struct.Struct("<HIBI"), None),
    QUERY: ("query", struct.Struct("<HQHHQddfB"), None),
    FIRST: ("first", struct.Struct("<HQBId"), None),
    RETURNED: ("returned", struct.Struct("<HQBIHdBI"), "floats"),
    VANISHED: ("vanished", struct.Struct("<HQ"), None),
    WAKEUP: ("wakeup", struct.Struct("<HI"), None),
    CHECKED: ("checked", struct.Struct("<HIdH"), "floats"),
    NOTE_FROM: ("note_from", struct.Struct("<HH"), "text"),
    EXIT: ("exit", struct.Struct("<H"), None),
    CENSUS: ("census", struct.Struct("<I"), "entries"),
}
ENTRY = struct.Struct("<BfHdHIH")
COUNTS = {
    "bytes": struct.Struct("<I"),
    "entries": struct.Struct("<I"),
    "floats": struct.Struct("<B"),
    "text": struct.Struct("<H"),
}

ATTEMPT = struct.Struct("<BHQId")
NOT_NOW = struct.Struct("<BHQd")
END_FAILED = struct.Struct("<BHQ")
DEFER = struct.Struct("<BHdI")
CLOSE_IDLE = struct.Struct("<BHI")


class Malformed(Exception):
    """Input that is not marsh-c21d: one sentence names the batch, the record and what was expected."""


def attempt(sender, ticket, receiver, limit):
    return ATTEMPT.pack(10, sender, ticket, receiver, limit)


def not_now(sender, ticket, hold_off):
    return NOT_NOW.pack(20, sender, ticket, hold_off)


def end_failed(sender, ticket):
    return END_FAILED.pack(30, sender, ticket)


def defer(sender, fire_at, handle):
    return DEFER.pack(50, sender, fire_at, handle)


def close_idle(sender, receiver):
    return CLOSE_IDLE.pack(70, sender, receiver)


def die(sender, words):
    text = words.encode()[:65535]
    return struct.pack("<BHH", 100, sender, len(text)) + text


def reply(number, actions):
    body = b"".join(actions)
    return REPLY.pack(number, len(body)) + body


def read_batch(stream):
    """The number, clock and records of the next batch, or None at the end of input."""
    head = stream.read(HEADER.size)
    if not head:
        return None
    if len(head) < HEADER.size:
        raise Malformed(f"batch header: expected {HEADER.size} bytes, got {len(head)}")
    number, length, count, now = HEADER.unpack(head)
    rest = length - (HEADER.size - 8)
    if rest < 0:
        raise Malformed(f"batch {number}: expected a length of at least {HEADER.size - 8}, got {length}")
    body = stream.read(rest)
    if len(body) < rest:
        raise Malformed(f"batch {number}: expected {rest} bytes of records, got {len(body)}")
    records, at = [], 0
    for index in range(count):
        record, at = _record(body, at, f"batch {number}, record {index}")
        records.append(record)
    if at != len(body):
        raise Malformed(f"batch {number}: expected {count} records to fill {len(body)} bytes, they fill {at}")
    return number, now, records


def _record(body, at, where):
    if at >= len(body):
        raise Malformed(f"{where}: expected a record, got the end of the batch")
    code = body[at]
    if code not in RECORDS:
        raise Malformed(f"{where}: expected a known record code, got {code}")
    name, layout, tail = RECORDS[code]
    try:
        fields = layout.unpack_from(body, at + 1)
        at += 1 + layout.size
        if tail:
            (n,) = COUNTS[tail].unpack_from(body, at)
            at += COUNTS[tail].size
            size = n * {"entries": ENTRY.size, "floats": 4}.get(tail, 1)
            content = body[at : at + size]
            if len(content) < size:
                raise struct.error
            at += size
            if tail == "entries":
                content = list(ENTRY.iter_unpack(content))
            elif tail == "floats":
                content = struct.unpack(f"<{n}f", content)
            fields += (content,)
    except struct.error:
        raise Malformed(f"{where}: expected a whole {name}, got the end of the batch") from None
    return (code, *fields), at
