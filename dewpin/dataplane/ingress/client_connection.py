"""The connection to a client: buffered reads and writes with deadlines on a non-blocking socket."""

import select
import socket
import struct
from collections.abc import Callable

from dewpin.dataplane.errors import DataplaneError

RECEIVE_BYTES = 65536
LINGER_S = 1.0
MAX_LINGER_BYTES = 4 * 1024 * 1024
"""Bounds of the time and the bytes read from a client after the last response, so that it can receive that response."""
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ClientDisconnectedError(DataplaneError, ConnectionError):
    """The client closed the connection."""


class MessageTooLargeError(DataplaneError, ValueError):
    """A message from a client exceeds a size limit."""


class ClientConnection:
    """A connection that buffers the bytes received beyond those requested.

    Deadlines are times of the clock, in seconds. The `read` methods raise ClientDisconnectedError if the client has
    closed the connection, and TimeoutError at the deadline.
    """

    def __init__(self, sock: socket.socket, wakeup_fd: int, clock: Callable[[], float]) -> None:
        """Take ownership of a connected socket; `wait_for_request` ends once the descriptor `wakeup_fd` is readable."""
        self._socket = sock
        self._wakeup_fd = wakeup_fd
        self._clock = clock
        self._buffer = bytearray()
        self._is_eof = False
        sock.setblocking(False)

    def fileno(self) -> int:
        """Return the file descriptor of the socket."""
        return self._socket.fileno()

    def has_disconnected(self) -> bool:
        """Return, without blocking, whether the client has closed the connection or its sending side."""
        poller = select.poll()
        poller.register(self._socket, select.POLLRDHUP)
        return bool(poller.poll(0))

    def wait_for_request(self, idle_timeout_s: Callable[[], float]) -> bool:
        """Wait for the first byte of a request; return False on time-out, wake-up or end of the connection.

        `idle_timeout_s` is called again after each wait, since the operator may change the time-out meanwhile.
        """
        idle_since = self._clock()
        while not self._buffer:
            left_s = idle_since + idle_timeout_s() - self._clock()
            if self._is_eof or left_s <= 0:
                return False
            poller = select.poll()
            poller.register(self._socket, select.POLLIN)
            poller.register(self._wakeup_fd, select.POLLIN)
            ready = {descriptor for descriptor, _ in poller.poll(left_s * 1000 + 1)}
            if self._socket.fileno() in ready:
                self._receive()
            elif self._wakeup_fd in ready:
                return False
        return True

    def read_until(self, delimiter: bytes, limit: int, deadline: float) -> bytes:
        """Return the bytes before `delimiter` and consume both. Raises MessageTooLargeError beyond `limit` bytes."""
        searched = 0
        while True:
            end = self._buffer.find(delimiter, searched)
            if end > limit or (end < 0 and len(self._buffer) > limit + len(delimiter)):
                raise MessageTooLargeError
            if end >= 0:
                data = bytes(self._buffer[:end])
                del self._buffer[: end + len(delimiter)]
                return data
            searched = max(0, len(self._buffer) - len(delimiter) + 1)
            self._receive_by(deadline)

    def read_exactly(self, length: int, deadline: float) -> bytes:
        """Return exactly the next `length` bytes."""
        while len(self._buffer) < length:
            self._receive_by(deadline)
        data = bytes(self._buffer[:length])
        del self._buffer[:length]
        return data

    @property
    def has_buffered_bytes(self) -> bool:
        """Return whether received bytes remain unread."""
        return bool(self._buffer)

    def skip_empty_lines(self) -> None:
        """Skip empty lines before a request (RFC 9112, 2.2), which some clients send after a body."""
        while self._buffer.startswith(b"\r\n"):
            del self._buffer[:2]

    def send_all(self, data: bytes, deadline: float) -> None:
        """Send all bytes. Raises TimeoutError at the deadline and OSError if the connection is broken."""
        view = memoryview(data)
        while view:
            try:
                view = view[self._socket.send(view) :]
            except BlockingIOError:
                self._wait(select.POLLOUT, deadline)

    def close(self) -> None:
        """Close the connection immediately."""
        self._socket.close()

    def reset(self) -> None:
        """Reset the connection, so that the client cannot mistake an incomplete response for a complete one."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._socket.close()

    def close_lingering(self) -> None:
        """Shut down the sending side and discard input for a limited time, so that the client can read the response.

        Closing a socket with unread bytes would reset the connection (RFC 9112, 9.6).
        """
        deadline = self._clock() + LINGER_S
        try:
            self._socket.shutdown(socket.SHUT_WR)
            skipped = 0
            while skipped < MAX_LINGER_BYTES:
                self._buffer.clear()
                self._receive_by(deadline)
                skipped += len(self._buffer)
        except OSError:
            pass
        self.close()

    def _receive_by(self, deadline: float) -> None:
        """Receive some bytes. Raises ClientDisconnectedError at end of input and TimeoutError at the deadline."""
        while not self._receive():
            if self._is_eof:
                raise ClientDisconnectedError
            self._wait(select.POLLIN, deadline)

    def _receive(self) -> bool:
        """Receive the available bytes without blocking; return False if there are none."""
        try:
            received = self._socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return False
        self._is_eof = not received
        self._buffer += received
        return bool(received)

    def _wait(self, event: int, deadline: float) -> None:
        left_s = deadline - self._clock()
        if left_s <= 0:
            raise TimeoutError
        poller = select.poll()
        poller.register(self._socket, event)
        poller.poll(left_s * 1000 + 1)
