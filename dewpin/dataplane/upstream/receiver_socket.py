"""The socket of a connection to a receiver: sends a request and reads the response before the call's deadline.

Every wait ends at the call's deadline or, if a client is watched, as soon as that client disconnects. Bytes that the
receiver does not accept immediately are sent while waiting for its response, because a receiver may respond before it
has read a long body (RFC 9112, 9.5).
"""

import io
import select
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from dewpin.dataplane.errors import DataplaneError
from dewpin.dataplane.http11.messages import Client
from dewpin.dataplane.upstream.outcome import IncompleteResponseError, Outcome

if TYPE_CHECKING:
    from _typeshed import ReadableBuffer, WriteableBuffer


_NOTHING = memoryview(b"")
"""Replaces an empty slice of a request body, which would keep the whole body in memory."""


class RequestNotSentError(DataplaneError, ConnectionError):
    """The connection was closed before any byte of the request was sent on it."""


class ReceiverSocket(io.RawIOBase):
    """A raw file over a non-blocking socket; between calls a read returns None without accessing the socket.

    During a call, `_unsent` holds the bytes of the request that the socket has not accepted yet, and `_send_error` the
    error that stopped sending, which is raised after the bytes received before it are read.
    """

    def __init__(self, sock: socket.socket, clock: Callable[[], float]) -> None:
        super().__init__()
        sock.setblocking(False)
        self._socket = sock
        self._clock = clock
        self._in_call = False
        self._deadline = 0.0
        self._client: Client | None = None
        self._unsent = _NOTHING
        self._sent_bytes = 0
        self._send_error: ConnectionError | None = None
        self._has_received = False
        self._has_early_response = False

    def begin_call(self, deadline: float, client: Client | None) -> None:
        """Start a call that must end by `deadline`, in seconds of the clock; `client`, if given, is watched."""
        self._in_call = True
        self._deadline = deadline
        self._client = client
        self._unsent = _NOTHING
        self._sent_bytes = 0
        self._send_error = None
        self._has_received = False
        self._has_early_response = False

    def end_call(self) -> None:
        """End a call; subsequent reads do not wait."""
        self._in_call = False
        self._client = None

    @property
    def has_received(self) -> bool:
        """Return whether any byte was received during this call."""
        return self._has_received

    @property
    def was_sent_before_response(self) -> bool:
        """Return whether the request was sent completely before its response started."""
        return not self._unsent and self._send_error is None and not self._has_early_response

    def send(self, data: "ReadableBuffer") -> None:
        """Send bytes of the request; return early if the receiver responds before it has accepted all of them.

        Raises RequestNotSentError if the connection was closed before the first byte of the call was sent. A later
        error is raised by `readinto`, once the bytes received before it are read.
        """
        self._unsent = memoryview(b"".join((self._unsent, data))) if self._unsent else memoryview(data)
        while self._unsent and self._send_error is None:
            self._send_some()
            if self._unsent and self._wait(select.POLLIN | select.POLLOUT) & ~select.POLLOUT:
                return

    def readable(self) -> bool:
        """Return True: this file is readable."""
        return True

    def readinto(self, buffer: "WriteableBuffer") -> int | None:
        """Wait for bytes of the response; return 0 at the end of the connection.

        Raises IncompleteResponseError and OSError.
        """
        if not self._in_call:
            return None
        while True:
            self._send_some()
            ready = self._wait(select.POLLIN | (select.POLLOUT if self._unsent else 0))
            if ready & ~select.POLLOUT:
                break
        count = self._socket.recv_into(buffer)
        if not count and self._send_error is not None:
            raise self._send_error
        self._has_received = self._has_received or count > 0
        self._has_early_response = self._has_early_response or bool(self._unsent)
        return count

    def close(self) -> None:
        """Close the connection."""
        if not self.closed:
            super().close()
            self._socket.close()

    def _send_some(self) -> None:
        """Send as many bytes as the socket accepts without blocking."""
        if not self._unsent or self._send_error is not None:
            return
        try:
            count = self._socket.send(self._unsent)
        except BlockingIOError:
            return
        except ConnectionError as error:
            if not self._sent_bytes:
                raise RequestNotSentError from error
            self._send_error = error
            return
        self._sent_bytes += count
        self._unsent = self._unsent[count:] or _NOTHING

    def _wait(self, events: int) -> int:
        """Wait until the socket is ready and return the poll events.

        Raises IncompleteResponseError if the deadline passes or the watched client disconnects first.
        """
        receiver, client = self._socket.fileno(), self._client
        poller = select.poll()
        poller.register(receiver, events)
        if client is not None:
            poller.register(client.fileno(), select.POLLRDHUP)
        while True:
            ready = dict(poller.poll(self._time_left_s() * 1000 + 1))
            if receiver in ready:
                return ready[receiver]
            if ready:
                raise IncompleteResponseError(Outcome.CLIENT_DISCONNECTED)

    def _time_left_s(self) -> float:
        """Return the seconds until the deadline. Raises IncompleteResponseError if it has passed."""
        left_s = self._deadline - self._clock()
        if left_s <= 0:
            raise IncompleteResponseError(Outcome.TIMED_OUT)
        return left_s
