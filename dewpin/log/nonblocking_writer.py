"""The end of the log: standard error, written without ever waiting for its reader."""

import os
import socket
import stat
from collections import deque
from collections.abc import Callable

DEFAULT_MAX_WAITING_BYTES = 65536


class NonBlockingWriter:
    """Writes lines to a descriptor without waiting, raising or blocking.

    A line is written complete or lost, never in part. What finds no room waits, up to a bound; beyond it lines are
    lost and counted.

    Attributes:
        max_waiting_bytes: that may wait.
        lost_lines: lines lost and not reported yet.
        waiting: lines, the first one perhaps begun, for which there was no room.
        waiting_bytes: their size.
    """

    def __init__(self, descriptor: int = 2, max_waiting_bytes: int = DEFAULT_MAX_WAITING_BYTES) -> None:
        self.max_waiting_bytes = max_waiting_bytes
        self.lost_lines = 0
        self.waiting: deque[bytes] = deque()
        self.waiting_bytes = 0
        self._write_some = _open_without_waiting(descriptor)

    def write(self, line: bytes) -> None:
        """Write a line, keep it until there is room, or lose it."""
        self.flush()
        if self.waiting:
            if self.waiting_bytes + len(line) > self.max_waiting_bytes:
                self.lost_lines += 1
            else:
                self._keep(line)
        elif rest := self._write_as_possible(line):
            if len(rest) == len(line) > self.max_waiting_bytes:
                self.lost_lines += 1
            else:
                # The rest of a line that was begun is kept whatever its size: without it the next line is unreadable.
                self._keep(rest)

    def flush(self) -> None:
        """Write what waits, as far as there is room."""
        while self.waiting:
            line = self.waiting.popleft()
            self.waiting_bytes -= len(line)
            if rest := self._write_as_possible(line):
                self.waiting.appendleft(rest)
                self.waiting_bytes += len(rest)
                return

    def _keep(self, line: bytes) -> None:
        self.waiting.append(line)
        self.waiting_bytes += len(line)

    def _write_as_possible(self, line: bytes) -> bytes:
        """Write as much of the line as there is room for; return the rest."""
        try:
            while line:
                line = line[self._write_some(line) :]
        except BlockingIOError:
            return line
        except (OSError, ValueError):  # closed, or a full disk: nobody will read it
            self.lost_lines += 1
        return b""


def _open_without_waiting(descriptor: int) -> Callable[[bytes], int]:
    """Return a function that writes to the descriptor without waiting and returns how many bytes it wrote.

    Others who hold the same pipe notice nothing: a pipe or terminal is opened anew in non-blocking mode, which would
    else be shared with whoever passed it to this process; a socket is asked not to wait at each write.
    """
    try:
        mode = os.fstat(descriptor).st_mode
        if stat.S_ISSOCK(mode):
            duplicate = socket.socket(fileno=os.dup(descriptor))
            return lambda data: duplicate.send(data, socket.MSG_DONTWAIT | socket.MSG_NOSIGNAL)
        if stat.S_ISFIFO(mode) or stat.S_ISCHR(mode):
            try:
                flags = os.O_WRONLY | os.O_NONBLOCK | os.O_NOCTTY
                descriptor = os.open(f"/proc/self/fd/{descriptor}", flags)
            except OSError:
                os.set_blocking(descriptor, False)
    except OSError:
        pass  # it is closed: each write is lost
    return lambda data: os.write(descriptor, data)
