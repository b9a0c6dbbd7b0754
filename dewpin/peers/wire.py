"""Encoding of messages between peers as datagrams: a version, the sender's name, the message.

Datagrams are bounded in size. They require a trusted network: nothing is signed or encrypted.
"""

import msgspec

from .lease_messages import LeaseMessage
from .membership_messages import MembershipMessage

VERSION = 1
MAX_DATAGRAM_BYTES = 1400
"""An outgoing message that exceeds this limit is a programming error."""

PeerMessage = LeaseMessage | MembershipMessage


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """Content of a datagram; `name` is the sender's."""

    version: int
    name: str
    message: PeerMessage


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def encode_datagram(name: str, message: PeerMessage) -> bytes:
    """Return the bytes of a datagram. Raises ValueError if it is too large."""
    content = _encoder.encode(Datagram(VERSION, name, message))
    if len(content) > MAX_DATAGRAM_BYTES:
        raise ValueError(f"datagram of {len(content)} bytes exceeds the limit of {MAX_DATAGRAM_BYTES} bytes")
    return content


def decode_datagram(content: bytes) -> Datagram | None:
    """Return the datagram, or None if it is malformed or of another version."""
    if len(content) > MAX_DATAGRAM_BYTES:
        return None
    try:
        datagram = _decoder.decode(content)
    except msgspec.MsgspecError:
        return None
    return datagram if datagram.version == VERSION else None
