"""Reads bodies with the chunked transfer coding (RFC 9112, 7.1)."""

from dewpin.cluster.configuration import Limits
from dewpin.dataplane.http11.request_parsing import MalformedMessageError, parse_chunk_size
from dewpin.dataplane.ingress.client_connection import ClientConnection, MessageTooLargeError

MAX_CHUNK_LINE_BYTES = 256


class TrailersTooLargeError(MessageTooLargeError):
    """The trailer section exceeds the size limit of a header section."""


class ChunkedBodyReader:
    """Reads one body into the connection; `deadline` is a time of the clock, in seconds."""

    def __init__(self, connection: ClientConnection, limits: Limits, deadline: float) -> None:
        self._connection = connection
        self._limits = limits
        self._deadline = deadline

    def read(self) -> None:
        """Read chunks up to the last one; trailers are discarded.

        Raises MessageTooLargeError, MalformedMessageError and the errors of ClientConnection.
        """
        while self._read_chunk():
            pass
        self._skip_trailers()

    def _read_chunk(self) -> bool:
        """Read one chunk; return False if it is the last one."""
        connection = self._connection
        size = parse_chunk_size(connection.read_until(b"\r\n", MAX_CHUNK_LINE_BYTES, self._deadline))
        if size == 0:
            return False
        if size > self._bytes_left():
            raise MessageTooLargeError
        connection.read_into_body(size, self._deadline)
        if connection.read_exactly(2, self._deadline) != b"\r\n":
            raise MalformedMessageError("chunk data does not end with CRLF")
        return True

    def _bytes_left(self) -> int:
        return self._limits.max_body_bytes - self._connection.body_size

    def _skip_trailers(self) -> None:
        limit = self._limits.max_header_bytes
        skipped_bytes = 0
        while line := self._connection.read_until(b"\r\n", limit, self._deadline):
            skipped_bytes += len(line)
            if skipped_bytes > limit:
                raise TrailersTooLargeError
