"""An outgoing connection, which carries one exchange (a request and its response) at a time."""

import asyncio
import select
from collections.abc import Callable
from enum import Enum

from ..log import events, log_event
from .errors import MalformedMessageError
from .http_messages import Response
from .http_parser import ResponseParser
from .http_protocol import HttpProtocol
from .sockets import has_pending_event

EARLY_RESPONSE_TIMEOUT_SECONDS = 0.25  # for a response that begins before the request is sent completely


class ExchangeResult(Enum):
    """How an exchange ended."""

    RESPONSE = "response"  # a complete response was received
    NOT_FULLY_SENT = "not fully sent"  # the connection was closed before the whole request was sent
    CONNECTION_LOST = "connection lost"  # the connection was closed after the whole request was sent
    MALFORMED = "malformed"  # the received bytes are not a response, or it was not complete in time


OnResult = Callable[[ExchangeResult, Response | None], None]


class Connection(HttpProtocol[ResponseParser]):
    """A connection to a receiver or to the platform's agent.

    Attributes:
        is_closed: whether either side has closed the connection.
        has_unsent_bytes: whether part of the request is not sent yet.
        idle_until: loop time until which the pool may keep the connection idle.
    """

    def __init__(self, max_body_bytes: int, response_timeout_seconds: float | None = None) -> None:
        """Create the protocol of a connection.

        Args:
            max_body_bytes: maximum size of a response body.
            response_timeout_seconds: time from the first byte of a response until it is complete; None for no limit.
        """
        super().__init__(ResponseParser(max_body_bytes))
        self.is_closed = False
        self.has_unsent_bytes = False
        self.idle_until = 0.0
        self._on_result: OnResult | None = None
        self._on_sent: Callable[[], None] | None = None
        self._on_idle_closed: Callable[[Connection], None] | None = None
        self._last_byte_timer: asyncio.TimerHandle | None = None
        self._response_timeout_seconds = response_timeout_seconds
        self._response_timer: asyncio.TimerHandle | None = None

    # -- exchange -----------------------------------------------------------------------------------------------------

    def send(self, request: bytes, on_result: OnResult) -> None:
        """Send a request; `on_result` is called once with the result, unless the exchange is abandoned."""
        self._on_result = on_result
        self.transport.write(request)

    def send_holding_last_byte(
        self,
        request: bytes,
        on_result: OnResult,
        on_sent: Callable[[], None],
        hold_seconds: float,
        send_deadline: float,
    ) -> None:
        """Send a request, with its last byte after a short delay.

        The receiver may reset or close the connection just as the request arrives. If the last byte is not sent yet,
        this proves that the request was not executed, which matters for messages that must not be executed twice.

        Args:
            request: the bytes of the request.
            on_result: called once with the result, unless the exchange is abandoned.
            on_sent: called when the whole request is sent.
            hold_seconds: delay of the last byte.
            send_deadline: loop time from which the last byte must not be sent; the connection is closed instead.
        """
        self._on_result = on_result
        self._on_sent = on_sent
        self.has_unsent_bytes = True
        self.transport.write(request[:-1])
        self._last_byte_timer = asyncio.get_running_loop().call_later(
            hold_seconds, self._send_last_byte, request[-1:], send_deadline
        )

    def _send_last_byte(self, last_byte: bytes, send_deadline: float) -> None:
        loop = asyncio.get_running_loop()
        self._last_byte_timer = None
        if self.has_pending_input() or self.parser.has_partial_message:
            # Read the pending input first: the end of the connection or a rejection, which may contain a retry-after,
            # proves that the request was not executed.
            self._last_byte_timer = loop.call_later(EARLY_RESPONSE_TIMEOUT_SECONDS, self.close)
            return
        if loop.time() >= send_deadline:
            self.close()
            return
        self.has_unsent_bytes = self.transport.get_write_buffer_size() > 0
        self.transport.write(last_byte)
        self.has_unsent_bytes = self.has_unsent_bytes or self.transport.is_closing()
        self._report_sent()

    def _report_sent(self) -> None:
        if self._on_sent and not self.has_unsent_bytes:
            self._on_sent()
            self._on_sent = None

    def abandon_exchange(self) -> None:
        """Discard the result of the exchange: `on_result` is not called."""
        self._on_result = None

    def _finish_exchange(self, result: ExchangeResult, response: Response | None) -> None:
        on_result, self._on_result = self._on_result, None
        if self._response_timer:
            self._response_timer.cancel()
            self._response_timer = None
        assert on_result is not None
        on_result(result, response)

    def has_pending_input(self) -> bool:
        """Return whether unread input is pending: most likely the end of the connection if no response is expected.

        Without this check a request could be written to a connection that is already closed, which would count as a
        reset and end a message that must not be executed twice; and a time-out could overtake a response.
        """
        return has_pending_event(self.transport.get_extra_info("socket"), select.POLLIN)

    # -- idle in the pool ---------------------------------------------------------------------------------------------

    def set_idle(self, until: float, on_closed: "Callable[[Connection], None]") -> None:
        """Mark the connection as idle until this loop time; `on_closed` is called if it is closed while idle."""
        self._on_idle_closed = on_closed
        self.idle_until = until

    def set_in_use(self) -> None:
        """Mark the connection as in use."""
        self._on_idle_closed = None

    # -- asyncio's protocol -------------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implement asyncio's protocol. With limit 0, `pause_writing` is called if any byte is not sent at once."""
        super().connection_made(transport)
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Implement asyncio's protocol: part of the request is still buffered."""
        self.has_unsent_bytes = True

    def resume_writing(self) -> None:
        """Implement asyncio's protocol: the buffer is empty, so only a delayed last byte can be unsent."""
        self.has_unsent_bytes = self._last_byte_timer is not None
        self._report_sent()

    def bytes_received(self) -> None:
        """Report a complete response, or start the time-out of a partial one."""
        try:
            response = self.parser.next_message() if self._on_result else None
        except MalformedMessageError as error:
            log_event(events.MALFORMED_RESPONSE, why=str(error), at=self._peer_address())
            self._fail_malformed()
            return
        if response:
            self._finish_exchange(ExchangeResult.RESPONSE, response)
        elif not self._on_result:
            self.close()  # the bytes are not the response to any request
        elif self._response_timeout_seconds:
            self._update_response_timer(self._response_timeout_seconds)

    def _update_response_timer(self, timeout_seconds: float) -> None:
        """Limit the time of a partial response; if it never ended, it would occupy a call slot until the time-out."""
        has_begun = self.parser.has_partial_message
        if has_begun and self._response_timer is None:
            self._response_timer = asyncio.get_running_loop().call_later(timeout_seconds, self._fail_malformed)
        elif self._response_timer and not has_begun:  # it was an interim response; the final one has not begun
            self._response_timer.cancel()
            self._response_timer = None

    def eof_received(self) -> None:
        """Implement asyncio's protocol: the end of the stream completes a response without a length."""
        response = self.parser.end_of_input() if self._on_result else None
        if response:
            self._finish_exchange(ExchangeResult.RESPONSE, response)
        self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Implement asyncio's protocol: report an unfinished exchange."""
        self.close()

    # -- closing ------------------------------------------------------------------------------------------------------

    def close(self) -> None:
        """Close the connection immediately; unread and unsent bytes are dropped."""
        if self.is_closed:
            return
        self.is_closed = True
        if self._last_byte_timer:
            self._last_byte_timer.cancel()
        if self._on_result:
            result = ExchangeResult.NOT_FULLY_SENT if self.has_unsent_bytes else ExchangeResult.CONNECTION_LOST
            self._finish_exchange(result, None)
        elif self._on_idle_closed:
            self._on_idle_closed(self)
        self.transport.abort()

    def _fail_malformed(self) -> None:
        if self._on_result:
            self._finish_exchange(ExchangeResult.MALFORMED, None)
        self.close()

    def _peer_address(self) -> str:
        host, port = (self.transport.get_extra_info("peername") or ("gone", 0))[:2]
        return f"{host}:{port:d}"
