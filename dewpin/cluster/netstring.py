"""Netstrings of JSON: the framing of all messages between dewpin's own processes.

A frame is the payload's length in decimal digits, a colon, the payload, a comma. The payload is one JSON object.
"""

from __future__ import annotations

import json
from typing import Any

MOST_BYTES = 32 * 1024 * 1024
_MOST_DIGITS = len(str(MOST_BYTES))

JsonObject = dict[str, Any]


class FrameError(ValueError):
    """Bytes that are no frame, or a frame over the bound; the connection they came on is of no more use."""


def encode(message: JsonObject, most_bytes: int = MOST_BYTES) -> bytes:
    """The frame of `message`. FrameError for one that no decoder takes: its connection would end at the other side."""
    payload = json.dumps(message, separators=(",", ":")).encode()
    if len(payload) > most_bytes:
        raise FrameError(f"{len(payload)} bytes")
    return b"%d:%b," % (len(payload), payload)


class Decoder:
    """Cuts a stream of bytes into messages."""

    def __init__(self, most_bytes: int = MOST_BYTES) -> None:
        self._buffer = bytearray()
        self._most_bytes = most_bytes

    def feed(self, data: bytes) -> list[JsonObject]:
        """Takes bytes as they come; returns the messages that are whole. FrameError for what can't be a frame."""
        self._buffer += data
        messages: list[JsonObject] = []
        while (payload := self._next_payload()) is not None:
            messages.append(_decode(payload))
        return messages

    def _next_payload(self) -> bytes | None:
        colon = self._buffer.find(b":", 0, _MOST_DIGITS + 1)
        if colon < 0:
            if len(self._buffer) > _MOST_DIGITS:
                raise FrameError("no length")
            return None
        digits = bytes(self._buffer[:colon])
        if not digits.isdigit() or int(digits) > self._most_bytes:
            raise FrameError(f"length {digits[:16]!r}")
        end = colon + 1 + int(digits)
        if len(self._buffer) <= end:
            return None
        if self._buffer[end : end + 1] != b",":
            raise FrameError("no comma after the payload")
        payload = bytes(self._buffer[colon + 1 : end])
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
