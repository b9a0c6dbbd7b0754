"""The other end of a sender's HTTP, as far as a world needs it: whole requests in, answers out, over a faulty way.

It owns the bytes of one connection. It is not the product's parser, so that a fault there is not shared here.
"""
import asyncio
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any

from .links import Way

Heard = Callable[["Connection", str, str, dict[str, str], bytes], None]
MOST = 1_000_000


class Connection(asyncio.Protocol):
    """`heard(self, method, path, fields, body)` for each whole request; `gone(self)` once at the end."""

    def __init__(self, way: Way, heard: Heard, gone: Callable[["Connection"], None] = lambda one: None) -> None:
        self.way, self.heard, self.gone, self.buffer = way, heard, gone, b""
        self.transport: Any = None
        self.context: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.way.carry("to", lambda: self._take(data))

    def connection_lost(self, error: Exception | None) -> None:
        self.gone(self)

    def _take(self, data: bytes) -> None:
        self.buffer += data
        while b"\r\n\r\n" in self.buffer:
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            first, *lines = head.decode("latin-1").split("\r\n")
            fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
            length = int(fields.get("content-length", 0))
            if len(rest) < length:
                break
            self.buffer = rest[length:]
            method, path, _ = first.split(" ", 2)
            self.heard(self, method, path, fields, rest[:length])
        if len(self.buffer) > MOST:
            self.transport.abort()

    def answer(self, status: int, body: bytes = b"", fields: Mapping[str, str] = MappingProxyType({})) -> None:
        lines = [f"HTTP/1.1 {status} x", *(f"{name}: {value}" for name, value in fields.items()),
                 f"Content-Length: {len(body)}", "", ""]
        content = "\r\n".join(lines).encode() + body
        self.way.carry("from", lambda: self.transport.is_closing() or self.transport.write(content))


async def ask(address: tuple[str, int], request: bytes, limit: float) -> tuple[int, dict[str, str]] | None:
    """Status and fields of the answer to one request on a connection of its own, or None."""
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(request)
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            fields = dict(line.lower().split(": ", 1) for line in head[1:] if ": " in line)
            return int(head[0].split(" ")[1]), fields
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
        return None
    finally:
        if writer:
            writer.transport.abort()
