"""Non-blocking output of log lines to a file descriptor, by default standard error."""

import os
import socket
import stat
from collections import deque
from collections.abc import Callable

DEFAULT_MAX_BUFFERED_BYTES = 65536


class NonBlockingWriter:
    """Writes lines to a descriptor without raising or blocking.

    A line is written completely or lost, never in part. Lines that the descriptor does not accept are buffered up to a
    limit; beyond it they are dropped and counted.

    Attributes:
        max_buffered_bytes: limit of the buffer.
        lost_lines: number of lines lost and not reported yet.
        buffered_lines: lines not written yet; the first one may be the rest of a partially written line.
        buffered_bytes: their total size.
    """

    def __init__(self, descriptor: int = 2, max_buffered_bytes: int = DEFAULT_MAX_BUFFERED_BYTES) -> None:
        self.max_buffered_bytes = max_buffered_bytes
        self.lost_lines = 0
        self.buffered_lines: deque[bytes] = deque()
        self.buffered_bytes = 0
        self._write_nonblocking = _open_nonblocking(descriptor)

    def write(self, line: bytes) -> None:
        """Write a line, buffer it, or drop it if the buffer is full."""
        self.flush()
        if self.buffered_lines:
            if self.buffered_bytes + len(line) > self.max_buffered_bytes:
                self.lost_lines += 1
            else:
                self._buffer(line)
        elif rest := self._write_available(line):
            if len(rest) == len(line) > self.max_buffered_bytes:
                self.lost_lines += 1
            else:
                # The rest of a partially written line is buffered regardless of the limit: without it the next line
                # would be unreadable.
                self._buffer(rest)

    def flush(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self.buffered_lines:
            line = self.buffered_lines.popleft()
            self.buffered_bytes -= len(line)
            if rest := self._write_available(line):
                self.buffered_lines.appendleft(rest)
                self.buffered_bytes += len(rest)
                return

    def _buffer(self, line: bytes) -> None:
        self.buffered_lines.append(line)
        self.buffered_bytes += len(line)

    def _write_available(self, line: bytes) -> bytes:
        """Write as much of the line as possible without blocking; return the rest."""
        try:
            while line:
                line = line[self._write_nonblocking(line) :]
        except BlockingIOError:
            return line
        except (OSError, ValueError):  # closed descriptor or full disk: the line is lost
            self.lost_lines += 1
        return b""


def _open_nonblocking(descriptor: int) -> Callable[[bytes], int]:
    """Return a function that writes to the descriptor without blocking and returns the number of bytes written.

    Non-blocking mode is a property of the open file description, which is shared with the process that passed the
    descriptor on. To leave that process unaffected, a pipe or terminal is reopened in non-blocking mode, and each write
    to a socket uses MSG_DONTWAIT.
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
        pass  # closed descriptor: every line will be lost
    return lambda data: os.write(descriptor, data)
