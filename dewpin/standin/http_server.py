"""A small HTTP server for the stand-ins, based on `http.server`, with a thread per connection."""

import json
import signal
import socket
import threading
from collections.abc import Iterable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import urlsplit

HeaderField = tuple[str, str]
SHUTDOWN_POLL_S = 0.1


class HttpServer(ThreadingHTTPServer):
    """A server that binds without a host name look-up and stops without waiting for open connections."""

    daemon_threads = True
    block_on_close = False
    request_queue_size = 256

    def server_bind(self) -> None:
        """Bind to the address without a host name look-up."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind(self.server_address)
        self.server_address = self.socket.getsockname()

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore errors: a client may disconnect at any time."""

    @property
    def address(self) -> str:
        """Return `ip:port` of the server."""
        host, port = self.server_address[:2]
        return f"{host!s}:{port}"

    def start(self) -> None:
        """Serve in the background."""
        threading.Thread(target=self.serve_forever, args=(SHUTDOWN_POLL_S,), daemon=True).start()

    def stop(self) -> None:
        """Stop listening."""
        self.shutdown()
        self.server_close()


class HttpHandler(BaseHTTPRequestHandler):
    """Reads request bodies that have a Content-Length and writes complete responses."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    @property
    def url_path(self) -> str:
        """Return the path without the query."""
        return urlsplit(self.path).path

    def read_body(self) -> bytes:
        """Return the request body; the tier and the stand-ins always send a Content-Length."""
        return self.rfile.read(int(self.headers.get("Content-Length") or "0"))

    def respond(self, status: int, body: bytes = b"", fields: Iterable[HeaderField] = ()) -> None:
        """Write a complete response."""
        self.send_response_only(status)
        for name, value in fields:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def respond_json(self, status: int, value: object) -> None:
        """Write a complete response with a JSON body."""
        self.respond(status, json.dumps(value).encode(), [("Content-Type", "application/json")])

    def log_message(self, format: str, *args: object) -> None:
        """Disable the request log."""


def wait_for_stop_signal() -> None:
    """Block until SIGTERM or SIGINT. To be called on the main thread."""
    stopping = threading.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: stopping.set())
    stopping.wait()
