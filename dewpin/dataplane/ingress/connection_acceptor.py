"""Accepts client connections and serves each on a worker thread.

Only the accept loop of `socketserver` is used; `connection_handler` replaces its request handlers.
"""

import logging
import socket
from collections.abc import Callable
from socketserver import BaseRequestHandler, TCPServer
from typing import Any

from dewpin.cluster.listening_server import ListeningServerMixin
from dewpin.dataplane.ingress.worker_threads import WorkerThreads

log = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024


class ConnectionAcceptor(ListeningServerMixin, TCPServer):
    """A listening socket; `serve_forever` accepts connections until `shutdown`.

    For each connection, `try_admit` is called first and may reject it by returning False. Then `serve` is called on a
    worker thread and must close the socket. Finally `on_closed` is called.
    """

    request_queue_size = LISTEN_BACKLOG

    def __init__(
        self,
        address: tuple[str, int],
        try_admit: Callable[[], bool],
        serve: Callable[[socket.socket], None],
        on_closed: Callable[[], None],
    ) -> None:
        """Listen on a host and port. Raises OSError if that fails."""
        self._try_admit = try_admit
        self._serve = serve
        self._on_closed = on_closed
        self._has_accepted_all = False
        self._workers = WorkerThreads(self._serve_admitted)
        super().__init__(address, BaseRequestHandler)

    def accept_pending(self) -> None:
        """Serve the connections left in the listen backlog after `serve_forever` has returned."""
        self.timeout = 0
        self._has_accepted_all = False
        while not self._has_accepted_all:
            self.handle_request()

    def get_request(self) -> tuple[socket.socket, Any]:
        """Accept a connection; pause after an error."""
        accepted, address = super().get_request()
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return accepted, address

    def handle_timeout(self) -> None:
        """Record that `accept_pending` found no further connection."""
        self._has_accepted_all = True

    def verify_request(self, request: Any, client_address: Any) -> bool:
        """Return whether the connection is admitted."""
        return self._try_admit()

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve a connection on a worker thread."""
        try:
            self._workers.submit(request)
        except BaseException:
            self._on_closed()
            raise

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Log the exception that prevented a connection from being served."""
        log.exception("failed to serve an accepted connection")

    def _serve_admitted(self, sock: socket.socket) -> None:
        try:
            self._serve(sock)
        finally:
            self._on_closed()
