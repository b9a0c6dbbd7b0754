"""Structured, rate-limited, non-blocking logging of events as text lines or JSON.

Other packages call `log_event(events.NAME, field=value)`. The process has one log, which writes to standard error.
"""

import sys
from typing import Any

from . import events
from .event_log import EventLog
from .events import Event
from .levels import LEVELS_BY_LABEL, Level
from .nonblocking_writer import NonBlockingWriter

MAX_TRACEBACK_FRAMES = 3  # the innermost ones

_log = EventLog(NonBlockingWriter())


def log_event(event: Event, /, **fields: Any) -> None:
    """Log an event. Cheap for events below the level; never raises or blocks."""
    if event.level >= _log.level:
        _log.log(event, fields)


def is_logged(level: Level = Level.DEBUG) -> bool:
    """Return whether events of this level are logged, so that callers can avoid computing expensive fields."""
    return level >= _log.level


def configure(
    log_format: str = "lines", level: str = "info", rate: int = 5, debug_rate: int = 0, max_held_bytes: float = 65536
) -> None:
    """Apply the `[log]` section of a configuration."""
    _log.set_format(log_format)
    _log.level = LEVELS_BY_LABEL[level]
    _log.rate = rate
    _log.debug_rate = debug_rate
    _log.writer.max_buffered_bytes = int(max_held_bytes)


def report_losses() -> None:
    """Log how many lines were suppressed or lost; called when the process ends."""
    _log.report_losses()


def log_internal_error(component: str, /, **fields: Any) -> None:
    """Log the exception being handled as an internal error of dewpin."""
    import traceback

    error = sys.exc_info()[1]
    frames = "".join(traceback.format_tb(error.__traceback__)[-MAX_TRACEBACK_FRAMES:]) if error else ""
    log_event(
        events.INTERNAL_ERROR,
        component=component,
        why=f"{type(error).__name__}: {error}",
        trace=" | ".join(frames.split("\n")),
        **fields,
    )
