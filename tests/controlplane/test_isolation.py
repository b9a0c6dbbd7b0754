"""A control process that is cut off serves nothing as current, and all go on when the cut heals. The clock jumps."""

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

CUT_S = 20.0
WATCH = {"state_version": -1, "receivers_version": [0, ""], "wait": False}


def cut(world, how, number):
    address = world.address(number)
    {"both": world.network.cut, "out": world.network.cut_one_way, "in": world.network.cut_inwards}[how](address)


HOW = ["both", "out", "in"]


def bound_s(world):
    return max_state_age_s(world.settings(1, False).bounds)


async def is_refused(world, number, kind):
    """Whether a control process answers a sender that it has no quorum."""
    message = renewal() if kind == "lease.renew" else WATCH
    try:
        await world.control_servers[number].handlers[kind](message)
    except RpcError as fault:
        assert fault.kind == ErrorKind.NO_QUORUM
        return True
    return False


async def refusals(world, number):
    return [await is_refused(world, number, kind) for kind in ("lease.renew", "relay.watch")]


@pytest.mark.parametrize("how", HOW)
@pytest.mark.parametrize("number", [1, 2, 3])
def test_isolated_control_server_rejects_lease_renewals_and_watches(number, how):
    async def scene(world):
        await world.put(1, 7, 0)
        await listed(world)
        await asyncio.sleep(3.0)
        assert await refusals(world, number) == [False, False]
        cut(world, how, number)
        await world.put(1 + number % 3, 8, 7)
        await asyncio.sleep(bound_s(world) + 0.1)
        answers = []
        for _ in range(int(CUT_S / 0.1)):
            await asyncio.sleep(0.1)
            answers += await refusals(world, number)
        assert all(answers) and answers
        for other in {1, 2, 3} - {number}:
            assert await refusals(world, other) == [False, False]
        world.network.join()
        took_s = await world.until(lambda: world.control_servers[number].freshness.is_current())
        assert world.generation(number) == 8
        return took_s

    assert play(scene) < APPLY_S / 2


@pytest.mark.parametrize("how", HOW)
def test_state_age_in_a_delayed_reply_stays_within_bound(how):
    """Whatever it still answers was the newest state not longer ago than the bound."""

    async def scene(world):
        await world.put(1, 7, 0)
        await asyncio.sleep(3.0)
        cut(world, how, 3)
        began_s = asyncio.get_running_loop().time()
        await world.put(1, 8, 7)
        last_s = began_s
        for _ in range(300):
            await asyncio.sleep(0.01)
            if not await is_refused(world, 3, "lease.renew"):
                last_s = asyncio.get_running_loop().time()
        return last_s - began_s, bound_s(world)

    served_s, most_s = play(scene)
    assert served_s <= most_s


@pytest.mark.parametrize("how", HOW)
def test_isolated_control_server_neither_accepts_nor_rejects_changes(how):
    async def scene(world):
        await world.put(1, 7, 0)
        await world.until(lambda: world.generation(3) == 7)
        cut(world, how, 3)
        await world.put(1, 8, 7)
        for generation, base in ((9, 7), (9, 8), (7, 0), (3, 2)):
            with pytest.raises(RegisterUnavailableError):
                await world.put(3, generation, base)

    play(scene)


def test_operator_requests_to_isolated_control_server_get_503():
    async def scene(world):
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

    assert play(scene) == [503] * 6


async def read_configuration(world, number):
    """Return the status of Config.Get at a process, and the generation that it tells, or None."""
    loop = asyncio.get_running_loop()
    api = OperatorApi(world.control_servers[number].register, loop, 3)
    answer = await loop.run_in_executor(None, api.get)
    return answer.status, json.loads(answer.body).get("generation")


@pytest.mark.parametrize("how", [None, *HOW])
@pytest.mark.parametrize("number", [1, 2, 3])
def test_read_after_acknowledged_change_returns_it_or_503(number, how):
    """Process `number` is cut off (or not), and the reads follow the acknowledgement at once and after the bound."""

    async def scene(world):
        await world.put(1, 7, 0)
        await world.until(lambda: all(world.generation(each) == 7 for each in (1, 2, 3)))
        if how is not None:
            cut(world, how, number)
        await world.put(1 + number % 3, 8, 7)
        for wait_s in (0.0, APPLY_S):
            await asyncio.sleep(wait_s)
            for other in {1, 2, 3} - {number}:
                assert await read_configuration(world, other) == (200, 8)
            assert await read_configuration(world, number) == ((200, 8) if how is None else (503, None))
        world.network.join()
        await world.until(lambda: world.control_servers[number].freshness.is_current())
        assert await read_configuration(world, number) == (200, 8)

    play(scene)


