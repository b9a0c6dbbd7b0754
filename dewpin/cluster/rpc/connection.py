"""What both ends of a connection do: socket options, and the bound on bytes that a peer does not read."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket

USER_TIMEOUT_MS = 2000
"""TCP_USER_TIMEOUT: a connection ends once sent bytes were not acknowledged for so long."""
MAX_UNSENT_BYTES = 16 * 1024 * 1024
"""A connection whose peer leaves more than this unread is aborted before more is written to it."""

log = logging.getLogger(__name__)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of `host:port`. Raises ValueError if the port is no number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def set_socket_options(transport: asyncio.BaseTransport) -> None:
    """Send small messages at once, and end the connection soon after its peer has disappeared."""
    connection = transport.get_extra_info("socket")
    if connection is None:
        return
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def abort_if_peer_does_not_read(transport: asyncio.Transport) -> bool:
    """Abort a connection with more than MAX_UNSENT_BYTES to send; return whether it was aborted."""
    if transport.get_write_buffer_size() <= MAX_UNSENT_BYTES:
        return False
    log.warning("rpc.peer_does_not_read", extra={"peer": str(transport.get_extra_info("peername"))})
    transport.abort()
    return True
