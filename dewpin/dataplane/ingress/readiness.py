"""The readiness endpoint, which the platform polls to decide whether to direct clients to this sender."""

import logging
from collections.abc import Callable
from contextlib import suppress
from http import HTTPStatus

from dewpin.cluster.bounded_http_server import BoundedHttpServer, BoundedRequestHandler
from dewpin.cluster.listening_server import serve_in_background
from dewpin.cluster.memory_budget import MemoryBudget

SHUTDOWN_POLL_S = 0.5
REQUEST_TIMEOUT_S = 5.0

log = logging.getLogger(__name__)


class ReadinessServer:
    """Responds to GET `/dewpin/ready` with 200 while the sender is ready, otherwise with 503."""

    PATH = "/dewpin/ready"

    def __init__(self, is_ready: Callable[[], bool], budget: MemoryBudget | None = None) -> None:
        self._is_ready = is_ready
        self._budget = budget or MemoryBudget.for_process(0.0)
        self._server: BoundedHttpServer | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port that the server listens on."""
        assert self._server is not None
        host, port = self._server.server_address[:2]
        return str(host), int(port)

    def start(self, address: tuple[str, int]) -> None:
        """Listen on a host and port and serve in the background. Raises OSError if it cannot listen."""
        self._server = BoundedHttpServer(address, _handler_class(self.PATH, self._is_ready), self._budget)
        serve_in_background("ready", self._server, SHUTDOWN_POLL_S)

    def stop(self) -> None:
        """Stop serving."""
        if self._server is not None:
            with suppress(OSError):
                self._server.shutdown()
                self._server.server_close()


def _handler_class(ready_path: str, is_ready: Callable[[], bool]) -> type[BoundedRequestHandler]:
    class Handler(BoundedRequestHandler):
        protocol_version = "HTTP/1.1"
        timeout = REQUEST_TIMEOUT_S

        def do_GET(self) -> None:
            self.send_response_only(self._status())
            self.send_header("Content-Length", "0")
            self.end_headers()

        def _status(self) -> HTTPStatus:
            if self.path.partition("?")[0] != ready_path:
                return HTTPStatus.NOT_FOUND
            return HTTPStatus.OK if is_ready() else HTTPStatus.SERVICE_UNAVAILABLE

        def log_message(self, format: str, *args: object) -> None:
            log.debug(format, *args)

    return Handler
