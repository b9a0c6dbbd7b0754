"""HTTP server of the operator API, with one thread per connection."""

from __future__ import annotations

import logging
from http.server import ThreadingHTTPServer
from typing import Any

from dewpin.cluster.bounded_http_server import BoundedHttpServer, BoundedRequestHandler
from dewpin.cluster.errors import DewpinError
from dewpin.cluster.listening_server import serve_in_background
from dewpin.cluster.memory_budget import MemoryBudget, MemoryBudgetExceededError
from dewpin.controlplane.operator_api import BASE_VERSION_HEADER, ApiResponse, OperatorApi, error_response
from dewpin.parsed_size import parsed_bytes

log = logging.getLogger(__name__)

IDLE_TIMEOUT_S = 20.0
SHUTDOWN_POLL_S = 0.5
MAX_BODY_BYTES = 16 * 1024 * 1024
MAX_TRAILERS = 100
MAX_TRAILER_BYTES = 1024
_HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")


class _UnreadableRequestError(DewpinError):
    """The body of a request cannot be read, so the start of the next request is unknown."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.response = error_response(status, message)


class _RequestHandler(BoundedRequestHandler):
    """Serves the requests of one connection."""

    protocol_version = "HTTP/1.1"
    timeout = IDLE_TIMEOUT_S
    disable_nagle_algorithm = True
    api: OperatorApi

    def do_GET(self) -> None:
        """Serve a GET request."""
        self._serve()

    def do_POST(self) -> None:
        """Serve a POST request."""
        self._serve()

    def _serve(self) -> None:
        try:
            response = self._route(self._read_body())
            self.memory.add(len(response.body), has_priority=True)
        except _UnreadableRequestError as error:
            response = error.response
            self.close_connection = True
        except MemoryBudgetExceededError as error:
            response = error_response(503, str(error))
            self.close_connection = True
        except Exception as error:
            log.exception("operator.call_failed")
            response = error_response(500, repr(error))
            self.close_connection = True
        self._send(response)

    def _route(self, body: bytes) -> ApiResponse:
        path = self.path.partition("?")[0]
        is_post = self.command == "POST"
        if path == "/dewpin/Config.Put" and is_post:
            self._charge_parsing(body)
            return self.api.put(body, self.headers.get(BASE_VERSION_HEADER))
        if path == "/dewpin/Config.Patch" and is_post:
            self._charge_parsing(body)
            return self.api.patch(body, self.headers.get(BASE_VERSION_HEADER))
        if path == "/dewpin/Config.Get":
            return self.api.get()
        if path.startswith("/dewpin/Retire.Start/") and is_post:
            return self.api.start_retirement(path.rpartition("/")[2])
        if path.startswith("/dewpin/Retire.Get/"):
            return self.api.retirement(path.rpartition("/")[2])
        return error_response(404, f"no such call: {path}")

    def _charge_parsing(self, body: bytes) -> None:
        """Charge the values that a body consists of. Raises _UnreadableRequestError and MemoryBudgetExceededError."""
        value_bytes = parsed_bytes(body)
        try:
            self.memory.check_can_ever_hold(value_bytes)
        except MemoryBudgetExceededError as error:
            raise _UnreadableRequestError(413, error.detail) from error
        self.memory.add(value_bytes)

    def _read_body(self) -> bytes:
        """Return the body. Raises _UnreadableRequestError, MemoryBudgetExceededError and OSError."""
        if "chunked" in (self.headers.get("Transfer-Encoding") or "").lower():
            return self._read_chunked_body()
        try:
            length = int(self.headers.get("Content-Length") or "0")
        except ValueError:
            raise _UnreadableRequestError(400, "Content-Length is no number") from None
        if not 0 <= length <= MAX_BODY_BYTES:
            raise _UnreadableRequestError(413, "the body is too large")
        self.begin_body()
        if not self.read_into_body(length):
            self.memory.check_not_evicted()
            raise _UnreadableRequestError(400, "the body is cut short")
        return self.take_body()

    def _read_chunked_body(self) -> bytes:
        self.begin_body()
        while size := self._read_chunk_size():
            if self.body_size + size > MAX_BODY_BYTES:
                raise _UnreadableRequestError(413, "the body is too large")
            if not self.read_into_body(size) or self.rfile.readline(4).strip():
                self.memory.check_not_evicted()
                raise _UnreadableRequestError(400, "a chunk is cut short")
        for _ in range(MAX_TRAILERS):  # trailer fields are ignored
            if not self.rfile.readline(MAX_TRAILER_BYTES).strip():
                return self.take_body()
        raise _UnreadableRequestError(431, "too many trailer fields")

    def _read_chunk_size(self) -> int:
        digits = self.rfile.readline(64).partition(b";")[0].strip()
        if not digits or set(digits) - _HEX_DIGITS:
            self.memory.check_not_evicted()
            raise _UnreadableRequestError(400, "bad chunk")
        return int(digits, 16)

    def _send(self, response: ApiResponse) -> None:
        self.send_response(response.status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(response.body)))
        if self.close_connection:
            self.send_header("Connection", "close")
        self.end_headers()
        self.wfile.write(response.body)

    def log_message(self, format: str, *args: Any) -> None:
        """Log a request at debug level."""
        log.debug("operator.http", extra={"line": format % args})


def serve_operator(
    address: tuple[str, int], api: OperatorApi, budget: MemoryBudget | None = None
) -> ThreadingHTTPServer:
    """Start serving the API in threads. Raises OSError if the address cannot be bound, or if no thread is left."""
    handler = type("OperatorRequestHandler", (_RequestHandler,), {"api": api})
    server = BoundedHttpServer(address, handler, budget or MemoryBudget.for_process(0.0))
    serve_in_background("operator", server, SHUTDOWN_POLL_S)
    return server
