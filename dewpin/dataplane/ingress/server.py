"""The HTTP server for clients, on `http.server` with one thread per connection.

The library accepts connections and hands them to handlers. Its reading of requests is replaced: it neither bounds a
head by the operator's limits nor rejects what could be read in two ways.
"""

import logging
import os
import socket
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, HTTPServer
from typing import Any, cast

from dewpin.cluster.configuration import Configuration, Limits
from dewpin.cluster.errors import ErrorKind
from dewpin.dataplane.http11.messages import Answer, BodyBroken, BodyStream, Request, own_answer
from dewpin.dataplane.http11.request_parsing import RequestHead
from dewpin.dataplane.http11.response_format import render_chunk, render_head, render_whole
from dewpin.dataplane.ingress.client_connection import ClientConnection
from dewpin.dataplane.ingress.request_reader import RequestReader, limits_of
from dewpin.dataplane.ingress.worker_threads import Workers
from dewpin.dataplane.membership.cluster_state import ClusterState

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024
THREAD_STACK_BYTES = 256 * 1024
ACCEPT_POLL_S = 0.5
IDLE_MARGIN = 1.1
"""A connection at rest is kept a little longer than the operator's limit says."""
WRITE_TIMEOUT_S = 10.0
MOST_CONNECTIONS = 3000

HandleRequest = Callable[[Request], Answer]


class Ingress:
    """Serves clients at one address."""

    def __init__(
        self,
        cluster_state: ClusterState,
        handle: HandleRequest,
        clock: Callable[[], float] = time.monotonic,
        most_connections: int = MOST_CONNECTIONS,
        accept_poll_s: float = ACCEPT_POLL_S,
    ) -> None:
        self._state = cluster_state
        self._clock = clock
        self._accept_poll_s = accept_poll_s
        self._most_connections = most_connections
        self._server: _Server | None = None
        self._accepting: threading.Thread | None = None
        self._wake_reader, self._wake_writer = os.pipe()
        self._counted = threading.Condition()
        self._connections = 0
        self.handle = handle
        self.draining = False
        self.stopped = False

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port that the server listens at."""
        assert self._server is not None
        host, port = self._server.server_address[:2]
        return str(host), int(port)

    @property
    def connections(self) -> int:
        """Return the number of open connections."""
        return self._connections

    def start(self, address: tuple[str, int]) -> None:
        """Listen at a host and port and serve in the background; raises OSError if it cannot listen."""
        threading.stack_size(THREAD_STACK_BYTES)
        server = self._server = _Server(address, self)
        self._accepting = threading.Thread(
            target=server.serve_forever, args=(self._accept_poll_s,), name="ingress", daemon=True
        )
        self._accepting.start()

    def begin_drain(self) -> None:
        """Let all answers carry `Connection: close` from now on; new connections are still taken."""
        self.draining = True

    def stop(self, drain_s: float, accept_s: float = 0.0) -> bool:
        """Drain, and return whether all requests ended in time.

        New connections are taken for `accept_s` more; then connections at rest are closed, and requests under way have
        until `drain_s` after the call.
        """
        ends_at = self._clock() + drain_s
        self.begin_drain()
        if accept_s > 0:
            threading.Event().wait(min(accept_s, drain_s))
        if self._server is not None:
            self._server.shutdown()
            self._server.take_queued()
            self._server.server_close()
        self.stopped = True
        os.close(self._wake_writer)
        with self._counted:
            return self._counted.wait_for(lambda: self._connections == 0, max(0.0, ends_at - self._clock()))

    def limits(self) -> Limits:
        """Return the limits in force."""
        return limits_of(self._state.configuration)

    @property
    def configuration(self) -> Configuration | None:
        """Return the configuration in force."""
        return self._state.configuration

    def take_connection(self) -> bool:
        """Count a new connection; False if there are too many."""
        with self._counted:
            if self._connections >= self._most_connections:
                return False
            self._connections += 1
            return True

    def drop_connection(self) -> None:
        """Count a connection that was closed."""
        with self._counted:
            self._connections -= 1
            self._counted.notify_all()

    def serve_connection(self, sock: socket.socket) -> None:
        """Serve the requests of one connection until it is closed."""
        connection = ClientConnection(sock, self._wake_reader, self._clock)
        try:
            _ConnectionServer(self, connection, self._clock).serve()
        except (OSError, BodyBroken):
            connection.close()
        except Exception:
            log.exception("a connection ended with an error")
            connection.close()


class _Server(HTTPServer):
    request_queue_size = LISTEN_BACKLOG

    def __init__(self, address: tuple[str, int], ingress: Ingress) -> None:
        self.ingress = ingress
        self._queue_is_empty = False
        self._workers = Workers(self._serve)
        super().__init__(address, _Handler)

    def server_bind(self) -> None:
        """Bind without looking up the host's name."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(self.server_address)
        self.server_address = self.socket.getsockname()

    def get_request(self) -> tuple[socket.socket, Any]:
        """Accept a connection; where descriptors have run out, wait a little so as not to spin."""
        try:
            accepted, address = self.socket.accept()
        except OSError:
            threading.Event().wait(0.01)
            raise
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return accepted, address

    def take_queued(self) -> None:
        """Serve the connections that came up but were not accepted yet, once `serve_forever` has ended."""
        self.timeout = 0
        self._queue_is_empty = False
        while not self._queue_is_empty:
            self.handle_request()

    def handle_timeout(self) -> None:
        """Note that no connection waits to be accepted."""
        self._queue_is_empty = True

    def verify_request(self, request: Any, client_address: Any) -> bool:
        """Turn a connection away where there are too many."""
        return self.ingress.take_connection()

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve a connection in a thread of its own."""
        try:
            self._workers.submit(request)
        except BaseException:
            self.ingress.drop_connection()
            raise

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Log what went wrong with a connection."""
        log.exception("a connection could not be served")

    def _serve(self, sock: socket.socket) -> None:
        try:
            self.finish_request(sock, None)
        finally:
            self.ingress.drop_connection()


