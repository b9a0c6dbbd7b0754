"""The other end of a sender's HTTP, as far as the load test needs it: complete requests in, responses out.

It is not the product's parser, so that a fault there is not shared here.
"""

import asyncio
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from .faulty_link import FROM, TO, FaultyLink

MAX_BUFFERED_BYTES = 1_000_000
END_OF_HEAD = b"\r\n\r\n"


class HttpRequest(NamedTuple):
    """A request: method, path with its query, fields by lower-case name, body."""

    method: str
    path: str
    fields: dict[str, str]
    body: bytes


class HttpResponse(NamedTuple):
    """A response's status, and its fields by lower-case name."""

    status: int
    fields: dict[str, str]


class HttpConnection(asyncio.Protocol):
    """A connection that a sender opened, over a link with faults."""

    def __init__(
        self,
        link: FaultyLink,
        on_request: Callable[["HttpConnection", HttpRequest], None],
        on_closed: Callable[["HttpConnection"], None] | None = None,
    ) -> None:
        """Make a connection; `on_request` is called with each complete request, `on_closed` once at the end."""
        self.transport: Any = None
        self._link = link
        self._on_request = on_request
        self._on_closed = on_closed
        self._buffer = b""

    def connection_made(self, transport: Any) -> None:
        """Part of asyncio's protocol."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Part of asyncio's protocol."""
        self._link.carry(TO, lambda: self._take(data))

    def connection_lost(self, error: Exception | None) -> None:
        """Part of asyncio's protocol."""
        if self._on_closed:
            self._on_closed(self)

    def _take(self, data: bytes) -> None:
        self._buffer += data
        while END_OF_HEAD in self._buffer:
            head, _, rest = self._buffer.partition(END_OF_HEAD)
            start_line, *lines = head.decode("latin-1").split("\r\n")
            fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
            length = int(fields.get("content-length", 0))
            if len(rest) < length:
                break
            self._buffer = rest[length:]
            method, path, _ = start_line.split(" ", 2)
            self._on_request(self, HttpRequest(method, path, fields, rest[:length]))
        if len(self._buffer) > MAX_BUFFERED_BYTES:
            self.transport.abort()

    def respond(self, status: int, body: bytes = b"", fields: Mapping[str, str] = MappingProxyType({})) -> None:
        """Send a response."""
        lines = [
            f"HTTP/1.1 {status} x",
            *(f"{name}: {value}" for name, value in fields.items()),
            f"Content-Length: {len(body)}",
            "",
            "",
        ]
        content = "\r\n".join(lines).encode() + body
        self._link.carry(FROM, lambda: self.transport.is_closing() or self.transport.write(content))


async def request_once(address: tuple[str, int], request: bytes, timeout_seconds: float) -> HttpResponse | None:
    """Send a request on a connection of its own; return the response, or None if there was none in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_seconds):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request)
            head = (await reader.readuntil(END_OF_HEAD)).decode("latin-1").split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
            return HttpResponse(int(head[0].split(" ")[1]), fields)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None
    finally:
        if writer:
            writer.transport.abort()
