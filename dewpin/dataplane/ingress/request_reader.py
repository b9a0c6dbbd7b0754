"""Reads the requests of a connection within the configured size limits and time-outs."""

from collections.abc import Callable
from dataclasses import dataclass

from dewpin.cluster.configuration import (
    DEFAULT_HEADER_TIMEOUT_MS,
    DEFAULT_IDLE_TIMEOUT_MS,
    DEFAULT_MAX_BODY_BYTES,
    DEFAULT_MAX_HEADER_BYTES,
    Configuration,
    Limits,
)
from dewpin.cluster.errors import ErrorKind, TierError
from dewpin.cluster.memory_budget import MemoryBudgetExceededError
from dewpin.dataplane.http11.messages import Request
from dewpin.dataplane.http11.request_parsing import MalformedMessageError, RequestHead, parse_head
from dewpin.dataplane.ingress.chunked_body_reader import ChunkedBodyReader, TrailersTooLargeError
from dewpin.dataplane.ingress.client_connection import ClientConnection, MessageTooLargeError
from dewpin.dataplane.routing.request_timeout import request_timeout_s

BODY_TIMEOUT_S = 10.0
"""Maximum time until a body is received; a route may set a shorter one."""

_DEFAULT_LIMITS = Limits(
    DEFAULT_MAX_HEADER_BYTES, DEFAULT_MAX_BODY_BYTES, DEFAULT_HEADER_TIMEOUT_MS, DEFAULT_IDLE_TIMEOUT_MS
)


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """A request and its head, which determines whether the connection is kept."""

    head: RequestHead
    request: Request


class RequestReader:
    """Reads requests sequentially. Times are those of the clock, in seconds."""

    def __init__(self, connection: ClientConnection, clock: Callable[[], float]) -> None:
        self._connection = connection
        self._clock = clock

    def read(self, configuration: Configuration | None) -> ReceivedRequest | ErrorKind:
        """Read the next request; return it or the error to respond with. Raises ClientDisconnectedError and OSError.

        While the request arrives, the connection's account may be evicted; once it is returned, not any more.
        """
        memory = self._connection.memory
        try:
            received = self._read(configuration)
            self._connection.end_receiving()
        except MemoryBudgetExceededError:
            return ErrorKind.OVERLOADED
        # An error that follows from the eviction says nothing about the request.
        return ErrorKind.OVERLOADED if memory.is_evicted else received

    def _read(self, configuration: Configuration | None) -> ReceivedRequest | ErrorKind:
        limits = limits_of(configuration)
        received_at = self._clock()
        head_deadline = received_at + limits.header_timeout_ms / 1000
        try:
            head = parse_head(self._connection.read_until(b"\r\n\r\n", limits.max_header_bytes, head_deadline))
        except MessageTooLargeError:
            return ErrorKind.HEADERS_TOO_LARGE
        except MalformedMessageError:
            return ErrorKind.BAD_REQUEST
        except TimeoutError:
            return ErrorKind.REQUEST_TIMEOUT
        try:
            body = self._read_body(head, limits, received_at + body_timeout_s(head, configuration))
        except TrailersTooLargeError:
            return ErrorKind.HEADERS_TOO_LARGE
        except MessageTooLargeError:
            return ErrorKind.BODY_TOO_LARGE
        except MalformedMessageError:
            return ErrorKind.BAD_REQUEST
        except TimeoutError:
            return ErrorKind.REQUEST_TIMEOUT
        request = Request(
            head.method, head.target, head.headers, body, received_at, self._connection, self._connection.memory
        )
        return ReceivedRequest(head, request)

    def _read_body(self, head: RequestHead, limits: Limits, deadline: float) -> bytes:
        if head.content_length is not None and head.content_length > limits.max_body_bytes:
            raise MessageTooLargeError
        if head.content_length == 0:
            return b""
        if head.expects_continue:
            self._connection.send_all(b"HTTP/1.1 100 Continue\r\n\r\n", deadline)
        if head.content_length is not None and head.content_length <= self._connection.buffered_bytes:
            return self._connection.read_exactly(head.content_length, deadline)
        self._connection.begin_body()
        if head.content_length is not None:
            self._connection.read_into_body(head.content_length, deadline)
        else:
            ChunkedBodyReader(self._connection, limits, deadline).read()
        return self._connection.take_body()


def limits_of(configuration: Configuration | None) -> Limits:
    """Return the configured limits, or the default limits before the first configuration."""
    return configuration.limits if configuration is not None else _DEFAULT_LIMITS


def body_timeout_s(head: RequestHead, configuration: Configuration | None) -> float:
    """Return the time allowed to receive a request, from its first byte: at most the request's own time-out."""
    if configuration is None or head.content_length == 0:
        return BODY_TIMEOUT_S
    route = configuration.route_for(head.headers.get("host") or "", head.target)
    if route is None:
        return BODY_TIMEOUT_S
    try:
        return min(BODY_TIMEOUT_S, request_timeout_s(head.headers, route))
    except TierError:
        # The request handler reports an invalid time-out once the request is complete.
        return BODY_TIMEOUT_S
