"""Requests and responses of the data plane, independent of any connection."""

from collections.abc import Iterable, Iterator, Sequence, Set
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

from dewpin.cluster.errors import ERROR_RESPONSES, ErrorKind
from dewpin.cluster.memory_budget import UNCOUNTED_MEMORY
from dewpin.dataplane.errors import DataplaneError

# Header field names, in lower case for lookups in `Headers`.
REQUEST_ID = "x-dewpin-request-id"
REQUEST_DEADLINE = "x-dewpin-request-deadline"
TARGET_INSTANCE = "x-dewpin-target-instance"
SIGNATURE = "x-dewpin-response-signature"
NOT_EXECUTED = "x-dewpin-not-executed"
SERVER_LOAD = "x-dewpin-server-load"
TOKEN_USAGE = "x-dewpin-token-usage"
PRIORITY = "priority"
PROMPT_PREFIX = "x-dewpin-prompt-prefix"
AFFINITY = "x-dewpin-session-affinity"
"""Name of the header field or cookie whose value is shared by requests for the same object."""

CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Hop-by-hop header fields, in lower case, which are not forwarded (RFC 9110, 7.6.1)."""

HeaderField = tuple[str, str]


class Headers:
    """Header fields in their original order; lookups take lower-case names, since field names are case-insensitive."""

    __slots__ = ("_values", "fields")

    def __init__(self, fields: Iterable[HeaderField] = ()) -> None:
        self.fields: Sequence[HeaderField] = tuple(fields)
        self._values: dict[str, list[str]] = {}
        for name, value in self.fields:
            self._values.setdefault(name.lower(), []).append(value)

    def get(self, name: str) -> str | None:
        """Return the first value of the field with this lower-case name, or None."""
        values = self._values.get(name)
        return values[0] if values else None

    def get_all(self, name: str) -> Sequence[str]:
        """Return all values of the field with this lower-case name."""
        return self._values.get(name, ())

    def tokens(self, name: str) -> set[str]:
        """Return the comma-separated members of a field's values, converted to lower case."""
        return {token.strip().lower() for value in self.get_all(name) for token in value.split(",") if token.strip()}

    @property
    def has_body_framing(self) -> bool:
        """Return whether a field declares the body's framing, even that of an empty body (RFC 9112, 6)."""
        return "content-length" in self._values or "transfer-encoding" in self._values

    def end_to_end(self, excluded: Set[str] = frozenset()) -> list[HeaderField]:
        """Return the end-to-end fields, without hop-by-hop fields and those in `excluded`."""
        dropped = excluded | self.tokens("connection") | CONNECTION_HEADERS
        return [(name, value) for name, value in self.fields if name.lower() not in dropped]


class Client(Protocol):
    """The connection to a client, watched while its request is in progress.

    A client that half-closed its connection counts as disconnected, even if it has sent bytes that remain unread: it is
    indistinguishable from a client that closed the connection. It still gets a response, in case it reads on.
    """

    def fileno(self) -> int:
        """Return the file descriptor to poll for POLLRDHUP."""

    def has_disconnected(self) -> bool:
        """Return, without blocking, whether the client has closed the connection or its sending side."""


class RequestMemory(Protocol):
    """The account to which bytes are charged that are held for a request."""

    def add(self, count: int, has_priority: bool = False, max_wait_s: float = 0.0) -> None:
        """Charge further bytes until the end of the request. Raises MemoryBudgetExceededError."""

    def release(self, count: int) -> None:
        """Release bytes that were charged, before the end of the request."""


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request.

    Attributes:
        method: the request method.
        target: the request target as received.
        headers: the header fields.
        body: the body, without transfer coding.
        received_at: when the first byte was received, in seconds of the monotonic clock.
        client: the connection on which the request was received.
        memory: the account of the connection.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    received_at: float
    client: Client | None = None
    memory: RequestMemory = UNCOUNTED_MEMORY

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]


class BodyStream(Protocol):
    """A body that is forwarded as it arrives."""

    def __iter__(self) -> Iterator[bytes]:
        """Return the bytes in order. Raises IncompleteBodyError if the body cannot be completed."""

    def close(self) -> None:
        """Stop reading and discard the rest; may be called at any time and is idempotent."""


class IncompleteBodyError(DataplaneError):
    """A body ended before it was complete; the client must be able to detect this."""


@dataclass(frozen=True, slots=True)
class Response:
    """A response to a client. `body` is complete, or a stream that the owner of the response must close."""

    status: int
    headers: Sequence[HeaderField] = field(default=())
    body: bytes | BodyStream = b""
    reason: str = ""


def error_response(kind: ErrorKind, detail: str = "", retry_after_s: float | None = None) -> Response:
    """Create the sender's own response to an error; `retry_after_s` becomes `Retry-After`."""
    status = ERROR_RESPONSES[kind].status
    headers: list[HeaderField] = [("Content-Type", "text/plain; charset=utf-8")]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.3f}"))
    body = f"{kind}: {detail}\n" if detail else f"{kind}\n"
    return Response(status, headers, body.encode())


def reason_phrase(status: int) -> str:
    """Return the standard reason phrase of a status, or "" for an unknown status."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return ""
