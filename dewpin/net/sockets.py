"""Socket functions that asyncio does not provide: a listening socket, and a check for pending events."""

import select
import socket
from typing import Protocol


class HasFileDescriptor(Protocol):
    """A socket or asyncio's substitute for one."""

    def fileno(self) -> int:
        """Return the file descriptor."""


def create_listening_socket(
    host: str, port: int, reuse_port: bool = False, receive_buffer_bytes: int | None = None
) -> socket.socket:
    """Return a socket that listens at this address. Raises OSError.

    `receive_buffer_bytes` bounds the kernel's receive buffer of each accepted connection; None leaves it to the kernel.

    Its protocol is set explicitly, and accepted sockets inherit it: asyncio does not recognize other sockets as TCP and
    does not set TCP_NODELAY. The kernel would then delay small writes, and closing with unread bytes would lose them.
    """
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    server = socket.create_server((host, port), family=family, reuse_port=reuse_port)
    if receive_buffer_bytes is not None:
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
    return socket.socket(server.family, server.type, socket.IPPROTO_TCP, server.detach())


def has_pending_event(polled: HasFileDescriptor, event_mask: int) -> bool:
    """Return, without blocking, whether one of these `select.POLL*` events is pending at a socket."""
    poller = select.poll()
    poller.register(polled.fileno(), event_mask)
    return bool(poller.poll(0))
