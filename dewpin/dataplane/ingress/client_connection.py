"""A client's connection: reading and writing with deadlines on a non-blocking socket, without losing a byte."""

import select
import socket
import struct
from collections.abc import Callable

RECEIVE_SIZE = 65536
LINGER_S = 1.0
MOST_LINGER_BYTES = 4 * 1024 * 1024
_NO_LINGER = struct.pack("ii", 1, 0)


class PeerClosed(ConnectionError):
    """The client closed the connection."""


class TooLarge(ValueError):
    """The bytes read exceed a limit."""


class ClientConnection:
    """Buffers what a client sent beyond the bytes asked for; `wake` is a descriptor that ends waits at rest.

    Deadlines are times of the clock, in seconds. Reading raises PeerClosed where the client ended the connection, and
    TimeoutError at the deadline.
    """

    def __init__(self, sock: socket.socket, wake: int, clock: Callable[[], float]) -> None:
        self._socket = sock
        self._wake = wake
        self._clock = clock
        self._buffer = bytearray()
        self._has_ended = False
        sock.setblocking(False)

    def fileno(self) -> int:
        """Return the socket's descriptor."""
        return self._socket.fileno()

    def has_gone(self) -> bool:
        """Tell, without blocking, whether the client has closed the connection."""
        poller = select.poll()
        poller.register(self._socket, select.POLLRDHUP)
        return bool(poller.poll(0))

    def wait_at_rest(self, rest_s: Callable[[], float]) -> bool:
        """Wait for the first byte of a request; False if none comes in `rest_s()`, or once the wake-up has come."""
        since = self._clock()
        while not self._buffer:
            left_s = since + rest_s() - self._clock()
            if self._has_ended or left_s <= 0:
                return False
            poller = select.poll()
            poller.register(self._socket, select.POLLIN)
            poller.register(self._wake, select.POLLIN)
            ready = {descriptor for descriptor, _ in poller.poll(left_s * 1000 + 1)}
            if self._socket.fileno() in ready:
                self._receive()
            elif self._wake in ready:
                return False
        return True

    def read_until(self, mark: bytes, limit: int, deadline: float) -> bytes:
        """Return the bytes up to `mark`, which is left out; raises TooLarge beyond `limit` bytes."""
        searched = 0
        while True:
            end = self._buffer.find(mark, searched)
            if end > limit or (end < 0 and len(self._buffer) > limit + len(mark)):
                raise TooLarge
            if end >= 0:
                taken = bytes(self._buffer[:end])
                del self._buffer[: end + len(mark)]
                return taken
            searched = max(0, len(self._buffer) - len(mark) + 1)
            self._receive_by(deadline)

    def read_exactly(self, length: int, deadline: float) -> bytes:
        """Return the next `length` bytes."""
        while len(self._buffer) < length:
            self._receive_by(deadline)
        taken = bytes(self._buffer[:length])
        del self._buffer[:length]
        return taken

    @property
    def has_buffered_bytes(self) -> bool:
        """Tell whether bytes were received that nobody asked for yet."""
        return bool(self._buffer)

    def skip_empty_lines(self) -> None:
        """Drop empty lines before a request, which some clients send after a body."""
        while self._buffer.startswith(b"\r\n"):
            del self._buffer[:2]

    def send_all(self, data: bytes, deadline: float) -> None:
        """Send every byte; raises TimeoutError at the deadline and OSError where the client is gone."""
        view = memoryview(data)
        while view:
            try:
                view = view[self._socket.send(view) :]
            except BlockingIOError:
                self._wait(select.POLLOUT, deadline)

    def close(self) -> None:
        """Close at once."""
        self._socket.close()

    def reset(self) -> None:
        """Close so that the client cannot take what it got for whole."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
        self._socket.close()

    def close_lingering(self) -> None:
        """Close so that the client can read what was sent: end the sending, then read on for a while."""
        deadline = self._clock() + LINGER_S
        try:
            self._socket.shutdown(socket.SHUT_WR)
            skipped = 0
            while skipped < MOST_LINGER_BYTES:
                self._buffer.clear()
                self._receive_by(deadline)
                skipped += len(self._buffer)
        except OSError:
            pass
        self.close()

    def _receive_by(self, deadline: float) -> None:
        """Receive some bytes; raises PeerClosed at the end and TimeoutError at the deadline."""
        while not self._receive():
            if self._has_ended:
                raise PeerClosed
            self._wait(select.POLLIN, deadline)

    def _receive(self) -> bool:
        """Receive what is there; False if nothing is."""
        try:
            received = self._socket.recv(RECEIVE_SIZE)
        except BlockingIOError:
            return False
        self._has_ended = not received
        self._buffer += received
        return bool(received)

    def _wait(self, event: int, deadline: float) -> None:
        left_s = deadline - self._clock()
        if left_s <= 0:
            raise TimeoutError
        poller = select.poll()
        poller.register(self._socket, event)
        poller.poll(left_s * 1000 + 1)
