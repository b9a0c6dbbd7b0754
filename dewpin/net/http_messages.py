"""HTTP/1.1 requests and responses as the parser returns them, and formatting of responses."""

import msgspec

REASON_PHRASES = {
    100: "Continue",
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    505: "HTTP Version Not Supported",
}
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class Request(msgspec.Struct):
    """A request.

    Attributes:
        method, target, version: the parts of the request line.
        fields: header fields by lower-case name; lines with the same name are joined with a comma.
        body: the content, without its framing.
        closes_connection: whether the connection is closed after this exchange.
    """

    method: bytes
    target: bytes
    version: bytes
    fields: dict[bytes, bytes]
    body: bytes = b""
    closes_connection: bool = False


class Response(msgspec.Struct):
    """A response.

    Attributes:
        version, status, reason: the parts of the status line.
        fields: header fields by lower-case name; lines with the same name are joined with a comma.
        body: the content, without its framing.
        closes_connection: whether the connection is closed after this exchange.
    """

    version: bytes
    status: int
    reason: bytes
    fields: dict[bytes, bytes]
    body: bytes = b""
    closes_connection: bool = False


def format_response(
    status: int, closes_connection: bool = False, extra_fields: bytes = b"", body: bytes = b""
) -> bytes:
    """Return the bytes of a response; `extra_fields` contains complete field lines, each with its line end."""
    reason = REASON_PHRASES.get(status, "Other").encode()
    connection = b"Connection: close\r\n" if closes_connection else b""
    return b"HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n%s\r\n%s" % (
        status,
        reason,
        extra_fields,
        len(body),
        connection,
        body,
    )
