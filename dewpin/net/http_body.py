"""Message body framing of HTTP/1.1 (RFC 9112, section 6): one decoder for each way to delimit a body.

A decoder removes the bytes of its body from the front of the connection's buffer and leaves the bytes after them.
"""

import re
from typing import Protocol

from ..chunk_runs import CRLF, decode_run
from .errors import MalformedMessageError

MAX_CHUNK_LINE_BYTES = 256
MAX_TRAILER_BYTES = 16384
MIN_RUN_BYTES = 256  # fewer buffered bytes are decoded chunk by chunk
MAX_SMALL_CHUNK_BYTES = 64
CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}")


class BodyDecoder(Protocol):
    """Decodes the body of one message.

    Attributes:
        decoded_bytes: size of the content that was removed from the buffer while the body is incomplete.
    """

    decoded_bytes: int

    def decode(self, buffer: bytearray) -> bytes | None:
        """Return the whole content and remove its bytes from the buffer, or return None while it is incomplete.

        Raises MalformedMessageError for invalid framing or a body that exceeds its limit.
        """


class FixedLengthBody:
    """A body whose length is given in the header section."""

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
    """The body of a response that is delimited by the end of the connection; it is never complete before that."""

    __slots__ = ("decoded_bytes", "_max_bytes")

    def __init__(self, max_bytes: int) -> None:
        self.decoded_bytes = 0
        self._max_bytes = max_bytes

    def decode(self, buffer: bytearray) -> bytes | None:
        """See `BodyDecoder`."""
        if len(buffer) > self._max_bytes:
            raise MalformedMessageError(413, "body is too large")
        return None


class ChunkedBody:
    """A body in chunked transfer coding (RFC 9112, section 7.1); chunk extensions and trailer fields are discarded."""

    __slots__ = ("decoded_bytes", "_max_bytes", "_content", "_trailer_bytes", "_is_in_trailer")

    def __init__(self, max_bytes: int) -> None:
        self.decoded_bytes = 0
        self._max_bytes = max_bytes
        self._content = bytearray()  # one buffer: an object for each small chunk would take many times its size
        self._trailer_bytes = 0
        self._is_in_trailer = False

    def decode(self, buffer: bytearray) -> bytes | None:
        """See `BodyDecoder`."""
        self._decode_run(buffer)
        while True:
            line_end = buffer.find(b"\r\n")
            if line_end < 0:
                if len(buffer) > MAX_CHUNK_LINE_BYTES:
                    raise MalformedMessageError(400, "chunk size line or trailer line is too long")
                return None
            if self._is_in_trailer:
                del buffer[: line_end + 2]
                if line_end == 0:
                    return bytes(self._content)
                self._skip_trailer_line(line_end)
            elif not self._decode_chunk(buffer, line_end):
                return None

    def _decode_run(self, buffer: bytearray) -> None:
        """Decode many small chunks at once."""
        has_small_chunks = buffer.count(CRLF, 0, MAX_SMALL_CHUNK_BYTES) > 1
        if self._is_in_trailer or len(buffer) < MIN_RUN_BYTES or not has_small_chunks:
            return
        run = decode_run(bytes(buffer))
        self._append(run.data)
        del buffer[: run.consumed_bytes]

    def _append(self, data: bytes) -> None:
        if self.decoded_bytes + len(data) > self._max_bytes:
            raise MalformedMessageError(413, "body is too large")
        self.decoded_bytes += len(data)
        self._content += data

    def _skip_trailer_line(self, length: int) -> None:
        self._trailer_bytes += length
        if self._trailer_bytes >= MAX_TRAILER_BYTES:
            raise MalformedMessageError(431, "trailer section is too large")

    def _decode_chunk(self, buffer: bytearray, line_end: int) -> bool:
        """Decode the chunk whose size line ends at `line_end`; return whether it was complete."""
        digits = bytes(buffer[:line_end]).split(b";")[0].strip()
        if not CHUNK_SIZE.fullmatch(digits):
            raise MalformedMessageError(400, "invalid chunk size")
        size = int(digits, 16)
        if self.decoded_bytes + size > self._max_bytes:
            raise MalformedMessageError(413, "body is too large")
        if size == 0:
            del buffer[: line_end + 2]
            self._is_in_trailer = True
            return True
        start = line_end + 2
        end = start + size
        if len(buffer) < end + 2:
            return False
        if buffer[end : end + 2] != b"\r\n":
            raise MalformedMessageError(400, "chunk data is not followed by a line end")
        self._append(bytes(buffer[start:end]))
        del buffer[: end + 2]
        return True
