"""The open connections of clients: their maximum number, and which one is closed for a new one."""

import threading
import time
from collections import OrderedDict
from collections.abc import Callable

from dewpin.cluster.memory_budget import BYTES_PER_MB, MemoryBudget
from dewpin.cluster.settings import MachineLimits
from dewpin.dataplane.ingress.client_connection import ClientConnection

MAX_CONNECTIONS = 3000
DESCRIPTOR_SHARE = 0.7
"""Maximum share of the process's descriptors; the others are for receivers, other processes and files."""
MEMORY_SHARE = 0.25
"""Maximum share of the process's memory for the threads of the connections."""
CONNECTION_BYTES = 25_000
"""Approximate memory of a connection and its thread, without what is received."""
MIN_IDLE_S = 0.5
"""A connection may be closed for a new one after this time without a request."""
MAX_CLOSING_CONNECTIONS = 64
"""Maximum number of connections above the limit: those that are being closed for new ones."""


def connection_limit(limits: MachineLimits) -> int:
    """Return the maximum number of connections of a process with these limits; 0 stands for no limit."""
    bounds = [MAX_CONNECTIONS]
    if limits.max_fds:
        bounds.append(int(limits.max_fds * DESCRIPTOR_SHARE) - MAX_CLOSING_CONNECTIONS)
    if limits.memory_mb:
        bounds.append(int(limits.memory_mb * BYTES_PER_MB * MEMORY_SHARE / CONNECTION_BYTES))
    return max(1, min(bounds))


class OpenConnections:
    """Thread-safe. Times are those of the clock, in seconds."""

    def __init__(self, max_connections: int, budget: MemoryBudget, clock: Callable[[], float] = time.monotonic) -> None:
        self._max_connections = max_connections
        self._budget = budget
        self._clock = clock
        self._lock = threading.Lock()
        self._changed = threading.Condition(self._lock)
        self._count = 0
        self._idle_since: OrderedDict[ClientConnection, float] = OrderedDict()  # idle for the longest time first

    @property
    def count(self) -> int:
        """Return the number of open connections."""
        return self._count

    def try_admit(self) -> bool:
        """Count a new connection; return False if the maximum is reached and no other connection can be closed.

        The connection that has been idle for the longest time is closed for it, or else one whose client has made no
        progress for the longest time.
        """
        with self._changed:
            if self._count >= self._max_connections and not self._close_another():
                return False
            self._count += 1
            return True

    def on_closed(self) -> None:
        """Record that a connection was closed."""
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def mark_idle(self, connection: ClientConnection) -> None:
        """Record that a connection waits for a request."""
        with self._lock:
            self._idle_since[connection] = self._clock()

    def mark_busy(self, connection: ClientConnection) -> None:
        """Record that a connection does not wait for a request any more."""
        with self._lock:
            self._idle_since.pop(connection, None)

    def wait_until_closed(self, timeout_s: float) -> bool:
        """Wait until all connections are closed; return whether they are."""
        with self._changed:
            return self._changed.wait_for(lambda: self._count == 0, timeout_s)

    def _close_another(self) -> bool:
        if self._count >= self._max_connections + MAX_CLOSING_CONNECTIONS:
            return False
        connection = next(iter(self._idle_since), None)
        if connection is not None and self._clock() - self._idle_since[connection] >= MIN_IDLE_S:
            del self._idle_since[connection]
            connection.shutdown()
            return True
        return self._budget.evict_stalled_account()
