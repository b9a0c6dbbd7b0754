"""Requests and answers as the request path handles them, apart from any connection."""

from collections.abc import Iterable, Iterator, Sequence, Set
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

from dewpin.cluster.errors import ERROR_RESPONSES, ErrorKind

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
"""A header, or a cookie: what the requests about one object have in common."""

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
"""Headers, in lower case, that concern one connection only and are not passed on."""

HeaderField = tuple[str, str]


class Headers:
    """Header fields in their order, looked up without regard to case."""

    __slots__ = ("_values", "fields")

    def __init__(self, fields: Iterable[HeaderField] = ()) -> None:
        self.fields: Sequence[HeaderField] = tuple(fields)
        self._values: dict[str, list[str]] = {}
        for name, value in self.fields:
            self._values.setdefault(name.lower(), []).append(value)

    def get(self, name: str) -> str | None:
        """Return the first value of a header, whose name is given in lower case."""
        values = self._values.get(name)
        return values[0] if values else None

    def get_all(self, name: str) -> Sequence[str]:
        """Return every value of a header, whose name is given in lower case."""
        return self._values.get(name, ())

    def tokens(self, name: str) -> set[str]:
        """Return the comma-separated members of a header in lower case."""
        return {token.strip().lower() for value in self.get_all(name) for token in value.split(",") if token.strip()}

    @property
    def has_body_framing(self) -> bool:
        """Tell whether the sender of these fields said how long the body is, if only that it is empty."""
        return "content-length" in self._values or "transfer-encoding" in self._values

    def end_to_end(self, left_out: Set[str] = frozenset()) -> list[HeaderField]:
        """Return the fields that are passed on: not those of the connection, not those in `left_out`."""
        dropped = left_out | self.tokens("connection") | CONNECTION_HEADERS
        return [(name, value) for name, value in self.fields if name.lower() not in dropped]


class Client(Protocol):
    """The client's side of a connection, watched while its request is under way.

    A client that ended its sending counts as gone, whatever bytes of it are still to be read: nothing tells it apart
    from one that closed its connection. It gets an answer all the same, if it still reads.
    """

    def fileno(self) -> int:
        """Return the descriptor to poll for POLLRDHUP."""

    def has_gone(self) -> bool:
        """Tell, without blocking, whether the client has closed the connection."""


@dataclass(frozen=True, slots=True)
class Request:
    """A whole request. `received_at` is the clock's time of its first byte, in seconds."""

    method: str
    target: str
    headers: Headers
    body: bytes
    received_at: float
    client: Client | None = None

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return self.target.partition("?")[0]


class BodyStream(Protocol):
    """The parts of a body that is passed on as it arrives."""

    def __iter__(self) -> Iterator[bytes]:
        """Return the parts in order; raises BodyBroken where the body cannot be completed."""

    def close(self) -> None:
        """Give up the rest; may be called at any time and more than once."""


class BodyBroken(Exception):
    """A body ends before it is whole; its client must be able to see that."""


@dataclass(frozen=True, slots=True)
class Answer:
    """The answer to a client: a whole body, or one that is still arriving."""

    status: int
    headers: Sequence[HeaderField] = field(default=())
    body: bytes | BodyStream = b""
    reason: str = ""


def own_answer(kind: ErrorKind, detail: str = "", retry_after_s: float | None = None) -> Answer:
    """Return the sender's own answer to an error; `retry_after_s` tells when to come back."""
    status = ERROR_RESPONSES[kind].status
    headers: list[HeaderField] = [("Content-Type", "text/plain; charset=utf-8")]
    if retry_after_s is not None:
        headers.append(("Retry-After", f"{retry_after_s:.3f}"))
    body = f"{kind}: {detail}\n" if detail else f"{kind}\n"
    return Answer(status, headers, body.encode())


def reason_phrase(status: int) -> str:
    """Return the standard reason phrase of a status, or an empty one."""
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return ""
