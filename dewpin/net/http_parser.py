"""An HTTP/1.1 parser without I/O (RFC 9112): bytes are fed as they arrive, complete messages are taken out.

It buffers the bytes of the message that is not complete yet and bounds their number. A body's content is never changed.
"""

import re
from typing import Generic, TypeVar

from .errors import MalformedMessageError
from .http_body import BodyDecoder, ChunkedBody, FixedLengthBody, UntilCloseBody
from .http_messages import Request, Response

MAX_HEAD_BYTES = 16384
MAX_BODY_BYTES = 65536
TOKEN = re.compile(rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
CONTROL_CHARACTER = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
CONTENT_LENGTH = re.compile(rb"[0-9]{1,9}")
STATUS_CODE = re.compile(rb"[1-9]\d\d")
HTTP_1_VERSION = re.compile(rb"HTTP/1\.[01]")
COMPLETE_STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-9]\d\d)(?: [^\r\n]*)?\r\n")
BODILESS_STATUSES = (204, 304)
EMPTY_BODY = FixedLengthBody(0)

MessageT = TypeVar("MessageT", Request, Response)


class _MessageParser(Generic[MessageT]):
    """What parsing requests and responses has in common.

    After MalformedMessageError the parser must not be asked for messages any more; `discard` frees what it holds.
    """

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.max_body_bytes = max_body_bytes
        self._buffer = bytearray()
        self._searched_bytes = 0  # the end of the header section does not begin before here
        self._message: MessageT | None = None  # the one whose header section is complete
        self._body: BodyDecoder = EMPTY_BODY

    def feed(self, data: bytes | memoryview) -> None:
        """Take bytes that arrived."""
        self._buffer += data

    @property
    def buffered_bytes(self) -> int:
        """How many bytes are held of messages that are not complete, and of what follows them."""
        return len(self._buffer) + self._body.decoded_bytes

    @property
    def has_unparsed_bytes(self) -> bool:
        """Whether bytes arrived that no message has taken yet."""
        return bool(self._buffer)

    @property
    def has_partial_message(self) -> bool:
        """Whether a message has begun and is not complete."""
        return self._message is not None or bool(self._buffer)

    def has_pipelined_bytes(self) -> bool:
        """Return whether anything but empty lines follows the last message."""
        return bool(self._buffer.strip(b"\r\n"))

    def discard(self) -> None:
        """Forget all that is held."""
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
        """Parse the start line and the header fields; return whether a message's header section is complete."""
        buffer = self._buffer
        while buffer[:2] == b"\r\n":  # RFC 9112, 2.2: empty lines before a message are ignored
            del buffer[:2]
            self._searched_bytes = 0
        end = buffer.find(b"\r\n\r\n", max(0, self._searched_bytes - 3))
        if (end < 0 and len(buffer) > MAX_HEAD_BYTES) or end > MAX_HEAD_BYTES:
            raise MalformedMessageError(431, "head too large")
        if end < 0:
            self._searched_bytes = len(buffer)
            return False
        start_line, *field_lines = bytes(buffer[:end]).split(b"\r\n")
        message = self._message = self._parse_start_line(start_line)
        # Only now: behind a malformed start line the buffer keeps it, so that what follows is not taken for one.
        del buffer[: end + 4]
        self._searched_bytes = 0
        self._parse_fields(field_lines, message.fields)
        _set_persistence(message)
        body = self._choose_framing(message)
        if body is None:
            self._message = None
            return self._parse_head()
        self._body = body
        return True

    def _parse_fields(self, lines: list[bytes], fields: dict[bytes, bytes]) -> None:
        for line in lines:
            name, colon, value = line.partition(b":")
            if not colon or not TOKEN.fullmatch(name) or CONTROL_CHARACTER.search(value):
                if CONTROL_CHARACTER.search(value) and self._can_skip_field(name):
                    continue
                raise MalformedMessageError(400, "header line")
            name, value = name.lower(), value.strip(b" \t")
            if name in fields:
                if name != b"content-length":
                    value = fields[name] + b", " + value
                elif fields[name] != value:
                    raise MalformedMessageError(400, "two lengths")
            fields[name] = value

    def _declared_framing(self, fields: dict[bytes, bytes]) -> BodyDecoder | None:
        """Return the framing that the header fields declare, None if they declare none."""
        transfer_coding, length = fields.get(b"transfer-encoding"), fields.get(b"content-length")
        if transfer_coding is not None:
            if transfer_coding.lower() != b"chunked":
                raise MalformedMessageError(501, "transfer coding")
            if length is not None:
                raise MalformedMessageError(400, "a length and a transfer coding")
            return ChunkedBody(self.max_body_bytes)
        if length is None:
            return None
        if not CONTENT_LENGTH.fullmatch(length):
            raise MalformedMessageError(400 if not length.isdigit() else 413, "length")
        if int(length) > self.max_body_bytes:
            raise MalformedMessageError(413, "body too large")
        return FixedLengthBody(int(length))

    def _can_skip_field(self, name: bytes) -> bool:
        """Return whether a line of this field is ignored if its value is invalid."""
        raise NotImplementedError

    def _parse_start_line(self, line: bytes) -> MessageT:
        raise NotImplementedError

    def _choose_framing(self, message: MessageT) -> BodyDecoder | None:
        """Return how the body's end is found; None: the message is an interim one and is skipped."""
        raise NotImplementedError


