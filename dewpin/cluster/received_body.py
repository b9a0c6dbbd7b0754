"""The body of a request while it arrives."""

from io import BytesIO

from .memory_budget import AccountEvictedError


class ReceivedBody:
    """Collects the bytes of a body in one buffer, which becomes the body without being copied.

    `drop` may be called by any thread; the owner, which may be waiting for more bytes, refers only to this object, so
    that the memory is released at once.

    Attributes:
        size: the number of bytes collected so far.
    """

    def __init__(self) -> None:
        self.size = 0
        self._buffer: BytesIO | None = BytesIO()

    def append(self, data: bytes | memoryview) -> None:
        """Append bytes. Raises AccountEvictedError if the body was dropped."""
        buffer = self._buffer
        if buffer is None:
            raise AccountEvictedError
        buffer.write(data)
        self.size += len(data)

    def take(self) -> bytes:
        """Return the body, which is not collected any further. Raises AccountEvictedError if it was dropped."""
        buffer, self._buffer = self._buffer, None
        if buffer is None:
            raise AccountEvictedError
        return buffer.getvalue()

    def drop(self) -> None:
        """Release the bytes."""
        self._buffer = None
