"""Settings of the C library's memory allocator, so that released memory returns to the system.

By default glibc keeps an arena for each of many threads, and after the first release of a large block takes further
ones from an arena instead of mapping them. Large bodies that many threads received one after another then stay part of
the process: several times as much as is in use at any moment.
"""

import ctypes

_M_MMAP_THRESHOLD = -3
_M_ARENA_MAX = -8
MMAP_THRESHOLD_BYTES = 320 * 1024
"""Blocks of at least this size are mapped one by one, and unmapped when they are released. It is more than the 256 KB
that asyncio allocates for each read, which would otherwise take two system calls more."""
ARENA_COUNT = 1
"""The interpreter's lock is held in nearly all allocations, so that threads do not compete for the one arena."""


def return_released_memory() -> bool:
    """Apply the settings, before the first thread starts; return False if the C library has no such settings."""
    mallopt = getattr(ctypes.CDLL(None), "mallopt", None)
    if mallopt is None:
        return False
    return bool(mallopt(_M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES) and mallopt(_M_ARENA_MAX, ARENA_COUNT))
