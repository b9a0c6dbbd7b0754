"""Reading the heads of HTTP/1 requests, strictly: what two parties could read differently is rejected."""

import re
from dataclasses import dataclass

from dewpin.dataplane.http11.messages import HeaderField, Headers

_TOKEN = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
_TARGET = re.compile(r"/[\x21-\x7e]*|\*")
_VERSION = re.compile(r"HTTP/1\.[0-9]")
_FORBIDDEN_IN_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
_LENGTH = re.compile(r"[0-9]{1,18}")
_CHUNK_SIZE = re.compile(rb"[0-9A-Fa-f]{1,15}")


class MalformedRequest(ValueError):
    """A request that cannot be read without doubt."""


@dataclass(frozen=True, slots=True)
class RequestHead:
    """The head of a request. `content_length` is None where the body comes in chunks."""

    method: str
    target: str
    is_http_1_0: bool
    headers: Headers
    content_length: int | None

    @property
    def wants_close(self) -> bool:
        """Tell whether the client wants the connection closed after the answer."""
        return self.is_http_1_0 or "close" in self.headers.tokens("connection")

    @property
    def expects_continue(self) -> bool:
        """Tell whether the client waits for leave to send the body."""
        return "100-continue" in self.headers.tokens("expect") and not self.is_http_1_0


def parse_head(head: bytes) -> RequestHead:
    """Read a head without the empty line that ends it; raises MalformedRequest."""
    request_line, *lines = head.decode("latin-1").split("\r\n")
    method, target, version = _parse_request_line(request_line)
    headers = Headers(_parse_field(line) for line in lines)
    is_http_1_0 = version == "HTTP/1.0"
    if len(headers.get_all("host")) != 1 and not is_http_1_0:
        raise MalformedRequest("there has to be one Host")
    return RequestHead(method, target, is_http_1_0, headers, _content_length(headers))


def parse_chunk_size(line: bytes) -> int:
    """Read the line before a chunk, without its end; raises MalformedRequest."""
    size = line.partition(b";")[0].rstrip(b" \t")
    if not _CHUNK_SIZE.fullmatch(size):
        raise MalformedRequest("a chunk has no readable size")
    return int(size, 16)


def _parse_request_line(line: str) -> tuple[str, str, str]:
    parts = line.split(" ")
    if len(parts) != 3:
        raise MalformedRequest("the request line is not readable")
    method, target, version = parts
    if not _TOKEN.fullmatch(method) or not _TARGET.fullmatch(target) or not _VERSION.fullmatch(version):
        raise MalformedRequest("the request line is not readable")
    return method, target, version


def _parse_field(line: str) -> HeaderField:
    name, colon, value = line.partition(":")
    value = value.strip(" \t")
    if not colon or not _TOKEN.fullmatch(name) or _FORBIDDEN_IN_VALUE.search(value):
        raise MalformedRequest("a header is not readable")
    return name, value


def _content_length(headers: Headers) -> int | None:
    """Return the length of the body, or None where it comes in chunks."""
    codings = headers.get_all("transfer-encoding")
    lengths = headers.get_all("content-length")
    if codings:
        if lengths:
            raise MalformedRequest("a body has either a length or chunks")
        if [coding.strip().lower() for coding in codings] != ["chunked"]:
            raise MalformedRequest("the only transfer coding is chunked")
        return None
    if not lengths:
        return 0
    if len(set(lengths)) != 1 or not _LENGTH.fullmatch(lengths[0]):
        raise MalformedRequest("the length is not readable")
    return int(lengths[0])
