"""Threads that a program cannot serve without: one that raises is logged and runs again."""

import threading
import time
from collections.abc import Callable

from ..logs import log_unexpected

RESTART_DELAY_S = 0.1


def start_supervised_thread(name: str, run: Callable[[], None], delay_s: float = RESTART_DELAY_S) -> threading.Thread:
    """Start a daemon thread that calls `run` until it returns; after an exception it is called again."""

    def supervise() -> None:
        while True:
            try:
                run()
                return
            except Exception as error:
                log_unexpected(error, thread=name)
            time.sleep(delay_s)

    thread = threading.Thread(target=supervise, name=name, daemon=True)
    thread.start()
    return thread
