"""A client's connection to the HTTP server: it reads requests, writes responses and closes the connection."""

import asyncio
import select

from ..log import events, log_event
from .connection_table import ConnectionTable
from .errors import MalformedMessageError
from .http_messages import CONTINUE_RESPONSE, format_response
from .http_parser import RequestParser
from .http_protocol import HttpProtocol
from .request_handler import RequestHandler
from .sockets import has_pending_event

MAX_CONSECUTIVE_ERRORS = 3  # after more consecutive errors, each further request is read with a delay
ERROR_DELAY_SECONDS = 0.25
MAX_DISCARDED_BYTES = 65536  # bytes read and dropped during a lingering close; then reading is paused


class ClientConnection(HttpProtocol[RequestParser]):
    """A client's connection.

    Attributes:
        request_started_at: loop time at which the request being read began; None between requests.
        last_active_at: loop time at which bytes last arrived, or at which the connection was accepted.
        is_closing: whether the server has started to close the connection; no further request is accepted.
        has_sent_request: whether a complete request has arrived.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, connections: ConnectionTable, handler: RequestHandler) -> None:
        super().__init__(RequestParser())
        self._loop = loop
        self._connections = connections
        self._handler = handler
        self.request_started_at: float | None = None
        self.last_active_at = 0.0
        self.is_closing = False
        self.has_sent_request = False
        self._consecutive_errors = 0
        self._discarded_bytes = 0

    # -- asyncio's protocol -------------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implement asyncio's protocol. The read time-out of the first request starts here."""
        super().connection_made(transport)
        self.last_active_at = self.request_started_at = self._loop.time()
        self._connections.add(self)

    def pause_writing(self) -> None:
        """Implement asyncio's protocol: while the client does not read its responses, its requests are not read."""
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Implement asyncio's protocol: requests are read again."""
        if not self.is_closing and not self.transport.is_closing():
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        """Implement asyncio's protocol: False lets the transport close itself."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Implement asyncio's protocol: unregister the connection."""
        self._connections.remove(self)

    # -- requests -----------------------------------------------------------------------------------------------------

    def bytes_received(self) -> None:
        """Answer all complete requests."""
        if self.is_closing:
            self._discard_received()
            return
        self.last_active_at = self._loop.time()
        self._connections.on_bytes_received(self)
        try:
            self._answer_requests()
        except MalformedMessageError as error:
            self.reject(error.status)
        except Exception as error:  # an internal error fails this request, not the process
            log_event(events.REQUEST_FAILED, why=f"{type(error).__name__}: {error}")
            self.reject(500)
        if self.has_sent_request:
            self._connections.on_request_complete(self)
        if self.request_started_at is None and not self.is_closing and self.parser.has_partial_message:
            self.request_started_at = self.last_active_at
        self._pause_after_costly_parsing()
        self._connections.on_requests_handled(self)

    def _pause_after_costly_parsing(self) -> None:
        """Read no further bytes of an incomplete request for a while if it took long to parse the last ones."""
        if self.is_closing or not self.parser.has_partial_message or not self.transport.is_reading():
            return
        now = self._loop.time()
        pause_seconds = self._connections.parsing_pacer.pause_seconds(now, now - self.last_active_at)
        if pause_seconds > 0.0:
            self.transport.pause_reading()
            self._loop.call_later(pause_seconds, self.resume_writing)

    def _answer_requests(self) -> None:
        while not self.is_closing and (request := self.parser.next_message()):
            self.request_started_at = None
            self.has_sent_request = True
            is_last = request.closes_connection or self._connections.should_close_after_response()
            status, extra_fields = self._handler.handle(request, self)
            self._respond(status, extra_fields, is_last)
        if self.parser.consume_expectation():
            self.transport.write(CONTINUE_RESPONSE)

    def _respond(self, status: int, extra_fields: bytes, is_last: bool) -> None:
        if self.is_closing:
            return
        self.transport.write(format_response(status, is_last, extra_fields))
        self._consecutive_errors = self._consecutive_errors + 1 if status >= 400 else 0
        if is_last:
            self.close_gracefully()
        elif self._consecutive_errors > MAX_CONSECUTIVE_ERRORS and self.transport.is_reading():
            # Slow down a client that repeats its request immediately after each rejection.
            self.transport.pause_reading()
            self._loop.call_later(ERROR_DELAY_SECONDS, self.resume_writing)

    def _discard_received(self) -> None:
        self._discarded_bytes += self.parser.buffered_bytes
        self.parser.discard()
        if self._discarded_bytes > MAX_DISCARDED_BYTES and self.transport.is_reading():
            self.transport.pause_reading()  # reading an endless body would take time even though it is dropped

    # -- closing ------------------------------------------------------------------------------------------------------

    def reject(self, status: int) -> None:
        """Respond with an error and close the connection gracefully."""
        if not self.is_closing:
            self.transport.write(format_response(status, closes_connection=True))
            self.close_gracefully()

    def close_gracefully(self) -> None:
        """Close the connection gracefully: a lingering close (RFC 9112, section 9.6).

        Used for every connection on which a response may have been sent. The sending direction is closed once the
        written bytes are sent; bytes that still arrive are read and dropped until the client closes its side or a
        time-out expires. A request among them is not accepted, and its client sends it elsewhere. Closing the socket
        with unread bytes would send a reset instead, which can overtake the response.
        """
        if self.is_closing:
            return
        self.is_closing = True
        self.parser.discard()
        if not self.transport.is_reading() and not self.transport.is_closing():
            self.transport.resume_reading()  # to detect that the client closes its side
        self._connections.start_lingering(self)
        try:
            self.transport.write_eof()
        except OSError:  # already reset
            self.transport.abort()

    def abort(self) -> None:
        """Close the connection immediately without a response, by which its client knows that nothing was accepted."""
        self.is_closing = True
        self.transport.abort()

    # -- state --------------------------------------------------------------------------------------------------------

    def is_idle(self) -> bool:
        """Return whether the connection is between two requests: none is being read, and none is waiting unread."""
        return (
            self.has_sent_request
            and self.request_started_at is None
            and not self.is_closing
            and not self.has_unread_bytes()
        )

    def has_unread_bytes(self) -> bool:
        """Return whether unread bytes or the end of the stream are pending at the socket."""
        return self._has_event(select.POLLIN)

    def is_closed_by_client(self) -> bool:
        """Return whether the client has closed its sending direction."""
        return self._has_event(select.POLLRDHUP)

    def _has_event(self, event_mask: int) -> bool:
        return has_pending_event(self.transport.get_extra_info("socket"), event_mask)
