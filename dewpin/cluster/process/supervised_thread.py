"""Threads that a program cannot serve without: one that raises is logged and runs again."""

import errno
import threading
import time
from collections.abc import Callable

from ..logs import log_unexpected

RESTART_DELAY_S = 0.1


def start_supervised_thread(name: str, run: Callable[[], None], delay_s: float = RESTART_DELAY_S) -> threading.Thread:
    """Start a daemon thread that calls `run` until it returns; after an exception it is called again.

    Raises OSError if the system has no thread left.
    """

    def supervise() -> None:
        while True:
            try:
                run()
                return
            except Exception as error:
                log_unexpected(error, thread=name)
            time.sleep(delay_s)

    thread = threading.Thread(target=supervise, name=name, daemon=True)
    start_thread(thread)
    return thread


def start_thread(thread: threading.Thread) -> None:
    """Start a thread. Raises OSError if the system has no thread left, for which `threading` has no exception."""
    try:
        thread.start()
    except RuntimeError as error:
        raise OSError(errno.EAGAIN, str(error)) from error
