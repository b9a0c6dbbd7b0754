"""The console's HTTP server: few connections, each short, and never at the expense of messages.

One request is read, answered at once, and the connection ends. A caller that sends nothing gives way to the next one.
"""

import asyncio
from typing import Any

from ..log import events, log_event, log_internal_error
from ..net.errors import MalformedMessageError
from ..net.http_messages import format_response
from ..net.http_parser import RequestParser
from ..net.http_protocol import HttpProtocol
from ..net.sockets import create_listening_socket
from . import calls

MAX_CALLERS = 8
MAX_ACCEPTED_AT_ONCE = 4  # connections accepted in one turn of the loop
BACKLOG = 64  # connections that the system keeps for the next turns
CALL_TIMEOUT_SECONDS = 1.5  # from connecting to the end of the call: a caller waits 1 s
MAX_BODY_BYTES = 4096  # that a caller may send along; they mean nothing
MAX_DESCRIPTORS = MAX_CALLERS + 2 * MAX_ACCEPTED_AT_ONCE + 1


class Caller(HttpProtocol[RequestParser]):
    """One connection to the console.

    Attributes:
        console: the server that it belongs to.
        is_answered: whether its one request has its response.
        timeout: aborts the connection when the call takes too long.
    """

    def __init__(self, console: "ConsoleServer") -> None:
        super().__init__(RequestParser(MAX_BODY_BYTES))
        self.console = console
        self.is_answered = False
        self.timeout: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Start the time-out; the oldest caller may have to give way."""
        super().connection_made(transport)
        self.timeout = asyncio.get_running_loop().call_later(CALL_TIMEOUT_SECONDS, transport.abort)
        self.console.add_caller(self)

    def bytes_received(self) -> None:
        """Respond once the request is complete. What follows it is dropped."""
        if self.is_answered:
            self.parser.discard()
            return
        response = calls.Response(500)
        try:
            request = self.parser.next_message()
            if request is None:
                return
            response = calls.respond((request.method, request.target, request.version), self.console.sender)
        except MalformedMessageError as malformed:
            response = calls.Response(malformed.status)
        except Exception:  # an error of our own costs this call, not the process
            log_internal_error("console")
        self.is_answered = True
        self.parser.discard()
        self.transport.write(format_response(response.status, True, response.header_lines, response.body))
        self.transport.write_eof()  # the caller's own end, or the time-out, closes the connection

    def eof_received(self) -> bool:
        """Close the connection when the caller ends its side."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Give back what the connection holds."""
        if self.timeout:
            self.timeout.cancel()
        self.console.callers.pop(self, None)


class ConsoleServer:
    """The console's listening socket and its connections.

    Attributes:
        sender: answers the calls.
        callers: open connections, the oldest first.
        server: the listener, once it is open.
    """

    def __init__(self, sender: calls.SenderOperations) -> None:
        self.sender = sender
        self.callers: dict[Caller, None] = {}
        self.server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> tuple[str, int]:
        """Listen; return the address. Raises OSError where that fails."""
        listener = create_listening_socket(host, port)
        self.server = await asyncio.get_running_loop().create_server(
            lambda: Caller(self), sock=listener, backlog=MAX_ACCEPTED_AT_ONCE
        )
        listener.listen(BACKLOG)  # the loop has one setting for the backlog and for what it accepts at once
        address: tuple[str, int] = listener.getsockname()[:2]
        log_event(events.CONSOLE_LISTENING, at="%s:%d" % address)
        return address

    def add_caller(self, caller: Caller) -> None:
        """Register a connection; where there are too many, the oldest one is aborted, as it may never ask anything."""
        self.callers[caller] = None
        if len(self.callers) > MAX_CALLERS:
            oldest = next(iter(self.callers))
            del self.callers[oldest]
            oldest.transport.abort()

    def close(self) -> None:
        """Close the listener and all connections."""
        if self.server:
            self.server.close()
        for caller in list(self.callers):
            caller.transport.abort()
