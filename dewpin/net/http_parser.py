"""An HTTP/1.1 parser without I/O (RFC 9112): it is fed bytes as they arrive and returns complete messages.

It buffers the bytes of incomplete messages and limits their number. The content of a body is never modified.
"""

import re
from typing import Generic, TypeVar

from .errors import MalformedMessageError
from .http_body import BodyDecoder, ChunkedBody, FixedLengthBody, UntilCloseBody
from .http_messages import Request, Response

MAX_HEAD_BYTES = 16384
MAX_BODY_BYTES = 65536
MAX_INTERIM_RESPONSES = 16  # before a response
TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
CONTENT_LENGTH = re.compile(rb"[0-9]{1,9}")
STATUS_CODE = re.compile(rb"[1-9]\d\d")
HTTP_1_VERSION = re.compile(rb"HTTP/1\.[01]")
COMPLETE_STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-9]\d\d)(?: [^\r\n]*)?\r\n")
BODILESS_STATUSES = (204, 304)
EMPTY_LINES = re.compile(rb"(?:\r\n)*")
EMPTY_BODY = FixedLengthBody(0)

MessageT = TypeVar("MessageT", Request, Response)


class _MessageParser(Generic[MessageT]):
    """Base class of the parsers of requests and responses.

    After a MalformedMessageError no further messages may be requested; `discard` releases the buffered bytes.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.max_body_bytes = max_body_bytes
        self._buffer = bytearray()
        self._searched_bytes = 0  # length of the buffer that was searched for the end of the header section
        self._skipped_bytes = 0  # size of the empty lines before the message
        self._message: MessageT | None = None  # set while its header section is complete and its body is not
        self._body: BodyDecoder = EMPTY_BODY

    def feed(self, data: bytes | memoryview) -> None:
        """Append received bytes to the buffer."""
        self._buffer += data

    @property
    def buffered_bytes(self) -> int:
        """Number of buffered bytes, including the decoded part of an incomplete body."""
        return len(self._buffer) + self._body.decoded_bytes

    @property
    def has_unparsed_bytes(self) -> bool:
        """Whether the buffer contains bytes that do not belong to a returned message."""
        return bool(self._buffer)

    @property
    def has_partial_message(self) -> bool:
        """Whether a message has begun and is incomplete."""
        return self._message is not None or bool(self._buffer)

    def has_pipelined_bytes(self) -> bool:
        """Return whether the last message is followed by anything other than empty lines."""
        return bool(self._buffer.strip(b"\r\n"))

    def discard(self) -> None:
        """Discard all buffered bytes and the incomplete message."""
        self._buffer.clear()
        self._message = None
        self._body = EMPTY_BODY

    def next_message(self) -> MessageT | None:
        """Return the next complete message, or None.

        Raises MalformedMessageError.
        """
        if self._message is None and not self._parse_head():
            return None
        body = self._body.decode(self._buffer)
        if body is None:
            return None
        message, self._message, self._body = self._message, None, EMPTY_BODY
        assert message is not None
        message.body = body
        return message

    def _parse_head(self) -> bool:
        """Parse header sections up to that of the next message; return whether it is complete."""
        while self._message is None:
            if not self._parse_header_section():
                return False
        return True

    def _parse_header_section(self) -> bool:
        """Parse the start line and the header fields of a message, or skip those of an interim response.

        Return whether the section is complete.
        """
        self._skip_empty_lines()
        buffer = self._buffer
        end = buffer.find(b"\r\n\r\n", max(0, self._searched_bytes - 3))
        if (end < 0 and len(buffer) > MAX_HEAD_BYTES) or end > MAX_HEAD_BYTES:
            raise MalformedMessageError(431, "header section is too large")
        if end < 0:
            self._searched_bytes = len(buffer)
            return False
        start_line, *field_lines = bytes(buffer[:end]).split(b"\r\n")
        message = self._message = self._parse_start_line(start_line)
        # Only now: a malformed start line must stay in the buffer so that the next line is not parsed in its place.
        del buffer[: end + 4]
        self._searched_bytes = self._skipped_bytes = 0
        self._parse_fields(field_lines, message.fields)
        _set_persistence(message)
        body = self._choose_framing(message)
        if body is None:
            self._message = None
        else:
            self._body = body
        return True

    def _skip_empty_lines(self) -> None:
        """Skip empty lines before a message (RFC 9112, section 2.2), as many as a header section may have bytes."""
        match = EMPTY_LINES.match(self._buffer)
        if match is None or not match.end():
            return
        self._skipped_bytes += match.end()
        if self._skipped_bytes > MAX_HEAD_BYTES:
            raise MalformedMessageError(400, "too many empty lines")
        del self._buffer[: match.end()]
        self._searched_bytes = 0

    def _parse_fields(self, lines: list[bytes], fields: dict[bytes, bytes]) -> None:
        for line in lines:
            name, colon, value = line.partition(b":")
            if not colon or not TOKEN.fullmatch(name) or CONTROL_CHARACTER.search(value):
                if CONTROL_CHARACTER.search(value) and self._can_skip_field(name):
                    continue
                raise MalformedMessageError(400, "invalid header field line")
            name, value = name.lower(), value.strip(b" \t")
            if name in fields:
                if name != b"content-length":
                    value = fields[name] + b", " + value
                elif fields[name] != value:
                    raise MalformedMessageError(400, "conflicting Content-Length fields")
            fields[name] = value

    def _declared_framing(self, fields: dict[bytes, bytes]) -> BodyDecoder | None:
        """Return the framing that the header fields declare; None if they declare none."""
        transfer_coding, length = fields.get(b"transfer-encoding"), fields.get(b"content-length")
        if transfer_coding is not None:
            if transfer_coding.lower() != b"chunked":
                raise MalformedMessageError(501, "unsupported transfer coding")
            if length is not None:
                raise MalformedMessageError(400, "both Content-Length and Transfer-Encoding")
            return ChunkedBody(self.max_body_bytes)
        if length is None:
            return None
        if not CONTENT_LENGTH.fullmatch(length):
            raise MalformedMessageError(400 if not length.isdigit() else 413, "invalid or too large Content-Length")
        if int(length) > self.max_body_bytes:
            raise MalformedMessageError(413, "body is too large")
        return FixedLengthBody(int(length))

    def _can_skip_field(self, name: bytes) -> bool:
        """Return whether a field line with this name is ignored if its value is invalid."""
        raise NotImplementedError

    def _parse_start_line(self, line: bytes) -> MessageT:
        raise NotImplementedError

    def _choose_framing(self, message: MessageT) -> BodyDecoder | None:
        """Return the decoder of the body; None for an interim response, which is skipped."""
        raise NotImplementedError


class RequestParser(_MessageParser[Request]):
    """Parses requests."""

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        super().__init__(max_body_bytes)
        self._expects_continue = False

    def consume_expectation(self) -> bool:
        """Return, once per request, whether its client expects 100 (Continue) before it sends the body."""
        if not self._expects_continue or self._message is None:
            return False
        self._expects_continue = False
        return True

    def _can_skip_field(self, name: bytes) -> bool:
        return False

    def _parse_start_line(self, line: bytes) -> Request:
        parts = line.split(b" ", 2)
        if len(parts) != 3 or not TOKEN.fullmatch(parts[0]) or not parts[1] or CONTROL_CHARACTER.search(line):
            raise MalformedMessageError(400, "invalid request line")
        method, target, version = parts
        if not HTTP_1_VERSION.fullmatch(version):
            raise MalformedMessageError(505 if version.startswith(b"HTTP/") else 400, "unsupported HTTP version")
        return Request(method, target, version, {})

    def _choose_framing(self, message: Request) -> BodyDecoder:
        self._expects_continue = message.fields.get(b"expect", b"").lower() == b"100-continue"
        return self._declared_framing(message.fields) or EMPTY_BODY


class ResponseParser(_MessageParser[Response]):
    """Parses responses and skips interim ones (1xx)."""

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        super().__init__(max_body_bytes)
        self._interim_count = 0

    def partial_status(self) -> int | None:
        """Return the status of the incomplete message; None if its status line is incomplete or invalid."""
        if self._message:
            return self._message.status
        status_line = COMPLETE_STATUS_LINE.match(self._buffer)
        return int(status_line[1]) if status_line else None

    def end_of_input(self) -> Response | None:
        """Return the message that is delimited by the end of the connection, if there is one."""
        if self._message is None or not isinstance(self._body, UntilCloseBody):
            return None
        message, self._message = self._message, None
        message.body, self._buffer = bytes(self._buffer), bytearray()
        return message

    def _can_skip_field(self, name: bytes) -> bool:
        return name.lower() == b"srv-load"  # an unreadable load report does not invalidate the response

    def _parse_start_line(self, line: bytes) -> Response:
        parts = line.split(b" ", 2)
        if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or not STATUS_CODE.fullmatch(parts[1]):
            raise MalformedMessageError(400, "invalid status line")
        return Response(parts[0], int(parts[1]), parts[2] if len(parts) > 2 else b"", {})

    def _choose_framing(self, message: Response) -> BodyDecoder | None:
        if message.status < 200:
            self._interim_count += 1
            if self._interim_count > MAX_INTERIM_RESPONSES:
                raise MalformedMessageError(400, "too many interim responses")
            return None
        self._interim_count = 0
        if message.status in BODILESS_STATUSES:
            return EMPTY_BODY
        declared = self._declared_framing(message.fields)
        if declared is None:
            message.closes_connection = True
            return UntilCloseBody(self.max_body_bytes)
        return declared


def _set_persistence(message: Request | Response) -> None:
    """Determine whether the connection persists after this message (RFC 9112, section 9.3)."""
    options = {option.strip().lower() for option in message.fields.get(b"connection", b"").split(b",")}
    message.closes_connection = b"close" in options or (message.version == b"HTTP/1.0" and b"keep-alive" not in options)
