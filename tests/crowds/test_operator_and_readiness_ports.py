"""Crowds at the ports of the tier's processes for operators and for the platform."""

import itertools
import random

import pytest
from crowds import behaviours
from crowds.behaviours import PIECE_BYTES, chunked_head, length_head, long_head
from crowds.small_tier import CONFIGURATION_PATH, MAX_CONFIGURATION_BYTES, MAX_DESCRIPTORS, play_crowd

pytestmark = pytest.mark.crowd

CLIENTS = 30
SEED = 88
BODY = random.Random(SEED).randbytes(MAX_CONFIGURATION_BYTES)
NUMBERS = b"[" + b"0," * (MAX_CONFIGURATION_BYTES // 2 - 2) + b"0]"
NESTED = b"[" + b"[]," * (MAX_CONFIGURATION_BYTES // 3 - 1) + b"0]"


OPERATOR_REQUESTS = {
    "whole": lambda: behaviours.incomplete(length_head(len(BODY), path=CONFIGURATION_PATH) + BODY),
    "whole_json": lambda: behaviours.incomplete(length_head(len(NUMBERS), path=CONFIGURATION_PATH) + NUMBERS),
    "whole_nested_json": lambda: behaviours.incomplete(length_head(len(NESTED), path=CONFIGURATION_PATH) + NESTED),
    "one_byte_short": lambda: behaviours.one_byte_short(BODY, path=CONFIGURATION_PATH),
    "chunks_short": lambda: behaviours.chunks_without_end(BODY, itertools.repeat(PIECE_BYTES), CONFIGURATION_PATH),
    "one_byte_chunks": lambda: behaviours.chunks_without_end(
        BODY[: MAX_CONFIGURATION_BYTES // 8], itertools.repeat(1), CONFIGURATION_PATH
    ),
    "long_chunk_size": lambda: behaviours.endless(chunked_head(CONFIGURATION_PATH), b"0" * PIECE_BYTES),
    "long_head": lambda: behaviours.incomplete(long_head()),
}


@pytest.mark.parametrize("name", OPERATOR_REQUESTS)
def test_crowd_at_the_operator_port(small_tier, name):
    control_server = small_tier.tier.control_servers[0]
    play_crowd(small_tier, control_server, control_server.operator_address, CLIENTS, OPERATOR_REQUESTS[name]())
    small_tier.put_configuration(generation=2, base=1)


def test_crowd_of_connections_at_the_operator_port(small_tier):
    control_server = small_tier.tier.control_servers[0]
    behaviour = behaviours.incomplete(b"")
    play_crowd(small_tier, control_server, control_server.operator_address, 2 * MAX_DESCRIPTORS, behaviour)
    small_tier.put_configuration(generation=2, base=1)


READINESS_REQUESTS = {
    "long_head": (CLIENTS, long_head),
    "silent": (2 * MAX_DESCRIPTORS, lambda: b""),
}


@pytest.mark.parametrize("name", READINESS_REQUESTS)
def test_crowd_at_the_readiness_port(small_tier, name):
    client_count, data = READINESS_REQUESTS[name]
    sender = small_tier.sender
    play_crowd(small_tier, sender, sender.readiness_address, client_count, behaviours.incomplete(data()))
    small_tier.tier.wait_until_ready()
