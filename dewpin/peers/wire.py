"""Messages between peers as datagrams: a version, the sender's name, the message. Bounded; what is bad is counted.

It owns the form on the wire and nothing of what is said. On a trusted network: nothing is signed or hidden.
"""
import msgspec

from .lease import Message
from .member_messages import Said

VERSION = 1
MOST = 1400             # bytes; a message that needs more is a fault of ours


class Packet(msgspec.Struct, frozen=True, array_like=True):
    version: int
    name: str
    message: Message | Said


_encoder, _decoder = msgspec.msgpack.Encoder(), msgspec.msgpack.Decoder(Packet)


def pack(name: str, message: Message | Said) -> bytes:
    """ValueError if it is over the bound."""
    content = _encoder.encode(Packet(VERSION, name, message))
    if len(content) > MOST:
        raise ValueError(f"a message of {len(content)} bytes, {MOST} at most")
    return content


def unpack(content: bytes) -> Packet | None:
    """None for what is no message of this version."""
    if len(content) > MOST:
        return None
    try:
        packet = _decoder.decode(content)
    except msgspec.MsgspecError:
        return None
    return packet if packet.version == VERSION else None
