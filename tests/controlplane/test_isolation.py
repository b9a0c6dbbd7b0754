"""A partitioned control server serves no stale state, and all continue after the partition heals (simulated clock)."""

import asyncio
import json

import pytest
from cluster import samples
from controlplane.control_server_world import APPLY_S, drain, drain_known, listed, play, renewal, shows_drain

from dewpin.cluster.errors import ErrorKind
from dewpin.cluster.rpc import RpcError
from dewpin.controlplane.control_server import max_state_age_s
from dewpin.controlplane.operator_api import OperatorApi
from dewpin.controlplane.register.proposer import RegisterUnavailableError

PARTITION_S = 20.0
WATCH = {"state_version": -1, "receivers_version": [0, ""], "wait": False}


def partition(world, how, number):
    address = world.address(number)
    {"both": world.network.cut, "out": world.network.cut_one_way, "in": world.network.cut_inwards}[how](address)


PARTITIONS = ["both", "out", "in"]


def max_age_s(world):
    return max_state_age_s(world.settings(1, False).bounds)


async def is_rejected(world, number, kind):
    """Returns whether a control server rejects a sender's request for lack of a quorum."""
    message = renewal() if kind == "lease.renew" else WATCH
    try:
        await world.control_servers[number].handlers[kind](message)
    except RpcError as error:
        assert error.kind == ErrorKind.NO_QUORUM
        return True
    return False


async def rejections(world, number):
    return [await is_rejected(world, number, kind) for kind in ("lease.renew", "relay.watch")]


@pytest.mark.parametrize("how", PARTITIONS)
@pytest.mark.parametrize("number", [1, 2, 3])
def test_isolated_control_server_rejects_lease_renewals_and_watches(number, how):
    async def scenario(world):
        await world.put(1, 7, 0)
        await listed(world)
        await asyncio.sleep(3.0)
        assert await rejections(world, number) == [False, False]
        partition(world, how, number)
        await world.put(1 + number % 3, 8, 7)
        await asyncio.sleep(max_age_s(world) + 0.1)
        results = []
        for _ in range(int(PARTITION_S / 0.1)):
            await asyncio.sleep(0.1)
            results += await rejections(world, number)
        assert all(results) and results
        for other in {1, 2, 3} - {number}:
            assert await rejections(world, other) == [False, False]
        world.network.restore_links()
        recovery_s = await world.until(lambda: world.control_servers[number].freshness.is_current())
        assert world.generation(number) == 8
        return recovery_s

    assert play(scenario) < APPLY_S / 2


@pytest.mark.parametrize("how", PARTITIONS)
def test_state_age_in_a_delayed_reply_stays_within_bound(how):
    """Every state that the partitioned server still serves was the newest one within the maximum age."""

    async def scenario(world):
        await world.put(1, 7, 0)
        await asyncio.sleep(3.0)
        partition(world, how, 3)
        started_s = asyncio.get_running_loop().time()
        await world.put(1, 8, 7)
        last_s = started_s
        for _ in range(300):
            await asyncio.sleep(0.01)
            if not await is_rejected(world, 3, "lease.renew"):
                last_s = asyncio.get_running_loop().time()
        return last_s - started_s, max_age_s(world)

    served_s, limit_s = play(scenario)
    assert served_s <= limit_s


@pytest.mark.parametrize("how", PARTITIONS)
def test_isolated_control_server_neither_accepts_nor_rejects_changes(how):
    async def scenario(world):
        await world.put(1, 7, 0)
        await world.until(lambda: world.generation(3) == 7)
        partition(world, how, 3)
        await world.put(1, 8, 7)
        for generation, base in ((9, 7), (9, 8), (7, 0), (3, 2)):
            with pytest.raises(RegisterUnavailableError):
                await world.put(3, generation, base)

    play(scenario)


