"""Splits a byte stream into complete server-sent events (WHATWG HTML, section 9.2.6).

An event ends with an empty line; a line ends with LF or CRLF. The bytes of an event are preserved as received. Only the
fields `id` and `data` are parsed; all others (`versions`, `event`, comments) are passed through.

The bytes of an incomplete event are neither copied nor searched again when more of it arrives.
"""

import re
from dataclasses import dataclass

from dewpin.dataplane.errors import DataplaneError

MAX_EVENT_LINES = 65_536
"""A working receiver sends few lines in an event; each takes much more memory than its bytes once it is parsed."""
_EVENT_END = re.compile(rb"\r?\n\r?\n")
_MAX_SEPARATOR_BYTES = 4


class TooManyLinesError(DataplaneError, ValueError):
    """An event has more than MAX_EVENT_LINES lines."""


@dataclass(frozen=True, slots=True)
class Event:
    """One complete event.

    Attributes:
        raw: the bytes of the event, including the empty line at the end.
        id: the value of its `id` field; None if absent.
        data: the values of its `data` fields, joined by LF; None if absent.
    """

    raw: bytes
    id: str | None
    data: bytes | None


class EventSplitter:
    """Buffers the bytes of a stream until an event is complete."""

    def __init__(self) -> None:
        self._pending = bytearray()
        self._searched_bytes = 0  # length of the pending bytes that were searched for the end of an event

    @property
    def pending_bytes(self) -> int:
        """Return the number of bytes of the incomplete event."""
        return len(self._pending)

    def feed(self, data: bytes) -> list[Event]:
        """Buffer the next bytes and return the events that they complete. Raises TooManyLinesError."""
        self._pending += data
        events = []
        start = 0
        search_from = max(0, self._searched_bytes - _MAX_SEPARATOR_BYTES + 1)
        for end in _EVENT_END.finditer(self._pending, search_from):
            events.append(parse_event(bytes(self._pending[start : end.end()])))
            start = end.end()
        del self._pending[:start]
        self._searched_bytes = len(self._pending)
        return events

    def flush(self) -> list[Event]:
        """Return the pending bytes as an event: the end of a complete body also ends an event."""
        pending = bytes(self._pending)
        self.discard_pending()
        return [parse_event(pending)] if pending else []

    def discard_pending(self) -> None:
        """Discard the bytes of an incomplete event."""
        self._pending = bytearray()
        self._searched_bytes = 0


def parse_event(raw: bytes) -> Event:
    """Parse the fields of one event. Raises TooManyLinesError."""
    if raw.count(b"\n") > MAX_EVENT_LINES:
        raise TooManyLinesError
    event_id: str | None = None
    data: list[bytes] = []
    for line in raw.split(b"\n"):
        name, _, value = line.rstrip(b"\r").partition(b":")
        value = value[1:] if value.startswith(b" ") else value
        if name == b"data":
            data.append(value)
        elif name == b"id":
            event_id = value.decode("utf-8", "replace")
    return Event(raw, event_id, b"\n".join(data) if data else None)
