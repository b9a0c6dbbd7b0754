"""Messages between peers as datagrams: a version, the sender's name, the message.

Datagrams are bounded. They are for a trusted network: nothing is signed or encrypted.
"""

import msgspec

from .lease_messages import LeaseMessage
from .membership_messages import MembershipMessage

VERSION = 1
MAX_DATAGRAM_BYTES = 1400
"""A message of ours that needs more is a fault."""

PeerMessage = LeaseMessage | MembershipMessage


class Datagram(msgspec.Struct, frozen=True, array_like=True):
    """What a datagram holds; `name` is the sender's."""

    version: int
    name: str
    message: PeerMessage


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def encode_datagram(name: str, message: PeerMessage) -> bytes:
    """The bytes of a datagram. Raises ValueError if it is too large."""
    content = _encoder.encode(Datagram(VERSION, name, message))
    if len(content) > MAX_DATAGRAM_BYTES:
        raise ValueError(f"a message of {len(content)} bytes, {MAX_DATAGRAM_BYTES} at most")
    return content


def decode_datagram(content: bytes) -> Datagram | None:
    """The datagram, or None for what is no message of this version."""
    if len(content) > MAX_DATAGRAM_BYTES:
        return None
    try:
        datagram = _decoder.decode(content)
    except msgspec.MsgspecError:
        return None
    return datagram if datagram.version == VERSION else None
