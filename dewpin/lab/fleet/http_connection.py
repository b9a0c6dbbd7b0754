"""A minimal HTTP server and client for the load test: complete requests in, complete responses out.

It does not use the sender's parser, so that a fault of that parser is not present at both ends.
"""

import asyncio
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from .faulty_link import FROM, TO, FaultyLink

MAX_BUFFERED_BYTES = 1_000_000
END_OF_HEAD = b"\r\n\r\n"


class HttpRequest(NamedTuple):
    """A request: method, path with query, header fields by lower-case name, body."""

    method: str
    path: str
    fields: dict[str, str]
    body: bytes


class HttpResponse(NamedTuple):
    """Status of a response, and its header fields by lower-case name."""

    status: int
    fields: dict[str, str]


class HttpConnection(asyncio.Protocol):
    """A connection opened by a sender, over a link with faults."""

    def __init__(
        self,
        link: FaultyLink,
        on_request: Callable[["HttpConnection", HttpRequest], None],
        on_closed: Callable[["HttpConnection"], None] | None = None,
    ) -> None:
        """Create a connection; `on_request` is called with each complete request, `on_closed` once at the end."""
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
        self._link.transmit(TO, lambda: self._receive(data))

    def connection_lost(self, error: Exception | None) -> None:
        """Part of asyncio's protocol."""
        if self._on_closed:
            self._on_closed(self)

    def _receive(self, data: bytes) -> None:
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
        self._link.transmit(FROM, lambda: self.transport.is_closing() or self.transport.write(content))


async def request_once(address: tuple[str, int], request: bytes, timeout_seconds: float) -> HttpResponse | None:
    """Send a request on a new connection; return the response, or None if none arrived within the time-out."""
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
