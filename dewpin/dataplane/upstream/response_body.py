"""The body of a receiver's answer: how its end is marked, and reading it strictly.

http.client and urllib3 take some broken bodies for whole: they do not check what follows a chunk, and read a cut size.
"""

import re
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum, unique
from http import HTTPStatus
from typing import Protocol

from dewpin.dataplane.http11.request_parsing import MalformedRequest, parse_chunk_size
from dewpin.dataplane.upstream.outcome import Outcome, StreamCut

READ_SIZE = 65536
LONGEST_LINE = 65536
_LENGTH = re.compile(r"[0-9]{1,18}")
_WITHOUT_BODY = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})


class ByteReader(Protocol):
    """The buffered bytes of a connection."""

    def read(self, size: int, /) -> bytes:
        """Return so many bytes; fewer at the end of the connection only."""

    def read1(self, size: int, /) -> bytes:
        """Return the next bytes as they come; nothing at the end of the connection."""

    def readline(self, size: int, /) -> bytes:
        """Return the bytes up to a line feed; without it at the end of the connection or after so many bytes."""


@unique
class BodyEnd(Enum):
    """What marks the end of a body."""

    LENGTH = "length"
    LAST_CHUNK = "last_chunk"
    CLOSE = "close"


@dataclass(frozen=True, slots=True)
class Framing:
    """How a body ends; `length` is set where that is told beforehand."""

    end: BodyEnd
    length: int = 0


GetAll = Callable[[str], Sequence[str]]
"""Returns the values of a header, whose name is given in lower case."""


def framing_of(method: str | None, status: int, get_all: GetAll) -> Framing:
    """Return how the body of an answer ends; raises StreamCut where that can be read in two ways."""
    if method == "HEAD" or status in _WITHOUT_BODY:
        return Framing(BodyEnd.LENGTH)
    codings = [coding.strip().lower() for value in get_all("transfer-encoding") for coding in value.split(",")]
    lengths = {length.strip() for value in get_all("content-length") for length in value.split(",")}
    if codings:
        if codings != ["chunked"] or lengths:
            raise StreamCut(Outcome.MALFORMED)
        return Framing(BodyEnd.LAST_CHUNK)
    if not lengths:
        return Framing(BodyEnd.CLOSE)
    length = lengths.pop()
    if lengths or not _LENGTH.fullmatch(length):
        raise StreamCut(Outcome.MALFORMED)
    return Framing(BodyEnd.LENGTH, int(length))


def read_body(reader: ByteReader, framing: Framing) -> Iterator[bytes]:
    """Return the parts of a body as they arrive, up to its proper end; raises StreamCut and OSError."""
    if framing.end is BodyEnd.LAST_CHUNK:
        return _read_chunks(reader)
    if framing.end is BodyEnd.LENGTH:
        return _read_length(reader, framing.length)
    return _read_to_close(reader)


def _read_length(reader: ByteReader, length: int) -> Iterator[bytes]:
    while length:
        part = reader.read1(min(length, READ_SIZE))
        if not part:
            raise StreamCut(Outcome.CLOSED)
        length -= len(part)
        yield part


def _read_to_close(reader: ByteReader) -> Iterator[bytes]:
    while part := reader.read1(READ_SIZE):
        yield part


def _read_chunks(reader: ByteReader) -> Iterator[bytes]:
    while size := _read_chunk_size(reader):
        part = reader.read(size)
        if len(part) < size:
            raise StreamCut(Outcome.CLOSED)
        if _read_line(reader):
            raise StreamCut(Outcome.MALFORMED)
        yield part
    while _read_line(reader):
        pass


def _read_chunk_size(reader: ByteReader) -> int:
    try:
        return parse_chunk_size(_read_line(reader))
    except MalformedRequest as error:
        raise StreamCut(Outcome.MALFORMED) from error


def _read_line(reader: ByteReader) -> bytes:
    """Return a line without its end."""
    line = reader.readline(LONGEST_LINE)
    if line.endswith(b"\r\n"):
        return line[:-2]
    raise StreamCut(Outcome.MALFORMED if line.endswith(b"\n") or len(line) >= LONGEST_LINE else Outcome.CLOSED)
