"""The connections to one receiver that are kept and used again.

urllib3's pool stays unused: whether a connection may carry a call depends on how long it was idle, and the pool
rewrites targets. A connection is kept only after a whole answer with nothing behind it. It is dropped before use where
bytes wait on it, or where it was idle for longer than the receiver keeps it.

A call that may be repeated takes the oldest connection and so makes it young again; the young ones are left to calls
that must not be repeated, which need them, and take the newest. While receivers are known to forget idle connections
early, all calls take the newest.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass

from urllib3 import HTTPResponse

from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.upstream.idle_limit import FORGOTTEN_WITHIN_S, IdleLimit
from dewpin.dataplane.upstream.outcome import Outcome
from dewpin.dataplane.upstream.receiver_connection import ReceiverConnection
from dewpin.dataplane.upstream.response_body import Framing

FIRST_CONNECT_TIMEOUT_S = 1.0
LEAST_CONNECT_TIMEOUT_S = 0.25
CONNECT_TIMES_ALLOWED = 8.0
"""A connect may take this many times as long as recent ones to the same receiver did."""
CONNECT_TIME_WEIGHT = 0.25
KEEP_ALIVE_MARGIN_S = 0.15
"""A connection is not used in the last part of the time for which the receiver says that it keeps it."""
UNTOLD_KEEP_ALIVE_S = 0.5
"""How long a connection may be idle if the receiver does not tell how long it keeps one."""


@dataclass(slots=True, eq=False)
class _Idle:
    connection: ReceiverConnection
    since: float
    kept_s: float

    def is_kept(self, now: float) -> bool:
        """Tell whether the receiver keeps the connection still, by its own word."""
        return now - self.since < self.kept_s


class ReceiverConnections:
    """The idle connections to one receiver, in the order of their last use. Times are the clock's, in seconds."""

    def __init__(self, receiver: Receiver, clock: Callable[[], float], idle_limit: IdleLimit) -> None:
        host, _, port = receiver.address.rpartition(":")
        self._host = host.strip("[]")
        self._port = int(port)
        self._clock = clock
        self._idle_limit = idle_limit
        self._lock = threading.Lock()
        self._idle: list[_Idle] = []
        self._closed = False
        self._connect_timeout_s = FIRST_CONNECT_TIMEOUT_S
        self._connect_time_s: float | None = None

    def take_idle(self, repeatable: bool, request_id: str = "") -> ReceiverConnection | None:
        """Return a connection that may carry a call now, or None; those that may carry none any more are closed.

        A connection that carried the same request before may still bring the answer to that, and is closed. Where the
        newest one is only too old for a call that must not be repeated, the oldest one gives way to the new connection
        that the call needs.
        """
        while True:
            with self._lock:
                if not self._idle:
                    return None
                now = self._clock()
                newest = self._idle[-1]
                gives_way = newest.is_kept(now) and not self._allows(newest, repeatable, now)
                taken = self._idle.pop(0 if gives_way or self._takes_oldest(repeatable, now) else -1)
            if gives_way:
                taken.connection.close()
                return None
            if self._may_carry(taken, repeatable, request_id, now):
                taken.connection.idle_s = now - taken.since
                return taken.connection
            taken.connection.close()

    def _takes_oldest(self, repeatable: bool, now: float) -> bool:
        return repeatable and not self._idle_limit.remembers_early_end(now)

    def _allows(self, idle: _Idle, repeatable: bool, now: float) -> bool:
        return self._idle_limit.allows(now - idle.since, idle.kept_s, repeatable, now)

    def _may_carry(self, idle: _Idle, repeatable: bool, request_id: str, now: float) -> bool:
        connection = idle.connection
        return (
            self._allows(idle, repeatable, now) and not connection.has_carried(request_id) and connection.is_connected
        )

    def was_forgotten(self, connection: ReceiverConnection, outcome: Outcome) -> bool:
        """Tell whether the receiver had forgotten an idle connection, by how a call on it ended, and learn from it.

        That proves nothing of the request: a receiver that runs it may fail as soon.
        """
        now = self._clock()
        ended = outcome in (Outcome.RESET, Outcome.CLOSED) and not connection.raw.has_received
        if not ended or now - connection.call_began > FORGOTTEN_WITHIN_S:
            return False
        self._idle_limit.count_forgotten(connection.idle_s, now)
        return True

    def connect(self, timeout_s: float) -> ReceiverConnection:
        """Return a new connection; raises an OSError if none comes up in time."""
        started = self._clock()
        connection = ReceiverConnection(self._host, self._port, self._clock)
        connection.connect_within(min(timeout_s, self._connect_timeout_s))
        self._count_connect(self._clock() - started)
        return connection

    def give_back(self, connection: ReceiverConnection, response: HTTPResponse, framing: Framing) -> None:
        """Keep a connection whose last answer was whole, if the receiver does not end it."""
        kept_s = keep_alive_s(response)
        if connection.may_be_kept(framing) and kept_s > 0:
            connection.end_call()
            with self._lock:
                if not self._closed:
                    self._idle.append(_Idle(connection, self._clock(), kept_s))
                    return
        connection.close()

    def close_expired(self) -> None:
        """Close the connections that may not be used any more."""
        now = self._clock()
        with self._lock:
            expired = [idle for idle in self._idle if now - idle.since >= idle.kept_s]
            self._idle = [idle for idle in self._idle if now - idle.since < idle.kept_s]
        for idle in expired:
            idle.connection.close()

    def close(self) -> None:
        """Close every idle connection, and those that come back later."""
        with self._lock:
            self._closed = True
            closing, self._idle = self._idle, []
        for idle in closing:
            idle.connection.close()

    def _count_connect(self, took_s: float) -> None:
        with self._lock:
            before = took_s if self._connect_time_s is None else self._connect_time_s
            self._connect_time_s = before + CONNECT_TIME_WEIGHT * (took_s - before)
            allowed = CONNECT_TIMES_ALLOWED * self._connect_time_s
            self._connect_timeout_s = min(FIRST_CONNECT_TIMEOUT_S, max(LEAST_CONNECT_TIMEOUT_S, allowed))


def keep_alive_s(response: HTTPResponse) -> float:
    """Return how long a connection may be idle before its next call; 0 if it must not be used again."""
    if "close" in response.headers.get("connection", "").lower():
        return 0.0
    for parameter in response.headers.get("keep-alive", "").split(","):
        name, _, value = parameter.strip().partition("=")
        told_s = read_seconds(value) if name.strip().lower() == "timeout" else None
        if told_s is not None:
            return max(0.0, told_s - KEEP_ALIVE_MARGIN_S)
    return UNTOLD_KEEP_ALIVE_S


def read_seconds(value: str | None) -> float | None:
    """Read a number of seconds; None if it is absent or not readable."""
    try:
        seconds = float(value) if value is not None else None
    except ValueError:
        return None
    return seconds if seconds is not None and 0 <= seconds < float("inf") else None
