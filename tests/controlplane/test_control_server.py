"""Several control servers on an in-memory network and disks, on a simulated clock."""

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


def test_seeds_bootstrap_register_and_set_initial_stores():
    async def scene(world):
        return world.is_whole(1, 2, 3)

    assert play(scene)


def test_configuration_is_replicated_to_other_control_servers_at_once():
    async def scene(world):
        await world.put(1, 7, 0)
        return await world.until(lambda: [world.generation(number) for number in (1, 2, 3)] == [7, 7, 7])

    assert play(scene) < 0.1


def test_acknowledged_configuration_survives_crash_of_its_proposer():
    async def scene(world):
        await world.put(1, 7, 0)
        await world.kill(1)
        assert world.generation(2) == world.generation(3) == 0
        return await world.until(lambda: world.generation(2) == world.generation(3) == 7)

    assert play(scene) < APPLY_S / 2


def test_acknowledged_configuration_survives_restart_of_all_control_servers():
    async def scene(world):
        await world.put(2, 7, 0)
        await world.kill(1, 2, 3)
        for number in (1, 2, 3):
            await world.start(number)
        return await world.until(lambda: all(world.generation(number) == 7 for number in (1, 2, 3)))

    assert play(scene) < 1.5


def test_control_server_restarted_alone_serves_no_old_state():
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
        world.network.restore_links()
        return await world.until(lambda: world.generation(3) == 8)

    assert play(scene) < 1.0


def test_only_majority_side_of_partition_acknowledges_changes():
    async def scene(world):
        world.network.cut(world.address(1))
        with pytest.raises(RegisterUnavailableError):
            await world.put(1, 7, 0)
        await world.put(2, 8, 0)
        world.network.restore_links()
        await world.until(lambda: world.generation(1) == 8)
        return world.generation(2), world.generation(3)

    assert play(scene) == (8, 8)


@pytest.mark.parametrize("number", [1, 2, 3])
def test_wiped_machine_rejoins_as_member_and_store_in_time(number):
    async def scene(world):
        await world.put(1, 7, 0)
        await world.kill(number)
        await asyncio.sleep(1.0)
        await world.start(number, wiped=True)
        elapsed_s = await world.until(lambda: world.is_whole(1, 2, 3))
        other = 1 + number % 3
        await world.kill(other)
        survivor = ({1, 2, 3} - {other}).pop()
        await world.put(survivor, 8, 7)
        return elapsed_s

    assert play(scene) < CATCH_UP_S / 2


@pytest.mark.parametrize("name", [None, "store-3"])
def test_machine_replaced_at_new_address_is_swapped_in_time(name):
    async def scene(world):
        await world.kill(3)
        await asyncio.sleep(1.0)
        await world.start(4, name=name)
        return await world.until(lambda: world.is_whole(1, 2, 4))

    assert play(scene) < CATCH_UP_S / 2


@pytest.mark.parametrize("name", [None, "store-3"])
def test_planned_replacement_completes_in_time(name):
    async def scene(world):
        await asyncio.sleep(5.0)
        await world.start(4, name=name)
        await asyncio.sleep(1.0)
        world.control_servers[3].leave()
        await asyncio.sleep(0.3)
        await world.kill(3)
        return await world.until(lambda: world.is_whole(1, 2, 4))

    assert play(scene) < CATCH_UP_S / 2


def test_retirement_completes_and_tolerates_wipe_right_after():
    async def scene(world):
        await world.until(lambda: world.stores() == [world.address(number) for number in (1, 2, 3, 4)])
        await world.control_servers[1].register.propose(start_retirement("store-2", 3), 0.85)
        elapsed_s = await world.until(lambda: world.newest()["retired"] == ["store-2"])
        assert world.is_whole(1, 3, 4)
        await world.kill(2, 3)
        await asyncio.sleep(1.0)
        await world.start(3, wiped=True)
        await world.until(lambda: world.is_whole(1, 3, 4))
        return elapsed_s

    async def scene_with_fourth_machine(world):
        await world.start(4)
        return await scene(world)

    assert play(scene_with_fourth_machine) < 2.0


def test_added_store_joins_and_frozen_control_server_keeps_its_place():
    async def scene(world):
        world.network.down.add(world.address(2))
        await asyncio.sleep(5.0)
        world.network.down.clear()
        await asyncio.sleep(1.0)
        assert world.is_whole(1, 2, 3)
        await world.start(4)
        return await world.until(lambda: len(world.stores()) == 4)

    assert play(scene) < 2.0


def test_new_seeds_get_heartbeats_at_once():
    async def scene(world):
        control_server = world.control_servers[1]
        world.seeds = (9,)
        control_server.apply_settings(world.settings(1, False))
        await asyncio.sleep(0.01)
        return (world.address(1), world.address(9), "keeper.hello") in world.network.calls

    assert play(scene)


@pytest.mark.parametrize("trouble", ["none", "kill", "freeze", "cut", "cut_from_platform"])
def test_drain_is_known_in_time_whatever_happens_to_list_reader(trouble):
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


def test_directories_merge_drains_of_both_sides_after_partition():
    async def scene(world):
        await listed(world)
        world.network.cut(world.address(1))
        await asyncio.sleep(1.0)
        drain(world)
        world.cut_from_platform = {2, 3}
        await world.until(lambda: shows_drain(world, 1))
        world.platform_down = True
        world.network.restore_links()
        return await drain_known(world, (2, 3))

    assert play(scene) < 1.0


def test_only_one_control_server_reads_list_in_normal_operation():
    async def scene(world):
        await listed(world)
        await asyncio.sleep(1.0)
        world.readings.clear()
        await asyncio.sleep(10.0)
        return len({host for _, host in world.readings}), len(world.readings)

    readers, readings = play(scene)
    assert readers == 1
    assert readings <= 10.0 / (DRAIN_S / 4) + 1


def test_reader_role_moves_on_from_readers_that_fail():
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


def test_directory_version_rises_after_restart_of_all_control_servers():
    async def scene(world):
        await listed(world)
        await world.control_servers[1].handlers["lease.renew"](renewal(version=(40, "z")))
        await world.until(lambda: world.control_servers[1].list_reader.directory.version.counter > 40)

    play(scene)


def test_watch_returns_next_update_or_empty_reply_after_heartbeat_time():
    async def scene(world):
        await listed(world)
        await asyncio.sleep(2.0)
        control_server, clock = world.control_servers[2], asyncio.get_running_loop().time
        versions = {
            "state_version": world.newest()["version"],
            "receivers_version": control_server.list_reader.directory.version,
        }
        started_s = clock()
        watch = asyncio.ensure_future(control_server.handlers["relay.watch"]({**versions, "wait": True}))
        await asyncio.sleep(0.1)
        await world.put(1, 7, 0)
        update = await watch
        assert update["state"]["configuration"]["generation"] == 7 and clock() - started_s < 0.2
        started_s = clock()
        versions = {
            "state_version": update["state"]["version"],
            "receivers_version": control_server.list_reader.directory.version,
        }
        empty_reply = await control_server.handlers["relay.watch"]({**versions, "wait": True})
        assert "state" not in empty_reply and "receivers" not in empty_reply
        return clock() - started_s

    assert play(scene) == pytest.approx(WATCH_HEARTBEAT_S)


def test_control_servers_exchange_only_heartbeats_in_normal_operation():
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
