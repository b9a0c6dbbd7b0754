"""Several control plane processes together, over a network and disks in memory. The clock jumps."""

import asyncio

import pytest
from controlplane.control_server_world import (
    APPLY_S,
    CATCH_UP_S,
    DRAIN_S,
    drain,
    drain_known,
    listed,
    play,
    reader_of,
    renewal,
    shows_drain,
)

from dewpin.cluster.errors import ErrorKind
from dewpin.cluster.relay_service import WATCH_HEARTBEAT_S
from dewpin.cluster.rpc import RpcError
from dewpin.controlplane.membership.heartbeat import HEARTBEAT_PERIOD_S
from dewpin.controlplane.register.proposer import RegisterUnavailableError
from dewpin.controlplane.register.system_state import start_retirement


def test_the_seeds_begin_together_and_take_the_first_stores():
    async def scene(world):
        return world.is_whole(1, 2, 3)

    assert play(scene)


def test_a_configuration_reaches_the_other_control_servers_at_once():
    async def scene(world):
        await world.put(1, 7, 0)
        return await world.until(lambda: [world.generation(number) for number in (1, 2, 3)] == [7, 7, 7])

    assert play(scene) < 0.1


def test_a_configuration_is_told_on_although_the_control_server_that_acknowledged_it_dies_right_after():
    async def scene(world):
        await world.put(1, 7, 0)
        await world.kill(1)
        assert world.generation(2) == world.generation(3) == 0
        return await world.until(lambda: world.generation(2) == world.generation(3) == 7)

    assert play(scene) < APPLY_S / 2


def test_everything_is_there_after_all_control_servers_were_killed_right_after_an_acknowledgement():
    async def scene(world):
        await world.put(2, 7, 0)
        await world.kill(1, 2, 3)
        for number in (1, 2, 3):
            await world.start(number)
        return await world.until(lambda: all(world.generation(number) == 7 for number in (1, 2, 3)))

    assert play(scene) < 1.5


def test_a_control_server_restarted_alone_with_an_old_state_tells_nobody():
    async def scene(world):
        await world.put(1, 7, 0)
        await world.until(lambda: world.generation(3) == 7)
        await world.kill(3)
        await world.put(1, 8, 7)
        await world.start(3)
        world.network.cut(world.address(3))
        await asyncio.sleep(3.0)
        with pytest.raises(RpcError, match=ErrorKind.NO_QUORUM):
            await world.control_servers[3].handlers["lease.renew"](renewal())
        world.network.join()
        return await world.until(lambda: world.generation(3) == 8)

    assert play(scene) < 1.0


def test_either_side_of_a_cut_may_be_asked_and_only_the_greater_one_acknowledges():
    async def scene(world):
        world.network.cut(world.address(1))
        with pytest.raises(RegisterUnavailableError):
            await world.put(1, 7, 0)
        await world.put(2, 8, 0)
        world.network.join()
        await world.until(lambda: world.generation(1) == 8)
        return world.generation(2), world.generation(3)

    assert play(scene) == (8, 8)


@pytest.mark.parametrize("number", [1, 2, 3])
def test_a_wiped_control_server_is_a_full_member_and_store_again_in_time(number):
    async def scene(world):
        await world.put(1, 7, 0)
        await world.kill(number)
        await asyncio.sleep(1.0)
        await world.start(number, wiped=True)
        took_s = await world.until(lambda: world.is_whole(1, 2, 3))
        other = 1 + number % 3
        await world.kill(other)
        survivor = ({1, 2, 3} - {other}).pop()
        await world.put(survivor, 8, 7)
        return took_s

    assert play(scene) < CATCH_UP_S / 2


@pytest.mark.parametrize("name", [None, "store-3"])
def test_a_machine_replaced_at_another_address_is_out_and_its_successor_in_in_time(name):
    async def scene(world):
        await world.kill(3)
        await asyncio.sleep(1.0)
        await world.start(4, name=name)
        return await world.until(lambda: world.is_whole(1, 2, 4))

    assert play(scene) < CATCH_UP_S / 2


@pytest.mark.parametrize("name", [None, "store-3"])
def test_a_planned_replacement_is_whole_in_time(name):
    async def scene(world):
        await asyncio.sleep(5.0)
        await world.start(4, name=name)
        await asyncio.sleep(1.0)
        world.control_servers[3].leave()
        await asyncio.sleep(0.3)
        await world.kill(3)
        return await world.until(lambda: world.is_whole(1, 2, 4))

    assert play(scene) < CATCH_UP_S / 2


def test_a_retired_machine_is_done_soon_and_another_may_be_wiped_right_after():
    async def scene(world):
        await world.until(lambda: world.stores() == [world.address(number) for number in (1, 2, 3, 4)])
        await world.control_servers[1].register.propose(start_retirement("store-2", 3), 0.85)
        took_s = await world.until(lambda: world.newest()["retired"] == ["store-2"])
        assert world.is_whole(1, 3, 4)
        await world.kill(2, 3)
        await asyncio.sleep(1.0)
        await world.start(3, wiped=True)
        await world.until(lambda: world.is_whole(1, 3, 4))
        return took_s

    async def with_a_fourth(world):
        await world.start(4)
        return await scene(world)

    assert play(with_a_fourth) < 2.0


