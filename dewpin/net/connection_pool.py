"""The pool of connections to receivers.

The pool owns every connection to a receiver from its opening on, idle or in use; `Call` gives each one back in one
place. Its addresses are (host, port, receiver): a connection belongs to that receiver alone.
"""

import asyncio
from collections import deque

from ..ports import Address, AttemptRequest
from .call import Call
from .connection import Connection

IDLE_MARGIN_MS = 1000.0  # before the other side closes an idle connection from which on it is not used any more
SWEEP_TOLERANCE_SECONDS = 0.001  # a timer may be called a little early


class ConnectionPool:
    """Sends calls and keeps idle connections for the next ones.

    Attributes:
        loop: the event loop.
        connect_timeout_ms: for the opening of a connection.
        max_body_bytes: the longest body of a response.
        max_idle: how many idle connections are kept, all receivers together.
        connecting_calls: calls whose connection is not made yet.
        idle_count: idle connections.
        sent_requests: how many requests have left whole.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_timeout_ms: float,
        idle_timeout_ms: float,
        max_idle: int = 8,
        max_body_bytes: int = 65536,
    ) -> None:
        """Make a pool; `idle_timeout_ms` is the time after which receivers close an idle connection."""
        self.loop = loop
        self.connect_timeout_ms = connect_timeout_ms
        self.max_body_bytes = max_body_bytes
        self.max_idle = max_idle
        self.connecting_calls: set[Call] = set()
        self.idle_count = 0
        self.sent_requests = 0
        self._max_idle_ms = max(idle_timeout_ms - IDLE_MARGIN_MS, idle_timeout_ms / 2.0)
        self._idle: dict[Address, list[Connection]] = {}  # the most recently used last
        self._expiries: deque[tuple[float, Address, Connection]] = deque()  # the soonest first; may hold used ones
        self._sweep_timer: asyncio.TimerHandle | None = None

    # -- calls --------------------------------------------------------------------------------------------------------

    def send(self, request: AttemptRequest) -> None:
        """Make an attempt, if its send window allows it; its result is reported once, never before this returns."""
        Call(self, request).start()

    def count_sent(self) -> None:
        """Count a request that has left whole."""
        self.sent_requests += 1

    def cancel_unsent(self, address: Address) -> None:
        """Report calls to this address that have not left as not sent.

        Their connections may come up long after the choice of the receiver, when it asked for a pause or is draining.
        """
        for call in [call for call in self.connecting_calls if call.attempt.address == address]:
            call.cancel_unsent()

    # -- idle connections ---------------------------------------------------------------------------------------------

    def take_idle(self, address: Address) -> Connection | None:
        """Return an idle connection that is still usable, the most recently used first; close those that are not."""
        connections = self._idle.get(address)
        while connections:
            connection = connections.pop()
            self._note_taken(address, connection)
            if (
                connection.idle_until > self.loop.time()
                and not connection.transport.is_closing()
                and not connection.has_pending_input()
            ):
                return connection
            connection.close()
        return None

    def keep_idle(self, address: Address, connection: Connection) -> None:
        """Keep a connection for the next call, well short of the time when the other side closes it."""
        if self._max_idle_ms <= 0.0 or self.max_idle <= 0 or connection.parser.has_unparsed_bytes:
            connection.close()
            return
        if self.idle_count >= self.max_idle:
            self._close_oldest()
        idle_until = self.loop.time() + self._max_idle_ms / 1000.0
        connection.set_idle(idle_until, lambda closed: self._forget(address, closed))
        self._idle.setdefault(address, []).append(connection)
        self.idle_count += 1
        self._expiries.append((idle_until, address, connection))
        if self._sweep_timer is None:
            self._sweep_timer = self.loop.call_at(self._expiries[0][0], self._sweep)

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to this address."""
        for connection in list(self._idle.get(address, ())):
            self._forget(address, connection)
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.close_idle(address)

    def _note_taken(self, address: Address, connection: Connection) -> None:
        connection.set_in_use()
        self.idle_count -= 1
        if not self._idle[address]:
            del self._idle[address]

    def _forget(self, address: Address, connection: Connection) -> None:
        connections = self._idle.get(address, [])
        if connection in connections:
            connections.remove(connection)
            self._note_taken(address, connection)

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
        """Close a connection that was not used since it became idle until then; return whether there was one."""
        if connection.idle_until != idle_until or connection not in self._idle.get(address, ()):
            return False
        self._forget(address, connection)
        connection.close()
        return True
