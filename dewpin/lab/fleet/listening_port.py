"""A loopback address at which senders reach a simulated party."""

import asyncio
import socket
from collections.abc import Callable

LISTEN_BACKLOG = 128


class ListeningPort:
    """A listener that can be closed and opened again at the same address.

    Attributes:
        address: host and port; the port is chosen when it is first opened.
    """

    def __init__(self, host: str) -> None:
        self.address: tuple[str, int] = (host, 0)
        self._server: asyncio.Server | None = None

    async def open(self, protocol_factory: Callable[[], asyncio.BaseProtocol]) -> None:
        """Listen; the factory creates the protocol of each connection."""
        listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(self.address)
        listener.listen(LISTEN_BACKLOG)
        self.address = listener.getsockname()
        self._server = await asyncio.get_running_loop().create_server(protocol_factory, sock=listener)

    def close(self) -> None:
        """Refuse connections from now on."""
        if self._server:
            self._server.close()
        self._server = None


def loopback_host(network: int, number: int) -> str:
    """Return the host of a party in one of the networks of the test, 127.NETWORK.x.x."""
    return f"127.{network}.{number >> 8}.{number & 255}"
