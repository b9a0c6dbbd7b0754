"""Crowds at the ports of the tier's processes for each other."""

import zlib

import pytest
from crowds import behaviours
from crowds.small_tier import MAX_DESCRIPTORS, MAX_FRAME_BYTES, play_crowd

from dewpin.cluster.compression import COMPRESSION_LEVEL, WINDOW_BITS
from dewpin.standin.addresses import FIRST_INTERNAL_PORT

pytestmark = pytest.mark.crowd

CLIENTS = 30
LONG_TYPE_BYTES = 1_000_000
NESTED_BEGIN, NESTED_END = b'{"v":1,"n":1,"m":{"type":"nested","a":[', b"0]}}"
NESTED = NESTED_BEGIN + b"[]," * ((MAX_FRAME_BYTES - len(NESTED_BEGIN + NESTED_END)) // 3) + NESTED_END


def _netstring(payload):
    return b"%d:%b," % (len(payload), payload)


def _compressed(frame):
    compressor = zlib.compressobj(COMPRESSION_LEVEL, zlib.DEFLATED, WINDOW_BITS)
    return compressor.compress(frame) + compressor.flush(zlib.Z_SYNC_FLUSH)


def _request_with_long_type(number):
    return _netstring(b'{"v":1,"n":%d,"m":{"type":"%b"}}' % (number, b"a" * LONG_TYPE_BYTES))


INTERNAL_MESSAGES = {
    "frame_short": lambda: behaviours.incomplete(_netstring(bytes(MAX_FRAME_BYTES))[:-1]),
    "compressed_frame_short": lambda: behaviours.incomplete(_compressed(_netstring(bytes(MAX_FRAME_BYTES))[:-1])),
    "nested_json": lambda: behaviours.incomplete(_netstring(NESTED)),
    "unread_replies": lambda: behaviours.unread(b"".join(map(_request_with_long_type, range(16)))),
    "silent": lambda: behaviours.incomplete(b""),
}


@pytest.mark.parametrize("role", ["sender", "control_server"])
@pytest.mark.parametrize("name", INTERNAL_MESSAGES)
def test_crowd_at_the_internal_port(small_tier, name, role):
    is_sender = role == "sender"
    machine = small_tier.sender if is_sender else small_tier.tier.control_servers[0]
    address = f"{machine.ip}:{FIRST_INTERNAL_PORT + is_sender}"
    client_count = 2 * MAX_DESCRIPTORS if name == "silent" else CLIENTS
    play_crowd(small_tier, machine, address, client_count, INTERNAL_MESSAGES[name]())
    small_tier.put_configuration(generation=2, base=1)
