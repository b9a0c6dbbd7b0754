"""Strict parsing of the heads of HTTP/1 requests (RFC 9112).

A head that two implementations could read differently is rejected, because such differences are what request smuggling
relies on (RFC 9112, 11.2).
"""

import re
from dataclasses import dataclass

from dewpin.dataplane.errors import DataplaneError
from dewpin.dataplane.http11.messages import HeaderField, Headers

_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(r"/[\x21-\x7e]*|\*")
_VERSION = re.compile(r"HTTP/1\.[0-9]")
_FORBIDDEN_IN_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_LENGTH = re.compile(r"[0-9]{1,18}")
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,15}")


class MalformedMessageError(DataplaneError, ValueError):
    """A message is not valid, or could be read in more than one way."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request. `content_length` is None if the body has the chunked transfer coding."""

    method: str
    target: str
    is_http_1_0: bool
    headers: Headers
    content_length: int | None

    @property
    def wants_close(self) -> bool:
        """Return whether the client wants the connection closed after the response (RFC 9112, 9.3 and 9.6)."""
        return self.is_http_1_0 or "close" in self.headers.tokens("connection")

    @property
    def expects_continue(self) -> bool:
        """Return whether the client waits for 100 (Continue) before it sends the body (RFC 9110, 10.1.1)."""
        return "100-continue" in self.headers.tokens("expect") and not self.is_http_1_0


def parse_head(head: bytes) -> RequestHead:
    """Parse a head, given without the empty line at its end; raises MalformedMessageError."""
    request_line, *lines = head.decode("latin-1").split("\r\n")
    method, target, version = _parse_request_line(request_line)
    headers = Headers(_parse_field(line) for line in lines)
    is_http_1_0 = version == "HTTP/1.0"
    if len(headers.get_all("host")) != 1 and not is_http_1_0:
        raise MalformedMessageError("there has to be one Host")
    return RequestHead(method, target, is_http_1_0, headers, _content_length(headers))


def parse_chunk_size(line: bytes) -> int:
    """Parse the line before a chunk, given without its CRLF (RFC 9112, 7.1); raises MalformedMessageError."""
    size = line.partition(b";")[0].rstrip(b" \t")
    if not _CHUNK_SIZE.fullmatch(size):
        raise MalformedMessageError("a chunk has no readable size")
    return int(size, 16)


def _parse_request_line(line: str) -> tuple[str, str, str]:
    parts = line.split(" ")
    if len(parts) != 3:
        raise MalformedMessageError("the request line is not readable")
    method, target, version = parts
    if not _TOKEN.fullmatch(method) or not _TARGET.fullmatch(target) or not _VERSION.fullmatch(version):
        raise MalformedMessageError("the request line is not readable")
    return method, target, version


def _parse_field(line: str) -> HeaderField:
    name, colon, value = line.partition(":")
    value = value.strip(" \t")
    if not colon or not _TOKEN.fullmatch(name) or _FORBIDDEN_IN_VALUE.search(value):
        raise MalformedMessageError("a header is not readable")
    return name, value


def _content_length(headers: Headers) -> int | None:
    """Return the length of the body, or None if it is chunked (RFC 9112, 6.3)."""
    codings = headers.get_all("transfer-encoding")
    lengths = headers.get_all("content-length")
    if codings:
        if lengths:
            raise MalformedMessageError("a body has either a length or chunks")
        if [coding.strip().lower() for coding in codings] != ["chunked"]:
            raise MalformedMessageError("the only transfer coding is chunked")
        return None
    if not lengths:
        return 0
    if len(set(lengths)) != 1 or not _LENGTH.fullmatch(lengths[0]):
        raise MalformedMessageError("the length is not readable")
    return int(lengths[0])
