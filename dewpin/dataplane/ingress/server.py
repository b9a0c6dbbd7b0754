"""The HTTP/1.1 server for clients: one thread per connection, a connection limit and graceful shutdown.

`connection_acceptor` accepts connections and `connection_handler` serves each one. Requests are read by
`request_reader` instead of `http.server`, which neither enforces the configured head size limit nor rejects ambiguous
requests.
"""

import logging
import os
import socket
import threading
import time
from collections.abc import Callable

from dewpin.cluster.listening_server import serve_in_background
from dewpin.cluster.memory_budget import MemoryBudget, MemoryBudgetExceededError
from dewpin.dataplane.http11.messages import IncompleteBodyError
from dewpin.dataplane.ingress.client_connection import ClientConnection
from dewpin.dataplane.ingress.connection_acceptor import ConnectionAcceptor
from dewpin.dataplane.ingress.connection_handler import ConnectionHandler, HandleRequest
from dewpin.dataplane.ingress.open_connections import MAX_CONNECTIONS, OpenConnections
from dewpin.dataplane.membership.cluster_state import ClusterState

log = logging.getLogger(__name__)

THREAD_STACK_BYTES = 256 * 1024
ACCEPT_POLL_S = 0.5


class IngressServer:
    """Serves clients at one address.

    Attributes:
        is_draining: whether every response closes its connection.
        is_stopped: whether new connections are refused and idle ones are closed.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        handle_request: HandleRequest,
        clock: Callable[[], float] = time.monotonic,
        max_connections: int = MAX_CONNECTIONS,
        accept_poll_s: float = ACCEPT_POLL_S,
        budget: MemoryBudget | None = None,
    ) -> None:
        self._state = cluster_state
        self._handle_request = handle_request
        self._clock = clock
        self._accept_poll_s = accept_poll_s
        self._budget = budget or MemoryBudget.for_process(0.0)
        self._open_connections = OpenConnections(max_connections, self._budget, clock)
        self._acceptor: ConnectionAcceptor | None = None
        # Closing the write end of this pipe wakes all connections that wait for a request.
        self._wakeup_read_fd, self._wakeup_write_fd = os.pipe()
        self.is_draining = False
        self.is_stopped = False

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port that the server listens on."""
        assert self._acceptor is not None
        host, port = self._acceptor.server_address[:2]
        return str(host), int(port)

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return self._open_connections.count

    def start(self, address: tuple[str, int]) -> None:
        """Listen on a host and port and serve in the background. Raises OSError if it cannot listen."""
        threading.stack_size(THREAD_STACK_BYTES)
        acceptor = ConnectionAcceptor(
            address, self._open_connections.try_admit, self._serve_connection, self._open_connections.on_closed
        )
        self._acceptor = acceptor
        serve_in_background("ingress", acceptor, self._accept_poll_s)

    def begin_drain(self) -> None:
        """Send `Connection: close` in all responses from now on; new connections are still accepted."""
        self.is_draining = True

    def stop(self, drain_s: float, accept_s: float = 0.0) -> bool:
        """Drain and stop the server; return whether all connections ended in time.

        New connections are accepted for another `accept_s` seconds; then idle connections are closed. Requests in
        progress may complete until `drain_s` seconds after the call.
        """
        drain_deadline = self._clock() + drain_s
        self.begin_drain()
        if accept_s > 0:
            threading.Event().wait(min(accept_s, drain_s))
        if self._acceptor is not None:
            self._acceptor.shutdown()
            self._acceptor.accept_pending()
            self._acceptor.server_close()
        self.is_stopped = True
        os.close(self._wakeup_write_fd)
        return self._open_connections.wait_until_closed(max(0.0, drain_deadline - self._clock()))

    def _serve_connection(self, sock: socket.socket) -> None:
        connection = ClientConnection(sock, self._wakeup_read_fd, self._clock, self._budget)
        try:
            ConnectionHandler(
                connection,
                self._state,
                self._handle_request,
                lambda: self.is_draining,
                self._clock,
                self._open_connections,
            ).serve()
        except (OSError, IncompleteBodyError, MemoryBudgetExceededError):
            connection.close()
        except Exception:
            log.exception("unhandled exception while serving a connection")
            connection.close()
