"""Signals of a process, handled from the start on.

The handlers only assign attributes. They take no lock, so that one that interrupts another cannot block the process.
Python writes a byte to a pipe when a signal is delivered to any thread, which wakes the thread that waits for signals;
a thread blocked on a lock would not be woken by a signal that another thread received.
"""

import os
import select
import signal
from types import FrameType

READ_SIZE_BYTES = 512
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class ProcessSignals:
    """Records stop signals and SIGHUP.

    Must be created on the main thread. It lives as long as the process, so its pipe is never closed.
    """

    def __init__(self) -> None:
        self._stop_number: int | None = None
        self._reload_requested = False
        self._reader, self._writer = os.pipe()
        for descriptor in (self._reader, self._writer):
            os.set_blocking(descriptor, False)
        signal.set_wakeup_fd(self._writer, warn_on_full_buffer=False)
        for number in STOP_SIGNALS:
            signal.signal(number, self._record_stop)
        signal.signal(signal.SIGHUP, self._record_reload)

    def fileno(self) -> int:
        """Return the descriptor that is readable after a signal; `clear` makes it unreadable again."""
        return self._reader

    @property
    def stop_signal(self) -> signal.Signals | None:
        """The first stop signal that was received."""
        return None if self._stop_number is None else signal.Signals(self._stop_number)

    def take_reload_request(self) -> bool:
        """Return whether SIGHUP was received since the last call."""
        if not self._reload_requested:
            return False
        self._reload_requested = False
        return True

    def wait(self, timeout_s: float | None = None) -> None:
        """Block until a signal is received, or until the time-out. Must be called on the main thread."""
        poller = select.poll()
        poller.register(self._reader, select.POLLIN)
        poller.poll(None if timeout_s is None else timeout_s * 1000)
        self.clear()

    def clear(self) -> None:
        """Read the bytes of the signals received so far."""
        try:
            while os.read(self._reader, READ_SIZE_BYTES):
                pass
        except BlockingIOError:
            pass

    def _record_stop(self, number: int, frame: FrameType | None) -> None:
        if self._stop_number is None:
            self._stop_number = number

    def _record_reload(self, number: int, frame: FrameType | None) -> None:
        self._reload_requested = True
