"""The frames of calls between processes, and their one codec: a number of the connection, and a message.

A request is `{"v": 1, "n": number, "m": message}`, its reply `{"v": 1, "r": number, "m": message}`, each a netstring.
The raw bytes of a message, its `raw`, are those of the whole frame and follow as a second netstring (`netstring`); a
process sends them only to one that asked for them, since releases before them read the second netstring as a broken
frame. The classes are not frozen: two are made for each call at each end, and fields of a frozen class are set more
slowly.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar, Self

from .errors import DewpinError
from .netstring import RAW, encode

Message = dict[str, Any]

PROTOCOL_VERSION = 1


class InvalidFrameError(DewpinError, ValueError):
    """A frame of another protocol version, or without its number or message."""


@dataclass(slots=True)
class _Frame:
    """A numbered message.

    `number`: of the call, unique on its connection.
    `number_key`: the frame's key for `number` on the wire.
    """

    number: int
    message: Message

    number_key: ClassVar[str]

    def encode(self) -> bytes:
        """Return the bytes on the wire.

        Raises FrameError if they are too many, ValueError or TypeError if JSON cannot hold the message.
        """
        frame = {"v": PROTOCOL_VERSION, self.number_key: self.number, "m": self.message}
        if RAW in self.message:
            frame["m"] = {key: value for key, value in self.message.items() if key != RAW}
            frame[RAW] = self.message[RAW]
        return encode(frame)

    @classmethod
    def decode(cls, frame: dict[str, Any]) -> Self:
        """Return the frame of a netstring's object. Raises InvalidFrameError if it is none."""
        number, message = frame.get(cls.number_key), frame.get("m")
        if frame.get("v") != PROTOCOL_VERSION or type(number) is not int or not isinstance(message, dict):
            raise InvalidFrameError(f"no frame of version {PROTOCOL_VERSION} with `{cls.number_key}` and `m`")
        if RAW in message:  # raw bytes stand beside the message, never in its JSON
            raise InvalidFrameError(f"`{RAW}` inside the message")
        if RAW in frame:
            message[RAW] = frame[RAW]
        return cls(number, message)


@dataclass(slots=True)
class RequestFrame(_Frame):
    """A call; the connection never uses a number twice."""

    number_key = "n"


@dataclass(slots=True)
class ReplyFrame(_Frame):
    """The reply to the call of that number on the same connection."""

    number_key = "r"
