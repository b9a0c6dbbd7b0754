"""Netstrings of JSON: the framing of all messages between dewpin's own processes.

A frame is the payload's length in decimal digits, a colon, the payload, a comma. The payload is one JSON object.

Bytes that JSON can't carry, or only at many times their length, travel behind it: an object whose `raw` is a number is
followed by a second netstring of so many bytes, of any value, which are that `raw`.
"""

from __future__ import annotations

import json
from typing import Any

from .errors import DewpinError

MAX_FRAME_BYTES = 32 * 1024 * 1024
"""The longest payload and the most raw bytes of one message."""
RAW = "raw"
"""The key of an object's raw bytes."""
_MAX_LENGTH_DIGITS = len(str(MAX_FRAME_BYTES))

JsonObject = dict[str, Any]


class FrameError(DewpinError, ValueError):
    """Bytes that are no frame, or a frame over the limit; the connection that they came on cannot be used any more."""


def encode(message: JsonObject, max_bytes: int = MAX_FRAME_BYTES) -> bytes:
    """Return the frame of `message`.

    Raises FrameError for a message that no decoder accepts: its connection would be ended by the peer.
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
    """Splits a stream of bytes into messages."""

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES) -> None:
        """Accept payloads of up to `max_bytes`."""
        self._buffer = bytearray()
        self._max_bytes = max_bytes
        self._awaiting_raw: JsonObject | None = None  # an object whose raw bytes have not come

    def feed(self, data: bytes) -> list[JsonObject]:
        """Return the messages that `data` completes. Raises FrameError for bytes that cannot be a frame."""
        self._buffer += data
        messages: list[JsonObject] = []
        while (payload := self._next_payload()) is not None:
            message = self._complete(payload)
            if message is not None:
                messages.append(message)
        return messages

    def _complete(self, payload: bytes) -> JsonObject | None:
        """Return the message that `payload` completes; None if its raw bytes have not come."""
        awaiting = self._awaiting_raw
        if awaiting is not None:
            self._awaiting_raw = None
            return {**awaiting, RAW: payload}
        message = _decode(payload)
        if RAW not in message:
            return message
        if type(message[RAW]) is not int or not 0 <= message[RAW] <= self._max_bytes:
            raise FrameError(f"raw bytes: {message[RAW]!r:.16}")
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
            raise FrameError(f"length {digits[:16]!r}")
        length = int(digits)
        if self._awaiting_raw is not None and length != self._awaiting_raw[RAW]:
            raise FrameError(f"{length} raw bytes where {self._awaiting_raw[RAW]} were announced")
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
        raise FrameError("not an object")
    return message