def test_restarted_control_server_serves_no_state_from_disk():
    async def scene(world):
        await world.put(1, 7, 0)
        await world.until(lambda: world.generation(3) == 7)
        await world.kill(1, 2, 3)
        await world.start(3)
        for _ in range(50):
            await asyncio.sleep(0.1)
            assert await refusals(world, 3) == [True, True]
        await world.start(1)
        return await world.until(lambda: all(world.control_servers[number].freshness.is_current() for number in (1, 3)))

    assert play(scene) < 1.0


def test_all_control_servers_serve_soon_after_simultaneous_restart():
    async def scene(world):
        await world.put(1, 7, 0)
        await world.kill(1, 2, 3)
        for number in (1, 2, 3):
            await world.start(number)
        return await world.until(
            lambda: all(world.control_servers[number].freshness.is_current() for number in (1, 2, 3))
        )

    assert play(scene) < 0.4


@pytest.mark.parametrize(
    ("delay_s", "latency_s"),
    [(0.0, 0.002), (0.3, 0.002), (0.0, 0.08), (0.3, 0.02)],
    ids=["calm", "disk", "net", "both"],
)
def test_no_request_is_rejected_while_all_members_are_alive(delay_s, latency_s):
    """Slow disks and slow links, with changes made now and then."""

    async def scene(world):
        await listed(world)
        await asyncio.sleep(2.0)
        world.network.latency_s = latency_s
        for disk in world.disks.values():
            disk.delay_s = delay_s
        await asyncio.sleep(1.0)
        answers = []
        generation = 0
        for step in range(300):
            await asyncio.sleep(0.1)
            if step % 30 == 10:
                change = asyncio.ensure_future(put_for_long(world, generation + 1, generation))
                generation += 1
            for number in (1, 2, 3):
                answers += await refusals(world, number)
        await change
        return answers

    assert not any(play(scene))


async def put_for_long(world, generation, base):
    while True:
        try:
            return await world.put(1, generation, base)
        except RegisterUnavailableError:
            await asyncio.sleep(0.1)


def test_confirmed_state_includes_change_whose_proposer_died():
    """Both others have accepted the change, and neither knows that it is chosen."""

    async def scene(world):
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

    assert play(scene) == (8, 8)


async def told_version(world, number):
    """The version that a process tells in its answer to a heartbeat."""
    heartbeat = {"from": world.control_servers[1].local_peer.description().encode(), "receivers": [0, ""]}
    return (await world.control_servers[number].handlers["keeper.hello"](heartbeat))["accepted_version"]


def test_heartbeat_reply_reports_accepted_version_only_after_sync():
    async def scene(world):
        await world.put(1, 7, 0)
        await world.until(lambda: world.generation(2) == 7)
        before = await told_version(world, 2)
        world.disks[2].delay_s = 0.5
        await world.put(1, 8, 7)
        during = await told_version(world, 2)
        assert world.control_servers[2].register.has_unfinished_value
        await asyncio.sleep(2.0)
        return before, during, await told_version(world, 2)

    before, during, after = play(scene)
    assert before == during < after


@pytest.mark.parametrize("how", HOW)
def test_members_change_while_coordinator_is_partitioned_one_way(how):
    """The process with the least id is heard by the others as before, where nothing reaches it but its own calls do."""

    async def scene(world):
        await asyncio.sleep(1.0)
        cut(world, how, 1)
        await asyncio.sleep(2.0)
        await world.start(4)
        return await world.until(lambda: world.address(4) in world.stores())

    assert play(scene) < 4.0


def test_control_server_without_majority_plans_no_reconfiguration():
    async def scene(world):
        await world.start(4)
        await world.until(lambda: len(world.stores()) == 4)
        await asyncio.sleep(2.0)
        others = [world.address(number) for number in (1, 4)]
        world.network.cut(*others)  # the one that drives, with a process beside it that could take a member's place
        proposed = []
        world.control_servers[1].register.propose = lambda *order: proposed.append(order) or never()
        await asyncio.sleep(CUT_S + 5.0)
        return proposed

    assert play(scene) == []


async def never():
    await asyncio.sleep(1e6)


@pytest.mark.parametrize("frozen_s", [1.2, 5.0, 25.0])
def test_coordinator_resumed_after_freeze_removes_no_member(frozen_s):
    """By its own clock all others were silent all the while, and it hears one of them later than the rest."""

    async def scene(world):
        await world.start(4)
        await world.until(lambda: len(world.stores()) == 4)
        await asyncio.sleep(2.0)
        world.network.cut(*[world.address(number) for number in (2, 3, 4)])  # the others change nothing meanwhile
        world.freeze(1)
        await asyncio.sleep(frozen_s)
        members = world.members()
        world.network.join()
        world.network.cuts = {frozenset((world.address(1), world.address(3)))}
        world.thaw(1)
        states = []
        for _ in range(300):
            await asyncio.sleep(0.01)
            states.append((world.members(), world.addresses(world.next_stores() or {}) or world.stores()))
            if len(states) == 60:
                world.network.join()
        return members, states

    members, states = play(scene)
    assert all(seen == members for seen, _ in states)
    assert all({f"10.0.0.{number}:7380" for number in (2, 3, 4)} <= set(stores) for _, stores in states)


