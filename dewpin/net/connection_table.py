"""The HTTP server's open connections: how many there may be, which give way to others, and their time-outs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import msgspec

MAX_ACCEPTED_AT_ONCE = 10  # connections accepted in one turn of the event loop; one too many lasts three turns
MAX_REJECTED_CONNECTIONS = 16  # over the limit that still get a 503
SWEEP_INTERVAL_SECONDS = 0.1
LINGER_SECONDS = 0.5  # that a client has to end its side once we have ended ours
# When all connections are taken, one gives way that has sent nothing for so long, or no more of its first request:
SILENT_SECONDS = 0.5
STALLED_SECONDS = 2.0
# Above one part in so many of the limit, responses end their connections:
CROWDED_DIVISOR = 4


class ServerLimits(msgspec.Struct):
    """Limits and time-outs of clients' connections.

    Attributes:
        max_connections: how many may be open.
        max_buffered_bytes: bytes of incomplete requests on all connections together.
        read_timeout_seconds: for a request to arrive whole; for the first one counted from the accept.
        min_idle_seconds: without a request after which a connection may be closed to make room for others.
        keep_alive_timeout_seconds: without a request after which a connection is closed.
    """

    max_connections: int = 8
    max_buffered_bytes: float = 1e6
    read_timeout_seconds: float = 2.7
    min_idle_seconds: float = 2.0
    keep_alive_timeout_seconds: float = 10.0


if TYPE_CHECKING:  # a protocol is costly to make, and each start would make it

    class BufferingParser(Protocol):
        """What the table needs of a connection's parser."""

        @property
        def buffered_bytes(self) -> int:
            """Bytes that were received and are kept."""

        @property
        def has_partial_message(self) -> bool:
            """Whether a part of a request has been received."""

    class TrackedConnection(Protocol):
        """What the table needs of a client's connection: see `ClientConnection`."""

        request_started_at: float | None
        last_active_at: float
        is_closing: bool
        has_sent_request: bool
        transport: asyncio.Transport

        @property
        def parser(self) -> BufferingParser:
            """The parser of its requests."""

        def __hash__(self) -> int:
            """Connections are keys."""

        def abort(self) -> None:
            """End it at once."""

        def end(self) -> None:
            """End it once what was written has left."""

        def reject(self, status: int) -> None:
            """Answer with an error and end it."""

        def is_idle(self) -> bool:
            """Whether no request is being read or answered."""

        def has_unread_bytes(self) -> bool:
            """Whether bytes wait at its socket."""


