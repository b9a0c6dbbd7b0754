"""The console's HTTP server, bounded to a few short connections so that it cannot delay messages.

Each connection serves one request and is then closed. Under load the oldest connection is closed for a new one.
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

MAX_CONNECTIONS = 8
MAX_ACCEPTED_AT_ONCE = 4  # connections accepted per event loop iteration
BACKLOG = 64  # connections queued by the system for later iterations
CALL_TIMEOUT_SECONDS = 1.5  # from connect to the end of the call; clients wait 1 s
MAX_BODY_BYTES = 4096  # request bodies are accepted up to this size and ignored
MAX_DESCRIPTORS = MAX_CONNECTIONS + 2 * MAX_ACCEPTED_AT_ONCE + 1


class ConsoleConnection(HttpProtocol[RequestParser]):
    """One connection to the console.

    Attributes:
        console: the server that the connection belongs to.
        is_answered: whether the response to its only request was sent.
        timeout: timer that aborts the connection if the call takes too long.
    """

    def __init__(self, console: "ConsoleServer") -> None:
        super().__init__(RequestParser(MAX_BODY_BYTES))
        self.console = console
        self.is_answered = False
        self.timeout: asyncio.TimerHandle | None = None

    def connection_made(self, transport: Any) -> None:
        """Start the time-out and register the connection, which may close the oldest one."""
        super().connection_made(transport)
        self.timeout = asyncio.get_running_loop().call_later(CALL_TIMEOUT_SECONDS, transport.abort)
        self.console.add_connection(self)

    def bytes_received(self) -> None:
        """Respond once the request is complete; data after it is discarded."""
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
        except Exception:  # an internal error fails this call only
            log_internal_error("console")
        self.is_answered = True
        self.parser.discard()
        self.transport.write(format_response(response.status, True, response.header_lines, response.body))
        self.transport.write_eof()  # the client's EOF or the time-out closes the connection

    def eof_received(self) -> bool:
        """Close the connection when the client has closed its side."""
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel the time-out and unregister the connection."""
        if self.timeout:
            self.timeout.cancel()
        self.console.connections.pop(self, None)


class ConsoleServer:
    """The console's listening socket and its connections.

    Attributes:
        sender: performs the requested operations.
        connections: open connections, oldest first.
        server: the listener, or None before `open`.
    """

    def __init__(self, sender: calls.SenderOperations) -> None:
        self.sender = sender
        self.connections: dict[ConsoleConnection, None] = {}
        self.server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> tuple[str, int]:
        """Start listening and return the address. Raises OSError on failure."""
        listener = create_listening_socket(host, port)
        self.server = await asyncio.get_running_loop().create_server(
            lambda: ConsoleConnection(self), sock=listener, backlog=MAX_ACCEPTED_AT_ONCE
        )
        listener.listen(BACKLOG)  # asyncio also uses its `backlog` as the limit of accepts per iteration
        address: tuple[str, int] = listener.getsockname()[:2]
        log_event(events.CONSOLE_LISTENING, at="%s:%d" % address)
        return address

    def add_connection(self, connection: ConsoleConnection) -> None:
        """Register a connection; over the limit, abort the oldest one, which may be idle."""
        self.connections[connection] = None
        if len(self.connections) > MAX_CONNECTIONS:
            oldest = next(iter(self.connections))
            del self.connections[oldest]
            oldest.transport.abort()

    def close(self) -> None:
        """Close the listener and all connections."""
        if self.server:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()
