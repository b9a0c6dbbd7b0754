"""Serves one client connection: reads requests sequentially and writes the responses."""

import logging
import random
from collections.abc import Callable
from typing import cast

from dewpin.cluster.errors import ErrorKind
from dewpin.cluster.memory_budget import MemoryBudgetExceededError
from dewpin.dataplane.http11.messages import BodyStream, IncompleteBodyError, Request, Response, error_response
from dewpin.dataplane.http11.request_parsing import RequestHead
from dewpin.dataplane.http11.response_format import (
    NO_BODY_STATUSES,
    format_chunk,
    format_head_with_length,
    format_response,
    format_response_head,
)
from dewpin.dataplane.ingress.client_connection import ClientConnection
from dewpin.dataplane.ingress.open_connections import OpenConnections
from dewpin.dataplane.ingress.request_reader import RequestReader, limits_of
from dewpin.dataplane.membership.cluster_state import ClusterState

log = logging.getLogger(__name__)

IDLE_TIMEOUT_FACTOR = 1.1
"""Idle connections are kept slightly longer than the configured idle time-out."""
WRITE_TIMEOUT_S = 10.0
MAX_EMPTY_LINE_BYTES = 64 * 1024
"""A connection is closed if a client sends more empty lines than this before a request."""
MAX_COPIED_BODY_BYTES = 64 * 1024
OVERLOADED_RETRY_AFTER_S = 0.5
"""Mean of the `Retry-After` of a request that was not read for lack of memory."""
LAST_CHUNK = b"0\r\n\r\n"

HandleRequest = Callable[[Request], Response]


class ConnectionHandler:
    """Serves the requests of one connection.

    The connection is closed after a response if the client requests it, if the server is draining, or if only the end
    of the connection can delimit the body.
    """

    def __init__(
        self,
        connection: ClientConnection,
        cluster_state: ClusterState,
        handle_request: HandleRequest,
        is_draining: Callable[[], bool],
        clock: Callable[[], float],
        open_connections: OpenConnections,
    ) -> None:
        self._connection = connection
        self._open_connections = open_connections
        self._state = cluster_state
        self._handle_request = handle_request
        self._is_draining = is_draining
        self._clock = clock
        self._reader = RequestReader(connection, clock)

    def serve(self) -> None:
        """Serve requests until the connection is closed. Raises OSError and IncompleteBodyError on failure."""
        try:
            self._serve_requests()
        except MemoryBudgetExceededError:  # the first bytes of a request did not fit
            self._reject(ErrorKind.OVERLOADED)

    def _serve_requests(self) -> None:
        while self._wait_for_request():
            received = self._reader.read(self._state.configuration)
            if isinstance(received, ErrorKind):
                self._reject(received)
                return
            head, response = received.head, self._response_to(received.request)
            del received  # a complete response is written without holding the body of the request
            if self._write(head, response):
                self._connection.close_lingering()
                return
            del response
            self._release_all_but(0)
        self._connection.close()

    def _reject(self, kind: ErrorKind) -> None:
        """Respond to a request that was not read completely, and close the connection."""
        self._write_final_error(kind)
        self._connection.close_lingering()

    def _wait_for_request(self) -> bool:
        """Wait for the first byte of a request; return False if there is none."""
        skipped_bytes = 0
        while skipped_bytes <= MAX_EMPTY_LINE_BYTES and self._wait_for_bytes():
            skipped_bytes += self._connection.skip_empty_lines()
            if self._connection.buffered_bytes:
                return True
        return False

    def _wait_for_bytes(self) -> bool:
        self._open_connections.mark_idle(self._connection)
        try:
            return self._connection.wait_for_request(self._idle_timeout_s)
        finally:
            self._open_connections.mark_busy(self._connection)

    def _release_all_but(self, held_bytes: int) -> None:
        """Release what is held for the request, except `held_bytes` and the bytes received after it."""
        self._connection.memory.release_to(held_bytes + self._connection.buffered_bytes)

    def _response_to(self, request: Request) -> Response:
        try:
            return self._handle_request(request)
        except Exception:
            log.exception("unhandled exception in the request handler")
            return error_response(ErrorKind.INTERNAL)

    def _idle_timeout_s(self) -> float:
        return limits_of(self._state.configuration).idle_timeout_ms / 1000 * IDLE_TIMEOUT_FACTOR

    def _write_final_error(self, kind: ErrorKind) -> None:
        """Write an error response with `Connection: close`."""
        retry_after_s = OVERLOADED_RETRY_AFTER_S * random.uniform(0.5, 1.5) if kind is ErrorKind.OVERLOADED else None
        response = error_response(kind, retry_after_s=retry_after_s)
        self._send(format_response(response, cast(bytes, response.body), is_closing=True, omit_body=False))

    def _write(self, head: RequestHead, response: Response) -> bool:
        """Write a response; return whether the connection must be closed."""
        body = response.body
        is_closing = head.wants_close or self._is_draining()
        if isinstance(body, bytes):
            if len(body) > MAX_COPIED_BODY_BYTES:
                self._release_all_but(len(body))
            self._write_complete(response, body, is_closing, omit_body=head.method == "HEAD")
            return is_closing
        try:
            return self._write_stream(head, response, body, is_closing)
        finally:
            body.close()

    def _write_complete(self, response: Response, body: bytes, is_closing: bool, omit_body: bool) -> None:
        """Write a response; a long body is written after the head instead of being copied."""
        if omit_body or response.status in NO_BODY_STATUSES or len(body) <= MAX_COPIED_BODY_BYTES:
            self._send(format_response(response, body, is_closing, omit_body))
            return
        self._send(format_head_with_length(response, len(body), is_closing))
        self._send(body)

    def _write_stream(self, head: RequestHead, response: Response, body: BodyStream, is_closing: bool) -> bool:
        """Write a body as it arrives; return whether the connection must be closed.

        If the body is incomplete, the client gets an error response if nothing was sent yet. Otherwise
        IncompleteBodyError is raised: the last chunk is omitted or, without chunked transfer coding, the connection is
        reset, so that the client detects the incomplete response (RFC 9112, 8).
        """
        is_chunked = not head.is_http_1_0
        is_closing = is_closing or not is_chunked
        data = format_response_head(response, is_closing, [("Transfer-Encoding", "chunked")] if is_chunked else [])
        has_begun = False
        try:
            for part in body:
                data += format_chunk(part) if is_chunked else part
                has_begun = True
                self._send(data)
                data = b""
        except IncompleteBodyError:
            if not has_begun:
                self._write_final_error(ErrorKind.RECEIVER_FAILED)
                return True
            if not is_chunked:
                self._connection.reset()
            raise
        if is_chunked:
            data += LAST_CHUNK
        self._send(data)
        return is_closing or self._is_draining()

    def _send(self, data: bytes) -> None:
        self._connection.send_all(data, self._clock() + WRITE_TIMEOUT_S)
