"""Compression of the bytes of a connection between dewpin's processes.

What one side sends on a connection is one zlib stream, flushed after each frame, so that a short message costs little
more than what tells it from the messages before. A compressed stream is told from a plain one by its first byte: a
netstring begins with a digit, a stream with this window does not. A process answers in the form in which it is asked.
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator

from .netstring import FrameError

WINDOW_BITS = 13
"""8 KiB: the messages of a connection's last moments. With 11 the first byte of a stream would be a digit."""
MEMORY_LEVEL = 4
"""Short messages: a greater one takes longer to begin anew after each flush, and saves no byte of them."""
LEVEL = 3
PIECE_BYTES = 256 * 1024
"""So much is decompressed at a time, however far the rest of a stream would expand."""


class CompressedOutput:
    """The sending side of a compressed connection."""

    def __init__(self) -> None:
        self._compressor = zlib.compressobj(LEVEL, zlib.DEFLATED, WINDOW_BITS, MEMORY_LEVEL)

    def encode(self, frame: bytes) -> bytes:
        """Return the bytes to send for a frame; the other side can read it whole as soon as it has them."""
        return self._compressor.compress(frame) + self._compressor.flush(zlib.Z_SYNC_FLUSH)


class IncomingBytes:
    """The receiving side of a connection whose peer may compress what it sends."""

    def __init__(self) -> None:
        self.is_compressed: bool | None = None
        """None until the first byte."""
        self._decompressor = zlib.decompressobj(WINDOW_BITS)

    def decode(self, data: bytes) -> Iterator[bytes]:
        """Yield what the peer's bytes stand for, in pieces. FrameError for bytes that are no stream."""
        if self.is_compressed is None and data:
            self.is_compressed = not data[:1].isdigit()
        if not self.is_compressed:
            yield data
            return
        while True:
            piece = self._decompressed(data)
            if piece:
                yield piece
            data = self._decompressor.unconsumed_tail
            if not data and len(piece) < PIECE_BYTES:
                return

    def _decompressed(self, data: bytes) -> bytes:
        """Return the next piece of what `data` stands for."""
        try:
            piece = self._decompressor.decompress(data, PIECE_BYTES)
        except zlib.error as fault:
            raise FrameError(f"not a compressed stream: {fault}") from None
        if self._decompressor.eof:
            raise FrameError("the compressed stream has ended")
        return piece
