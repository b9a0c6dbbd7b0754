"""Messages that fetch the body of a configuration by its digest, page by page, and the digest itself."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from .rpc import Message

RELAY_BODY = "relay.body"


def configuration_digest(body: bytes, base: int) -> str:
    """What tells one order from another under the same number: the body and the version that it builds on."""
    return hashlib.sha256(b"%d\n%b" % (base, body)).hexdigest()[:24]


def patch_digest(body: bytes, base: int) -> str:
    """The same for a patch; never that of a whole configuration with the same bytes."""
    return hashlib.sha256(b"patch of %d\n%b" % (base, body)).hexdigest()[:24]


@dataclass(frozen=True, slots=True)
class BodyRequest:
    """Asks for the part of a configuration's body that begins at character `offset`. `caller`: the address of a sender
    that asks; control servers among themselves tell none."""

    type: str
    digest: str
    offset: int
    caller: str = ""

    def encode(self) -> Message:
        """The form on the wire."""
        message: Message = {"type": self.type, "digest": self.digest, "offset": self.offset}
        if self.caller:
            message["caller"] = self.caller
        return message

    @classmethod
    def decode(cls, message: Message) -> BodyRequest:
        """The request of a message. KeyError, TypeError or ValueError if it is none."""
        return cls(
            type=str(message["type"]),
            digest=str(message["digest"]),
            offset=int(message["offset"]),
            caller=str(message.get("caller", "")),
        )


@dataclass(frozen=True, slots=True)
class BodyPage:
    """A part of a body, and how many characters the whole has."""

    part: str
    length: int

    def encode(self) -> Message:
        """The form on the wire."""
        return {"type": "body.page", "part": self.part, "length": self.length}

    @classmethod
    def decode(cls, message: Message) -> BodyPage:
        """The page of a message. KeyError, TypeError or ValueError if it is none."""
        return cls(str(message["part"]), int(message["length"]))
