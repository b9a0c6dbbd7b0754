"""One connection to a receiver: urllib3's, over a `ReceiverSocket` and with one buffer for all answers on it.

http.client gives each answer a buffer of its own and drops it at the end of the answer, with whatever came behind.
Here the buffer lasts as long as the connection, so that bytes after an answer are seen.
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

from dewpin.dataplane.http11.messages import REQUEST_ID, Client
from dewpin.dataplane.upstream.outcome import Outcome, StreamCut
from dewpin.dataplane.upstream.receiver_socket import ReceiverSocket
from dewpin.dataplane.upstream.response_body import BodyEnd, Framing, framing_of, read_body

READ_BUFFER_BYTES = 16384
MOST_SKIPPED_ANSWERS = 16
"""So many interim answers and late answers to earlier calls may come before the answer that is due."""
REMEMBERED_IDS = 16
"""The last calls of a connection whose answers may still come late."""

_HEAD_DEFECTS = (FirstHeaderLineIsContinuationDefect, MissingHeaderBodySeparatorDefect)


class _LastingReader(io.BufferedReader):
    """The buffer of a connection; closing an answer leaves it open."""

    def __init__(self, raw: ReceiverSocket) -> None:
        super().__init__(raw, READ_BUFFER_BYTES)
        self.last_line = b""

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line and remember it."""
        self.last_line = super().readline(size)
        return self.last_line

    def close(self) -> None:
        """Do nothing: the connection closes its socket itself."""


class _ReaderSource:
    """What http.client takes for a socket."""

    def __init__(self, reader: _LastingReader) -> None:
        self._reader = reader

    def makefile(self, mode: str) -> _LastingReader:
        return self._reader


class _FinalAnswer(http.client.HTTPResponse):
    """An answer's head; interim answers and late answers to earlier calls before it are skipped."""

    def __init__(self, reader: _LastingReader, method: str | None, earlier_ids: deque[str]) -> None:
        super().__init__(_ReaderSource(reader), method=method)  # type: ignore[arg-type]
        self._reader = reader
        self._asked_method = method
        self._earlier_ids = earlier_ids

    def begin(self) -> None:
        """Read the head of the answer that is due."""
        for _ in range(MOST_SKIPPED_ANSWERS):
            super().begin()
            self._check_head()
            if not self._is_interim():
                if self.headers.get(REQUEST_ID) not in self._earlier_ids:
                    return
                self._skip_body()
            self.headers = self.msg = None  # type: ignore[assignment]
            self.fp = self._reader
        raise StreamCut(Outcome.MALFORMED)

    def _check_head(self) -> None:
        """Reject a head that ended before its empty line, or that has a line which is no header."""
        if self._reader.last_line not in (b"\r\n", b"\n"):
            raise StreamCut(Outcome.CLOSED)
        if any(isinstance(defect, _HEAD_DEFECTS) for defect in self.headers.defects):
            raise StreamCut(Outcome.MALFORMED)

    def _is_interim(self) -> bool:
        return self.status < http.client.OK and self.status != http.client.SWITCHING_PROTOCOLS

    def _skip_body(self) -> None:
        framing = framing_of(self._asked_method, self.status, lambda name: self.headers.get_all(name, []))
        if framing.end is BodyEnd.CLOSE or self.will_close:
            raise StreamCut(Outcome.MALFORMED)
        for _ in read_body(self._reader, framing):
            pass


class ReceiverConnection(HTTPConnection):
    """A connection to an IP address, which needs no look-up; `connect` before use, `close` at the end.

    `idle_s` is how long it was idle before the call under way, `call_began` the time when that began.
    """

    def __init__(self, host: str, port: int, clock: Callable[[], float]) -> None:
        super().__init__(host, port)
        self._clock = clock
        self._earlier_ids: deque[str] = deque(maxlen=REMEMBERED_IDS)
        self._reader: _LastingReader | None = None
        self._raw: ReceiverSocket | None = None
        self._request_id = ""
        self._reads_head = False
        self.idle_s = 0.0
        self.call_began = 0.0

    @property
    def raw(self) -> ReceiverSocket:
        """Return the socket with the bounds of the call."""
        assert self._raw is not None
        return self._raw

    @property
    def reader(self) -> _LastingReader:
        """Return the buffer of what the receiver sent."""
        assert self._reader is not None
        return self._reader

    def connect_within(self, timeout_s: float) -> None:
        """Connect; raises an OSError if that fails or takes longer."""
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
        """Use a socket that is connected."""
        self.sock = sock
        self.timeout = 0.0  # urllib3 sets it on the socket, whose waits are those of ReceiverSocket
        self._raw = ReceiverSocket(sock, self._clock)
        self._reader = _LastingReader(self._raw)

    def connect(self) -> None:
        """Refuse to connect unasked: a call that was begun on one connection must not go on on another."""
        raise ConnectionResetError("the connection has ended")

    def begin_call(self, request_id: str, deadline: float, client: Client | None) -> None:
        """Start a call on this connection."""
        self.raw.begin_call(deadline, client)
        self.call_began = self._clock()
        self._request_id = request_id

    def end_call(self) -> None:
        """End a call whose answer was whole."""
        self.raw.end_call()
        self._earlier_ids.append(self._request_id)

    def send(self, data: Any) -> None:
        """Send bytes of a request."""
        self.raw.send(data)

    def has_carried(self, request_id: str) -> bool:
        """Tell whether an answer to this id may still come late on this connection."""
        return request_id in self._earlier_ids

    @property
    def is_first_call(self) -> bool:
        """Tell whether no call came before the one under way."""
        return not self._earlier_ids

    def may_be_kept(self, framing: Framing) -> bool:
        """Tell whether nothing of this call is left on the connection: no byte behind the answer, none of the body."""
        self.raw.end_call()
        if self.sock is None or framing.end is BodyEnd.CLOSE or not self.raw.sent_whole_in_turn:
            return False
        return not self.reader.peek(1)

    def getresponse(self) -> HTTPResponse:  # type: ignore[override]
        """Return the answer that is due, with its body unread."""
        self._reads_head = True
        try:
            return super().getresponse()
        finally:
            self._reads_head = False

    def close(self) -> None:
        """Close the connection; the body can still be read where http.client closes it at an answer's head."""
        self.sock = None
        super().close()
        if self._raw is not None and not self._reads_head:
            self._raw.close()

    def response_class(  # type: ignore[override]
        self, sock: socket.socket, method: str | None = None, **options: Any
    ) -> _FinalAnswer:
        """Return the answer that is due; http.client calls this as a class."""
        return _FinalAnswer(self.reader, method, self._earlier_ids)
