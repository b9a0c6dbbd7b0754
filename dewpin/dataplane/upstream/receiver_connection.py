"""A connection to a receiver: urllib3's connection on a `ReceiverSocket`, with one read buffer for all responses.

http.client creates a buffer for each response and discards it with any bytes that follow the response. Here the buffer
has the lifetime of the connection, so that bytes after a response are detected.

A receiver may send a second, late response to an earlier call on the connection. Such a response carries the request id
of that call and is skipped.
"""

import http.client
import io
import socket
from collections import deque
from collections.abc import Callable
from email.errors import FirstHeaderLineIsContinuationDefect, MissingHeaderBodySeparatorDefect
from typing import Any

from urllib3 import HTTPResponse
from urllib3.connection import HTTPConnection

from dewpin.cluster.memory_budget import UNCOUNTED_MEMORY
from dewpin.dataplane.http11.messages import REQUEST_ID, Client, RequestMemory
from dewpin.dataplane.upstream.outcome import IncompleteResponseError, Outcome
from dewpin.dataplane.upstream.receiver_socket import ReceiverSocket
from dewpin.dataplane.upstream.response_body import BodyEnd, BodyFraming, framing_of, read_body
from dewpin.dataplane.upstream.response_limits import MAX_HEAD_BYTES, ReceiverShare, ResponseMeter, limit_exceeded

READ_BUFFER_BYTES = 16384
MAX_SKIPPED_RESPONSES = 16
"""Maximum number of interim responses and late responses to earlier calls before the expected response."""
REMEMBERED_IDS = 16
"""Number of earlier calls of a connection whose late responses are recognized."""

_HEAD_DEFECTS = (FirstHeaderLineIsContinuationDefect, MissingHeaderBodySeparatorDefect)


class _PersistentReader(io.BufferedReader):
    """The read buffer of a connection; it stays open when a response is closed.

    `last_line` is the last line that was read, including its line ending.
    """

    def __init__(self, raw: ReceiverSocket) -> None:
        super().__init__(raw, READ_BUFFER_BYTES)
        self.last_line = b""
        self._head_bytes_left: int | None = None

    def begin_head(self) -> None:
        """Start to count the bytes of header sections."""
        self._head_bytes_left = MAX_HEAD_BYTES

    def end_head(self) -> None:
        """Stop counting: the following lines belong to a body."""
        self._head_bytes_left = None

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line and store it in `last_line`.

        Raises IncompleteResponseError if the header sections of a call are too long.
        """
        self.last_line = super().readline(size)
        if self._head_bytes_left is not None:
            self._head_bytes_left -= len(self.last_line)
            if self._head_bytes_left < 0:
                raise limit_exceeded()
        return self.last_line

    def close(self) -> None:
        """Do nothing: `ReceiverConnection.close` closes the socket."""


class _SocketAdapter:
    """Stands in for the socket in http.client: `makefile` returns the connection's read buffer."""

    def __init__(self, reader: _PersistentReader) -> None:
        self._reader = reader

    def makefile(self, mode: str) -> _PersistentReader:
        return self._reader


class _FinalResponse(http.client.HTTPResponse):
    """The expected response; interim responses and late responses to earlier calls are skipped."""

    def __init__(
        self, reader: _PersistentReader, method: str | None, earlier_ids: deque[str], meter: ResponseMeter
    ) -> None:
        super().__init__(_SocketAdapter(reader), method=method)  # type: ignore[arg-type]
        self._reader = reader
        self._request_method = method
        self._earlier_ids = earlier_ids
        self._meter = meter

    def begin(self) -> None:
        """Read the head of the expected response. Raises IncompleteResponseError if it is invalid."""
        for _ in range(MAX_SKIPPED_RESPONSES):
            super().begin()
            self._check_head()
            if not self._is_interim():
                if self.headers.get(REQUEST_ID) not in self._earlier_ids:
                    return
                self._skip_body()
            self.headers = self.msg = None  # type: ignore[assignment]
            self.fp = self._reader
        raise IncompleteResponseError(Outcome.MALFORMED)

    def _check_head(self) -> None:
        """Reject a head without its final empty line, or with a line that is not a header field."""
        if self._reader.last_line not in (b"\r\n", b"\n"):
            raise IncompleteResponseError(Outcome.CLOSED)
        if any(isinstance(defect, _HEAD_DEFECTS) for defect in self.headers.defects):
            raise IncompleteResponseError(Outcome.MALFORMED)

    def _is_interim(self) -> bool:
        return self.status < http.client.OK and self.status != http.client.SWITCHING_PROTOCOLS

    def _skip_body(self) -> None:
        """Skip the body of a late response; the lines of its chunks count towards the limit of header sections."""
        framing = framing_of(self._request_method, self.status, lambda name: self.headers.get_all(name, []))
        if framing.end is BodyEnd.CLOSE or self.will_close:
            raise IncompleteResponseError(Outcome.MALFORMED)
        for _ in read_body(self._reader, framing, self._meter):
            self._meter.check_stream_bytes()


