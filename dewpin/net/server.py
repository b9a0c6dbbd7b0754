"""The HTTP server for clients: its listening socket, and the parts that serve its connections.

Each request that was read whole gets a response at once, whatever becomes of its message.
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

LISTEN_BACKLOG = 512  # connections that the kernel queues while the event loop is busy
SO_ATTACH_REUSEPORT_CBPF = 51  # Linux' socket option; Python's socket module has no name for it
BPF_RETURN = 6  # the instruction of the filter: return a constant, here the index of the listener that is chosen


class HttpServer:
    """Accepts clients' connections and answers their requests.

    Attributes:
        connections: the open connections and their limits.
        clients: the same connections, for whoever only counts them.
        listener: the listening socket, from `open` on.
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
        """The limits in force."""
        return self.connections.limits

    def set_limits(self, limits: ServerLimits) -> None:
        """Put limits in force."""
        self.connections.limits = limits

    async def open(self, host: str, port: int) -> tuple[str, int]:
        """Listen, and return the address. Raises OSError.

        The address can be shared: during an upgrade the next process listens beside this one.
        """
        self.listener = create_listening_socket(host, port, reuse_port=True)
        self._server = await self._loop.create_server(
            lambda: ClientConnection(self._loop, self.connections, self._handler),
            sock=self.listener,
            backlog=MAX_ACCEPTED_AT_ONCE,
        )
        self.listener.listen(LISTEN_BACKLOG)  # asyncio uses one number for both
        self.connections.start_sweeping()
        address: tuple[str, int] = self.listener.getsockname()[:2]
        return address

    def steer_connections_here(self) -> None:
        """Have the kernel give new connections to this process and none to the previous one at the same address.

        The previous process's queue runs empty, so that nobody waits in it when its listener closes. Where the kernel
        has no such filter it shares connections out, and both processes answer.
        """
        choose_second = array("B", struct.pack("HBBI", BPF_RETURN, 0, 0, 1))  # of the two listeners the later one
        program = struct.pack("HP", 1, choose_second.buffer_info()[0])
        try:
            self.listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)
        except OSError as error:
            log_event(events.STEERING_FAILED, why=str(error))

    def drain(self) -> None:
        """From now on each connection ends with its next response; idle ones stay, as a request may be on its way."""
        self.connections.drain()

    def stop(self) -> None:
        """From now on each connection ends with its next response, and idle ones end at once."""
        self.connections.stop()

    def has_queued_connections(self) -> bool:
        """Return whether connections wait that only the kernel has accepted: they would be reset with the listener."""
        return has_pending_event(self.listener, select.POLLIN)

    def stop_listening(self) -> None:
        """Accept no new connections from now on."""
        self._server.close()

    def close(self) -> None:
        """Close the listener and every connection."""
        self.connections.stop_sweeping()
        self._server.close()
        self.connections.close()
