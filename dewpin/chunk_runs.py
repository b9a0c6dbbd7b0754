"""Decoding of many small chunks at once (RFC 9112, section 7.1); both programs' parsers use it.

A body may arrive in chunks of one byte. A parser that handles each chunk by itself takes microseconds for each byte
then, and delays all other connections of its process. Here a run of chunks is split and checked by operations on the
whole run.
"""

import re
from dataclasses import dataclass
from itertools import repeat

CRLF = b"\r\n"
FRAMING_BYTES = 2 * len(CRLF)
"""Bytes of a chunk besides its size and its data."""
_SIZE = re.compile(rb"[0-9A-Fa-f]{1,8}")


@dataclass(frozen=True, slots=True)
class ChunkRun:
    """The chunks at the beginning of some bytes.

    Attributes:
        data: the data of the chunks, joined.
        consumed_bytes: the number of bytes that the chunks take, including their framing.
    """

    data: bytes
    consumed_bytes: int


def decode_run(buffered: bytes) -> ChunkRun:
    """Decode complete chunks at the beginning of `buffered`.

    The run ends before the first chunk that is incomplete, is the last one, has extensions, is malformed or has data
    that contains CRLF: the caller handles that one by itself.
    """
    parts = buffered.split(CRLF)
    pair_count = (len(parts) - 1) // 2
    size_lines = parts[0 : 2 * pair_count : 2]
    contents = parts[1 : 2 * pair_count : 2]
    # There are few different lines, so that each of them is checked and converted only once.
    values = {line: int(line, 16) for line in set(size_lines) if _SIZE.fullmatch(line)}
    sizes = list(map(values.get, size_lines, repeat(0)))
    count = _count_matching(sizes, list(map(len, contents)))
    data = b"".join(contents[:count])
    size_line_bytes = sum(map(len, size_lines[:count]))
    return ChunkRun(data, len(data) + size_line_bytes + count * FRAMING_BYTES)


def _count_matching(sizes: list[int], lengths: list[int]) -> int:
    """Return the number of chunks before the first one with another length than its size, or with size 0."""
    if sizes == lengths and 0 not in sizes:
        return len(sizes)
    pairs = enumerate(zip(sizes, lengths, strict=True))
    return next((index for index, (size, length) in pairs if size != length or size == 0), len(sizes))
