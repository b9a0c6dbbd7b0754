"""The program's log: events with fields, as lines for people or as JSON, bounded and never blocking.

`log_event(events.NAME, field=value)` is all that other packages need. The process has one log, on standard error.
"""

import sys
from typing import Any

from . import events
from .event_log import EventLog
from .events import Event
from .levels import LEVELS_BY_LABEL, Level
from .nonblocking_writer import NonBlockingWriter

TRACE_STEPS = 3  # of a traceback that are logged, the last ones

_log = EventLog(NonBlockingWriter())


def log_event(event: Event, /, **fields: Any) -> None:
    """Log an event. Costs next to nothing below the level; never raises, never waits."""
    if event.level >= _log.level:
        _log.log(event, fields)


def is_logged(level: Level = Level.DEBUG) -> bool:
    """Return whether events of this level are logged, for where making the fields costs something."""
    return level >= _log.level


def configure(
    log_format: str = "lines", level: str = "info", rate: int = 5, debug_rate: int = 0, max_held_bytes: float = 65536
) -> None:
    """Put a configuration's `[log]` section in force."""
    _log.set_format(log_format)
    _log.level = LEVELS_BY_LABEL[level]
    _log.rate = rate
    _log.debug_rate = debug_rate
    _log.writer.max_waiting_bytes = int(max_held_bytes)


def report_losses() -> None:
    """Log how many lines were suppressed or lost, as the process ends."""
    _log.report_losses()


def log_internal_error(component: str, /, **fields: Any) -> None:
    """Log the exception that is being handled as an error of dewpin's own."""
    import traceback

    error = sys.exc_info()[1]
    steps = "".join(traceback.format_tb(error.__traceback__)[-TRACE_STEPS:]) if error else ""
    log_event(
        events.INTERNAL_ERROR,
        component=component,
        why=f"{type(error).__name__}: {error}",
        trace=" | ".join(steps.split("\n")),
        **fields,
    )
