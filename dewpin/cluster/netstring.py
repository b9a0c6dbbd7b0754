"""Netstrings of JSON: the framing of all messages between dewpin's own processes.

A frame is the payload's length in decimal digits, a colon, the payload, a comma. The payload is one JSON object.

Bytes that JSON can't carry, or only at many times their length, travel behind it: an object whose `raw` is a number is
followed by a second netstring of so many bytes, of any value, which are that `raw`.
"""

from __future__ import annotations

import json
from typing import Any

from .errors import DewpinError

MOST_BYTES = 32 * 1024 * 1024
RAW = "raw"
"""The key of an object's raw bytes."""
_MOST_DIGITS = len(str(MOST_BYTES))

JsonObject = dict[str, Any]


class FrameError(DewpinError, ValueError):
    """Bytes that are no frame, or a frame over the bound; the connection they came on is of no more use."""


def encode(message: JsonObject, most_bytes: int = MOST_BYTES) -> bytes:
    """The frame of `message`. FrameError for one that no decoder takes: its connection would end at the other side."""
    raw = message.get(RAW)
    if isinstance(raw, bytes):
        return _netstring(_json({**message, RAW: len(raw)}), most_bytes) + _netstring(raw, most_bytes)
    if raw is not None:
        raise FrameError("raw is not bytes")
    return _netstring(_json(message), most_bytes)


def _json(message: JsonObject) -> bytes:
    return json.dumps(message, separators=(",", ":")).encode()


def _netstring(payload: bytes, most_bytes: int) -> bytes:
    if len(payload) > most_bytes:
        raise FrameError(f"{len(payload)} bytes")
    return b"%d:%b," % (len(payload), payload)


class Decoder:
    """Cuts a stream of bytes into messages."""

    def __init__(self, most_bytes: int = MOST_BYTES) -> None:
        self._buffer = bytearray()
        self._most_bytes = most_bytes
        self._awaiting_raw: JsonObject | None = None  # an object whose raw bytes have not come

    def feed(self, data: bytes) -> list[JsonObject]:
        """Takes bytes as they come; returns the messages that are whole. FrameError for what can't be a frame."""
        self._buffer += data
        messages: list[JsonObject] = []
        while (payload := self._next_payload()) is not None:
            message = self._take(payload)
            if message is not None:
                messages.append(message)
        return messages

    def _take(self, payload: bytes) -> JsonObject | None:
        """The message that `payload` makes whole, if it does."""
        awaiting = self._awaiting_raw
        if awaiting is not None:
            self._awaiting_raw = None
            return {**awaiting, RAW: payload}
        message = _decode(payload)
        if RAW not in message:
            return message
        if type(message[RAW]) is not int or not 0 <= message[RAW] <= self._most_bytes:
            raise FrameError(f"raw bytes: {message[RAW]!r:.16}")
        self._awaiting_raw = message
        return None

    def _next_payload(self) -> bytes | None:
        colon = self._buffer.find(b":", 0, _MOST_DIGITS + 1)
        if colon < 0:
            if len(self._buffer) > _MOST_DIGITS:
                raise FrameError("no length")
            return None
        digits = bytes(self._buffer[:colon])
        if not digits.isdigit() or int(digits) > self._most_bytes:
            raise FrameError(f"length {digits[:16]!r}")
        length = int(digits)
        if self._awaiting_raw is not None and length != self._awaiting_raw[RAW]:
            raise FrameError("raw bytes of another length than told")
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
    except ValueError as fault:
        raise FrameError(str(fault)) from None
    if not isinstance(message, dict):
        raise FrameError("not an object")
    return message
