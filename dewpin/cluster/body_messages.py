"""Messages that fetch a configuration body by its digest, page by page, and the computation of the digests."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from .rpc import Message

RELAY_BODY = "relay.body"


def configuration_digest(body: bytes, base_version: int) -> str:
    """Return the digest that identifies a configuration change: a hash of its body and its base version."""
    return hashlib.sha256(b"%d\n%b" % (base_version, body)).hexdigest()[:24]


def patch_digest(body: bytes, base_version: int) -> str:
    """Return the digest of a patch; it differs from the digest of a configuration with the same bytes."""
    return hashlib.sha256(b"patch of %d\n%b" % (base_version, body)).hexdigest()[:24]


@dataclass(frozen=True, slots=True)
class BodyRequest:
    """Requests a page of a configuration body.

    `type`: message type; senders and control servers use different ones.
    `digest`: digest of the change that introduced the body.
    `offset`: index of the first character of the page.
    `caller`: address of the requesting sender; empty if a control server requests the page.
    """

    type: str
    digest: str
    offset: int
    caller: str = ""

    def encode(self) -> Message:
        """Return the message to send."""
        message: Message = {"type": self.type, "digest": self.digest, "offset": self.offset}
        if self.caller:
            message["caller"] = self.caller
        return message

    @classmethod
    def decode(cls, message: Message) -> BodyRequest:
        """Decode a request. Raises KeyError, TypeError or ValueError if `message` is not a valid one."""
        return cls(
            type=str(message["type"]),
            digest=str(message["digest"]),
            offset=int(message["offset"]),
            caller=str(message.get("caller", "")),
        )


@dataclass(frozen=True, slots=True)
class BodyPage:
    """A page of a configuration body.

    `part`: the characters of the page.
    `length`: number of characters of the whole body.
    """

    part: str
    length: int

    def encode(self) -> Message:
        """Return the message to send."""
        return {"type": "body.page", "part": self.part, "length": self.length}

    @classmethod
    def decode(cls, message: Message) -> BodyPage:
        """Decode a page. Raises KeyError, TypeError or ValueError if `message` is not a valid one."""
        return cls(str(message["part"]), int(message["length"]))
