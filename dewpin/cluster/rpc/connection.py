"""Socket handling of clients and servers: socket options and the limit of unsent bytes."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import socket

USER_TIMEOUT_MS = 2000
"""TCP_USER_TIMEOUT: a connection fails if sent bytes are not acknowledged for this long."""
MAX_UNSENT_BYTES = 16 * 1024 * 1024
"""A connection with more bytes than this in its write buffer is aborted instead of written to."""

log = logging.getLogger(__name__)


def split_address(address: str) -> tuple[str, int]:
    """Split `host:port` into host and port. Raises ValueError if the port is not a number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Disable Nagle's algorithm and limit how long sent bytes may remain unacknowledged."""
    connection = transport.get_extra_info("socket")
    if connection is None:
        return
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def bound_listener(descriptor: int, backlog: int, receive_buffer_bytes: int) -> None:
    """Set the number of connections that the kernel queues at a listening socket, and its receive buffer for each.

    asyncio takes the number that it is given as the maximum of connections accepted at once, too.
    """
    with socket.socket(fileno=os.dup(descriptor)) as listener:
        listener.listen(backlog)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)


def abort_if_peer_does_not_read(transport: asyncio.Transport) -> bool:
    """Abort a connection with more than MAX_UNSENT_BYTES in its write buffer; return whether it was aborted."""
    if transport.get_write_buffer_size() <= MAX_UNSENT_BYTES:
        return False
    log.warning("rpc.peer_does_not_read", extra={"peer": str(transport.get_extra_info("peername"))})
    transport.abort()
    return True
