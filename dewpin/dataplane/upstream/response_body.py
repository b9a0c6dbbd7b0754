"""Strict parsing of response bodies of receivers: framing and incremental reading (RFC 9112, 6 and 7).

http.client and urllib3 accept some malformed bodies as complete: they do not check the bytes after a chunk, and accept
a truncated chunk size.
"""

import re
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum, unique
from http import HTTPStatus
from typing import Protocol

from dewpin.dataplane.http11.request_parsing import MalformedMessageError, parse_chunk_size
from dewpin.dataplane.upstream.outcome import IncompleteResponseError, Outcome
from dewpin.dataplane.upstream.response_limits import MAX_TRAILER_BYTES, ResponseMeter, limit_exceeded

READ_BYTES = 65536
MAX_LINE_BYTES = 65536
_LENGTH = re.compile(r"[0-9]{1,18}")
_STATUSES_WITHOUT_BODY = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


class ByteReader(Protocol):
    """The buffered bytes of a connection."""

    def read(self, size: int, /) -> bytes:
        """Return `size` bytes; fewer only at the end of the connection."""

    def read1(self, size: int, /) -> bytes:
        """Return the available bytes, at most `size`; b"" only at the end of the connection."""

    def readline(self, size: int, /) -> bytes:
        """Return the bytes up to and including a line feed, which is missing only at the end or after `size` bytes."""


@unique
class BodyEnd(Enum):
    """How the end of a body is determined."""

    LENGTH = "length"
    LAST_CHUNK = "last_chunk"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class BodyFraming:
    """The framing of a body; `length` applies to BodyEnd.LENGTH only."""

    end: BodyEnd
    length: int = 0


GetAll = Callable[[str], Sequence[str]]
"""Returns all values of a header field by its lower-case name."""


def framing_of(method: str | None, status: int, get_all: GetAll) -> BodyFraming:
    """Return the framing of a response body (RFC 9112, 6.3). Raises IncompleteResponseError if it is ambiguous."""
    if method == "HEAD" or status in _STATUSES_WITHOUT_BODY:
        return BodyFraming(BodyEnd.LENGTH)
    codings = [coding.strip().lower() for value in get_all("transfer-encoding") for coding in value.split(",")]
    lengths = {length.strip() for value in get_all("content-length") for length in value.split(",")}
    if codings:
        if codings != ["chunked"] or lengths:
            raise IncompleteResponseError(Outcome.MALFORMED)
        return BodyFraming(BodyEnd.LAST_CHUNK)
    if not lengths:
        return BodyFraming(BodyEnd.CLOSE)
    length = lengths.pop()
    if lengths or not _LENGTH.fullmatch(length):
        raise IncompleteResponseError(Outcome.MALFORMED)
    return BodyFraming(BodyEnd.LENGTH, int(length))


def read_body(reader: ByteReader, framing: BodyFraming, meter: ResponseMeter) -> Iterator[bytes]:
    """Yield the bytes of a body as they arrive until it is complete; each part is recorded in `meter`.

    Raises IncompleteResponseError and OSError.
    """
    for data in _read_parts(reader, framing):
        meter.record_chunk(len(data))
        yield data


def _read_parts(reader: ByteReader, framing: BodyFraming) -> Iterator[bytes]:
    if framing.end is BodyEnd.LAST_CHUNK:
        return _read_chunks(reader)
    if framing.end is BodyEnd.LENGTH:
        return _read_length(reader, framing.length)
    return _read_to_close(reader)


def _read_length(reader: ByteReader, length: int) -> Iterator[bytes]:
    while length:
        data = reader.read1(min(length, READ_BYTES))
        if not data:
            raise IncompleteResponseError(Outcome.CLOSED)
        length -= len(data)
        yield data


def _read_to_close(reader: ByteReader) -> Iterator[bytes]:
    while data := reader.read1(READ_BYTES):
        yield data


def _read_chunks(reader: ByteReader) -> Iterator[bytes]:
    while size := _read_chunk_size(reader):
        while size > READ_BYTES:  # a long chunk is not collected as a whole
            yield _read_fully(reader, READ_BYTES)
            size -= READ_BYTES
        chunk = _read_fully(reader, size)
        if _read_line(reader):
            raise IncompleteResponseError(Outcome.MALFORMED)
        yield chunk
    _skip_trailers(reader)


def _read_fully(reader: ByteReader, size: int) -> bytes:
    data = reader.read(size)
    if len(data) < size:
        raise IncompleteResponseError(Outcome.CLOSED)
    return data


def _skip_trailers(reader: ByteReader) -> None:
    skipped_bytes = 0
    while line := _read_line(reader):
        skipped_bytes += len(line)
        if skipped_bytes > MAX_TRAILER_BYTES:
            raise limit_exceeded()


def _read_chunk_size(reader: ByteReader) -> int:
    try:
        return parse_chunk_size(_read_line(reader))
    except MalformedMessageError as error:
        raise IncompleteResponseError(Outcome.MALFORMED) from error


def _read_line(reader: ByteReader) -> bytes:
    """Return a line without its CRLF."""
    line = reader.readline(MAX_LINE_BYTES)
    if line.endswith(b"\r\n"):
        return line[:-2]
    is_malformed = line.endswith(b"\n") or len(line) >= MAX_LINE_BYTES
    raise IncompleteResponseError(Outcome.MALFORMED if is_malformed else Outcome.CLOSED)
