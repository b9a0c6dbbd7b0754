"""Compression of the connections between dewpin processes.

Each direction of a connection is one zlib stream, flushed after each frame, so that a short message takes few more
bytes than its difference from the previous messages. The first byte shows whether a stream is compressed: a netstring
begins with a digit, a zlib stream with this window size does not. A server compresses its replies if the client
compresses its requests.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator

from .netstring import FrameError

WINDOW_BITS = 13
"""A window of 8 KiB, which holds the most recent messages. With 11 bits the first byte of a stream would be a digit."""
MEMORY_LEVEL = 4
"""Suits short messages: a higher level takes longer to restart after each flush and saves no bytes."""
COMPRESSION_LEVEL = 3
CHUNK_BYTES = 256 * 1024
"""Maximum number of bytes decompressed at a time; bounds the memory used, whatever the compression ratio of a
stream."""


class CompressedOutput:
    """Compresses the frames sent on a connection."""

    def __init__(self) -> None:
        """Start a compressed stream."""
        self._compressor = zlib.compressobj(COMPRESSION_LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL)

    def encode(self, frame: bytes) -> bytes:
        """Return the bytes to send for a frame; they suffice for the peer to decode the whole frame."""
        return self._compressor.compress(frame) + self._compressor.flush(zlib.Z_SYNC_FLUSH)


class IncomingBytes:
    """Decodes the bytes received on a connection, compressed or not.

    `is_compressed`: whether the peer compresses its frames; None until the first byte is received.
    """

    def __init__(self) -> None:
        """Create a decoder that has received no bytes."""
        self.is_compressed: bool | None = None
        self._decompressor = zlib.decompressobj(WINDOW_BITS)

    def decode(self, data: bytes) -> Iterator[bytes]:
        """Yield the decoded bytes in chunks. Raises FrameError if the compressed stream is invalid or has ended."""
        if self.is_compressed is None and data:
            self.is_compressed = not data[:1].isdigit()
        if not self.is_compressed:
            yield data
            return
        while True:
            chunk = self._decompress_chunk(data)
            if chunk:
                yield chunk
            data = self._decompressor.unconsumed_tail
            if not data and len(chunk) < CHUNK_BYTES:
                return

    def _decompress_chunk(self, data: bytes) -> bytes:
        """Return the next decompressed chunk of `data`."""
        try:
            chunk = self._decompressor.decompress(data, CHUNK_BYTES)
        except zlib.error as error:
            raise FrameError(f"invalid compressed stream: {error}") from error
        if self._decompressor.eof:
            raise FrameError("the compressed stream has ended")
        return chunk