def test_a_store_added_takes_part_and_a_frozen_control_server_is_back_where_it_was():
    async def scene(world):
        world.network.down.add(world.address(2))
        await asyncio.sleep(5.0)
        world.network.down.clear()
        await asyncio.sleep(1.0)
        assert world.is_whole(1, 2, 3)
        await world.start(4)
        return await world.until(lambda: len(world.stores()) == 4)

    assert play(scene) < 2.0


def test_new_seeds_are_greeted_at_once():
    async def scene(world):
        control_server = world.control_servers[1]
        world.seeds = (9,)
        control_server.apply_settings(world.settings(1, False))
        await asyncio.sleep(0.01)
        return (world.address(1), world.address(9), "keeper.hello") in world.network.calls

    assert play(scene)


@pytest.mark.parametrize("trouble", ["none", "kill", "freeze", "cut", "cut_from_platform"])
def test_a_drain_is_known_everywhere_in_time_whatever_happens_to_the_reader(trouble):
    async def scene(world):
        await listed(world)
        reader = reader_of(world)
        others = [number for number in (1, 2, 3) if number != reader]
        if trouble == "kill":
            await world.kill(reader)
        if trouble == "freeze":
            world.network.down.add(world.address(reader))
            world.cut_from_platform.add(reader)
        if trouble == "cut":
            world.network.cut(world.address(reader))
        if trouble == "cut_from_platform":
            world.cut_from_platform.add(reader)
        drain(world)
        return await drain_known(world, others)

    assert play(scene) < 0.75 * DRAIN_S


def test_after_a_cut_both_sides_know_every_end_that_either_read():
    async def scene(world):
        await listed(world)
        world.network.cut(world.address(1))
        await asyncio.sleep(1.0)
        drain(world)
        world.cut_from_platform = {2, 3}
        await world.until(lambda: shows_drain(world, 1))
        world.platform_down = True
        world.network.join()
        return await drain_known(world, (2, 3))

    assert play(scene) < 1.0


def test_one_process_reads_the_list_in_calm_times():
    async def scene(world):
        await listed(world)
        await asyncio.sleep(1.0)
        world.readings.clear()
        await asyncio.sleep(10.0)
        return len({host for _, host in world.readings}), len(world.readings)

    readers, readings = play(scene)
    assert readers == 1
    assert readings <= 10.0 / (DRAIN_S / 4) + 1


def test_the_duty_passes_on_from_readers_that_the_platform_does_not_answer():
    async def scene(world):
        await listed(world)
        await asyncio.sleep(1.0)
        oldest_s = []
        for _ in range(3):
            world.cut_from_platform = {reader_of(world)}
            await asyncio.sleep(3.0)
            ages_s = []
            for _ in range(100):
                await asyncio.sleep(0.05)
                ages_s += [control_server.list_reader.age_s() for control_server in world.control_servers.values()]
            oldest_s.append(max(ages_s))
        return oldest_s

    assert max(play(scene)) < DRAIN_S / 2


def test_senders_with_versions_from_before_a_restart_of_every_control_server_get_newer_ones():
    async def scene(world):
        await listed(world)
        await world.control_servers[1].handlers["lease.renew"](renewal(version=(40, "z")))
        await world.until(lambda: world.control_servers[1].list_reader.directory.version.counter > 40)

    play(scene)


def test_a_watch_answers_with_the_next_news_and_after_a_heartbeat_without():
    async def scene(world):
        await listed(world)
        await asyncio.sleep(2.0)
        control_server, clock = world.control_servers[2], asyncio.get_running_loop().time
        versions = {
            "state_version": world.newest()["version"],
            "receivers_version": control_server.list_reader.directory.version,
        }
        began_s = clock()
        watch = asyncio.ensure_future(control_server.handlers["relay.watch"]({**versions, "wait": True}))
        await asyncio.sleep(0.1)
        await world.put(1, 7, 0)
        news = await watch
        assert news["state"]["configuration"]["generation"] == 7 and clock() - began_s < 0.2
        began_s = clock()
        versions = {
            "state_version": news["state"]["version"],
            "receivers_version": control_server.list_reader.directory.version,
        }
        quiet = await control_server.handlers["relay.watch"]({**versions, "wait": True})
        assert "state" not in quiet and "receivers" not in quiet
        return clock() - began_s

    assert play(scene) == pytest.approx(WATCH_HEARTBEAT_S)


def test_heartbeats_and_nothing_else_are_sent_in_calm_times():
    async def scene(world):
        await world.put(1, 7, 0)
        await listed(world)
        await asyncio.sleep(3.0)
        world.network.calls.clear()
        await asyncio.sleep(10.0)
        return {kind for _, _, kind in world.network.calls}, len(world.network.calls)

    kinds, calls = play(scene)
    assert kinds == {"keeper.hello"}
    assert calls <= 6 * 10.0 / HEARTBEAT_PERIOD_S * 1.2
