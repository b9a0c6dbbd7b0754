"""SIGTERM and SIGINT as something that the main thread can wait for, whichever thread the system delivers them to.

Python runs signal handlers on the main thread alone. A main thread that sleeps on a lock is not woken by a signal that
another thread received, so the handler could run much later, or never. The bytes that Python writes to the wake-up
descriptor at the moment of delivery wake it.
"""

import os
import signal
import threading

READ_SIZE_BYTES = 64
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StopSignal:
    """Whether the process has received a signal to stop.

    Must be made on the main thread, which then calls `wait`. It is meant to last as long as the process, so its pipe
    is never closed.
    """

    def __init__(self) -> None:
        self._received = threading.Event()
        self._reader, writer = os.pipe()
        os.set_blocking(writer, False)
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        for number in STOP_SIGNALS:
            signal.signal(number, lambda *_: self._received.set())

    def is_set(self) -> bool:
        """Return whether a signal to stop was received."""
        return self._received.is_set()

    def wait(self) -> None:
        """Return once a signal to stop was received."""
        while not self._received.is_set():
            os.read(self._reader, READ_SIZE_BYTES)
