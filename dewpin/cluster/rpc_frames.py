"""The frames of calls between processes and their codec: a call number, unique on its connection, and a message.

A request is `{"v": 1, "n": number, "m": message}`, its reply `{"v": 1, "r": number, "m": message}`, each a netstring.
The raw bytes of a message, its field `raw`, become the raw bytes of the frame and follow as a second netstring (see
`netstring`). They are sent only to a peer that asked for them, since releases that do not support them read the second
netstring as an invalid frame. The classes are not frozen, because each end creates two instances per call and setting
the fields of a frozen class is slower.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, ClassVar, Self

from .errors import DewpinError
from .netstring import RAW, encode

Message = dict[str, Any]

PROTOCOL_VERSION = 1


class InvalidFrameError(DewpinError, ValueError):
    """A frame of another protocol version, or one without a valid number or message."""


@dataclass(slots=True)
class _Frame:
    """A message with the number of its call.

    `number`: number of the call, unique on its connection.
    `number_key`: key of `number` on the wire.
    """

    number: int
    message: Message

    number_key: ClassVar[str]

    def encode(self) -> bytes:
        """Return the encoded frame.

        Raises FrameError if it is too long, ValueError or TypeError if the message is not serializable as JSON.
        """
        frame = {"v": PROTOCOL_VERSION, self.number_key: self.number, "m": self.message}
        if RAW in self.message:
            frame["m"] = {key: value for key, value in self.message.items() if key != RAW}
            frame[RAW] = self.message[RAW]
        return encode(frame)

    @classmethod
    def decode(cls, frame: dict[str, Any]) -> Self:
        """Decode a frame from the object of a netstring. Raises InvalidFrameError if it is not one."""
        number, message = frame.get(cls.number_key), frame.get("m")
        if frame.get("v") != PROTOCOL_VERSION or type(number) is not int or not isinstance(message, dict):
            raise InvalidFrameError(f"not a frame of version {PROTOCOL_VERSION} with `{cls.number_key}` and `m`")
        if RAW in message:  # raw bytes are a field of the frame, never of the message in it
            raise InvalidFrameError(f"`{RAW}` inside the message")
        if RAW in frame:
            message[RAW] = frame[RAW]
        return cls(number, message)


@dataclass(slots=True)
class RequestFrame(_Frame):
    """A request; its number is never reused on the connection."""

    number_key = "n"


@dataclass(slots=True)
class ReplyFrame(_Frame):
    """The reply to the request with the same number on the same connection."""

    number_key = "r"
