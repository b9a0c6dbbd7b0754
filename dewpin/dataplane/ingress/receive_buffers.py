"""Buffers that all connections share for receiving.

A buffer is used only while the bytes of one call are received and copied, so that few exist, however many connections
are open. A buffer of its own for each call would leave the allocator's memory fragmented.
"""

from collections.abc import Iterator
from contextlib import contextmanager

SIZE_BYTES = 65536

_unused: list[memoryview] = []


@contextmanager
def borrow() -> Iterator[memoryview]:
    """Provide a buffer whose contents are valid within the block."""
    try:
        view = _unused.pop()
    except IndexError:
        view = memoryview(bytearray(SIZE_BYTES))
    try:
        yield view
    finally:
        _unused.append(view)
