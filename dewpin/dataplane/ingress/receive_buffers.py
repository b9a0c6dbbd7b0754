"""Buffers that all connections share for receiving.

A buffer is used only while the bytes of one call are received and copied, so that few exist, however many connections
are open. A buffer of its own for each call would leave the allocator's memory fragmented.
"""

SIZE_BYTES = 65536

_unused: list[memoryview] = []


def acquire() -> memoryview:
    """Return a buffer for the calling thread, until it is released."""
    try:
        return _unused.pop()
    except IndexError:
        return memoryview(bytearray(SIZE_BYTES))


def release(buffer: memoryview) -> None:
    """Return a buffer whose contents are not needed any more."""
    _unused.append(buffer)
