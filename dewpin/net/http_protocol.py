"""The asyncio protocol that feeds a connection's bytes to an HTTP parser."""

import asyncio
from typing import Any, Generic, TypeVar

from .http_parser import RequestParser, ResponseParser

READ_BUFFER_BYTES = 65536

ParserT = TypeVar("ParserT", RequestParser, ResponseParser)


class HttpProtocol(asyncio.BufferedProtocol, Generic[ParserT]):
    """One connection.

    All connections share one buffer: the event loop fills it and hands it over before it reads from another connection.

    Attributes:
        parser: the parser of what the other side sends.
        transport: asyncio's transport, from `connection_made` on.
    """

    parser: ParserT
    transport: Any
    _shared_buffer = memoryview(bytearray(READ_BUFFER_BYTES))

    def __init__(self, parser: ParserT) -> None:
        self.parser = parser

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Part of asyncio's protocol."""
        self.transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Part of asyncio's protocol."""
        return self._shared_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Part of asyncio's protocol: feed the bytes to the parser."""
        self.parser.feed(self._shared_buffer[:nbytes])
        self.bytes_received()

    def bytes_received(self) -> None:
        """Handle what the parser has after more bytes arrived."""
        raise NotImplementedError
