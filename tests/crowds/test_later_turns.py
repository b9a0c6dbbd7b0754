"""A crowd of clients that continue long conversations: each short request makes a sender read a long history."""

import random
import secrets

import pytest
from crowds import behaviours
from crowds.behaviours import Conversation
from crowds.small_tier import MAX_BODY_BYTES, play_crowd

from dewpin.standin.client import ClientRequest
from dewpin.standin.sample_configuration import HOST, STREAM_PATH

pytestmark = pytest.mark.crowd

CLIENTS = 100
SEED = 88


def store_conversation(small_tier, bodies):
    """Store a conversation with a turn for each body."""
    program = secrets.token_hex(8)
    last_turn = None
    for body in bodies:
        fields = {"Program": program, "Connection": "close"}
        if last_turn is not None:
            fields["Previous"] = last_turn
        last_turn = small_tier.serve(ClientRequest(HOST, f"{STREAM_PATH}a", body, fields=fields)).request_id
    return Conversation(program, last_turn)


def long_body(source):
    return source.randbytes(MAX_BODY_BYTES // 2).hex().encode()


@pytest.mark.parametrize("role", ["sender", "control_server"])
@pytest.mark.parametrize(("conversation_count", "turn_count"), [(20, 1), (6, 4)])
def test_crowd_of_turns_that_continue_long_conversations(small_tier, role, conversation_count, turn_count):
    machine = small_tier.sender if role == "sender" else small_tier.tier.control_servers[0]
    address = small_tier.sender.client_address
    source = random.Random(SEED)
    conversations = [
        store_conversation(small_tier, [long_body(source) for _ in range(turn_count)])
        for _ in range(conversation_count)
    ]
    play_crowd(small_tier, machine, address, CLIENTS, behaviours.later_turns(conversations, b"next"))
    small_tier.put_configuration(generation=2, base=1)
    store_conversation(small_tier, [b"after the crowd"])