class ConnectionTable:
    """The open connections.

    Attributes:
        limits: the limits in force.
        is_stopping: each connection ends with its next response.
        buffered_bytes_by_client: all connections, the least recently used first.
        buffered_bytes: the sum of these.
        lingering: those whose client has not ended its side yet, though we have ended ours; the oldest first.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.limits = ServerLimits()
        self.is_stopping = False
        self.buffered_bytes_by_client: dict[TrackedConnection, int] = {}
        self.buffered_bytes = 0
        self._silent: dict[TrackedConnection, None] = {}  # that have sent nothing yet, the oldest first
        self._incomplete: dict[TrackedConnection, None] = {}  # in their first request, the longest silent first
        self.lingering: dict[TrackedConnection, None] = {}
        self._sweep_timer: asyncio.TimerHandle | None = None

    # -- called by connections ----------------------------------------------------------------------------------------

    def add(self, client: TrackedConnection) -> None:
        """Take in a new connection; over the limit another one gives way, or this one is rejected."""
        self.buffered_bytes_by_client[client] = 0
        self._silent[client] = None
        open_count = len(self.buffered_bytes_by_client)
        if open_count <= self.limits.max_connections:
            return
        if self.lingering:  # the one that has had longest to read its response: its descriptor is needed
            oldest = next(iter(self.lingering))
            del self.lingering[oldest]
            oldest.transport.abort()
            return
        if self.make_room(1):
            return
        del self._silent[client]
        if len(self.buffered_bytes_by_client) <= self.limits.max_connections + MAX_REJECTED_CONNECTIONS:
            client.reject(503)
        else:
            client.abort()

    def remove(self, client: TrackedConnection) -> None:
        """Forget a connection that is closed."""
        self.buffered_bytes -= self.buffered_bytes_by_client.pop(client, 0)
        self._silent.pop(client, None)
        self._incomplete.pop(client, None)
        self.lingering.pop(client, None)

    def note_received(self, client: TrackedConnection) -> None:
        """Note that bytes arrived on a connection."""
        self._silent.pop(client, None)
        if not client.has_sent_request:
            self._incomplete.pop(client, None)
            self._incomplete[client] = None

    def note_request_complete(self, client: TrackedConnection) -> None:
        """Note that a connection's first request has arrived whole."""
        self._incomplete.pop(client, None)

    def note_served(self, client: TrackedConnection) -> None:
        """Make a connection the most recently used one and count the bytes that it buffers."""
        if client not in self.buffered_bytes_by_client:
            return
        buffered_bytes = client.parser.buffered_bytes
        self.buffered_bytes += buffered_bytes - self.buffered_bytes_by_client.pop(client)
        self.buffered_bytes_by_client[client] = buffered_bytes
        if self.buffered_bytes > self.limits.max_buffered_bytes:
            client.reject(503)

    def start_lingering(self, client: TrackedConnection) -> None:
        """Wait, for a bounded time, until the client of a connection that we have ended ends its side."""
        self.lingering[client] = None
        self._loop.call_later(LINGER_SECONDS, client.transport.abort)

    def should_end_connections(self) -> bool:
        """Return whether responses end their connections: at a stop, and while many are open.

        Else clients that ask once and keep their connections would leave none for others.
        """
        return self.is_stopping or self._active_count() > self.limits.max_connections // CROWDED_DIVISOR

    # -- called by the server -----------------------------------------------------------------------------------------

    def start_sweeping(self) -> None:
        """Check time-outs from now on."""
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)

    def stop_sweeping(self) -> None:
        """Check no time-outs any more."""
        if self._sweep_timer:
            self._sweep_timer.cancel()

    def drain(self) -> None:
        """Have each connection end with its next response; those that are open and a few new ones are in the limit."""
        self.is_stopping = True
        self.limits.max_connections = len(self.buffered_bytes_by_client) + 2 * MAX_ACCEPTED_AT_ONCE

    def stop(self) -> None:
        """Have each connection end with its next response, and idle ones at once."""
        self.is_stopping = True
        for client in list(self.buffered_bytes_by_client):
            if client.is_idle():
                client.end()

    def close(self) -> None:
        """Close every connection."""
        for client in list(self.buffered_bytes_by_client):
            client.transport.close()

    # -- who gives way ------------------------------------------------------------------------------------------------

    def make_room(self, wanted: int) -> bool:
        """Close up to `wanted` connections that silent or idle clients hold; return whether there were enough.

        Silent ones go first, then the least recently used of those that are idle: their owners open others. A younger
        one may belong to a client that is just about to send.
        """
        now = self._loop.time()
        closed = self._abort_silent(self._silent, now - SILENT_SECONDS, wanted)
        closed += self._abort_silent(self._incomplete, now - STALLED_SECONDS, wanted - closed)
        last_use_before = now - self.limits.min_idle_seconds
        for client in list(self.buffered_bytes_by_client):
            if client.last_active_at > last_use_before or closed >= wanted:
                break
            if client.is_idle():
                client.end()
                closed += 1
        return closed >= wanted

    def _abort_silent(self, clients: dict[TrackedConnection, None], last_use_before: float, wanted: int) -> int:
        """Abort up to `wanted` of these clients that have been silent since this time; return how many."""
        closed = 0
        while closed < wanted and len(self.buffered_bytes_by_client) > self.limits.max_connections and clients:
            client = next(iter(clients))
            if client.last_active_at > last_use_before:
                break
            del clients[client]
            if not client.is_closing and not client.has_unread_bytes():  # unread bytes are about to be read
                client.abort()
                closed += 1
        return closed

    def _sweep(self) -> None:
        """Close connections that are silent, never complete a request, or stay open for good."""
        self._sweep_timer = self._loop.call_later(SWEEP_INTERVAL_SECONDS, self._sweep)
        now = self._loop.time()
        for client in list(self.buffered_bytes_by_client):
            if not client.is_closing:
                self._check_timeout(client, now)
        kept_count = 0 if self.is_stopping else self.limits.max_connections // CROWDED_DIVISOR
        self.make_room(self._active_count() - kept_count)

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
            client.end()

    def _active_count(self) -> int:
        """Return how many connections we have not ended."""
        return len(self.buffered_bytes_by_client) - len(self.lingering)
