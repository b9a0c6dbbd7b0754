"""Reading the requests of one connection, within the operator's limits and the time that each one is allowed."""

from collections.abc import Callable

from dewpin.cluster.configuration import (
    DEFAULT_HEADER_TIMEOUT_MS,
    DEFAULT_IDLE_TIMEOUT_MS,
    DEFAULT_MAX_BODY_BYTES,
    DEFAULT_MAX_HEADER_BYTES,
    Configuration,
    Limits,
)
from dewpin.cluster.errors import ErrorKind, TierError
from dewpin.dataplane.http11.messages import Request
from dewpin.dataplane.http11.request_parsing import MalformedRequest, RequestHead, parse_chunk_size, parse_head
from dewpin.dataplane.ingress.client_connection import ClientConnection, TooLarge
from dewpin.dataplane.routing.request_time_limit import time_allowed_s

BODY_TIMEOUT_S = 10.0
"""How long a body may take to arrive where no route tells."""
CHUNK_LINE_BYTES = 256

_DEFAULT_LIMITS = Limits(
    DEFAULT_MAX_HEADER_BYTES, DEFAULT_MAX_BODY_BYTES, DEFAULT_HEADER_TIMEOUT_MS, DEFAULT_IDLE_TIMEOUT_MS
)


class RequestReader:
    """Reads requests one after the other. Times are the clock's, in seconds."""

    def __init__(self, connection: ClientConnection, clock: Callable[[], float]) -> None:
        self._connection = connection
        self._clock = clock

    def read(self, configuration: Configuration | None) -> tuple[RequestHead, Request] | ErrorKind:
        """Return the next request, or the error that its answer tells."""
        limits = limits_of(configuration)
        received_at = self._clock()
        head_by = received_at + limits.header_timeout_ms / 1000
        try:
            head = parse_head(self._connection.read_until(b"\r\n\r\n", limits.max_header_bytes, head_by))
        except TooLarge:
            return ErrorKind.HEADERS_TOO_LARGE
        except MalformedRequest:
            return ErrorKind.BAD_REQUEST
        except TimeoutError:
            return ErrorKind.REQUEST_TIMEOUT
        try:
            body = self._read_body(head, limits, received_at + body_time_s(head, configuration))
        except TooLarge:
            return ErrorKind.BODY_TOO_LARGE
        except MalformedRequest:
            return ErrorKind.BAD_REQUEST
        except TimeoutError:
            return ErrorKind.REQUEST_TIMEOUT
        return head, Request(head.method, head.target, head.headers, body, received_at, self._connection)

    def _read_body(self, head: RequestHead, limits: Limits, deadline: float) -> bytes:
        if head.content_length is not None and head.content_length > limits.max_body_bytes:
            raise TooLarge
        if head.content_length == 0:
            return b""
        if head.expects_continue:
            self._connection.send_all(b"HTTP/1.1 100 Continue\r\n\r\n", deadline)
        if head.content_length is not None:
            return self._connection.read_exactly(head.content_length, deadline)
        return self._read_chunks(limits, deadline)

    def _read_chunks(self, limits: Limits, deadline: float) -> bytes:
        body = bytearray()
        while True:
            size = parse_chunk_size(self._connection.read_until(b"\r\n", CHUNK_LINE_BYTES, deadline))
            if size == 0:
                break
            if len(body) + size > limits.max_body_bytes:
                raise TooLarge
            body += self._connection.read_exactly(size, deadline)
            if self._connection.read_exactly(2, deadline) != b"\r\n":
                raise MalformedRequest("a chunk does not end where it should")
        while self._connection.read_until(b"\r\n", limits.max_header_bytes, deadline):
            pass
        return bytes(body)


def limits_of(configuration: Configuration | None) -> Limits:
    """Return the limits in force."""
    return configuration.limits if configuration is not None else _DEFAULT_LIMITS


def body_time_s(head: RequestHead, configuration: Configuration | None) -> float:
    """Return for how long after its first byte a request may go on arriving: no longer than it may be held at all."""
    if configuration is None or head.content_length == 0:
        return BODY_TIMEOUT_S
    route = configuration.route_for(head.headers.get("host") or "", head.target)
    if route is None:
        return BODY_TIMEOUT_S
    try:
        return min(BODY_TIMEOUT_S, time_allowed_s(head.headers, route))
    except TierError:  # the whole request is answered as malformed
        return BODY_TIMEOUT_S