def test_operator_requests_to_isolated_control_server_get_503():
    async def scenario(world):
        await world.put(1, 7, 0)
        await world.until(lambda: world.generation(3) == 7)
        world.network.cut(world.address(3))
        loop = asyncio.get_running_loop()
        api = OperatorApi(world.control_servers[3].register, loop, 3)
        body = json.dumps({**samples.configuration(), "generation": 9}).encode()
        calls = [
            api.get,
            lambda: api.put(body, "7"),
            lambda: api.put(body, "1"),
            lambda: api.retirement("store-1"),
            lambda: api.start_retirement("store-1"),
            lambda: api.start_retirement("nobody"),
        ]
        return [(await loop.run_in_executor(None, call)).status for call in calls]

    assert play(scenario) == [503] * 6


async def read_configuration(world, number):
    """Returns the status of Config.Get at a control server and the generation in its response, or None."""
    loop = asyncio.get_running_loop()
    api = OperatorApi(world.control_servers[number].register, loop, 3)
    answer = await loop.run_in_executor(None, api.get)
    return answer.status, json.loads(answer.body).get("generation")


@pytest.mark.parametrize("how", [None, *PARTITIONS])
@pytest.mark.parametrize("number", [1, 2, 3])
def test_read_after_acknowledged_change_returns_it_or_503(number, how):
    """Reads directly after the acknowledgement and after the maximum age, with and without a partitioned server."""

    async def scenario(world):
        await world.put(1, 7, 0)
        await world.until(lambda: all(world.generation(each) == 7 for each in (1, 2, 3)))
        if how is not None:
            partition(world, how, number)
        await world.put(1 + number % 3, 8, 7)
        for wait_s in (0.0, APPLY_S):
            await asyncio.sleep(wait_s)
            for other in {1, 2, 3} - {number}:
                assert await read_configuration(world, other) == (200, 8)
            assert await read_configuration(world, number) == ((200, 8) if how is None else (503, None))
        world.network.restore_links()
        await world.until(lambda: world.control_servers[number].freshness.is_current())
        assert await read_configuration(world, number) == (200, 8)

    play(scenario)


def test_restarted_control_server_serves_no_state_from_disk():
    async def scenario(world):
        await world.put(1, 7, 0)
        await world.until(lambda: world.generation(3) == 7)
        await world.kill(1, 2, 3)
        await world.start(3)
        for _ in range(50):
            await asyncio.sleep(0.1)
            assert await rejections(world, 3) == [True, True]
        await world.start(1)
        return await world.until(lambda: all(world.control_servers[number].freshness.is_current() for number in (1, 3)))

    assert play(scenario) < 1.0


def test_all_control_servers_serve_soon_after_simultaneous_restart():
    async def scenario(world):
        await world.put(1, 7, 0)
        await world.kill(1, 2, 3)
        for number in (1, 2, 3):
            await world.start(number)
        return await world.until(
            lambda: all(world.control_servers[number].freshness.is_current() for number in (1, 2, 3))
        )

    assert play(scenario) < 0.4


@pytest.mark.parametrize(
    ("delay_s", "latency_s"),
    [(0.0, 0.002), (0.3, 0.002), (0.0, 0.08), (0.3, 0.02)],
    ids=["calm", "disk", "net", "both"],
)
def test_no_request_is_rejected_while_all_members_are_alive(delay_s, latency_s):
    """Includes slow disks and links, with a change every few seconds."""

    async def scenario(world):
        await listed(world)
        await asyncio.sleep(2.0)
        world.network.latency_s = latency_s
        for disk in world.disks.values():
            disk.delay_s = delay_s
        await asyncio.sleep(1.0)
        results = []
        generation = 0
        for step in range(300):
            await asyncio.sleep(0.1)
            if step % 30 == 10:
                change = asyncio.ensure_future(put_until_acknowledged(world, generation + 1, generation))
                generation += 1
            for number in (1, 2, 3):
                results += await rejections(world, number)
        await change
        return results

    assert not any(play(scenario))


async def put_until_acknowledged(world, generation, base):
    while True:
        try:
            return await world.put(1, generation, base)
        except RegisterUnavailableError:
            await asyncio.sleep(0.1)


