"""Datagrams between peers, byte for byte as recorded at commit c8a68c2."""

import random

import pytest

from dewpin.peers.lease_messages import (
    LeaseFreed,
    LeaseRelease,
    LeaseReply,
    LeaseRequest,
    RecoveryReply,
    RecoveryRequest,
)
from dewpin.peers.membership_messages import (
    Ack,
    MemberRecord,
    MemberState,
    Nack,
    Ping,
    PingRequest,
    SyncPage,
    SyncRequest,
)
from dewpin.peers.wire import MAX_DATAGRAM_BYTES, decode_datagram, encode_datagram

SUSPECTED = MemberRecord("m1", "10.0.0.1", 7001, 1764690000000, 2, MemberState.SUSPECT, "m2")
ALIVE = MemberRecord("m3", "::1", 7003, 5, 0, MemberState.ALIVE)
# recorded at commit c8a68c2 with `dewpin.peers.wire.pack("sender-1", message)`, all fields in declaration order
DATAGRAMS = [
    (
        LeaseRequest("list-keeper", 12, 3, 4000000000, 9),
        "9301a873656e6465722d3186a474797065a361736ba464757479ab6c6973742d6b6565706572a66e756d6265720ca5726f756e6403"
        "a46c696665ceee6b2800a5686561726409",
    ),
    (
        LeaseRequest("d", 12, 3, 1),
        "9301a873656e6465722d3186a474797065a361736ba464757479a164a66e756d6265720ca5726f756e6403a46c69666501a56865617264"
        "00",
    ),
    (
        LeaseReply("list-keeper", 3, False, 12, 250.5),
        "9301a873656e6465722d3186a474797065a6616e73776572a464757479ab6c6973742d6b6565706572a5726f756e6403a76772616e7465"
        "64c2a47365656e0ca7776169745f6d73cb406f500000000000",
    ),
    (
        LeaseRelease("d", 12, 77),
        "9301a873656e6465722d3184a474797065a772656c65617365a464757479a164a66e756d6265720ca46c6966654d",
    ),
    (LeaseFreed("d"), "9301a873656e6465722d3182a474797065a466726565a464757479a164"),
    (RecoveryRequest(0), "9301a873656e6465722d3182a474797065a6726563616c6ca5726f756e6400"),
    (
        RecoveryReply(0, {"d": 12, "list-keeper": 3}),
        "9301a873656e6465722d3183a474797065a8726563616c6c6564a5726f756e6400a47365656e82a1640cab6c6973742d6b656570657203",
    ),
    (
        Ping(7, (SUSPECTED, ALIVE)),
        "9301a873656e6465722d3183a474797065a470696e67a373657107a46e6577739297a26d31a831302e302e302e31cd1b59cf0000019adf"
        "b878800201a26d3297a26d33a33a3a31cd1b5b050000a0",
    ),
    (
        Ack(7, (ALIVE,)),
        "9301a873656e6465722d3183a474797065a361636ba373657107a46e6577739197a26d33a33a3a31cd1b5b050000a0",
    ),
    (
        PingRequest(8, "m3", "::1", 7003, (SUSPECTED,)),
        "9301a873656e6465722d3186a474797065a3747279a373657108a46e616d65a26d33a4686f7374a33a3a31a4706f7274cd1b5ba46e6577"
        "739197a26d31a831302e302e302e31cd1b59cf0000019adfb878800201a26d32",
    ),
    (Nack(8), "9301a873656e6465722d3182a474797065a46e61636ba373657108"),
    (
        SyncRequest("m1", 123456789, ALIVE),
        "9301a873656e6465722d3184a474797065a470756c6ca56166746572a26d31a6646967657374ce075bcd15a26d6597a26d33a33a3a31cd"
        "1b5b050000a0",
    ),
    (
        SyncPage((SUSPECTED, ALIVE), True),
        "9301a873656e6465722d3183a474797065a470616765a7656e74726965739297a26d31a831302e302e302e31cd1b59cf0000019adfb878"
        "800201a26d3297a26d33a33a3a31cd1b5b050000a0a46d6f7265c3",
    ),
]


@pytest.mark.parametrize("message, recorded", DATAGRAMS, ids=lambda value: type(value).__name__)
def test_message_encodes_to_the_recorded_bytes_and_decodes_from_them(message, recorded):
    content = bytes.fromhex(recorded)
    assert encode_datagram("sender-1", message) == content
    datagram = decode_datagram(content)
    assert datagram.name == "sender-1" and datagram.message == message


def test_malformed_datagrams_decode_to_none():
    content = encode_datagram("a", LeaseReply("d", 3, True, 9, 0.0))
    rng = random.Random(3)
    for _ in range(300):
        corrupted = bytearray(content)
        corrupted[rng.randrange(len(corrupted))] = rng.randrange(256)
        decode_datagram(bytes(corrupted[: rng.randrange(len(corrupted) + 1)]))
    assert decode_datagram(b"") is None and decode_datagram(content[:-1]) is None
    assert decode_datagram(b"x" * (MAX_DATAGRAM_BYTES + 1)) is None
    assert decode_datagram(content.replace(b"\x01", b"\x02", 1)) is None  # another version
    with pytest.raises(ValueError):
        encode_datagram("a" * 2000, LeaseReply("d", 3, True, 9, 0.0))
