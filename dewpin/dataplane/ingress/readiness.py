"""The HTTP server that tells the platform whether clients may be sent here."""

import logging
import socket
import threading
from collections.abc import Callable
from contextlib import suppress
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

ACCEPT_POLL_S = 0.5

log = logging.getLogger(__name__)


class ReadyServer:
    """Tells the platform at `/dewpin/ready` whether clients may be sent here."""

    PATH = "/dewpin/ready"

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self._server: ThreadingHTTPServer | None = None

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port that the server listens at."""
        assert self._server is not None
        host, port = self._server.server_address[:2]
        return str(host), int(port)

    def start(self, address: tuple[str, int]) -> None:
        """Listen at a host and port and serve in the background; raises OSError if it cannot listen."""
        is_ready, path = self._is_ready, self.PATH

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            timeout = 5.0

            def do_GET(self) -> None:
                status = 404 if self.path.partition("?")[0] != path else (200 if is_ready() else 503)
                self.send_response_only(status)
                self.send_header("Content-Length", "0")
                self.end_headers()

            def log_message(self, format: str, *args: object) -> None:
                log.debug(format, *args)

        server = self._server = _ReadyHttpServer(address, Handler)
        threading.Thread(target=server.serve_forever, args=(ACCEPT_POLL_S,), name="ready", daemon=True).start()

    def stop(self) -> None:
        """Stop answering."""
        if self._server is not None:
            with suppress(OSError):
                self._server.shutdown()
                self._server.server_close()


class _ReadyHttpServer(ThreadingHTTPServer):
    daemon_threads = True
    block_on_close = False

    def server_bind(self) -> None:
        """Bind without looking up the host's name."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(self.server_address)
        self.server_address = self.socket.getsockname()
