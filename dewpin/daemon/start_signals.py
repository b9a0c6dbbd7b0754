"""SIGHUP before the event loop handles signals: recorded, since its default action would end the process."""

import signal
from types import FrameType

_is_reload_requested = False


def record_reload_requests() -> None:
    """Record SIGHUP from now on, until another handler replaces this one. Must be called on the main thread."""
    signal.signal(signal.SIGHUP, _record_reload_request)


def was_reload_requested() -> bool:
    """Return whether SIGHUP was recorded."""
    return _is_reload_requested


def _record_reload_request(number: int, frame: FrameType | None) -> None:
    global _is_reload_requested
    _is_reload_requested = True
