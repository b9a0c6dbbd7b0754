"""JSON netstrings: the framing of all messages between dewpin processes.

A frame consists of the length of the payload in decimal digits, a colon, the payload and a comma. The payload is one
JSON object.

JSON has no form for binary data, and encoding it as text would multiply its length. Binary data therefore follows the
object: if the `raw` field of the object is a number, a second netstring with that number of arbitrary bytes follows,
which are the value of `raw`.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

from .errors import DewpinError

MAX_FRAME_BYTES = 32 * 1024 * 1024
"""Maximum length of the payload of a message, and of its raw bytes."""
RAW = "raw"
"""The key of the raw bytes of an object."""
_MAX_LENGTH_DIGITS = len(str(MAX_FRAME_BYTES))

JsonObject = dict[str, Any]


class FrameError(DewpinError, ValueError):
    """Bytes that are not a valid frame, or a frame over the limit; the connection cannot be used any further."""


def encode(message: JsonObject, max_bytes: int = MAX_FRAME_BYTES) -> bytes:
    """Return `message` as a frame.

    Raises FrameError for a message that no decoder accepts, since the peer would close the connection.
    """
    raw = message.get(RAW)
    if isinstance(raw, bytes):
        return _netstring(_json({**message, RAW: len(raw)}), max_bytes) + _netstring(raw, max_bytes)
    if raw is not None:
        raise FrameError("raw is not bytes")
    return _netstring(_json(message), max_bytes)


def _json(message: JsonObject) -> bytes:
    return json.dumps(message, separators=(",", ":")).encode()


def _netstring(payload: bytes, max_bytes: int) -> bytes:
    if len(payload) > max_bytes:
        raise FrameError(f"{len(payload)} bytes")
    return b"%d:%b," % (len(payload), payload)


class Decoder:
    """Decodes a byte stream into messages."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES, before_parsing: Callable[[bytes], None] | None = None) -> None:
        """Create a decoder that accepts payloads of up to `max_bytes`.

        `before_parsing` is called with the text of each object before it is parsed; what it raises, `feed` raises.
        """
        self._buffer = bytearray()
        self._max_bytes = max_bytes
        self._before_parsing = before_parsing
        self._awaiting_raw: JsonObject | None = None  # a message whose raw bytes have not been received

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes of incomplete messages."""
        return len(self._buffer)

    def discard(self) -> None:
        """Release the buffered bytes, from any thread; the connection must not be used any further."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[JsonObject]:
        """Return the messages completed by `data`. Raises FrameError for bytes that cannot be a frame."""
        self._buffer += data
        messages: list[JsonObject] = []
        while (payload := self._next_payload()) is not None:
            message = self._complete(payload)
            if message is not None:
                messages.append(message)
        return messages

    def _complete(self, payload: bytes) -> JsonObject | None:
        """Return the message completed by `payload`, or None if its raw bytes have not been received."""
        pending = self._awaiting_raw
        if pending is not None:
            self._awaiting_raw = None
            return {**pending, RAW: payload}
        if self._before_parsing is not None:
            self._before_parsing(payload)
        message = _decode(payload)
        if RAW not in message:
            return message
        if type(message[RAW]) is not int or not 0 <= message[RAW] <= self._max_bytes:
            raise FrameError(f"invalid number of raw bytes: {message[RAW]!r:.16}")
        self._awaiting_raw = message
        return None

    def _next_payload(self) -> bytes | None:
        colon = self._buffer.find(b":", 0, _MAX_LENGTH_DIGITS + 1)
        if colon < 0:
            if len(self._buffer) > _MAX_LENGTH_DIGITS:
                raise FrameError(f"no length in the first {_MAX_LENGTH_DIGITS} bytes")
            return None
        digits = bytes(self._buffer[:colon])
        if not digits.isdigit() or int(digits) > self._max_bytes:
            raise FrameError(f"invalid length {digits[:16]!r}")
        length = int(digits)
        if self._awaiting_raw is not None and length != self._awaiting_raw[RAW]:
            raise FrameError(f"{length} raw bytes instead of {self._awaiting_raw[RAW]} as announced")
        end = colon + 1 + length
        if len(self._buffer) <= end:
            return None
        if self._buffer[end : end + 1] != b",":
            raise FrameError("no comma after the payload")
        with memoryview(self._buffer) as view:
            payload = bytes(view[colon + 1 : end])
        del self._buffer[: end + 1]
        return payload


def _decode(payload: bytes) -> JsonObject:
    try:
        message = json.loads(payload)
    except ValueError as error:
        raise FrameError(str(error)) from error
    if not isinstance(message, dict):
        raise FrameError("payload is not a JSON object")
    return message
