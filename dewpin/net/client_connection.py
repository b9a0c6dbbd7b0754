"""One client's connection to the HTTP server: requests in, responses out, and how it ends."""

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

MAX_CONSECUTIVE_ERRORS = 3  # after more errors in a row each further request is read with a delay
ERROR_DELAY_SECONDS = 0.25
MAX_DISCARDED_BYTES = 65536  # that a client may send after our end until they are not read any more


class ClientConnection(HttpProtocol[RequestParser]):
    """A client's connection.

    Attributes:
        request_started_at: the loop's time at which the request that is being read began; None between requests.
        last_active_at: the loop's time at which it was accepted or bytes arrived last.
        is_closing: we end it, or it has ended: nothing more is accepted from it.
        has_sent_request: a complete request has arrived.
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
        """Part of asyncio's protocol. The time of the first request counts from here on."""
        super().connection_made(transport)
        self.last_active_at = self.request_started_at = self._loop.time()
        self._connections.add(self)

    def pause_writing(self) -> None:
        """Part of asyncio's protocol: the client does not read its responses, so its requests are not read either."""
        self.transport.pause_reading()

    def resume_writing(self) -> None:
        """Part of asyncio's protocol."""
        if not self.is_closing and not self.transport.is_closing():
            self.transport.resume_reading()

    def eof_received(self) -> bool:
        """Part of asyncio's protocol: have the transport closed."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Part of asyncio's protocol."""
        self._connections.remove(self)

    # -- requests -----------------------------------------------------------------------------------------------------

    def bytes_received(self) -> None:
        """Answer all requests that are complete."""
        if self.is_closing:
            self._discard_received()
            return
        self.last_active_at = self._loop.time()
        self._connections.note_received(self)
        try:
            self._answer_requests()
        except MalformedMessageError as error:
            self.reject(error.status)
        except Exception as error:  # a fault of ours costs this request, not the process
            log_event(events.REQUEST_FAILED, why=f"{type(error).__name__}: {error}")
            self.reject(500)
        if self.has_sent_request:
            self._connections.note_request_complete(self)
        if self.request_started_at is None and not self.is_closing and self.parser.has_partial_message:
            self.request_started_at = self.last_active_at
        self._connections.note_served(self)

    def _answer_requests(self) -> None:
        while not self.is_closing and (request := self.parser.next_message()):
            self.request_started_at = None
            self.has_sent_request = True
            is_last = request.closes_connection or self._connections.should_end_connections()
            status, extra_fields = self._handler.handle(request, self)
            self._respond(status, extra_fields, is_last)
        if self.parser.take_expectation():
            self.transport.write(CONTINUE_RESPONSE)

    def _respond(self, status: int, extra_fields: bytes, is_last: bool) -> None:
        if self.is_closing:
            return
        self.transport.write(format_response(status, is_last, extra_fields))
        self._consecutive_errors = self._consecutive_errors + 1 if status >= 400 else 0
        if is_last:
            self.end()
        elif self._consecutive_errors > MAX_CONSECUTIVE_ERRORS and self.transport.is_reading():
            # Slows down a client that repeats its request as soon as it is rejected.
            self.transport.pause_reading()
            self._loop.call_later(ERROR_DELAY_SECONDS, self.resume_writing)

    def _discard_received(self) -> None:
        self._discarded_bytes += self.parser.buffered_bytes
        self.parser.discard()
        if self._discarded_bytes > MAX_DISCARDED_BYTES and self.transport.is_reading():
            self.transport.pause_reading()  # dropping a body without end would take time, too

    # -- how it ends --------------------------------------------------------------------------------------------------

    def reject(self, status: int) -> None:
        """Answer with an error and end the connection."""
        if not self.is_closing:
            self.transport.write(format_response(status, closes_connection=True))
            self.end()

    def end(self) -> None:
        """End the connection in order: a lingering close (RFC 9112, 9.6).

        Every connection that may have been answered ends so. Our sending ends after what is written; what still arrives
        is read and dropped until the other side ends its own or a time-out is over. A request among that was never
        accepted: its client sends it elsewhere. Closing over unread bytes instead would send a reset, which can
        overtake the response.
        """
        if self.is_closing:
            return
        self.is_closing = True
        self.parser.discard()
        if not self.transport.is_reading() and not self.transport.is_closing():
            self.transport.resume_reading()  # the other side's end has to be seen
        self._connections.start_lingering(self)
        try:
            self.transport.write_eof()
        except OSError:  # it is reset already
            self.transport.abort()

    def abort(self) -> None:
        """End the connection at once without a response: its client knows that nothing was accepted."""
        self.is_closing = True
        self.transport.abort()

    # -- state --------------------------------------------------------------------------------------------------------

    def is_idle(self) -> bool:
        """Return whether it may be closed between two requests: none is being read, and none waits to be read."""
        return (
            self.has_sent_request
            and self.request_started_at is None
            and not self.is_closing
            and not self.has_unread_bytes()
        )

    def has_unread_bytes(self) -> bool:
        """Return whether bytes or an end of the connection wait to be read."""
        return self._has_event(select.POLLIN)

    def is_closed_by_client(self) -> bool:
        """Return whether the other side has ended its sending already."""
        return self._has_event(select.POLLRDHUP)

    def _has_event(self, event_mask: int) -> bool:
        return has_pending_event(self.transport.get_extra_info("socket"), event_mask)
