"""Connection pool: the idle connections to one receiver.

urllib3's own pool is not used: whether a connection may be reused depends on how long it was idle, and that pool
rewrites request targets. A connection is kept only after a complete response without trailing bytes. It is closed
before reuse if bytes were received on it meanwhile, or if its idle time exceeds the receiver's keep-alive time.

An idempotent call takes the least recently used connection, which restarts its keep-alive time. Recently used
connections are left to calls that are not idempotent, which require them (see `idle_limit`) and take the most recently
used one. While receivers are known to drop idle connections early, all calls take the most recently used one.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from urllib3 import HTTPResponse

from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.upstream.idle_limit import STALE_RESET_WITHIN_S, IdleLimit
from dewpin.dataplane.upstream.outcome import Outcome
from dewpin.dataplane.upstream.receiver_connection import ReceiverConnection
from dewpin.dataplane.upstream.response_body import BodyFraming
from dewpin.dataplane.upstream.response_limits import DEFAULT_RECEIVER_BYTES, ReceiverShare

MAX_CONNECT_TIMEOUT_S = 1.0
MIN_CONNECT_TIMEOUT_S = 0.25
CONNECT_TIME_FACTOR = 8.0
"""The connect time-out is this multiple of the average connect time to the receiver, within the bounds above."""
CONNECT_TIME_WEIGHT = 0.25
"""Weight of the latest connect in the moving average."""
KEEP_ALIVE_MARGIN_S = 0.15
"""A connection is not reused in this last part of the keep-alive time that the receiver announced."""
DEFAULT_KEEP_ALIVE_S = 0.5
"""Keep-alive time assumed if the receiver announces none."""


@dataclass(slots=True, eq=False)
class _IdleConnection:
    connection: ReceiverConnection
    idle_since: float
    keep_alive_s: float

    def is_kept_alive(self, now: float) -> bool:
        """Return whether the announced keep-alive time has not elapsed."""
        return now - self.idle_since < self.keep_alive_s


class ConnectionPool:
    """The idle connections to one receiver, least recently used first. Times are those of the clock, in seconds."""

    def __init__(
        self,
        receiver: Receiver,
        clock: Callable[[], float],
        idle_limit: IdleLimit,
        max_held_bytes: int = DEFAULT_RECEIVER_BYTES,
    ) -> None:
        """Create an empty pool; `max_held_bytes` limits what incomplete responses of the receiver hold together."""
        host, _, port = receiver.address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._clock = clock
        self._idle_limit = idle_limit
        self._share = ReceiverShare(max_held_bytes)
        self._lock = threading.Lock()
        self._idle: list[_IdleConnection] = []
        self._is_closed = False
        self._connect_timeout_s = MAX_CONNECT_TIMEOUT_S
        self._connect_time_s: float | None = None

    def acquire_idle(self, is_idempotent: bool, request_id: str = "") -> ReceiverConnection | None:
        """Return an idle connection that is usable for a call, or None; unusable connections that it finds are closed.

        A connection on which the same request was sent before is closed, because a late response to the earlier call
        may still arrive. A call that is not idempotent needs a new connection if even the most recently used one has
        been idle for too long; if that one is still kept alive, the least recently used one is closed to make room.
        """
        while True:
            with self._lock:
                if not self._idle:
                    return None
                now = self._clock()
                newest = self._idle[-1]
                replaces_oldest = newest.is_kept_alive(now) and not self._is_allowed(newest, is_idempotent, now)
                uses_oldest = replaces_oldest or self._uses_oldest(is_idempotent, now)
                idle = self._idle.pop(0 if uses_oldest else -1)
            if replaces_oldest:
                idle.connection.close()
                return None
            if self._is_usable(idle, is_idempotent, request_id, now):
                idle.connection.idle_s = now - idle.idle_since
                return idle.connection
            idle.connection.close()

    def detect_stale(self, connection: ReceiverConnection, outcome: Outcome) -> bool:
        """Return whether the outcome of a call indicates that the receiver had already dropped the idle connection.

        A stale connection lowers the idle limit. It proves nothing about the request: a receiver that executes the
        request may fail as quickly.
        """
        now = self._clock()
        is_closed = outcome in (Outcome.RESET, Outcome.CLOSED) and not connection.receiver_socket.has_received
        if not is_closed or now - connection.call_started_at > STALE_RESET_WITHIN_S:
            return False
        self._idle_limit.record_stale_connection(connection.idle_s, now)
        return True

    def connect(self, timeout_s: float) -> ReceiverConnection:
        """Open a new connection. Raises OSError if it is not established in time."""
        started_at = self._clock()
        connection = ReceiverConnection(self._host, self._port, self._clock, self._share)
        connection.connect_within(min(timeout_s, self._connect_timeout_s))
        self._record_connect(self._clock() - started_at)
        return connection

    def release(self, connection: ReceiverConnection, response: HTTPResponse, framing: BodyFraming) -> None:
        """Return a connection to the pool after a complete response; close it if it is not reusable."""
        keep_alive_s = announced_keep_alive_s(response)
        if connection.is_reusable(framing) and keep_alive_s > 0:
            connection.end_call()
            with self._lock:
                if not self._is_closed:
                    self._idle.append(_IdleConnection(connection, self._clock(), keep_alive_s))
                    return
        connection.close()

    def close_expired(self) -> None:
        """Close the connections whose keep-alive time has elapsed."""
        now = self._clock()
        with self._lock:
            expired = [idle for idle in self._idle if not idle.is_kept_alive(now)]
            self._idle = [idle for idle in self._idle if idle.is_kept_alive(now)]
        for idle in expired:
            idle.connection.close()

    def close(self) -> None:
        """Close all idle connections; connections released later are closed, too."""
        with self._lock:
            self._is_closed = True
            closing, self._idle = self._idle, []
        for idle in closing:
            idle.connection.close()

    def _uses_oldest(self, is_idempotent: bool, now: float) -> bool:
        return is_idempotent and not self._idle_limit.is_lowered(now)

    def _is_allowed(self, idle: _IdleConnection, is_idempotent: bool, now: float) -> bool:
        return self._idle_limit.allows(now - idle.idle_since, idle.keep_alive_s, is_idempotent, now)

    def _is_usable(self, idle: _IdleConnection, is_idempotent: bool, request_id: str, now: float) -> bool:
        connection = idle.connection
        return (
            self._is_allowed(idle, is_idempotent, now)
            and not connection.has_carried(request_id)
            and connection.is_connected
        )

    def _record_connect(self, connect_time_s: float) -> None:
        with self._lock:
            average_s = connect_time_s if self._connect_time_s is None else self._connect_time_s
            self._connect_time_s = average_s + CONNECT_TIME_WEIGHT * (connect_time_s - average_s)
            timeout_s = CONNECT_TIME_FACTOR * self._connect_time_s
            self._connect_timeout_s = min(MAX_CONNECT_TIMEOUT_S, max(MIN_CONNECT_TIMEOUT_S, timeout_s))


def announced_keep_alive_s(response: HTTPResponse) -> float:
    """Return the keep-alive time of a connection after a response, in seconds; 0 if it must not be reused."""
    if "close" in response.headers.get("connection", "").lower():
        return 0.0
    for parameter in response.headers.get("keep-alive", "").split(","):
        name, _, value = parameter.strip().partition("=")
        timeout_s = parse_seconds(value) if name.strip().lower() == "timeout" else None
        if timeout_s is not None:
            return max(0.0, timeout_s - KEEP_ALIVE_MARGIN_S)
    return DEFAULT_KEEP_ALIVE_S


def parse_seconds(value: str | None) -> float | None:
    """Parse a non-negative number of seconds; return None if it is missing or invalid."""
    try:
        seconds = float(value) if value is not None else None
    except ValueError:
        return None
    return seconds if seconds is not None and 0 <= seconds < float("inf") else None
