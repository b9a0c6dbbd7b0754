"""A connection that we open: it carries one exchange, a request and its response, at a time."""

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

EARLY_RESPONSE_TIMEOUT_SECONDS = 0.25  # for a response that begins before the request has left whole


class ExchangeResult(Enum):
    """How an exchange ended."""

    RESPONSE = "response"  # a complete response arrived
    NOT_SENT_WHOLE = "not sent whole"  # the connection ended while part of the request had not left
    CONNECTION_LOST = "connection lost"  # it ended after that
    MALFORMED = "malformed"  # what arrived is no response, or did not become complete in time


OnResult = Callable[[ExchangeResult, Response | None], None]


class Connection(HttpProtocol[ResponseParser]):
    """A connection to a receiver or to the platform's agent.

    Attributes:
        is_closed: it has ended, on either side.
        has_unsent_bytes: part of the request has not left yet.
        idle_until: the loop's time until which the pool may keep it idle.
    """

    def __init__(self, max_body_bytes: int, response_timeout_seconds: float | None = None) -> None:
        """Make a connection.

        Args:
            max_body_bytes: the longest body of a response.
            response_timeout_seconds: for a response that has begun to become complete; None for no bound.
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

    # -- an exchange --------------------------------------------------------------------------------------------------

    def send(self, request: bytes, on_result: OnResult) -> None:
        """Send a request; `on_result` is called once with what came of it, unless the exchange is abandoned."""
        self._on_result = on_result
        self.transport.write(request)

    def send_holding_last_byte(
        self,
        request: bytes,
        on_result: OnResult,
        on_sent: Callable[[], None],
        hold_seconds: float,
        must_leave_before: float,
    ) -> None:
        """Send a request, its last byte a moment later.

        A connection may be reset or closed just as the request arrives. As long as the last byte has not left, that
        proves that the request was not executed, which a message that must not be executed twice depends on.

        Args:
            request: the bytes of the request.
            on_result: called once with what came of it, unless the exchange is abandoned.
            on_sent: called when the request has left whole.
            hold_seconds: how long the last byte is held back.
            must_leave_before: the loop's time from which on the last byte may not leave; the connection closes then.
        """
        self._on_result = on_result
        self._on_sent = on_sent
        self.has_unsent_bytes = True
        self.transport.write(request[:-1])
        self._last_byte_timer = asyncio.get_running_loop().call_later(
            hold_seconds, self._send_last_byte, request[-1:], must_leave_before
        )

    def _send_last_byte(self, last_byte: bytes, must_leave_before: float) -> None:
        loop = asyncio.get_running_loop()
        self._last_byte_timer = None
        if self.has_pending_input() or self.parser.has_partial_message:
            # Read all of it first: an end proves that nothing was executed, and so does a rejection, which may say
            # how long to wait.
            self._last_byte_timer = loop.call_later(EARLY_RESPONSE_TIMEOUT_SECONDS, self.close)
            return
        if loop.time() >= must_leave_before:
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
        """Have the result of the exchange reported to nobody."""
        self._on_result = None

    def _finish_exchange(self, result: ExchangeResult, response: Response | None) -> None:
        on_result, self._on_result = self._on_result, None
        if self._response_timer:
            self._response_timer.cancel()
            self._response_timer = None
        assert on_result is not None
        on_result(result, response)

    def has_pending_input(self) -> bool:
        """Return whether something waits to be read: where no response is due yet, most likely the connection's end.

        Without this look a request would be written to a connection that has ended already, which counts as a reset
        and so ends a message that must not be executed twice; and a time-out would overtake a response.
        """
        return has_pending_event(self.transport.get_extra_info("socket"), select.POLLIN)

    # -- idle in the pool ---------------------------------------------------------------------------------------------

    def set_idle(self, until: float, on_closed: "Callable[[Connection], None]") -> None:
        """Keep it idle until this time of the loop; `on_closed` is called if it ends meanwhile."""
        self._on_idle_closed = on_closed
        self.idle_until = until

    def set_in_use(self) -> None:
        """End the idle time."""
        self._on_idle_closed = None

    # -- asyncio's protocol -------------------------------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Part of asyncio's protocol. Without a buffer `pause_writing` reports any byte that does not leave at once."""
        super().connection_made(transport)
        self.transport.set_write_buffer_limits(high=0)

    def pause_writing(self) -> None:
        """Part of asyncio's protocol."""
        self.has_unsent_bytes = True

    def resume_writing(self) -> None:
        """Part of asyncio's protocol."""
        self.has_unsent_bytes = self._last_byte_timer is not None
        self._report_sent()

    def bytes_received(self) -> None:
        """Report a complete response, or bound the time of one that has begun."""
        try:
            response = self.parser.next_message() if self._on_result else None
        except MalformedMessageError as error:
            log_event(events.MALFORMED_RESPONSE, why=str(error), at=self._peer_address())
            self._fail_malformed()
            return
        if response:
            self._finish_exchange(ExchangeResult.RESPONSE, response)
        elif not self._on_result:
            self.close()  # nothing was requested
        elif self._response_timeout_seconds:
            self._update_response_timer(self._response_timeout_seconds)

    def _update_response_timer(self, timeout_seconds: float) -> None:
        """Bound the time of a response that has begun: one that never ends would hold a slot until the time-out."""
        has_begun = self.parser.has_partial_message
        if has_begun and self._response_timer is None:
            self._response_timer = asyncio.get_running_loop().call_later(timeout_seconds, self._fail_malformed)
        elif self._response_timer and not has_begun:  # it was an interim one; the response itself has not begun
            self._response_timer.cancel()
            self._response_timer = None

    def eof_received(self) -> None:
        """Part of asyncio's protocol. The end completes a response without a length."""
        response = self.parser.end_of_input() if self._on_result else None
        if response:
            self._finish_exchange(ExchangeResult.RESPONSE, response)
        self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Part of asyncio's protocol."""
        self.close()

    # -- its end ------------------------------------------------------------------------------------------------------

    def close(self) -> None:
        """End it now; what is unread or has not left is dropped."""
        if self.is_closed:
            return
        self.is_closed = True
        if self._last_byte_timer:
            self._last_byte_timer.cancel()
        if self._on_result:
            result = ExchangeResult.NOT_SENT_WHOLE if self.has_unsent_bytes else ExchangeResult.CONNECTION_LOST
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
