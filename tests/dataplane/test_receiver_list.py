"""How the cluster agent keeps its list of receivers current, from control servers and from the platform."""

import asyncio
import dataclasses

from dataplane.agent_world import DRAIN_S, play, receiver, settings

from dewpin.cluster.receivers import ReceiverDirectory


def test_list_is_read_at_the_new_address_of_the_platform():
    async def scene(world):
        changed = settings()
        cloud = dataclasses.replace(changed.cloud, address="10.8.0.2:80")
        world.agent.apply_settings(dataclasses.replace(changed, cloud=cloud))
        for server in world.control_servers:
            server.up = False
        await world.until(lambda: world.own_readings)
        return world.own_readings[0][1]

    assert play(scene) == "10.8.0.2:80"


def test_draining_receiver_is_known_in_time_without_control_servers():
    async def scene(world):
        await asyncio.sleep(1.0)
        for server in world.control_servers:
            server.up = False
        world.platform = [receiver(draining=True)]
        return await world.until(lambda: world.drained[-1] == [True])

    assert play(scene) < 0.9 * DRAIN_S


def test_draining_receiver_is_known_in_time_despite_stale_lists_of_control_servers():
    async def scene(world):
        await asyncio.sleep(1.0)
        for server in world.control_servers:
            server.read_s = world.now_s
        world.platform = [receiver(draining=True)]
        return await world.until(lambda: world.drained[-1] == [True])

    assert play(scene) < 0.9 * DRAIN_S


def test_age_of_a_list_of_another_version_is_ignored():
    """A control server whose directory is older than the sender's reads on, without the ends that the sender lacks."""

    async def scene(world):
        for server in world.control_servers:
            server.read(receiver(), receiver(receiver_id="i-2"), reader="z")
        await world.until(lambda: world.drained[-1] == [False, False])
        for server in world.control_servers:
            server.directory = ReceiverDirectory()
            server.directory.apply_listing([receiver()], "a")
        await asyncio.sleep(DRAIN_S)
        return world.agent.receiver_list_age_s(), len(world.own_readings)

    age_s, readings = play(scene)
    assert readings >= 1 and age_s < DRAIN_S


def test_children_get_the_age_of_the_shared_list_only():
    async def scene(world):
        await asyncio.sleep(1.0)
        for server in world.control_servers:
            server.read_s = world.now_s
        await asyncio.sleep(5.0)
        version = {"state_version": 1, "receivers_version": world.agent.directory.version}
        news = await world.agent.handlers["relay.watch"]({"type": "relay.watch", "wait": True, **version})
        return news["list_age_s"], world.agent.receiver_list_age_s()

    shared_s, own_s = play(scene)
    assert shared_s > 5.0
    assert own_s < DRAIN_S


def test_own_readings_of_many_senders_respect_the_rate_limit_of_the_platform():
    async def scene(world):
        for server in world.control_servers:
            server.up = False
        await asyncio.sleep(20.0)
        return len(world.own_readings)

    assert play(scene, rate_per_s=2.0) <= 20.0 * 0.5 * 2.0 / 4 + 1


def test_unavailable_platform_is_asked_again():
    async def scene(world):
        for server in world.control_servers:
            server.up = False
        world.platform_down = True
        await asyncio.sleep(6.0)
        world.platform_down = False
        world.platform = [receiver(draining=True)]
        await world.until(lambda: world.drained[-1] == [True])
        return len(world.own_readings)

    assert 3 <= play(scene) <= 9
