"""Responses without end: what a faulty receiver sends until its caller closes the connection.

Each form consists of header fields and a prefix that are sent once, and a block that is repeated.
"""

import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum, unique

BLOCK_BYTES = 65_536
HUGE_LENGTH = 10**12
HUGE_CHUNK_SIZE = b"7fffffff\r\n"
SILENCE_S = 60.0
CHUNKED = "Transfer-Encoding: chunked"


@unique
class EndlessForm(Enum):
    """The forms of a response without end."""

    HEADER_LINE = "header_line"
    INTERIM_RESPONSES = "interim_responses"
    CHUNK_SIZE = "chunk_size"
    CHUNK = "chunk"
    ONE_BYTE_CHUNKS = "one_byte_chunks"
    TRAILERS = "trailers"
    DECLARED_LENGTH = "declared_length"
    NO_LENGTH = "no_length"
    EVENT_PIECES = "event_pieces"
    EVENT_LINES = "event_lines"
    EVENTS = "events"
    SILENCE = "silence"


@dataclass(frozen=True, slots=True)
class EndlessResponse:
    """The bytes of a form.

    fields: header fields after the status line and the fields of every response.
    prefix: bytes after the fields, sent once; starts with the end of the header section where there is one.
    block: bytes that are repeated; empty for a response that stays silent.
    has_head: whether the response starts with a status line.
    """

    fields: tuple[str, ...]
    prefix: bytes
    block: bytes
    has_head: bool = True

    def parts(self, status_line: bytes, common_fields: bytes) -> Iterator[bytes]:
        """Yield the bytes of the response without end; a silent one ends after SILENCE_S."""
        if self.has_head:
            yield status_line + common_fields + "".join(f"{field}\r\n" for field in self.fields).encode() + self.prefix
        if not self.block:
            time.sleep(SILENCE_S)
            return
        while True:
            yield self.block


def _repeated(unit: bytes) -> bytes:
    return unit * (BLOCK_BYTES // len(unit))


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


_LENGTH = f"Content-Length: {HUGE_LENGTH}"
_EVENTS = "Content-Type: text/event-stream"

_FORMS: dict[EndlessForm, Callable[[], EndlessResponse]] = {
    EndlessForm.HEADER_LINE: lambda: EndlessResponse((), b"X-Padding: ", _repeated(b"a")),
    EndlessForm.INTERIM_RESPONSES: lambda: EndlessResponse(
        (), b"", _repeated(b"HTTP/1.1 103 Early Hints\r\n\r\n"), has_head=False
    ),
    EndlessForm.CHUNK_SIZE: lambda: EndlessResponse((CHUNKED,), b"\r\n", _repeated(b"junk")),
    EndlessForm.CHUNK: lambda: EndlessResponse((CHUNKED,), b"\r\n" + HUGE_CHUNK_SIZE, _repeated(b"a")),
    EndlessForm.ONE_BYTE_CHUNKS: lambda: EndlessResponse((CHUNKED,), b"\r\n", _repeated(_chunk(b"a"))),
    EndlessForm.TRAILERS: lambda: EndlessResponse((CHUNKED,), b"\r\n0\r\n", _repeated(b"a: b\r\n")),
    EndlessForm.DECLARED_LENGTH: lambda: EndlessResponse((_LENGTH,), b"\r\n", _repeated(b"a")),
    EndlessForm.NO_LENGTH: lambda: EndlessResponse(("Connection: close",), b"\r\n", _repeated(b"a")),
    EndlessForm.EVENT_PIECES: lambda: EndlessResponse((_EVENTS, CHUNKED), b"\r\n", _repeated(_chunk(b"data: a"))),
    EndlessForm.EVENT_LINES: lambda: EndlessResponse(
        (_EVENTS, CHUNKED), b"\r\n", _repeated(_chunk(b"data: a\n" * 500))
    ),
    EndlessForm.EVENTS: lambda: EndlessResponse((_EVENTS, CHUNKED), b"\r\n", _repeated(_chunk(b"id: 1\ndata: a\n\n"))),
    EndlessForm.SILENCE: lambda: EndlessResponse((), b"", b"", has_head=False),
}


def endless_response(form: EndlessForm) -> EndlessResponse:
    """Return the bytes of a form."""
    return _FORMS[form]()
