"""Serializes responses to clients (RFC 9112)."""

from collections.abc import Iterable

from dewpin.dataplane.http11.messages import HeaderField, Response, reason_phrase

NO_BODY_STATUSES = frozenset({204, 304})
"""Statuses of responses with neither a body nor `Content-Length` (RFC 9110, 8.6)."""


def format_response(response: Response, body: bytes, is_closing: bool, omit_body: bool) -> bytes:
    """Serialize a response with a complete body; `omit_body` is set for a response to a HEAD request."""
    if omit_body or response.status in NO_BODY_STATUSES:
        return format_response_head(response, is_closing, [])
    return format_head_with_length(response, len(body), is_closing) + body


def format_head_with_length(response: Response, body_length: int, is_closing: bool) -> bytes:
    """Serialize the head of a response whose complete body follows separately."""
    headers = [field for field in response.headers if field[0].lower() != "content-length"]
    head = Response(response.status, headers, b"", response.reason)
    return format_response_head(head, is_closing, [("Content-Length", str(body_length))])


def format_response_head(response: Response, is_closing: bool, framing: Iterable[HeaderField]) -> bytes:
    """Serialize the head of a response with the given framing fields."""
    reason = response.reason or reason_phrase(response.status)
    lines = [f"HTTP/1.1 {response.status} {reason}"]
    lines.extend(f"{name}: {value}" for name, value in response.headers)
    lines.extend(f"{name}: {value}" for name, value in framing)
    if is_closing:
        lines.append("Connection: close")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def format_chunk(data: bytes) -> bytes:
    """Encode one chunk of the chunked transfer coding (RFC 9112, 7.1)."""
    return b"%x\r\n%b\r\n" % (len(data), data)
