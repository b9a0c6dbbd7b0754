"""The HTTP server's open connections: their limits, their time-outs, and which are closed in favour of others."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import msgspec

from .parsing_pacer import ParsingPacer

MAX_ACCEPTED_AT_ONCE = 10  # per event loop iteration; a connection over the limit stays open for three iterations
MAX_REJECTED_CONNECTIONS = 16  # connections over the limit that still get a 503
SWEEP_INTERVAL_SECONDS = 0.1
LINGER_SECONDS = 0.5  # time for a client to close its side after the server has closed its own
# At the connection limit, a connection may be closed if its client has sent nothing for MIN_SILENT_SECONDS, or no more
# of an incomplete first request for MIN_STALLED_SECONDS.
MIN_SILENT_SECONDS = 0.5
MIN_STALLED_SECONDS = 2.0
KEEP_ALIVE_DIVISOR = 4  # above 1/KEEP_ALIVE_DIVISOR of the connection limit, responses close their connections


class ServerLimits(msgspec.Struct):
    """Limits and time-outs of clients' connections.

    Attributes:
        max_connections: maximum number of open connections.
        max_buffered_bytes: maximum number of buffered bytes of incomplete requests on all connections together.
        read_timeout_seconds: time for a request to arrive completely; for the first request, counted from the accept.
        min_idle_seconds: idle time after which a connection may be closed to make room for others.
        keep_alive_timeout_seconds: idle time after which a connection is closed.
    """

    max_connections: int = 8
    max_buffered_bytes: float = 1e6
    read_timeout_seconds: float = 2.7
    min_idle_seconds: float = 2.0
    keep_alive_timeout_seconds: float = 10.0


if TYPE_CHECKING:  # creating a protocol class would slow down each start of a process

    class BufferingParser(Protocol):
        """The interface of a connection's parser that the table uses."""

        @property
        def buffered_bytes(self) -> int:
            """Number of received bytes that are buffered."""

        @property
        def has_partial_message(self) -> bool:
            """Return whether part of a request has been received."""

    class TrackedConnection(Protocol):
        """The interface of `ClientConnection` that the table uses."""

        request_started_at: float | None
        last_active_at: float
        is_closing: bool
        has_sent_request: bool
        transport: asyncio.Transport

        @property
        def parser(self) -> BufferingParser:
            """The parser of its requests."""

        def __hash__(self) -> int:
            """Connections are used as dictionary keys."""

        def abort(self) -> None:
            """Close the connection immediately."""

        def close_gracefully(self) -> None:
            """Close the connection once the written bytes are sent."""

        def reject(self, status: int) -> None:
            """Respond with an error and close the connection gracefully."""

        def is_idle(self) -> bool:
            """Return whether the connection is between two requests."""

        def has_unread_bytes(self) -> bool:
            """Return whether unread bytes are pending at the socket."""


