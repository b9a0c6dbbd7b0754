"""Messages that fetch the body of a configuration by its digest, page by page, and the digest itself."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from .rpc import Message

RELAY_BODY = "relay.body"


def configuration_digest(body: bytes, base: int) -> str:
    """Return the digest that identifies a change of the configuration: of its body and the version that it builds
    on."""
    return hashlib.sha256(b"%d\n%b" % (base, body)).hexdigest()[:24]


def patch_digest(body: bytes, base: int) -> str:
    """Return the digest of a change by a patch; it differs from that of a configuration with the same bytes."""
    return hashlib.sha256(b"patch of %d\n%b" % (base, body)).hexdigest()[:24]


@dataclass(frozen=True, slots=True)
class BodyRequest:
    """Requests a page of a configuration's body.

    `type`: message type; senders and control servers use different ones.
    `digest`: of the change that brought the body.
    `offset`: number of the character at which the page begins.
    `caller`: address of the sender that requests it; control servers send none.
    """

    type: str
    digest: str
    offset: int
    caller: str = ""

    def encode(self) -> Message:
        """Return the message."""
        message: Message = {"type": self.type, "digest": self.digest, "offset": self.offset}
        if self.caller:
            message["caller"] = self.caller
        return message

    @classmethod
    def decode(cls, message: Message) -> BodyRequest:
        """Return the request of a message. Raises KeyError, TypeError or ValueError if it is none."""
        return cls(
            type=str(message["type"]),
            digest=str(message["digest"]),
            offset=int(message["offset"]),
            caller=str(message.get("caller", "")),
        )


@dataclass(frozen=True, slots=True)
class BodyPage:
    """A page of a body.

    `part`: the characters of the page.
    `length`: characters of the whole body.
    """

    part: str
    length: int

    def encode(self) -> Message:
        """Return the message."""
        return {"type": "body.page", "part": self.part, "length": self.length}

    @classmethod
    def decode(cls, message: Message) -> BodyPage:
        """Return the page of a message. Raises KeyError, TypeError or ValueError if it is none."""
        return cls(str(message["part"]), int(message["length"]))
