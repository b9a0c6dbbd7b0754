"""Event log with a level, a format, a rate limit per event, and counts of suppressed lines."""

import time
from collections.abc import Callable
from typing import Any

from . import events
from .events import Event
from .levels import Level
from .nonblocking_writer import NonBlockingWriter


class EventLog:
    """Event log that never raises, blocks or modifies the values it is passed.

    Attributes:
        writer: destination of the lines.
        log_format: "lines" for text, or "json".
        level: minimum level of logged events.
        rate: maximum lines per event and second at level info and above; 0 for no limit.
        debug_rate: the same at level debug.
        clock: returns the time in seconds.
    """

    def __init__(
        self,
        writer: NonBlockingWriter,
        log_format: str = "lines",
        level: Level = Level.INFO,
        rate: int = 5,
        debug_rate: int = 0,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.writer = writer
        self.log_format = log_format
        self.level = level
        self.rate = rate
        self.debug_rate = debug_rate
        self.clock = clock
        self._second = 0
        self._line_counts: dict[str, int] = {}  # by event name, in the current second
        self._suppressed_counts: dict[str, int] = {}  # by event name, not reported yet
        self._render: Callable[[Event, dict[str, Any]], bytes] | None = None

    def log(self, event: Event, fields: dict[str, Any]) -> None:
        """Log an event unless it is below the level or exceeds its rate limit."""
        if event.level < self.level:
            return
        second = int(self.clock())
        if second != self._second:
            self._second, self._line_counts = second, {}
            self.report_losses()
        max_lines = self.debug_rate if event.level <= Level.DEBUG else self.rate
        count = self._line_counts[event.name] = self._line_counts.get(event.name, 0) + 1
        if max_lines and count > max_lines:
            self._suppressed_counts[event.name] = self._suppressed_counts.get(event.name, 0) + 1
            return
        self._write(event, fields)

    def set_format(self, log_format: str) -> None:
        """Set the format of subsequent lines."""
        if log_format != self.log_format:
            self.log_format, self._render = log_format, None

    def report_losses(self) -> None:
        """Log how many lines were suppressed and, once the buffer is empty again, how many were lost."""
        suppressed, self._suppressed_counts = self._suppressed_counts, {}
        for name, lines in suppressed.items():
            self._write(events.LINES_SUPPRESSED, {"event": name, "lines": lines})
        self.writer.flush()
        if self.writer.lost_lines and not self.writer.buffered_lines:
            lost, self.writer.lost_lines = self.writer.lost_lines, 0
            self._write(events.LINES_LOST, {"lines": lost})

    def _write(self, event: Event, fields: dict[str, Any]) -> None:
        if self._render is None:
            from .rendering import make_renderer  # deferred to the first line: loads structlog

            self._render = make_renderer(self.log_format)
        try:
            self.writer.write(self._render(event, fields))
        except Exception as error:  # a field that can't be rendered must not fail the caller
            self.writer.write(f"dewpin: {event.name}: can't be logged: {type(error).__name__}\n".encode())
