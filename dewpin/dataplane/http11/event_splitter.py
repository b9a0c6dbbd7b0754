"""Server-sent events: cutting the bytes of a stream into whole events.

An event ends with an empty line; lines end with a line feed, with or without a carriage return before it. The bytes of
an event are kept as they came. Fields other than `id` and `data` (`versions`, `event`, comments) are passed on unread.
"""

import re
from dataclasses import dataclass

_EVENT_END = re.compile(rb"\r?\n\r?\n")


@dataclass(frozen=True, slots=True)
class Event:
    """One whole event: its bytes with the empty line behind, its id, and its data (None if it has none)."""

    raw: bytes
    id: str | None
    data: bytes | None


class EventSplitter:
    """Collects bytes until they make whole events."""

    def __init__(self) -> None:
        self._pending = b""

    def feed(self, part: bytes) -> list[Event]:
        """Take in the next bytes and return the events that became whole."""
        self._pending += part
        events = []
        start = 0
        for end in _EVENT_END.finditer(self._pending):
            events.append(parse_event(self._pending[start : end.end()]))
            start = end.end()
        self._pending = self._pending[start:]
        return events

    def take_rest(self) -> list[Event]:
        """Return what came after the last whole event; the end of a whole body ends an event as well."""
        rest, self._pending = self._pending, b""
        return [parse_event(rest)] if rest else []

    def drop_pending(self) -> None:
        """Forget the bytes of an event that will not become whole."""
        self._pending = b""


def parse_event(raw: bytes) -> Event:
    """Read the fields of one event; several `data` lines are joined by line feeds."""
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
