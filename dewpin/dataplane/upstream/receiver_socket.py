"""The socket of one connection to a receiver: sends a request and reads its answer within the bounds of a call.

Every wait ends at the call's deadline, and where a client is watched, as soon as that client has gone. What the
receiver does not take at once goes on being sent while its answer is awaited, since a receiver may answer before it has
read a long body.
"""

import io
import select
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from dewpin.dataplane.http11.messages import Client
from dewpin.dataplane.upstream.outcome import Outcome, StreamCut

if TYPE_CHECKING:
    from _typeshed import ReadableBuffer, WriteableBuffer


_NOTHING = memoryview(b"")
"""In place of an empty part of a body, which would keep the whole body in memory."""


class NothingSent(ConnectionError):
    """The connection had ended before a byte of the request could be sent on it."""


class ReceiverSocket(io.RawIOBase):
    """Reads like a raw file; between calls a read returns None and does not look at the socket."""

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
        self._was_answered_early = False

    def begin_call(self, deadline: float, client: Client | None) -> None:
        """Start a call that has to be over at a time of the clock; a client that is given is watched."""
        self._in_call = True
        self._deadline = deadline
        self._client = client
        self._unsent = _NOTHING
        self._sent_bytes = 0
        self._send_error = None
        self._has_received = False
        self._was_answered_early = False

    def end_call(self) -> None:
        """End a call: reads do not wait any more."""
        self._in_call = False
        self._client = None

    @property
    def has_received(self) -> bool:
        """Tell whether any byte came during this call."""
        return self._has_received

    @property
    def sent_whole_in_turn(self) -> bool:
        """Tell whether the request was sent whole before its answer began."""
        return not self._unsent and self._send_error is None and not self._was_answered_early

    def send(self, data: "ReadableBuffer") -> None:
        """Send bytes of the request; returns early where the receiver answers before it takes them all.

        Raises NothingSent if the connection had ended before the first byte of the call. Where it ends later, the error
        is kept until the receiver's bytes that came before it are read.
        """
        self._unsent = memoryview(b"".join((self._unsent, data))) if self._unsent else memoryview(data)
        while self._unsent and self._send_error is None:
            self._send_some()
            if self._unsent and self._wait(select.POLLIN | select.POLLOUT) & ~select.POLLOUT:
                return

    def readable(self) -> bool:
        """Return that this can be read."""
        return True

    def readinto(self, buffer: "WriteableBuffer") -> int | None:
        """Wait for bytes of the answer; 0 at the end of the connection. Raises StreamCut and OSError."""
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
        self._was_answered_early = self._was_answered_early or bool(self._unsent)
        return count

    def close(self) -> None:
        """Close the connection."""
        if not self.closed:
            super().close()
            self._socket.close()

    def _send_some(self) -> None:
        """Send what the receiver takes at once."""
        if not self._unsent or self._send_error is not None:
            return
        try:
            count = self._socket.send(self._unsent)
        except BlockingIOError:
            return
        except ConnectionError as error:
            if not self._sent_bytes:
                raise NothingSent from error
            self._send_error = error
            return
        self._sent_bytes += count
        self._unsent = self._unsent[count:] or _NOTHING

    def _wait(self, events: int) -> int:
        """Wait until the socket is ready and return how; raises StreamCut if the time ends or the client goes first."""
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
                raise StreamCut(Outcome.CLIENT_GONE)

    def _time_left_s(self) -> float:
        """Return the time until the deadline; raises StreamCut if there is none."""
        left_s = self._deadline - self._clock()
        if left_s <= 0:
            raise StreamCut(Outcome.TIMED_OUT)
        return left_s
