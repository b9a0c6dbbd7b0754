"""Strict parsing of HTTP/1 request heads (RFC 9112).

A head that two implementations could interpret differently is rejected, because request smuggling relies on such
differences (RFC 9112, 11.2).
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
    """A message is invalid or ambiguous."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request; `content_length` is None if the body has the chunked transfer coding."""

    method: str
    target: str
    is_http_1_0: bool
    headers: Headers
    content_length: int | None

    @property
    def wants_close(self) -> bool:
        """Return whether the connection must be closed after the response (RFC 9112, 9.3 and 9.6)."""
        return self.is_http_1_0 or "close" in self.headers.tokens("connection")

    @property
    def expects_continue(self) -> bool:
        """Return whether the client waits for 100 (Continue) before sending the body (RFC 9110, 10.1.1)."""
        return "100-continue" in self.headers.tokens("expect") and not self.is_http_1_0


def parse_head(head: bytes) -> RequestHead:
    """Parse a head without its final empty line. Raises MalformedMessageError."""
    request_line, *lines = head.decode("latin-1").split("\r\n")
    method, target, version = _parse_request_line(request_line)
    headers = Headers(_parse_field(line) for line in lines)
    is_http_1_0 = version == "HTTP/1.0"
    if len(headers.get_all("host")) != 1 and not is_http_1_0:
        raise MalformedMessageError("request must have exactly one Host header field")
    return RequestHead(method, target, is_http_1_0, headers, _content_length(headers))


def parse_chunk_size(line: bytes) -> int:
    """Parse a chunk-size line without its CRLF (RFC 9112, 7.1). Raises MalformedMessageError."""
    size = line.partition(b";")[0].rstrip(b" \t")
    if not _CHUNK_SIZE.fullmatch(size):
        raise MalformedMessageError("invalid chunk size")
    return int(size, 16)


def _parse_request_line(line: str) -> tuple[str, str, str]:
    parts = line.split(" ")
    if len(parts) != 3:
        raise MalformedMessageError("request line does not have three parts")
    method, target, version = parts
    if not _TOKEN.fullmatch(method) or not _TARGET.fullmatch(target) or not _VERSION.fullmatch(version):
        raise MalformedMessageError("invalid method, target or version in request line")
    return method, target, version


def _parse_field(line: str) -> HeaderField:
    name, colon, value = line.partition(":")
    value = value.strip(" \t")
    if not colon or not _TOKEN.fullmatch(name) or _FORBIDDEN_IN_VALUE.search(value):
        raise MalformedMessageError("invalid header field")
    return name, value


def _content_length(headers: Headers) -> int | None:
    """Return the length of the body, or None if it is chunked (RFC 9112, 6.3)."""
    codings = headers.get_all("transfer-encoding")
    lengths = headers.get_all("content-length")
    if codings:
        if lengths:
            raise MalformedMessageError("request has both Content-Length and Transfer-Encoding")
        if [coding.strip().lower() for coding in codings] != ["chunked"]:
            raise MalformedMessageError("unsupported transfer coding: only chunked is accepted")
        return None
    if not lengths:
        return 0
    if len(set(lengths)) != 1 or not _LENGTH.fullmatch(lengths[0]):
        raise MalformedMessageError("invalid or conflicting Content-Length")
    return int(lengths[0])
