"""Crowds at all ports of a process at the same time: what they hold together stays inside one budget."""

import random

import pytest
from crowds import behaviours
from crowds.crowd import Crowd
from crowds.small_tier import CONFIGURATION_PATH, MAX_BODY_BYTES, MAX_CONFIGURATION_BYTES, MAX_FRAME_BYTES, play_crowds

from dewpin.standin.addresses import FIRST_INTERNAL_PORT

pytestmark = pytest.mark.crowd

FRONT_CLIENTS = 100
OTHER_CLIENTS = 30
SEED = 88
BODY = random.Random(SEED).randbytes(MAX_BODY_BYTES)
CONFIGURATION = random.Random(SEED).randbytes(MAX_CONFIGURATION_BYTES)
FRAME_SHORT = b"%d:" % MAX_FRAME_BYTES + bytes(MAX_FRAME_BYTES)


@pytest.mark.parametrize(
    "front_behaviour",
    [behaviours.whole_bodies(BODY), behaviours.one_byte_short(BODY), behaviours.turns(BODY)],
    ids=["whole", "one_byte_short", "turns"],
)
def test_crowds_at_all_ports_of_a_sender(small_tier, front_behaviour):
    sender = small_tier.sender
    internal_address = f"{sender.ip}:{FIRST_INTERNAL_PORT + 1}"
    crowds = [
        Crowd(sender.client_address, FRONT_CLIENTS, front_behaviour),
        Crowd(internal_address, OTHER_CLIENTS, behaviours.incomplete(FRAME_SHORT)),
        Crowd(sender.readiness_address, OTHER_CLIENTS, behaviours.incomplete(behaviours.long_head())),
    ]
    play_crowds(small_tier, sender, crowds)
    small_tier.tier.wait_until_ready()


def test_crowds_at_all_ports_of_a_control_server(small_tier):
    control_server = small_tier.tier.control_servers[0]
    internal_address = f"{control_server.ip}:{FIRST_INTERNAL_PORT}"
    operator_behaviour = behaviours.one_byte_short(CONFIGURATION, path=CONFIGURATION_PATH)
    crowds = [
        Crowd(control_server.operator_address, OTHER_CLIENTS, operator_behaviour),
        Crowd(internal_address, OTHER_CLIENTS, behaviours.incomplete(FRAME_SHORT)),
    ]
    play_crowds(small_tier, control_server, crowds)
    small_tier.put_configuration(generation=2, base=1)
