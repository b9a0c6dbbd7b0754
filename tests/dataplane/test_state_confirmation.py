"""What the cluster agent considers confirmed, and which age it gives to a list of receivers."""

import asyncio

from dataplane.agent_world import APPLY_S, World, control_server_address, play, receiver
from scripted.clock import run

from dewpin.cluster.relay_service import WATCH_HEARTBEAT_S


def test_copy_replaces_own_reading_together_with_its_age():
    async def scene(world):
        await asyncio.sleep(1.0)
        for server in world.control_servers:
            server.up = False
        world.platform_down = False
        await world.until(lambda: world.own_readings)
        read_s = world.now_s - 1.5
        world.platform_down = True
        for server in world.control_servers:
            server.read_s = read_s
            server.read(receiver(), receiver(receiver_id="i-2"))
            server.up = True
        await world.until(lambda: len(world.drained[-1]) == 2)
        return world.agent.receiver_list_age_s() - (world.now_s - read_s)

    assert play(scene) >= -1e-6


def test_received_age_counts_from_the_time_of_the_request():
    async def scene(world):
        await asyncio.sleep(1.0)
        for server in world.control_servers:
            server.latency_s = 0.3
        await asyncio.sleep(3.0)
        ages_s = []
        for _ in range(300):
            await asyncio.sleep(0.01)
            ages_s.append(world.agent.receiver_list_age_s())
        return min(ages_s)

    assert play(scene) >= 0.1 + 0.3


async def is_confirmed_soon(world):
    """Starts the agent; whether a majority has confirmed its state three seconds after it knows server."""
    world.agent.start()
    await world.until(lambda: world.states)
    await asyncio.sleep(3.0)
    confirmed = world.agent.confirmation.is_confirmed
    await world.agent.stop()
    return confirmed


def test_state_older_than_the_granted_version_is_not_confirmed():
    async def begin():
        world = World()
        for server in world.control_servers:
            server.told_version, server.news_age_s = 9, 60.0
        return await is_confirmed_soon(world)

    assert run(begin()) is False


def test_control_server_without_majority_is_not_flooded_and_used_again_at_once():
    """The others are gone: all senders are left with this one, and ask it little more often than in calm times."""

    async def scene(world):
        await asyncio.sleep(1.0)
        for number in (1, 2):
            world.control_server(number).up = False
        world.control_server(3).refuses = True
        began_s = world.now_s
        await asyncio.sleep(20.0)
        asked = sum(1 for at_s, address, _ in world.calls if address == control_server_address(3) and at_s >= began_s)
        assert world.agent.has_control_plane_contact
        world.control_server(3).refuses = False
        world.control_server(3).set_version(2)
        return asked / 20.0, await world.until(lambda: world.states[-1] == 2)

    asked_per_s, took_s = play(scene)
    assert asked_per_s <= 1.5 * (5 / APPLY_S + 1.0 / WATCH_HEARTBEAT_S)
    assert took_s < APPLY_S / 2


def test_update_without_an_age_confirms_nothing():
    """As earlier releases answer."""

    async def begin():
        world = World()
        parent = world.add_parent()
        parent.news_age_s = None
        for server in world.control_servers:
            server.refuses = True
        world.agent.knowledge.sources.set_parents([parent.address])
        return await is_confirmed_soon(world)

    assert run(begin()) is False
