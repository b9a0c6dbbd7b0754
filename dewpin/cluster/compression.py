"""Compression of the bytes of a connection between dewpin's processes.

What one side sends on a connection is one zlib stream, flushed after each frame, so that a short message costs little
more than its difference from the messages before. The first byte shows whether a stream is compressed: a netstring
begins with a digit, a zlib stream with this window does not. A process replies in the form of the request.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator

from .netstring import FrameError

WINDOW_BITS = 13
"""8 KiB: the most recent messages of a connection. With 11 the first byte of a stream would be a digit."""
MEMORY_LEVEL = 4
"""For short messages: a greater level takes longer to restart after each flush, and saves no bytes."""
LEVEL = 3
CHUNK_BYTES = 256 * 1024
"""At most this much is decompressed at a time, so that the memory needed does not depend on how far a stream
expands."""


class CompressedOutput:
    """The sending side of a compressed connection."""

    def __init__(self) -> None:
        """Start a stream."""
        self._compressor = zlib.compressobj(LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL)

    def encode(self, frame: bytes) -> bytes:
        """Return the bytes to send for a frame; the peer can decode the whole frame as soon as it has them."""
        return self._compressor.compress(frame) + self._compressor.flush(zlib.Z_SYNC_FLUSH)


class IncomingBytes:
    """The receiving side of a connection whose peer may compress what it sends.

    `is_compressed`: whether the peer does; None until its first byte.
    """

    def __init__(self) -> None:
        """Start without bytes."""
        self.is_compressed: bool | None = None
        self._decompressor = zlib.decompressobj(WINDOW_BITS)

    def decode(self, data: bytes) -> Iterator[bytes]:
        """Yield the decoded bytes in chunks. Raises FrameError for bytes that are no stream."""
        if self.is_compressed is None and data:
            self.is_compressed = not data[:1].isdigit()
        if not self.is_compressed:
            yield data
            return
        while True:
            chunk = self._decompressed(data)
            if chunk:
                yield chunk
            data = self._decompressor.unconsumed_tail
            if not data and len(chunk) < CHUNK_BYTES:
                return

    def _decompressed(self, data: bytes) -> bytes:
        """Return the next chunk that `data` decodes to."""
        try:
            chunk = self._decompressor.decompress(data, CHUNK_BYTES)
        except zlib.error as error:
            raise FrameError(f"not a compressed stream: {error}") from error
        if self._decompressor.eof:
            raise FrameError("the compressed stream has ended")
        return chunk