class _Handler(BaseHTTPRequestHandler):
    """Hands the socket to the ingress; the reading of the library is not used."""

    def setup(self) -> None:
        """Leave the socket as it is."""

    def handle(self) -> None:
        """Serve the connection."""
        cast(_Server, self.server).ingress.serve_connection(cast(socket.socket, self.request))

    def finish(self) -> None:
        """Do nothing: the ingress has closed the socket."""


class _ConnectionServer:
    """Reads the requests of one connection one after the other and writes their answers."""

    def __init__(self, ingress: Ingress, connection: ClientConnection, clock: Callable[[], float]) -> None:
        self._ingress = ingress
        self._connection = connection
        self._clock = clock
        self._reader = RequestReader(connection, clock)

    def serve(self) -> None:
        while self._connection.wait_at_rest(self._rest_s):
            self._connection.skip_empty_lines()
            if not self._connection.has_buffered_bytes:
                continue
            request_read = self._reader.read(self._ingress.configuration)
            if isinstance(request_read, ErrorKind):
                self._answer_unread(request_read)
                return
            head, request = request_read
            close = self._answer(head, self._handle(request))
            if close:
                self._connection.close_lingering()
                return
        self._connection.close()

    def _handle(self, request: Request) -> Answer:
        try:
            return self._ingress.handle(request)
        except Exception:
            log.exception("a request could not be handled")
            return own_answer(ErrorKind.INTERNAL)

    def _rest_s(self) -> float:
        return self._ingress.limits().idle_timeout_ms / 1000 * IDLE_MARGIN

    def _answer_unread(self, kind: ErrorKind) -> None:
        """Answer a request that was not read whole, and close."""
        self._answer_with(kind)
        self._connection.close_lingering()

    def _answer_with(self, kind: ErrorKind) -> None:
        """Write the answer to an error as the last one of the connection."""
        answer = own_answer(kind)
        data = render_whole(answer, cast(bytes, answer.body), closing=True, without_body=False)
        self._connection.send_all(data, self._clock() + WRITE_TIMEOUT_S)

    def _answer(self, head: RequestHead, answer: Answer) -> bool:
        """Write an answer; return whether the connection must be closed."""
        body = answer.body
        closing = head.wants_close or self._ingress.draining
        if isinstance(body, bytes):
            data = render_whole(answer, body, closing, head.method == "HEAD")
            self._connection.send_all(data, self._clock() + WRITE_TIMEOUT_S)
            return closing
        try:
            return self._pass_on(head, answer, body, closing)
        finally:
            body.close()

    def _pass_on(self, head: RequestHead, answer: Answer, body: BodyStream, closing: bool) -> bool:
        """Write a body as it arrives; one that breaks off is not given its end, or is an error if nothing was sent."""
        chunked = not head.is_http_1_0
        closing = closing or not chunked
        data = render_head(answer, closing, [("Transfer-Encoding", "chunked")] if chunked else [])
        has_begun = False
        try:
            for part in body:
                data += render_chunk(part) if chunked else part
                has_begun = True
                self._connection.send_all(data, self._clock() + WRITE_TIMEOUT_S)
                data = b""
        except BodyBroken:
            if not has_begun:
                self._answer_with(ErrorKind.RECEIVER_FAILED)
                return True
            if not chunked:
                self._connection.reset()
            raise
        if chunked:
            data += b"0\r\n\r\n"
        self._connection.send_all(data, self._clock() + WRITE_TIMEOUT_S)
        return closing or self._ingress.draining
