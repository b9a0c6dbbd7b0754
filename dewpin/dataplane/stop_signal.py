"""Lets the main thread wait for SIGTERM and SIGINT, whichever thread the kernel delivers them to.

Python runs signal handlers only on the main thread. A main thread that is blocked on a lock is not woken by a signal
delivered to another thread, so the handler could run much later or never. Therefore the main thread reads from a pipe
whose other end is the wake-up descriptor, to which Python writes a byte at delivery.
"""

import os
import signal
import threading

READ_SIZE_BYTES = 64
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """Records whether the process has received a stop signal.

    Must be created on the main thread, which then calls `wait`. It lives as long as the process, so its pipe is never
    closed.
    """

    def __init__(self) -> None:
        self._received = threading.Event()
        self._reader, writer = os.pipe()
        os.set_blocking(writer, False)
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        for number in STOP_SIGNALS:
            signal.signal(number, lambda *_: self._received.set())

    def is_set(self) -> bool:
        """Return whether a stop signal was received."""
        return self._received.is_set()

    def wait(self) -> None:
        """Block until a stop signal is received."""
        while not self._received.is_set():
            os.read(self._reader, READ_SIZE_BYTES)