class RequestParser(_MessageParser[Request]):
    """Parses requests."""

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        super().__init__(max_body_bytes)
        self._expects_continue = False

    def take_expectation(self) -> bool:
        """Return, once for each request, whether its client waits for 100 (Continue) before it sends the body."""
        if not self._expects_continue or self._message is None:
            return False
        self._expects_continue = False
        return True

    def _can_skip_field(self, name: bytes) -> bool:
        return False

    def _parse_start_line(self, line: bytes) -> Request:
        parts = line.split(b" ", 2)
        if len(parts) != 3 or not TOKEN.fullmatch(parts[0]) or not parts[1] or CONTROL_CHARACTER.search(line):
            raise MalformedMessageError(400, "request line")
        method, target, version = parts
        if not HTTP_1_VERSION.fullmatch(version):
            raise MalformedMessageError(505 if version.startswith(b"HTTP/") else 400, "version")
        return Request(method, target, version, {})

    def _choose_framing(self, message: Request) -> BodyDecoder:
        self._expects_continue = message.fields.get(b"expect", b"").lower() == b"100-continue"
        return self._declared_framing(message.fields) or EMPTY_BODY


class ResponseParser(_MessageParser[Response]):
    """Parses responses; interim ones (1xx) are skipped."""

    def partial_status(self) -> int | None:
        """Return the status of the message that is not complete; None if its status line is not complete or invalid."""
        if self._message:
            return self._message.status
        status_line = COMPLETE_STATUS_LINE.match(self._buffer)
        return int(status_line[1]) if status_line else None

    def end_of_input(self) -> Response | None:
        """Return the message that lasts until the connection ends, if there is one."""
        if self._message is None or not isinstance(self._body, UntilCloseBody):
            return None
        message, self._message = self._message, None
        message.body, self._buffer = bytes(self._buffer), bytearray()
        return message

    def _can_skip_field(self, name: bytes) -> bool:
        return name.lower() == b"srv-load"  # a load report that can't be read does not invalidate the response

    def _parse_start_line(self, line: bytes) -> Response:
        parts = line.split(b" ", 2)
        if len(parts) < 2 or not parts[0].startswith(b"HTTP/1.") or not STATUS_CODE.fullmatch(parts[1]):
            raise MalformedMessageError(400, "status line")
        return Response(parts[0], int(parts[1]), parts[2] if len(parts) > 2 else b"", {})

    def _choose_framing(self, message: Response) -> BodyDecoder | None:
        if message.status < 200:
            return None
        if message.status in BODILESS_STATUSES:
            return EMPTY_BODY
        declared = self._declared_framing(message.fields)
        if declared is None:
            message.closes_connection = True
            return UntilCloseBody(self.max_body_bytes)
        return declared


def _set_persistence(message: Request | Response) -> None:
    """Decide whether the connection persists behind this message (RFC 9112, 9.3)."""
    options = {option.strip().lower() for option in message.fields.get(b"connection", b"").split(b",")}
    message.closes_connection = b"close" in options or (message.version == b"HTTP/1.0" and b"keep-alive" not in options)
