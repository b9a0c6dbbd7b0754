"""A crowd of clients that continue long conversations: each short request makes a sender read a long history."""

import http.client
import random
import secrets
import time

import pytest
from crowds import behaviours
from crowds.behaviours import Conversation
from crowds.small_tier import MAX_BODY_BYTES, ORDINARY_TIMEOUT_S, RETRY_DELAY_S, play_crowd

from dewpin.standin.client import ClientRequest, send
from dewpin.standin.sample_configuration import HOST, STREAM_PATH

pytestmark = pytest.mark.crowd

CLIENTS = 100
CONVERSATIONS = 20
SEED = 88


def store_conversation(address, body):
    """Store a conversation of one long turn; the request is repeated until it is served."""
    program = secrets.token_hex(8)
    ends_s = time.monotonic() + ORDINARY_TIMEOUT_S
    while time.monotonic() < ends_s:
        request = ClientRequest(HOST, f"{STREAM_PATH}a", body, fields={"Program": program, "Connection": "close"})
        try:
            response = send(address, request)
        except (OSError, http.client.HTTPException):
            continue
        if response.is_served:
            return Conversation(program, response.request_id)
        time.sleep(RETRY_DELAY_S)
    raise AssertionError("no conversation was stored")


@pytest.mark.parametrize("role", ["sender", "control_server"])
def test_crowd_of_turns_that_continue_long_conversations(small_tier, role):
    machine = small_tier.sender if role == "sender" else small_tier.tier.control_servers[0]
    address = small_tier.sender.client_address
    source = random.Random(SEED)
    bodies = (source.randbytes(MAX_BODY_BYTES // 2).hex().encode() for _ in range(CONVERSATIONS))
    conversations = [store_conversation(address, body) for body in bodies]
    play_crowd(small_tier, machine, address, CLIENTS, behaviours.later_turns(conversations, b"next"))
    small_tier.put_configuration(generation=2, base=1)
    store_conversation(address, b"after the crowd")