class ConnectionTable:
    """The open connections.

    Attributes:
        limits: the current limits.
        parsing_pacer: delays requests that are costly to parse.
        is_stopping: whether each connection is closed after its next response.
        buffered_bytes_by_client: number of buffered bytes of each open connection, least recently used first.
        buffered_bytes: sum of these numbers.
        lingering: connections that the server has closed on its side and the client has not; oldest first.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.limits = ServerLimits()
        self.parsing_pacer = ParsingPacer()
        self.is_stopping = False
        self.buffered_bytes_by_client: dict[TrackedConnection, int] = {}
        self.buffered_bytes = 0
        self._silent: dict[TrackedConnection, None] = {}  # have sent nothing yet; oldest first
        self._incomplete: dict[TrackedConnection, None] = {}  # in their first request; least recently active first
        self.lingering: dict[TrackedConnection, None] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None

    # -- called by connections ----------------------------------------------------------------------------------------

    def add(self, client: TrackedConnection) -> None:
        """Register a new connection; above the limit another one is closed, or this one is rejected."""
        self.buffered_bytes_by_client[client] = 0
        self._silent[client] = None
        open_count = len(self.buffered_bytes_by_client)
        if open_count <= self.limits.max_connections:
            return
        if self.lingering:  # its client has had the most time to read the response, and its descriptor is needed
            oldest = next(iter(self.lingering))
            del self.lingering[oldest]
            oldest.transport.abort()
            return
        if self.evict(1):
            return
        del self._silent[client]
        if len(self.buffered_bytes_by_client) <= self.limits.max_connections + MAX_REJECTED_CONNECTIONS:
            client.reject(503)
        else:
            client.abort()

    def remove(self, client: TrackedConnection) -> None:
        """Unregister a closed connection."""
        self.buffered_bytes -= self.buffered_bytes_by_client.pop(client, 0)
        self._silent.pop(client, None)
        self._incomplete.pop(client, None)
        self.lingering.pop(client, None)

    def on_bytes_received(self, client: TrackedConnection) -> None:
        """Record that bytes have arrived on a connection."""
        self._silent.pop(client, None)
        if not client.has_sent_request:
            self._incomplete.pop(client, None)
            self._incomplete[client] = None

    def on_request_complete(self, client: TrackedConnection) -> None:
        """Record that the first request of a connection is complete."""
        self._incomplete.pop(client, None)

    def on_requests_handled(self, client: TrackedConnection) -> None:
        """Mark a connection as the most recently used one and update the number of bytes that it buffers."""
        if client not in self.buffered_bytes_by_client:
            return
        buffered_bytes = client.parser.buffered_bytes
        self.buffered_bytes += buffered_bytes - self.buffered_bytes_by_client.pop(client)
        self.buffered_bytes_by_client[client] = buffered_bytes
        if self.buffered_bytes > self.limits.max_buffered_bytes:
            client.reject(503)

    def start_lingering(self, client: TrackedConnection) -> None:
        """Wait a limited time for the client to close its side of a connection that the server has closed."""
        self.lingering[client] = None
        self._loop.call_later(LINGER_SECONDS, client.transport.abort)

    def should_close_after_response(self) -> bool:
        """Return whether connections are closed after each response: during a stop, and while many are open.

        Otherwise clients that send one request and keep their connections open would leave none for others.
        """
        return self.is_stopping or self._active_count() > self.limits.max_connections // KEEP_ALIVE_DIVISOR

    # -- called by the server -----------------------------------------------------------------------------------------

    def start_sweeping(self) -> None:
        """Start the periodic check of time-outs."""
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)

    def stop_sweeping(self) -> None:
        """Stop the periodic check of time-outs."""
        if self._sweep_timer:
            self._sweep_timer.cancel()

    def drain(self) -> None:
        """Close each connection after its next response; the limit admits the open ones and a few new ones."""
        self.is_stopping = True
        self.limits.max_connections = len(self.buffered_bytes_by_client) + 2 * MAX_ACCEPTED_AT_ONCE

    def stop(self) -> None:
        """Close each connection after its next response, and idle ones immediately."""
        self.is_stopping = True
        for client in list(self.buffered_bytes_by_client):
            if client.is_idle():
                client.close_gracefully()

    def close(self) -> None:
        """Close all connections."""
        for client in list(self.buffered_bytes_by_client):
            client.transport.close()

    # -- eviction and time-outs ---------------------------------------------------------------------------------------

    def evict(self, wanted: int) -> bool:
        """Close up to `wanted` connections of silent or idle clients; return whether that many were closed.

        Silent ones are closed first, then the least recently used idle ones, as their clients can open new ones. More
        recently used connections are kept, because their clients may be about to send a request.
        """
        now = self._loop.time()
        closed = self._abort_inactive(self._silent, now - MIN_SILENT_SECONDS, wanted)
        closed += self._abort_inactive(self._incomplete, now - MIN_STALLED_SECONDS, wanted - closed)
        inactive_before = now - self.limits.min_idle_seconds
        for client in list(self.buffered_bytes_by_client):
            if client.last_active_at > inactive_before or closed >= wanted:
                break
            if client.is_idle():
                client.close_gracefully()
                closed += 1
        return closed >= wanted

    def _abort_inactive(self, clients: dict[TrackedConnection, None], inactive_before: float, wanted: int) -> int:
        """Abort up to `wanted` of these connections that have sent nothing since this time; return their number."""
        closed = 0
        while closed < wanted and len(self.buffered_bytes_by_client) > self.limits.max_connections and clients:
            client = next(iter(clients))
            if client.last_active_at > inactive_before:
                break
            del clients[client]
            if not client.is_closing and not client.has_unread_bytes():  # unread bytes are going to be handled
                client.abort()
                closed += 1
        return closed

    def _sweep(self) -> None:
        """Close connections whose time-out has expired, and idle ones while many are open."""
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)
        now = self._loop.time()
        for client in list(self.buffered_bytes_by_client):
            if not client.is_closing:
                self._check_timeout(client, now)
        target_count = 0 if self.is_stopping else self.limits.max_connections // KEEP_ALIVE_DIVISOR
        self.evict(self._active_count() - target_count)

    def _check_timeout(self, client: TrackedConnection, now: float) -> None:
        if client.request_started_at is None:
            is_expired = now - client.last_active_at > self.limits.keep_alive_timeout_seconds
        else:
            is_expired = now - client.request_started_at > self.limits.read_timeout_seconds
        if not is_expired:
            return
        if client.parser.has_partial_message:
            client.reject(408)
        elif not client.has_unread_bytes():
            client.close_gracefully()

    def _active_count(self) -> int:
        """Return the number of connections that the server has not closed on its side."""
        return len(self.buffered_bytes_by_client) - len(self.lingering)
