"""Structured logging of the tier's programs: one JSON object per line on standard error.

Every line is one of the named `Event`s with its own fields; `EVENT_LEVELS` has the level of each. By default only
process lifecycle events, warnings and errors are written. Logging never blocks the program: a line is dropped if
writing to standard error would block or if there are more than MAX_LINES_PER_SECOND, and the next line written reports
the number of dropped lines. `configure` is called once at start-up; until then, events at the default level are
dropped.
"""

import logging
import os
import select
import time
from collections.abc import Callable, Mapping
from enum import StrEnum, unique
from types import MappingProxyType
from typing import Any

from .errors import TierError

LOGGER_NAME = "dewpin"
"""The logger that `configure` sets up; records of the loggers of modules propagate to it."""

NOTICE = 25
"""The level between INFO and WARNING, for process lifecycle events."""

LEVELS: Mapping[str, int] = MappingProxyType(
    {
        "debug": logging.DEBUG,
        "info": logging.INFO,
        "notice": NOTICE,
        "warning": logging.WARNING,
        "error": logging.ERROR,
    }
)
"""Logging levels by their names in the settings file."""

STDERR_DESCRIPTOR = 2
MAX_LINES_PER_SECOND = 50
MAX_TEXT_CHARACTERS = 1_000
"""Longer text fields are truncated."""
TRACEBACK_FIELD = "exc_info"

_MAX_LINE_BYTES = select.PIPE_BUF
"""A pipe that polls as writable accepts a write of this many bytes without blocking."""


@unique
class Event(StrEnum):
    """The type of a log line; its value is the line's `event` field."""

    STARTING = "starting"
    START_WAITS = "start_waits"
    STARTED = "started"
    READY = "ready"
    STOPPING = "stopping"
    STOPPED = "stopped"
    FAILED = "failed"
    SETTINGS_RELOADED = "settings_reloaded"
    SETTINGS_REJECTED = "settings_rejected"
    CONFIGURATION_ACCEPTED = "configuration_accepted"
    CONFIGURATION_REJECTED = "configuration_rejected"
    CONFIGURATION_APPLIED = "configuration_applied"
    MEMBERS_CHANGED = "members_changed"
    STORE_VIEW_CHANGED = "store_view_changed"
    RETIRE_STARTED = "retire_started"
    RETIRE_DONE = "retire_done"
    PARENT_CHANGED = "parent_changed"
    RECEIVERS_CHANGED = "receivers_changed"
    ROLE_ACQUIRED = "duty_taken"
    REQUEST_DONE = "request_done"
    CALL_FAILED = "call_failed"
    RECEIVER_EJECTED = "receiver_ejected"
    ERROR = "error"
    UNEXPECTED = "unexpected"


EVENT_LEVELS: Mapping[Event, int] = MappingProxyType(
    {
        Event.STARTING: NOTICE,
        Event.START_WAITS: logging.WARNING,
        Event.STARTED: NOTICE,
        Event.READY: NOTICE,
        Event.STOPPING: NOTICE,
        Event.STOPPED: NOTICE,
        Event.FAILED: logging.ERROR,
        Event.SETTINGS_RELOADED: NOTICE,
        Event.SETTINGS_REJECTED: logging.ERROR,
        Event.CONFIGURATION_ACCEPTED: NOTICE,
        Event.CONFIGURATION_REJECTED: logging.WARNING,
        Event.CONFIGURATION_APPLIED: logging.INFO,
        Event.MEMBERS_CHANGED: NOTICE,
        Event.STORE_VIEW_CHANGED: NOTICE,
        Event.RETIRE_STARTED: NOTICE,
        Event.RETIRE_DONE: NOTICE,
        Event.PARENT_CHANGED: logging.INFO,
        Event.RECEIVERS_CHANGED: logging.DEBUG,
        Event.ROLE_ACQUIRED: logging.INFO,
        Event.REQUEST_DONE: logging.DEBUG,
        Event.CALL_FAILED: logging.INFO,
        Event.RECEIVER_EJECTED: logging.WARNING,
        Event.ERROR: logging.WARNING,
        Event.UNEXPECTED: logging.ERROR,
    }
)

