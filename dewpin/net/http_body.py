"""Message body framing of HTTP/1.1 (RFC 9112, section 6): one decoder for each way in which a body's end is found.

A decoder takes the bytes of its body from the front of the connection's buffer and leaves all that follow them.
"""

import re
from typing import Protocol

from .errors import MalformedMessageError

MAX_CHUNK_LINE_BYTES = 256
MAX_TRAILER_BYTES = 16384
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}")


class BodyDecoder(Protocol):
    """Finds the end of one message's body.

    Attributes:
        decoded_bytes: length of the content that was taken from the buffer while the body is not complete.
    """

    decoded_bytes: int

    def decode(self, buffer: bytearray) -> bytes | None:
        """Return the whole content and remove its bytes from the buffer, or return None while it is not complete.

        Raises MalformedMessageError for an invalid framing or a body that exceeds its bound.
        """


class FixedLengthBody:
    """A body whose length is known from the header section."""

    __slots__ = ("decoded_bytes", "_length")

    def __init__(self, length: int) -> None:
        self.decoded_bytes = 0
        self._length = length

    def decode(self, buffer: bytearray) -> bytes | None:
        """See `BodyDecoder`."""
        if len(buffer) < self._length:
            return None
        body = bytes(memoryview(buffer)[: self._length])
        del buffer[: self._length]
        return body


class UntilCloseBody:
    """The body of a response that lasts until the connection ends: it is never complete before."""

    __slots__ = ("decoded_bytes", "_max_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.decoded_bytes = 0
        self._max_bytes = max_bytes

    def decode(self, buffer: bytearray) -> bytes | None:
        """See `BodyDecoder`."""
        if len(buffer) > self._max_bytes:
            raise MalformedMessageError(413, "body too large")
        return None


class ChunkedBody:
    """A body in the chunked transfer coding (RFC 9112, 7.1); chunk extensions and trailer fields are dropped."""

    __slots__ = ("decoded_bytes", "_max_bytes", "_chunks", "_trailer_bytes", "_is_in_trailer")

    def __init__(self, max_bytes: int) -> None:
        self.decoded_bytes = 0
        self._max_bytes = max_bytes
        self._chunks: list[bytes] = []
        self._trailer_bytes = 0
        self._is_in_trailer = False

    def decode(self, buffer: bytearray) -> bytes | None:
        """See `BodyDecoder`."""
        while True:
            line_end = buffer.find(b"\r\n")
            if line_end < 0:
                if len(buffer) > MAX_CHUNK_LINE_BYTES:
                    raise MalformedMessageError(400, "chunk head too long")
                return None
            if self._is_in_trailer:
                del buffer[: line_end + 2]
                if line_end == 0:
                    return b"".join(self._chunks)
                self._skip_trailer_line(line_end)
            elif not self._take_chunk(buffer, line_end):
                return None

    def _skip_trailer_line(self, length: int) -> None:
        self._trailer_bytes += length
        if self._trailer_bytes >= MAX_TRAILER_BYTES:
            raise MalformedMessageError(431, "trailer too large")

    def _take_chunk(self, buffer: bytearray, line_end: int) -> bool:
        """Take the chunk whose size line ends at `line_end`; return whether it was complete."""
        digits = bytes(buffer[:line_end]).split(b";")[0].strip()
        if not CHUNK_SIZE.fullmatch(digits):
            raise MalformedMessageError(400, "chunk size")
        size = int(digits, 16)
        if self.decoded_bytes + size > self._max_bytes:
            raise MalformedMessageError(413, "body too large")
        if size == 0:
            del buffer[: line_end + 2]
            self._is_in_trailer = True
            return True
        start = line_end + 2
        end = start + size
        if len(buffer) < end + 2:
            return False
        if buffer[end : end + 2] != b"\r\n":
            raise MalformedMessageError(400, "chunk end")
        self.decoded_bytes += size  # only now: an incomplete chunk is looked at each time that bytes arrive
        self._chunks.append(bytes(buffer[start:end]))
        del buffer[: end + 2]
        return True
