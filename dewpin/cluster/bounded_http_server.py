"""A threaded HTTP server for few clients, which bounds its connections, header sections and bodies.

It serves operators and the platform. Whoever else connects may open any number of connections, send requests without
end and not read responses.
"""

from __future__ import annotations

import http.client
import logging
import socket
import threading
from collections import OrderedDict
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from io import BufferedIOBase
from typing import Any

from .listening_server import ListeningServerMixin
from .memory_budget import MemoryBudget
from .received_body import ReceivedBody

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 64
MAX_HEAD_BYTES = 64 * 1024
"""Maximum size of the header fields; http.server bounds the request line, which precedes them, by itself."""
PIECE_BYTES = 64 * 1024
LISTEN_BACKLOG = 256


class BoundedHttpServer(ListeningServerMixin, ThreadingHTTPServer):
    """A server with at most MAX_CONNECTIONS connections: the oldest one is closed for a new one.

    `budget`: the memory budget of the process.
    """

    daemon_threads = True
    block_on_close = False
    request_queue_size = LISTEN_BACKLOG

    def __init__(self, address: tuple[str, int], handler: type[BoundedRequestHandler], budget: MemoryBudget) -> None:
        """Listen on a host and port. Raises OSError."""
        self.budget = budget
        self._connections: OrderedDict[socket.socket, None] = OrderedDict()  # oldest first
        self._lock = threading.Lock()
        super().__init__(address, handler)

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve a connection on a thread of its own; close the oldest one if there are too many."""
        with self._lock:
            self._connections[request] = None
            oldest = next(iter(self._connections)) if len(self._connections) > MAX_CONNECTIONS else None
            if oldest is not None:
                del self._connections[oldest]
        if oldest is not None:
            shut_down(oldest)  # its thread closes it
        super().process_request(request, client_address)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Log a failed connection at debug level: clients may disconnect at any time."""
        log.debug("http.connection_failed", exc_info=True)

    def shutdown_request(self, request: Any) -> None:
        """Close a connection."""
        with self._lock:
            self._connections.pop(request, None)
        super().shutdown_request(request)


class BoundedRequestHandler(BaseHTTPRequestHandler):
    """Serves the requests of one connection.

    memory: the account of what is held for the connection.
    """

    server: BoundedHttpServer

    def setup(self) -> None:
        """Open the connection's account."""
        super().setup()
        self._body: ReceivedBody | None = None
        self.memory = self.server.budget.open_account(self._drop)
        self._head_reader = _HeadReader(self.rfile)
        self.rfile = self._head_reader

    def finish(self) -> None:
        """Close the connection's account."""
        self._body = None
        self.memory.close()
        super().finish()

    def handle_one_request(self) -> None:
        """Serve one request, whose header fields are bounded."""
        self._head_reader.begin_request()
        super().handle_one_request()
        self._body = None
        self.memory.release_to(0)

    def begin_body(self) -> None:
        """Begin to collect a body: the connection may be closed if its client makes no progress.

        Raises AccountEvictedError.
        """
        self._head_reader.end_head()
        self.memory.begin_transfer()
        self._body = ReceivedBody()

    def read_into_body(self, length: int) -> bool:
        """Append the next bytes to the body; return False at the end of the connection.

        Raises MemoryBudgetExceededError and OSError.
        """
        body = self._collected_body()
        while length:
            piece = self.rfile.read(min(length, PIECE_BYTES))
            if not piece:
                return False
            self.memory.add(len(piece))
            body.append(piece)
            length -= len(piece)
        return True

    @property
    def body_size(self) -> int:
        """Return the number of bytes collected so far."""
        return self._collected_body().size

    def take_body(self) -> bytes:
        """Return the body; the connection is not closed for others any more. Raises AccountEvictedError."""
        self.memory.end_transfer()
        return self._collected_body().take()

    def _collected_body(self) -> ReceivedBody:
        assert self._body is not None
        return self._body

    def _drop(self) -> None:
        body = self._body
        if body is not None:
            body.drop()
        shut_down(self.connection)


class _HeadReader(BufferedIOBase):
    """The bytes of a connection; the lines of a request's header fields are bounded as a whole."""

    def __init__(self, reader: Any) -> None:
        self._reader = reader
        self._is_request_line = True
        self._head_bytes_left: int | None = None

    def begin_request(self) -> None:
        self._is_request_line = True
        self._head_bytes_left = MAX_HEAD_BYTES

    def end_head(self) -> None:
        self._head_bytes_left = None

    def readline(self, size: int | None = -1, /) -> bytes:
        """Return the next line. Raises http.client.LineTooLong in a header section that is too large."""
        line: bytes = self._reader.readline(size)
        if self._is_request_line:
            self._is_request_line = False
        elif self._head_bytes_left is not None:
            self._head_bytes_left -= len(line)
            if self._head_bytes_left < 0:
                raise http.client.LineTooLong("header section")
        return line

    def read(self, size: int | None = -1, /) -> bytes:
        """Return at most `size` bytes."""
        data: bytes = self._reader.read(size)
        return data

    def close(self) -> None:
        """Close the underlying file."""
        self._reader.close()
        super().close()


def shut_down(connection: socket.socket) -> None:
    """End all waits for the peer of a connection, from any thread."""
    with suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
