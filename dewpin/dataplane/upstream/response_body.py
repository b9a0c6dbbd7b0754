"""The body of a receiver's response: how its end is marked, and strict reading up to that end (RFC 9112, 6 and 7).

http.client and urllib3 accept some broken bodies as complete: they do not check what follows a chunk, and accept a
truncated chunk size.
"""

import re
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum, unique
from http import HTTPStatus
from typing import Protocol

from dewpin.dataplane.http11.request_parsing import MalformedMessageError, parse_chunk_size
from dewpin.dataplane.upstream.outcome import IncompleteResponseError, Outcome

READ_BYTES = 65536
MAX_LINE_BYTES = 65536
_LENGTH = re.compile(r"[0-9]{1,18}")
_STATUSES_WITHOUT_BODY = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


class ByteReader(Protocol):
    """The buffered bytes of a connection."""

    def read(self, size: int, /) -> bytes:
        """Return `size` bytes; fewer only at the end of the connection."""

    def read1(self, size: int, /) -> bytes:
        """Return the bytes that are available, `size` at most; none only at the end of the connection."""

    def readline(self, size: int, /) -> bytes:
        """Return the bytes up to a line feed; without it only at the end of the connection or after `size` bytes."""


@unique
class BodyEnd(Enum):
    """What marks the end of a body."""

    LENGTH = "length"
    LAST_CHUNK = "last_chunk"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class BodyFraming:
    """How a body ends; `length` applies to BodyEnd.LENGTH alone."""

    end: BodyEnd
    length: int = 0


GetAll = Callable[[str], Sequence[str]]
"""Returns the values of a header field whose name is given in lower case."""


def framing_of(method: str | None, status: int, get_all: GetAll) -> BodyFraming:
    """Return how the body of a response ends (RFC 9112, 6.3); raises IncompleteResponseError if that is ambiguous."""
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


def read_body(reader: ByteReader, framing: BodyFraming) -> Iterator[bytes]:
    """Yield the bytes of a body as they arrive, up to its proper end; raises IncompleteResponseError and OSError."""
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
        chunk = reader.read(size)
        if len(chunk) < size:
            raise IncompleteResponseError(Outcome.CLOSED)
        if _read_line(reader):
            raise IncompleteResponseError(Outcome.MALFORMED)
        yield chunk
    _skip_trailers(reader)


def _skip_trailers(reader: ByteReader) -> None:
    while _read_line(reader):
        pass


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