_logger = logging.getLogger(LOGGER_NAME)


def _truncated(key: str, value: object) -> object:
    if not isinstance(value, str) or len(value) <= MAX_TEXT_CHARACTERS:
        return value
    if key == TRACEBACK_FIELD:  # its last lines have the exception and the place where it was raised
        return "..." + value[-MAX_TEXT_CHARACTERS:]
    return value[:MAX_TEXT_CHARACTERS] + "..."


class BoundedHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking.

    `dropped`: number of lines dropped since the last one was written.
    """

    def __init__(self, descriptor: int, clock: Callable[[], float] = time.monotonic) -> None:
        """Write to `descriptor`; `clock` returns monotonic seconds."""
        super().__init__()
        self._descriptor = descriptor
        self._clock = clock
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._second_started_s = clock()
        self._lines_in_second = 0
        self.dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or drop it if that would block or exceed the rate limit."""
        if not self._is_within_rate_limit() or not self._is_writable():
            self.dropped += 1
            return
        try:
            line = self.format(record).encode("utf-8", "backslashreplace")
            os.write(self._descriptor, line[: _MAX_LINE_BYTES - 1] + b"\n")
        except Exception:
            self.dropped += 1
        else:
            self.dropped = 0

    def _is_within_rate_limit(self) -> bool:
        now_s = self._clock()
        if now_s - self._second_started_s >= 1.0:
            self._second_started_s = now_s
            self._lines_in_second = 0
        self._lines_in_second += 1
        return self._lines_in_second <= MAX_LINES_PER_SECOND

    def _is_writable(self) -> bool:
        return any(events & select.POLLOUT for _, events in self._poll.poll(0))


def configure(level: str, node: str, role: str, descriptor: int | None = None) -> BoundedHandler:
    """Log events from `level` (a key of LEVELS) up to standard error, each with the names of the node and the role."""
    from pythonjsonlogger.json import JsonFormatter

    class LineFormatter(JsonFormatter):
        """Moves an event's fields to the top level of the line; the fields common to all lines take precedence."""

        def process_log_record(self, log_data: dict[str, Any]) -> dict[str, Any]:
            line: dict[str, Any] = super().process_log_record(log_data)
            fields = line.pop("fields", {})
            if handler.dropped:
                line["dropped_lines"] = handler.dropped
            extra_fields = {key: value for key, value in fields.items() if key not in line}
            return {key: _truncated(key, value) for key, value in {**line, **extra_fields}.items()}

    handler = BoundedHandler(STDERR_DESCRIPTOR if descriptor is None else descriptor)
    handler.setFormatter(
        LineFormatter(
            "%(created)f %(levelname)s %(message)s",
            rename_fields={"created": "time", "levelname": "level", "message": "event"},
            static_fields={"node": node, "role": role},
        )
    )
    logging.addLevelName(NOTICE, "NOTICE")
    _logger.handlers = [handler]
    _logger.setLevel(LEVELS[level])
    _logger.propagate = False
    return handler


def log_event(event: Event, **fields: object) -> None:
    """Log an event at its level with additional fields, which must be serializable as JSON."""
    level = EVENT_LEVELS[event]
    if _logger.isEnabledFor(level):
        _logger.log(level, event.value, extra={"fields": fields} if fields else None)


def log_error(error: TierError, **fields: object) -> None:
    """Log an error at the level of its kind."""
    level = error.response.log_level
    if _logger.isEnabledFor(level):
        details = {"kind": error.kind.value, "detail": error.detail, **fields}
        _logger.log(level, Event.ERROR.value, extra={"fields": details})


def log_unexpected(error: BaseException, **fields: object) -> None:
    """Log an unexpected exception with its traceback."""
    _logger.error(Event.UNEXPECTED.value, exc_info=error, extra={"fields": fields} if fields else None)