class ReceiverConnection(HTTPConnection):
    """A connection to an IP address; call `connect_within` before use and `close` after it.

    Attributes:
        idle_s: idle time of the connection before the current call, in seconds; 0 for a new connection.
        call_started_at: start of the current call, in seconds of the clock.
    """

    def __init__(
        self, host: str, port: int, clock: Callable[[], float], receiver_share: ReceiverShare | None = None
    ) -> None:
        super().__init__(host, port)
        self._clock = clock
        self._receiver_share = receiver_share or ReceiverShare()
        self._meter = ResponseMeter(self._receiver_share, clock)
        self._earlier_ids: deque[str] = deque(maxlen=REMEMBERED_IDS)
        self._reader: _PersistentReader | None = None
        self._receiver_socket: ReceiverSocket | None = None
        self._request_id = ""
        self._is_reading_head = False
        self.idle_s = 0.0
        self.call_started_at = 0.0

    @property
    def receiver_socket(self) -> ReceiverSocket:
        """Return the socket, which enforces the deadline of the call."""
        assert self._receiver_socket is not None
        return self._receiver_socket

    @property
    def reader(self) -> _PersistentReader:
        """Return the buffer of received bytes."""
        assert self._reader is not None
        return self._reader

    def connect_within(self, timeout_s: float) -> None:
        """Connect. Raises OSError if that fails or takes longer than `timeout_s`."""
        sock = socket.socket(socket.AF_INET6 if ":" in self.host else socket.AF_INET, socket.SOCK_STREAM)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            sock.settimeout(timeout_s)
            sock.connect((self.host, self.port))
        except BaseException:
            sock.close()
            raise
        self.use(sock)

    def use(self, sock: socket.socket) -> None:
        """Use a connected socket for this connection."""
        self.sock = sock
        self.timeout = 0.0  # urllib3 sets this on the socket, which must stay non-blocking for ReceiverSocket
        self._receiver_socket = ReceiverSocket(sock, self._clock)
        self._reader = _PersistentReader(self._receiver_socket)

    def connect(self) -> None:
        """Prevent the implicit reconnect of http.client, which would move a call to another connection unnoticed."""
        raise ConnectionResetError("connection is closed")

    @property
    def meter(self) -> ResponseMeter:
        """Return the meter of the current call's response."""
        return self._meter

    def begin_call(
        self, request_id: str, deadline: float, client: Client | None, memory: RequestMemory = UNCOUNTED_MEMORY
    ) -> None:
        """Start a call that must end by `deadline`; if `client` is given, its disconnect aborts the call.

        What is held of the response is charged to `memory`.
        """
        self._meter = ResponseMeter(self._receiver_share, self._clock, memory)
        self.receiver_socket.begin_call(deadline, client)
        self.call_started_at = self._clock()
        self._request_id = request_id

    def end_call(self) -> None:
        """End a call whose response was complete."""
        self.receiver_socket.end_call()
        self._earlier_ids.append(self._request_id)

    def send(self, data: Any) -> None:
        """Send bytes of the request."""
        self.receiver_socket.send(data)

    def has_carried(self, request_id: str) -> bool:
        """Return whether this request id was sent before, so that a late response to it may still arrive."""
        return request_id in self._earlier_ids

    @property
    def is_first_call(self) -> bool:
        """Return whether no call was completed on the connection before the current one."""
        return not self._earlier_ids

    def is_reusable(self, framing: BodyFraming) -> bool:
        """Return whether the call left neither unread bytes after the response nor unsent bytes of the request."""
        self.receiver_socket.end_call()
        if self.sock is None or framing.end is BodyEnd.CLOSE or not self.receiver_socket.was_sent_before_response:
            return False
        return not self.reader.peek(1)

    def getresponse(self) -> HTTPResponse:  # type: ignore[override]
        """Return the expected response, with its body unread."""
        self._is_reading_head = True
        self.reader.begin_head()
        try:
            return super().getresponse()
        finally:
            self._is_reading_head = False
            self.reader.end_head()

    def close(self) -> None:
        """Close the connection.

        http.client calls this itself after a head with `Connection: close`; the socket stays open to read the body.
        """
        self.sock = None
        super().close()
        if self._receiver_socket is not None and not self._is_reading_head:
            self._receiver_socket.close()

    def response_class(  # type: ignore[override]
        self, sock: socket.socket, method: str | None = None, **options: Any
    ) -> _FinalResponse:
        """Create the response object; http.client expects a class here."""
        return _FinalResponse(self.reader, method, self._earlier_ids, self._meter)
