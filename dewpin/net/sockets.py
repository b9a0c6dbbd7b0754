"""Sockets beside what asyncio offers: a listener, and a look at what waits unread."""

import select
import socket
from typing import Protocol


class HasFileDescriptor(Protocol):
    """A socket, or what asyncio gives in its place."""

    def fileno(self) -> int:
        """Return the file descriptor."""


def create_listening_socket(host: str, port: int, reuse_port: bool = False) -> socket.socket:
    """Return a socket that listens at this address. Raises OSError.

    The socket names its protocol, and so do those that it accepts: of others asyncio can't tell that they are TCP and
    does not set TCP_NODELAY. The kernel would delay their small writes, and a close over unread bytes would lose them.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    server = socket.create_server((host, port), family=family, reuse_port=reuse_port)
    return socket.socket(server.family, server.type, socket.IPPROTO_TCP, server.detach())


def has_pending_event(polled: HasFileDescriptor, event_mask: int) -> bool:
    """Return whether one of these `select.POLL*` events is pending at a socket, without waiting."""
    poller = select.poll()
    poller.register(polled.fileno(), event_mask)
    return bool(poller.poll(0))