def test_confirmed_state_includes_change_whose_proposer_died():
    """Both other members accepted the change, but do not know that it was chosen."""

    async def scenario(world):
        await world.put(1, 7, 0)
        await world.until(lambda: world.generation(2) == world.generation(3) == 7)
        await asyncio.sleep(1.0)
        await world.put(1, 8, 7)
        await world.kill(1)
        acknowledged_s = asyncio.get_running_loop().time()
        for _ in range(300):
            await asyncio.sleep(0.01)
            for number in (2, 3):
                confirmation = world.control_servers[number].freshness
                if world.generation(number) < 8:
                    assert asyncio.get_running_loop().time() - confirmation.age_s() <= acknowledged_s
        return world.generation(2), world.generation(3)

    assert play(scenario) == (8, 8)


async def reported_version(world, number):
    """Returns the accepted version in a control server's heartbeat reply."""
    heartbeat = {"from": world.control_servers[1].local_peer.description().encode(), "receivers": [0, ""]}
    return (await world.control_servers[number].handlers["keeper.hello"](heartbeat))["accepted_version"]


def test_heartbeat_reply_reports_accepted_version_only_after_sync():
    async def scenario(world):
        await world.put(1, 7, 0)
        await world.until(lambda: world.generation(2) == 7)
        before = await reported_version(world, 2)
        world.disks[2].delay_s = 0.5
        await world.put(1, 8, 7)
        during = await reported_version(world, 2)
        assert world.control_servers[2].register.has_unfinished_value
        await asyncio.sleep(2.0)
        return before, during, await reported_version(world, 2)

    before, during, after = play(scenario)
    assert before == during < after


@pytest.mark.parametrize("how", PARTITIONS)
def test_members_change_while_coordinator_is_partitioned_one_way(how):
    """If only incoming messages are dropped, the others still receive heartbeats of the member with the smallest id."""

    async def scenario(world):
        await asyncio.sleep(1.0)
        partition(world, how, 1)
        await asyncio.sleep(2.0)
        await world.start(4)
        return await world.until(lambda: world.address(4) in world.stores())

    assert play(scenario) < 4.0


def test_control_server_without_majority_plans_no_reconfiguration():
    async def scenario(world):
        await world.start(4)
        await world.until(lambda: len(world.stores()) == 4)
        await asyncio.sleep(2.0)
        others = [world.address(number) for number in (1, 4)]
        world.network.cut(*others)  # the coordinator, together with a process that could replace a member
        proposed = []
        world.control_servers[1].register.propose = lambda *arguments: proposed.append(arguments) or wait_forever()
        await asyncio.sleep(PARTITION_S + 5.0)
        return proposed

    assert play(scenario) == []


async def wait_forever():
    await asyncio.sleep(1e6)


@pytest.mark.parametrize("frozen_s", [1.2, 5.0, 25.0])
def test_coordinator_resumed_after_freeze_removes_no_member(frozen_s):
    """By its own clock all peers were silent during the freeze, and it hears one of them later than the rest."""

    async def scenario(world):
        await world.start(4)
        await world.until(lambda: len(world.stores()) == 4)
        await asyncio.sleep(2.0)
        world.network.cut(*[world.address(number) for number in (2, 3, 4)])  # so the others make no changes meanwhile
        world.freeze(1)
        await asyncio.sleep(frozen_s)
        members = world.members()
        world.network.restore_links()
        world.network.cuts = {frozenset((world.address(1), world.address(3)))}
        world.thaw(1)
        states = []
        for _ in range(300):
            await asyncio.sleep(0.01)
            states.append((world.members(), world.addresses(world.next_stores() or {}) or world.stores()))
            if len(states) == 60:
                world.network.restore_links()
        return members, states

    members, states = play(scenario)
    assert all(seen == members for seen, _ in states)
    assert all({f"10.0.0.{number}:7380" for number in (2, 3, 4)} <= set(stores) for _, stores in states)


@pytest.mark.parametrize("how", PARTITIONS)
def test_another_control_server_reads_list_when_reader_is_partitioned(how):
    """The reader continues to read the list, but the others must not wait for an unreachable reader."""

    async def scenario(world):
        await listed(world)
        await asyncio.sleep(1.0)
        reader = world.readings[-1][1]
        others = {1, 2, 3} - {reader}
        partition(world, how, reader)
        await asyncio.sleep(3.0)
        ages_s = []
        for _ in range(500):
            await asyncio.sleep(0.01)
            ages_s += [world.control_servers[number].list_reader.age_s() for number in others]
        return max(ages_s) / world.control_servers[1].list_reader.period_s

    assert play(scenario) < 1.5


