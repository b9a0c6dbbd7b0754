"""The pool of connections to receivers.

The pool owns every open connection to a receiver, idle or in use; `Call` returns each one in a single place. Addresses
are (host, port, receiver id), as a connection belongs to one receiver only.
"""

import asyncio
from collections import deque

from ..ports import Address, AttemptRequest
from .call import Call
from .connection import Connection

IDLE_MARGIN_MS = 1000.0  # an idle connection is used until this time before the receiver closes it
SWEEP_TOLERANCE_SECONDS = 0.001  # timers may fire slightly early


class ConnectionPool:
    """Sends calls and keeps idle connections for later calls.

    Attributes:
        loop: the event loop.
        connect_timeout_ms: time-out for establishing a connection.
        max_body_bytes: maximum size of a response body.
        max_idle: maximum number of idle connections to all receivers together.
        connecting_calls: calls whose connection is not established yet.
        idle_count: number of idle connections.
        sent_requests: number of requests that were sent completely.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_timeout_ms: float,
        idle_timeout_ms: float,
        max_idle: int = 8,
        max_body_bytes: int = 65536,
    ) -> None:
        """Create a pool; `idle_timeout_ms` is the time after which receivers close an idle connection."""
        self.loop = loop
        self.connect_timeout_ms = connect_timeout_ms
        self.max_body_bytes = max_body_bytes
        self.max_idle = max_idle
        self.connecting_calls: set[Call] = set()
        self.idle_count = 0
        self.sent_requests = 0
        self._max_idle_ms = max(idle_timeout_ms - IDLE_MARGIN_MS, idle_timeout_ms / 2.0)
        self._idle: dict[Address, list[Connection]] = {}  # most recently used last
        self._expiries: deque[tuple[float, Address, Connection]] = deque()  # earliest first; some may be in use again
        self._sweep_timer: asyncio.TimerHandle | None = None

    # -- calls --------------------------------------------------------------------------------------------------------

    def send(self, request: AttemptRequest) -> None:
        """Start an attempt; its result is reported once, never before this method returns.

        Nothing is sent if the send window of the attempt is closed once its connection is established.
        """
        Call(self, request).start()

    def count_sent(self) -> None:
        """Count a request that was sent completely."""
        self.sent_requests += 1

    def cancel_unsent(self, address: Address) -> None:
        """End calls to this address that are still connecting, with the outcome `NOT_SENT`.

        Their connections may be established long after the receiver was chosen, when it has requested a pause or is
        draining.
        """
        for call in [call for call in self.connecting_calls if call.attempt.address == address]:
            call.cancel_unsent()

    # -- idle connections ---------------------------------------------------------------------------------------------

    def take_idle(self, address: Address) -> Connection | None:
        """Return the most recently used idle connection that is still usable; close unusable ones."""
        connections = self._idle.get(address)
        while connections:
            connection = connections.pop()
            self._mark_in_use(address, connection)
            if (
                connection.idle_until > self.loop.time()
                and not connection.transport.is_closing()
                and not connection.has_pending_input()
            ):
                return connection
            connection.close()
        return None

    def keep_idle(self, address: Address, connection: Connection) -> None:
        """Keep a connection for a later call, until well before the receiver closes it."""
        if self._max_idle_ms <= 0.0 or self.max_idle <= 0 or connection.parser.has_unparsed_bytes:
            connection.close()
            return
        if self.idle_count >= self.max_idle:
            self._close_oldest()
        idle_until = self.loop.time() + self._max_idle_ms / 1000.0
        connection.set_idle(idle_until, lambda closed: self._remove_idle(address, closed))
        self._idle.setdefault(address, []).append(connection)
        self.idle_count += 1
        self._expiries.append((idle_until, address, connection))
        if self._sweep_timer is None:
            self._sweep_timer = self.loop.call_at(self._expiries[0][0], self._sweep)

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to this address."""
        for connection in list(self._idle.get(address, ())):
            self._remove_idle(address, connection)
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)

    def _mark_in_use(self, address: Address, connection: Connection) -> None:
        connection.set_in_use()
        self.idle_count -= 1
        if not self._idle[address]:
            del self._idle[address]

    def _remove_idle(self, address: Address, connection: Connection) -> None:
        connections = self._idle.get(address, [])
        if connection in connections:
            connections.remove(connection)
            self._mark_in_use(address, connection)

    def _close_oldest(self) -> None:
        while self._expiries:
            if self._close_if_idle(*self._expiries.popleft()):
                return

    def _sweep(self) -> None:
        """Close the connections whose idle time is over."""
        self._sweep_timer = None
        now = self.loop.time()
        while self._expiries and self._expiries[0][0] <= now + SWEEP_TOLERANCE_SECONDS:
            self._close_if_idle(*self._expiries.popleft())
        if self._expiries:
            self._sweep_timer = self.loop.call_at(self._expiries[0][0], self._sweep)

    def _close_if_idle(self, idle_until: float, address: Address, connection: Connection) -> bool:
        """Close a connection if it has been idle since this expiry was set; return whether it was closed."""
        if connection.idle_until != idle_until or connection not in self._idle.get(address, ()):
            return False
        self._remove_idle(address, connection)
        connection.close()
        return True
