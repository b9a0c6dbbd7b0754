"""The connection to a client: buffered reads and writes with deadlines on a non-blocking socket."""

import re
import select
import socket
import struct
from collections.abc import Callable
from contextlib import suppress

from dewpin.chunk_runs import decode_run
from dewpin.cluster.memory_budget import AccountEvictedError, MemoryBudget
from dewpin.cluster.received_body import ReceivedBody
from dewpin.dataplane.errors import DataplaneError
from dewpin.dataplane.ingress import receive_buffers

LINGER_S = 1.0
MAX_LINGER_BYTES = 4 * 1024 * 1024
"""Bounds of the time and the bytes read from a client after the last response, so that it can receive that response."""
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_EMPTY_LINES = re.compile(rb"(?:\r\n)*")


class ClientDisconnectedError(DataplaneError, ConnectionError):
    """The client closed the connection."""


class MessageTooLargeError(DataplaneError, ValueError):
    """A message from a client exceeds a size limit."""


class ClientConnection:
    """A connection that buffers the bytes received beyond those requested.

    Deadlines are times of the clock, in seconds. The `read` methods raise ClientDisconnectedError if the client has
    closed the connection, TimeoutError at the deadline, and MemoryBudgetExceededError if the received bytes do not fit
    into the memory budget, or if they were dropped in favour of another connection.

    Attributes:
        memory: the account of what is held for this connection.
    """

    def __init__(self, sock: socket.socket, wakeup_fd: int, clock: Callable[[], float], budget: MemoryBudget) -> None:
        """Take ownership of a connected socket; `wait_for_request` ends once the descriptor `wakeup_fd` is readable."""
        self.memory = budget.open_account(self._drop_received)
        self._socket = sock
        self._wakeup_fd = wakeup_fd
        self._clock = clock
        self._buffer = bytearray()
        self._body: ReceivedBody | None = None
        self._is_eof = False
        self._is_receiving = False
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
        """Return exactly the next `length` bytes, which should be few."""
        while len(self._buffer) < length:
            self._receive_by(deadline)
        data = bytes(self._buffer[:length])
        del self._buffer[:length]
        return data

    def begin_body(self) -> None:
        """Begin to collect the body of a request."""
        self._body = ReceivedBody()

    def read_into_body(self, length: int, deadline: float) -> None:
        """Append the next `length` bytes to the body."""
        buffered = min(length, len(self._buffer))
        if buffered:
            self._append_to_body(buffered)
            length -= buffered
        while length:
            length -= self._receive_into_body(length, deadline)

    def read_chunk_run(self, max_bytes: int) -> None:
        """Append the data of buffered chunks to the body, as far as they can be decoded at once (`chunk_runs`).

        Raises MessageTooLargeError if the data is longer than `max_bytes`.
        """
        run = decode_run(bytes(self._buffer))
        if len(run.data) > max_bytes:
            raise MessageTooLargeError
        self._collected_body().append(run.data)
        del self._buffer[: run.consumed_bytes]

    @property
    def body_size(self) -> int:
        """Return the number of bytes of the body collected so far."""
        return 0 if self._body is None else self._body.size

    def take_body(self) -> bytes:
        """Return the body collected since `begin_body`."""
        body = self._collected_body().take()
        self._body = None
        return body

    def end_receiving(self) -> None:
        """End the reading of a request: its account is not evicted any more. Raises AccountEvictedError if it was."""
        if self._is_receiving:
            self._is_receiving = False
            self.memory.end_transfer()

    @property
    def buffered_bytes(self) -> int:
        """Return the number of received bytes that remain unread."""
        return len(self._buffer)

    def skip_empty_lines(self) -> int:
        """Skip empty lines before a request (RFC 9112, 2.2) and return their size; some clients send them."""
        match = _EMPTY_LINES.match(self._buffer)
        size = 0 if match is None else match.end()
        del self._buffer[:size]
        return size

    def send_all(self, data: bytes, deadline: float) -> None:
        """Send all bytes. Raises TimeoutError at the deadline and OSError if the connection is broken.

        While the client does not read, the account may be evicted, which breaks the connection.
        """
        view = memoryview(data)
        view = view[self._send_some(view) :]
        if not view:
            return
        try:
            self.memory.begin_transfer(is_released_by_eviction=False)
            while view:
                self._wait(select.POLLOUT, deadline)
                sent_bytes = self._send_some(view)
                view = view[sent_bytes:]
                self.memory.record_transfer(sent_bytes)
            self.memory.end_transfer()
        except AccountEvictedError as error:
            raise ConnectionAbortedError("evicted from the memory budget") from error

    def _send_some(self, view: memoryview) -> int:
        """Send what the socket takes without blocking; return the number of bytes. Raises OSError."""
        try:
            return self._socket.send(view)
        except BlockingIOError:
            return 0

    def close(self) -> None:
        """Close the connection immediately."""
        self._drop_bytes()
        self.memory.close()
        self._socket.close()

    def reset(self) -> None:
        """Reset the connection, so that the client cannot mistake an incomplete response for a complete one."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.close()

    def close_lingering(self) -> None:
        """Shut down the sending side and discard input for a limited time, so that the client can read the response.

        Closing a socket with unread bytes would reset the connection (RFC 9112, 9.6).
        """
        self._drop_bytes()
        self.memory.close()
        deadline = self._clock() + LINGER_S
        try:
            self._socket.shutdown(socket.SHUT_WR)
            skipped = 0
            while skipped < MAX_LINGER_BYTES:
                skipped += self._discard_some(deadline)
        except OSError:
            pass
        self._socket.close()

    def shutdown(self) -> None:
        """End all waits for the client, from any thread; its connection is closed then."""
        with suppress(OSError):
            self._socket.shutdown(socket.SHUT_RD)

    def _drop_received(self) -> None:
        """Release what was received, and wake the thread of this connection; called when the account is evicted."""
        if self.memory.is_released_by_eviction:
            self._drop_bytes()
            self.shutdown()
        else:
            with suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)

    def _drop_bytes(self) -> None:
        self._buffer = bytearray()
        body = self._body
        if body is not None:
            body.drop()

    def _collected_body(self) -> ReceivedBody:
        assert self._body is not None
        return self._body

    def _append_to_body(self, count: int) -> None:
        """Move the first `count` bytes of the buffer to the body."""
        buffer = self._buffer
        with memoryview(buffer) as view:
            self._collected_body().append(view[:count])
        del buffer[:count]

    def _receive_into_body(self, limit: int, deadline: float) -> int:
        """Receive at most `limit` bytes of the body; the buffer must be empty. Return their number."""
        append = self._collected_body().append
        received_bytes = self._receive_some(limit, append)
        while not received_bytes:
            self._wait_for_more(deadline)
            received_bytes = self._receive_some(limit, append)
        return received_bytes

    def _receive_by(self, deadline: float) -> None:
        """Receive some bytes. Raises ClientDisconnectedError at end of input and TimeoutError at the deadline."""
        while not self._receive():
            self._wait_for_more(deadline)

    def _wait_for_more(self, deadline: float) -> None:
        """Wait for more bytes of a request; the account may be evicted from the first wait on."""
        self.memory.check_not_evicted()
        if self._is_eof:
            raise ClientDisconnectedError
        if not self._is_receiving:
            self._is_receiving = True
            self.memory.begin_transfer()
        self._wait(select.POLLIN, deadline)

    def _receive(self) -> bool:
        """Receive the available bytes without blocking; return False if there are none."""
        return self._receive_some(receive_buffers.SIZE_BYTES, self._append_to_buffer) > 0

    def _receive_some(self, limit: int, append: Callable[[memoryview], None]) -> int:
        """Receive, charge and append at most `limit` bytes without blocking; return their number."""
        view = receive_buffers.acquire()
        try:
            count = self._socket.recv_into(view, min(limit, receive_buffers.SIZE_BYTES))
            self._is_eof = not count
            if count:
                self.memory.resize(self.body_size + len(self._buffer) + count)
                append(view[:count])
            return count
        except BlockingIOError:
            return 0
        finally:
            receive_buffers.release(view)

    def _append_to_buffer(self, received: memoryview) -> None:
        self._buffer += received

    def _discard_some(self, deadline: float) -> int:
        """Receive and discard some bytes; return their number. Raises OSError at the end and at the deadline."""
        while True:
            view = receive_buffers.acquire()
            try:
                count = self._socket.recv_into(view)
            except BlockingIOError:
                self._wait(select.POLLIN, deadline)
                continue
            finally:
                receive_buffers.release(view)
            if not count:
                raise ClientDisconnectedError
            return count

    def _wait(self, event: int, deadline: float) -> None:
        left_s = deadline - self._clock()
        if left_s <= 0:
            raise TimeoutError
        poller = select.poll()
        poller.register(self._socket, event)
        poller.poll(left_s * 1000 + 1)