@pytest.mark.parametrize("latency_s", [0.05, 0.1])
def test_confirmation_counts_from_when_heartbeat_was_sent(latency_s):
    async def scenario(world):
        await asyncio.sleep(1.0)
        world.network.latency_s = latency_s
        await asyncio.sleep(2.0)
        ages_s = []
        for _ in range(2000):
            await asyncio.sleep(0.001)
            ages_s += [control_server.freshness.age_s() for control_server in world.control_servers.values()]
        return min(ages_s)

    assert play(scenario) >= 2 * latency_s - 1e-6


@pytest.mark.parametrize("how", PARTITIONS)
def test_drain_is_known_while_list_reader_is_partitioned(how):
    async def scenario(world):
        await listed(world)
        await asyncio.sleep(1.0)
        reader = world.readings[-1][1]
        partition(world, how, reader)
        await asyncio.sleep(2.0)
        world.cut_from_platform = {reader}
        drain(world)
        others = {1, 2, 3} - {reader}
        return await drain_known(world, others)

    assert play(scenario) < 1.5


def test_two_list_readers_never_revive_a_drained_receiver():
    """Each side of a partition reads the list itself, and the versions are exchanged after the partition heals."""

    async def scenario(world):
        await listed(world)
        world.network.cut(world.address(1))
        await asyncio.sleep(4.0)
        drain(world)
        await drain_known(world, (1, 2, 3))
        versions = [world.control_servers[number].list_reader.directory.version for number in (1, 2, 3)]
        world.network.restore_links()
        seen = []
        for _ in range(300):
            await asyncio.sleep(0.01)
            seen += [shows_drain(world, number) for number in (1, 2, 3)]
        after = [world.control_servers[number].list_reader.directory.version for number in (1, 2, 3)]
        return versions, after, seen

    versions, after, seen = play(scenario)
    assert all(seen)
    assert len(set(after)) == 1 and after[0] >= max(versions)


def test_list_age_includes_network_latency():
    """The age reported by another process is measured from when the request was sent."""

    async def scenario(world):
        await listed(world)
        await asyncio.sleep(1.0)
        world.platform_down = True
        started_s = asyncio.get_running_loop().time()
        world.network.latency_s = 0.25
        await asyncio.sleep(5.0)
        now_s = asyncio.get_running_loop().time()
        last_read_s = max(at_s for at_s, _ in world.readings if at_s <= started_s)
        return [
            control_server.list_reader.age_s() - (now_s - last_read_s)
            for control_server in world.control_servers.values()
        ]

    assert min(play(scenario)) >= -0.01


@pytest.mark.parametrize("pair", [(1, 2), (1, 3), (2, 3)])
@pytest.mark.parametrize("has_spare", [False, True])
def test_one_of_two_members_that_cannot_reach_each_other_is_replaced_and_changes_continue(pair, has_spare):
    """Both consider themselves the coordinator. Their changes conflict because each applies to one version only."""

    async def scenario(world):
        if has_spare:
            await world.start(4)
            await world.until(lambda: len(world.stores()) == 4)
        await asyncio.sleep(2.0)
        world.network.cuts.add(frozenset(world.address(number) for number in pair))
        first_version = world.newest()["version"]
        for generation in range(1, 31):
            common_peer = ({1, 2, 3} - set(pair)).pop()
            await world.put(common_peer, generation, generation - 1)
            await asyncio.sleep(1.0)
        changes = world.newest()["version"] - first_version - 30
        await asyncio.sleep(5.0)
        settled_version = world.newest()["version"]
        await asyncio.sleep(10.0)
        return changes, len(world.members()), world.newest()["version"] - settled_version

    changes, members, later_changes = play(scenario)
    assert members == 3 and later_changes == 0
    assert changes <= 8  # member and store changes within 30 s
