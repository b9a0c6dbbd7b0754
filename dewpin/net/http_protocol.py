"""The asyncio protocol that feeds a connection's bytes to an HTTP parser."""

import asyncio
from typing import Any, Generic, TypeVar

from .http_parser import RequestParser, ResponseParser

READ_BUFFER_BYTES = 65536

ParserT = TypeVar("ParserT", RequestParser, ResponseParser)


class HttpProtocol(asyncio.BufferedProtocol, Generic[ParserT]):
    """Base class of the protocols of connections.

    All connections share one buffer: the event loop fills it and calls `buffer_updated` before it reads from another
    connection.

    Attributes:
        parser: parser of the received bytes.
        transport: asyncio's transport, set when the connection is made.
    """

    parser: ParserT
    transport: Any
    _shared_buffer = memoryview(bytearray(READ_BUFFER_BYTES))

    def __init__(self, parser: ParserT) -> None:
        self.parser = parser

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Implement asyncio's protocol: store the transport."""
        self.transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Implement asyncio's protocol: return the shared buffer."""
        return self._shared_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Implement asyncio's protocol: feed the received bytes to the parser."""
        self.parser.feed(self._shared_buffer[:nbytes])
        self.bytes_received()

    def bytes_received(self) -> None:
        """Called after received bytes were fed to the parser."""
        raise NotImplementedError
