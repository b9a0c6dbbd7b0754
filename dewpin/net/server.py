"""The HTTP server for clients: its listening socket and the components that serve its connections.

Each complete request gets a response immediately, regardless of the later outcome of its message.
"""

import asyncio
import select
import socket
import struct
from array import array
from collections.abc import Sized

from ..log import events, log_event
from ..ports import MessageIntake
from .client_connection import ClientConnection
from .connection_table import MAX_ACCEPTED_AT_ONCE, ConnectionTable, ServerLimits
from .request_handler import RequestHandler
from .sockets import create_listening_socket, has_pending_event

CLIENT_RECEIVE_BUFFER_BYTES = 32 * 1024  # bytes that arrive while the event loop is busy take memory, too
LISTEN_BACKLOG = 512  # connections that the kernel queues while the event loop is busy
SO_ATTACH_REUSEPORT_CBPF = 51  # Linux socket option, which Python's socket module does not define
BPF_RETURN = 6  # BPF instruction that returns a constant, here the index of the selected listener


class HttpServer:
    """Accepts clients' connections and answers their requests.

    Attributes:
        connections: the open connections and their limits.
        clients: the same connections, for callers that only count them.
        listener: the listening socket, set by `open`.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, relay: MessageIntake) -> None:
        self._loop = loop
        self._handler = RequestHandler(relay)
        self.connections = ConnectionTable(loop)
        self.clients: Sized = self.connections.buffered_bytes_by_client
        self.listener: socket.socket
        self._server: asyncio.Server

    @property
    def limits(self) -> ServerLimits:
        """The current limits."""
        return self.connections.limits

    def set_limits(self, limits: ServerLimits) -> None:
        """Replace the limits."""
        self.connections.limits = limits

    async def open(self, host: str, port: int) -> tuple[str, int]:
        """Start listening and return the bound address. Raises OSError.

        The port is reusable: during an upgrade the next process listens on the same address.
        """
        self.listener = create_listening_socket(
            host, port, reuse_port=True, receive_buffer_bytes=CLIENT_RECEIVE_BUFFER_BYTES
        )
        self._server = await self._loop.create_server(
            lambda: ClientConnection(self._loop, self.connections, self._handler),
            sock=self.listener,
            backlog=MAX_ACCEPTED_AT_ONCE,
        )
        # asyncio uses `backlog` both for the kernel's queue and for the connections accepted per iteration.
        self.listener.listen(LISTEN_BACKLOG)
        self.connections.start_sweeping()
        address: tuple[str, int] = self.listener.getsockname()[:2]
        return address

    def steer_connections_here(self) -> None:
        """Make the kernel pass new connections to this process and none to the previous one at the same address.

        The previous process's accept queue drains, so that no connection is in it when its listener is closed. If the
        kernel does not support the filter, it distributes new connections, and both processes respond.
        """
        select_later_listener = array("B", struct.pack("HBBI", BPF_RETURN, 0, 0, 1))  # the second of the two listeners
        program = struct.pack("HP", 1, select_later_listener.buffer_info()[0])
        try:
            self.listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
        except OSError as error:
            log_event(events.STEERING_FAILED, why=str(error))

    def drain(self) -> None:
        """Close each connection after its next response; idle ones stay open, as a request may be in transit."""
        self.connections.drain()

    def stop(self) -> None:
        """Close each connection after its next response, and idle ones immediately."""
        self.connections.stop()

    def has_queued_connections(self) -> bool:
        """Return whether the kernel's accept queue has connections, which closing the listener would reset."""
        return has_pending_event(self.listener, select.POLLIN)

    def stop_listening(self) -> None:
        """Stop accepting new connections."""
        self._server.close()

    def close(self) -> None:
        """Close the listener and all connections."""
        self.connections.stop_sweeping()
        self._server.close()
        self.connections.close()
