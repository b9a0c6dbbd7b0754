"""The cluster agent among scripted control servers and parents, in simulated time."""

import asyncio

import pytest
from dataplane.agent_world import APPLY_S, CALM_S, Source, World, control_server_address, play, receiver, settings
from scripted.clock import run


def test_started_agent_has_contact_state_and_receivers():
    async def scene(world):
        return world.agent.has_control_plane_contact, world.states, world.drained

    assert play(scene) == (True, [1], [[False]])


def test_sender_count_is_reported_on_change_but_not_for_a_newly_started_control_server():
    async def scene(world):
        await asyncio.sleep(5.0)
        world.control_server(2).senders = 1
        await asyncio.sleep(5.0)
        for server in world.control_servers:
            server.senders = 6
        await asyncio.sleep(5.0)
        for server in world.control_servers:
            server.senders = 5
        await asyncio.sleep(5.0)
        return world.counts

    assert play(scene) == [4, 6, 5]


def test_idle_agent_renews_five_times_per_apply_time_and_watches_once_a_second():
    async def scene(world):
        await asyncio.sleep(1.0)
        began_s = world.now_s
        await asyncio.sleep(CALM_S)
        return world.count("lease.renew", began_s), world.count("relay.watch", began_s), world.own_readings

    renewals, watches, readings = play(scene)
    assert renewals <= 1.1 * CALM_S / (APPLY_S / 5)
    assert watches <= 1.1 * CALM_S
    assert readings == []


def test_change_is_pushed_at_once():
    async def scene(world):
        await asyncio.sleep(1.0)
        for server in world.control_servers:
            server.set_version(2)
        return await world.until(lambda: world.states[-1] == 2)

    assert play(scene) < 0.05


@pytest.mark.parametrize("knows", [1, 2, 3])
def test_change_known_to_one_control_server_is_in_force_in_time(knows):
    async def scene(world):
        await asyncio.sleep(1.0)
        world.control_server(knows).set_version(2)
        return await world.until(lambda: world.states[-1] == 2)

    assert play(scene) < APPLY_S / 1.5


@pytest.mark.parametrize("fault", ["up", "frozen"])
@pytest.mark.parametrize("lost", [1, 2, 3])
def test_change_is_in_force_in_time_while_one_control_server_is_lost_and_one_is_stale(lost, fault):
    async def scene(world):
        await asyncio.sleep(1.0)
        setattr(world.control_server(lost), fault, fault == "frozen")
        world.control_server(1 + lost % 3).set_version(2)
        return await world.until(lambda: world.states[-1] == 2)

    assert play(scene) < APPLY_S


def test_silent_parent_delays_a_change_no_longer_than_the_renewals():
    async def scene(world):
        parent = world.add_parent()
        await asyncio.sleep(1.0)
        parent.frozen = True
        for server in world.control_servers:
            server.set_version(2)
        return await world.until(lambda: world.states[-1] == 2)

    assert play(scene) < APPLY_S / 2


def test_parent_without_updates_does_not_delay_a_change():
    """Two senders may be named each other's parent by different control servers: the renewals tell them what they
    lack."""

    async def scene(world):
        world.add_parent()
        await asyncio.sleep(1.0)
        for server in world.control_servers:
            server.set_version(2)
            server.read(receiver(draining=True))
        return await world.until(lambda: world.states[-1] == 2 and world.drained[-1] == [True])

    assert play(scene) < APPLY_S / 2


def test_stale_control_server_does_not_revert_the_state():
    async def scene(world):
        world.control_server(2).set_version(5)
        await world.until(lambda: world.states[-1] == 5)
        await asyncio.sleep(5.0)
        return world.states

    states = play(scene)
    assert states == sorted(set(states))


def test_sender_started_next_to_a_stale_control_server_has_the_newest_state_in_time():
    async def scene(world):
        return await world.until(lambda: world.states[-1] == 9)

    async def begin():
        world = World()
        for number in (2, 3):
            world.control_server(number).set_version(9)
        world.control_server(1).names = [control_server_address(1)]
        world.agent.start()
        await world.until(lambda: world.states)
        took_s = await scene(world)
        await world.agent.stop()
        return took_s

    assert run(begin()) < APPLY_S


def test_partitioned_control_server_does_not_make_the_sender_forget_the_others():
    """The seeds are gone by now; the sender knows the present control servers from answers alone."""

    async def scene(world):
        await world.until(lambda: {4, 5} <= {int(address.split(".")[3].split(":")[0]) for _, address, _ in world.calls})
        for number in (1, 2, 3):
            world.control_server(number).up = number == 3
        world.control_server(3).names = [control_server_address(3)]
        await asyncio.sleep(8.0)
        world.control_server(4).set_version(2)
        world.control_server(5).set_version(2)
        return await world.until(lambda: world.states[-1] == 2)

    assert play(scene, control_servers=5) < APPLY_S


def test_new_seeds_are_asked_after_a_change_of_settings():
    async def scene(world):
        for number in (1, 2, 3):
            world.control_server(number).up = False
        world.sources[control_server_address(7)] = Source(world, control_server_address(7))
        world.sources[control_server_address(7)].set_version(2)
        world.agent.apply_settings(settings(seeds=(7,)))
        return await world.until(lambda: world.states[-1] == 2)

    assert play(scene) < APPLY_S


def test_failing_control_servers_are_not_asked_without_a_pause():
    async def scene(world):
        for server in world.control_servers:
            server.up = False
        began_s = world.now_s
        await asyncio.sleep(10.0)
        return world.count("lease.renew", began_s)

    assert play(scene) <= 10.0 / (APPLY_S / 5 / 8)


def test_update_is_relayed_to_children_at_once():
    async def scene(world):
        await asyncio.sleep(1.0)
        version = {"state_version": 1, "receivers_version": world.agent.directory.version}
        child = asyncio.ensure_future(world.agent.handlers["relay.watch"]({"wait": True, **version}))
        await asyncio.sleep(0.01)
        for server in world.control_servers:
            server.set_version(2)
        began_s = world.now_s
        news = await child
        return news["state"]["version"], world.now_s - began_s

    version, took_s = play(scene)
    assert version == 2 and took_s < 0.05


def test_failing_callback_does_not_end_the_agent():
    async def scene(world):
        def fail(state):
            world.on_state = lambda state: world.states.append(state["version"])
            raise ZeroDivisionError("a fault of the callback")

        world.on_state = fail
        for server in world.control_servers:
            server.set_version(2)
        await asyncio.sleep(2.0)
        for server in world.control_servers:
            server.set_version(3)
        return await world.until(lambda: world.states[-1] == 3)

    assert play(scene) < APPLY_S


def test_stop_releases_the_lease_at_all_control_servers():
    async def scene(world):
        await asyncio.sleep(2.0)
        await world.agent.stop()
        return {address for _, address, kind in world.calls if kind == "lease.release"}

    assert play(scene) == {control_server_address(number) for number in (1, 2, 3)}
