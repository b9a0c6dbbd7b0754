"""The body of a receiver's answer while it arrives, and the waiting for a receiver that watches the client as well."""

import http.client
import select
import socket
from collections.abc import Callable, Iterator

from urllib3 import HTTPResponse
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, InvalidChunkLength, ProtocolError, ReadTimeoutError

from .messages import Client
from .outcome import Outcome

READ_SIZE = 65536
LEAST_TIMEOUT_S = 0.001

TRANSPORT_ERRORS = (OSError, http.client.HTTPException, HTTPError, ValueError)
"""What urllib3 and the library below it raise where a connection or an answer breaks."""


class StreamCut(Exception):
    """A receiver's answer ended before it was whole; `outcome` tells how."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(outcome.value)
        self.outcome = outcome


class BodyReader:
    """Reads the parts of a body as they arrive, by a deadline in seconds of the clock."""

    def __init__(
        self, sock: socket.socket, response: HTTPResponse, deadline: float, clock: Callable[[], float]
    ) -> None:
        self._socket = sock
        self._response = response
        self._deadline = deadline
        self._clock = clock
        self._parts = self._read_parts()

    def read_part(self) -> bytes:
        """Return the bytes that come next, or nothing at the proper end; raises StreamCut."""
        try:
            self._bound_wait()
            return next(self._parts, b"")
        except TRANSPORT_ERRORS as error:
            raise StreamCut(outcome_of_error(error)) from error

    def read_all(self) -> bytes:
        """Return the whole body; raises StreamCut."""
        parts = []
        while part := self.read_part():
            parts.append(part)
        return b"".join(parts)

    def has_buffered_bytes(self) -> bool:
        """Tell whether bytes of the answer were read from the socket already, without waiting for more."""
        reader = getattr(getattr(self._response, "_fp", None), "fp", None)
        if reader is None or self._socket.fileno() < 0:
            return True
        self._socket.setblocking(False)
        return bool(reader.peek(1))

    def _bound_wait(self) -> None:
        left_s = self._deadline - self._clock()
        if left_s <= 0:
            raise StreamCut(Outcome.TIMED_OUT)
        if self._socket.fileno() >= 0:
            self._socket.settimeout(max(LEAST_TIMEOUT_S, left_s))

    def _read_parts(self) -> Iterator[bytes]:
        response = self._response
        if response.chunked:
            yield from response.read_chunked(decode_content=False)
            return
        if response.length_remaining is None:
            raise StreamCut(Outcome.MALFORMED)
        while response.length_remaining:
            part = response.read1(READ_SIZE, decode_content=False)
            if not part:
                raise StreamCut(Outcome.CLOSED)
            yield part
        response.read1(READ_SIZE, decode_content=False)


class ReceiverStream:
    """A receiver's stream; whoever has it must call `close`.

    `sock` is the connection's socket as it was before the head was read: the library forgets it where the receiver is
    going to close.
    """

    def __init__(
        self,
        connection: HTTPConnection,
        sock: socket.socket,
        response: HTTPResponse,
        deadline: float,
        clock: Callable[[], float],
        client: Client | None,
        give_back: Callable[[HTTPConnection, HTTPResponse], None],
    ) -> None:
        self._connection = connection
        self._socket = sock
        self._response = response
        self._deadline = deadline
        self._clock = clock
        self._client = client
        self._give_back = give_back
        self._reader = BodyReader(sock, response, deadline, clock)
        self._open = True

    def read_part(self) -> bytes:
        """Return the bytes that come next, or nothing at the proper end; raises StreamCut."""
        try:
            if not self._reader.has_buffered_bytes():
                self._await_bytes()
            part = self._reader.read_part()
        except StreamCut:
            self.close()
            raise
        except TRANSPORT_ERRORS as error:
            self.close()
            raise StreamCut(outcome_of_error(error)) from error
        if not part and self._open:
            self._open = False
            self._give_back(self._connection, self._response)
        return part

    def close(self) -> None:
        """Close the connection, unless the answer was whole and the connection was given back."""
        if self._open:
            self._open = False
            self._response.close()
            self._connection.close()

    def _await_bytes(self) -> None:
        """Wait until the receiver has sent something; raises StreamCut if the time ends or the client goes first."""
        ended = wait_for_receiver(self._socket, self._client, self._deadline, self._clock)
        if ended is not None:
            raise StreamCut(ended)


def wait_for_receiver(
    sock: socket.socket, client: Client | None, deadline: float, clock: Callable[[], float]
) -> Outcome | None:
    """Wait until a receiver's socket is readable; return why the wait ended otherwise."""
    receiver = sock.fileno()
    poller = select.poll()
    poller.register(receiver, select.POLLIN)
    if client is not None:
        poller.register(client.fileno(), select.POLLIN)
    while True:
        left_s = deadline - clock()
        if left_s <= 0:
            return Outcome.TIMED_OUT
        ready = {descriptor for descriptor, _ in poller.poll(left_s * 1000 + 1)}
        if receiver in ready:
            return None
        if client is not None and ready:
            if client.has_gone():
                return Outcome.CLIENT_GONE
            poller.unregister(client.fileno())
            client = None


def outcome_of_error(error: Exception) -> Outcome:
    """Return the outcome of a call that ended with an error after the request was sent."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, InvalidChunkLength):
            return Outcome.MALFORMED
        if isinstance(cause, http.client.RemoteDisconnected | http.client.IncompleteRead):
            return Outcome.CLOSED
        if isinstance(cause, TimeoutError | ReadTimeoutError):
            return Outcome.TIMED_OUT
        if isinstance(cause, ConnectionError):
            return Outcome.RESET
        cause = cause.__cause__ or cause.__context__
    if isinstance(error, ProtocolError):
        return Outcome.CLOSED
    return Outcome.RESET if isinstance(error, OSError) else Outcome.MALFORMED