@pytest.mark.parametrize("how", HOW)
def test_another_control_server_reads_list_when_reader_is_partitioned(how):
    """The reader goes on reading; the others are not to wait for what they can't get from it."""

    async def scene(world):
        await listed(world)
        await asyncio.sleep(1.0)
        reader = world.readings[-1][1]
        others = {1, 2, 3} - {reader}
        cut(world, how, reader)
        await asyncio.sleep(3.0)
        ages_s = []
        for _ in range(500):
            await asyncio.sleep(0.01)
            ages_s += [world.control_servers[number].list_reader.age_s() for number in others]
        return max(ages_s) / world.control_servers[1].list_reader.period_s

    assert play(scene) < 1.5


@pytest.mark.parametrize("latency_s", [0.05, 0.1])
def test_confirmation_counts_from_when_heartbeat_was_sent(latency_s):
    async def scene(world):
        await asyncio.sleep(1.0)
        world.network.latency_s = latency_s
        await asyncio.sleep(2.0)
        ages_s = []
        for _ in range(2000):
            await asyncio.sleep(0.001)
            ages_s += [control_server.freshness.age_s() for control_server in world.control_servers.values()]
        return min(ages_s)

    assert play(scene) >= 2 * latency_s - 1e-6


@pytest.mark.parametrize("how", HOW)
def test_drain_is_known_while_list_reader_is_partitioned(how):
    async def scene(world):
        await listed(world)
        await asyncio.sleep(1.0)
        reader = world.readings[-1][1]
        cut(world, how, reader)
        await asyncio.sleep(2.0)
        world.cut_from_platform = {reader}
        drain(world)
        others = {1, 2, 3} - {reader}
        return await drain_known(world, others)

    assert play(scene) < 1.5


def test_two_list_readers_never_revive_a_drained_receiver():
    """Each side of a cut reads for itself; the versions that they make cross when it heals."""

    async def scene(world):
        await listed(world)
        world.network.cut(world.address(1))
        await asyncio.sleep(4.0)
        drain(world)
        await drain_known(world, (1, 2, 3))
        versions = [world.control_servers[number].list_reader.directory.version for number in (1, 2, 3)]
        world.network.join()
        seen = []
        for _ in range(300):
            await asyncio.sleep(0.01)
            seen += [shows_drain(world, number) for number in (1, 2, 3)]
        after = [world.control_servers[number].list_reader.directory.version for number in (1, 2, 3)]
        return versions, after, seen

    versions, after, seen = play(scene)
    assert all(seen)
    assert len(set(after)) == 1 and after[0] >= max(versions)


def test_list_age_counts_time_of_travel():
    """The age that another process tells counts from when it was asked."""

    async def scene(world):
        await listed(world)
        await asyncio.sleep(1.0)
        world.platform_down = True
        began_s = asyncio.get_running_loop().time()
        world.network.latency_s = 0.25
        await asyncio.sleep(5.0)
        now_s = asyncio.get_running_loop().time()
        last_read_s = max(at_s for at_s, _ in world.readings if at_s <= began_s)
        return [
            control_server.list_reader.age_s() - (now_s - last_read_s)
            for control_server in world.control_servers.values()
        ]

    assert min(play(scene)) >= -0.01


@pytest.mark.parametrize("pair", [(1, 2), (1, 3), (2, 3)])
@pytest.mark.parametrize("has_spare", [False, True])
def test_two_members_that_hear_all_but_each_other_end_with_one_replaced_and_changes_go_on(pair, has_spare):
    """Both count as coordinators to themselves; their plans exclude each other by the version."""

    async def scene(world):
        if has_spare:
            await world.start(4)
            await world.until(lambda: len(world.stores()) == 4)
        await asyncio.sleep(2.0)
        world.network.cuts.add(frozenset(world.address(number) for number in pair))
        first_version = world.newest()["version"]
        for generation in range(1, 31):
            third = ({1, 2, 3} - set(pair)).pop()
            await world.put(third, generation, generation - 1)
            await asyncio.sleep(1.0)
        changes = world.newest()["version"] - first_version - 30
        await asyncio.sleep(5.0)
        settled = world.newest()["version"]
        await asyncio.sleep(10.0)
        return changes, len(world.members()), world.newest()["version"] - settled

    changes, members, later_changes = play(scene)
    assert members == 3 and later_changes == 0
    assert changes <= 8  # of members and stores, in 30 s
