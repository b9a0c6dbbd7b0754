"""The open connections of an RPC server: their maximum number, and which one is aborted for a new one."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Iterator

from ..settings import MachineLimits

MAX_ACCEPTED_AT_ONCE = 16
"""Maximum number of connections accepted in one iteration of the event loop."""
DEFAULT_MAX_CONNECTIONS = 4096


class ConnectionTable:
    """Open connections.

    Above the limit, the oldest connection without any request is aborted, or else the one without a request for the
    longest time: other processes of the tier send requests often, and connect again if they need to.
    """

    def __init__(self, max_connections: int) -> None:
        """Create an empty table."""
        self._max_connections = max_connections
        self._silent: OrderedDict[asyncio.Transport, None] = OrderedDict()  # no request yet; oldest first
        self._used: OrderedDict[asyncio.Transport, None] = OrderedDict()  # least recently used first

    def __iter__(self) -> Iterator[asyncio.Transport]:
        """Return an iterator over a snapshot of the open connections."""
        return iter([*self._silent, *self._used])

    def __len__(self) -> int:
        """Return the number of open connections."""
        return len(self._silent) + len(self._used)

    def add(self, transport: asyncio.Transport) -> None:
        """Add a new connection; above the limit, another one is aborted."""
        excess = len(self) >= self._max_connections
        victim = next(iter(self._silent or self._used), None) if excess else None
        self._silent[transport] = None
        if victim is not None:
            self.discard(victim)
            victim.abort()

    def discard(self, transport: asyncio.Transport) -> None:
        """Remove a connection, if it is in the table."""
        self._silent.pop(transport, None)
        self._used.pop(transport, None)

    def record_request(self, transport: asyncio.Transport) -> None:
        """Record that a request has arrived on a connection."""
        if transport in self._used:
            self._used.move_to_end(transport)
        elif transport in self._silent:
            del self._silent[transport]
            self._used[transport] = None

    def abort_all(self) -> None:
        """Abort all connections."""
        for transport in self:
            transport.abort()


def internal_connection_limit(limits: MachineLimits, descriptor_share: float) -> int:
    """Return the maximum number of connections of an RPC server that may use this share of the descriptors."""
    if not limits.max_fds:
        return DEFAULT_MAX_CONNECTIONS
    return max(1, int(limits.max_fds * descriptor_share) - MAX_ACCEPTED_AT_ONCE)
