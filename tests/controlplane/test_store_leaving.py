"""A second loss during a view change: a store leaves while another one is lost, and stores that return."""

import asyncio

import pytest
from scripted.clock import run
from scripted.stores import World

from dewpin.cluster import store_messages as wire
from dewpin.cluster.store_view import StoreView
from dewpin.dataplane.programs import ledger
from dewpin.dataplane.programs.errors import StoreUnavailableError, TurnNotFoundError
from dewpin.dataplane.programs.program_store import Turn

PROGRAMS = [f"p{number}" for number in range(12)]


def turns_of(machine):
    return {row[0] for row in machine.disk.connection.execute("SELECT turn FROM turns")}


async def write_on(world, machines, program, name):
    """Store a turn on exactly these machines; they have to be a majority of its replicas for the sender to succeed."""
    client = world.client("writer")
    world.cuts |= {("writer", other) for other in world.machines if other not in machines}
    await client.store_turn(Turn(name, program, None, b"<" + name.encode(), b">", 60.0), 1.0)
    client.close()
    world.cuts = {cut for cut in world.cuts if cut[0] != "writer"}


def replicas_of(world, program):
    ids = world.view.stable_replicas(program, world.count)
    return sorted(name for name, machine in world.machines.items() if machine.store.member_id in ids)


async def start_view_change(world, next_names):
    """Start a view change to these stores; machines that are down do not receive the view."""
    changing = StoreView(world.view.epoch + 1, world.view.stable, world.members(next_names))
    world.announce_view(changing, [name for name, machine in world.machines.items() if machine.up])


async def complete_view_change(world, timeout_s=10.0):
    """Complete the view change once every next store has reported its copy as complete."""
    next_ids = world.view.next_ids
    machines = [machine for machine in world.machines.values() if machine.store.member_id in next_ids]
    await world.until(lambda: all(world.view.epoch in machine.synced for machine in machines), timeout_s)
    world.announce_view(StoreView(world.view.epoch + 1, world.view.next))


async def is_readable(world, program, name):
    reader = world.client("reader")
    try:
        return (await reader.read_history(program, name, 2.0)).content == f"<{name}>".encode()
    except (TurnNotFoundError, StoreUnavailableError):
        return False
    finally:
        reader.close()


def stop_after(world, kind, number, lost):
    """Stop the machine `lost` after the `number`th request of a kind has been answered."""
    answered = 0

    def after_answer(machine, message):
        nonlocal answered
        answered += message["type"] == kind
        if answered == number:
            world.machines[lost].up = False

    world.after_answer = after_answer


@pytest.mark.parametrize("lost", "abc")
@pytest.mark.parametrize("kind", [wire.PULL_INDEX, wire.PULL_TURNS, wire.PULL_LEDGERS])
@pytest.mark.parametrize("number", [1, 2, 4])
def test_leaving_store_is_removed_only_after_others_have_its_records(lost, kind, number):
    """Each turn is on the leaving store `e` and one other, which may be lost during the copy."""

    async def scene():
        world = World(names="abce")
        for program in PROGRAMS:
            others = [name for name in replicas_of(world, program) if name != "e"]
            holders = ["e", others[len(program) % 2]] if "e" in replicas_of(world, program) else others[:2]
            await write_on(world, holders, program, "t" + program)
        stop_after(world, kind, number, lost)
        await start_view_change(world, "abc")
        await asyncio.sleep(0.5)
        world.after_answer = lambda machine, message: None
        world.machines[lost].up = False
        world.machines[lost].start_empty()
        world.machines[lost].up = True
        await start_view_change(world, "abc")
        await complete_view_change(world)
        world.machines["e"].up = False
        for stopped in "abc":
            world.machines[stopped].up = False
            for program in PROGRAMS:
                assert await is_readable(world, program, "t" + program)
            world.machines[stopped].up = True

    run(scene())


@pytest.mark.parametrize("lost", "abc")
def test_everything_is_readable_while_one_store_leaves_and_another_is_lost(lost):
    async def scene():
        world = World(names="abce", delay_s=0.01)
        for program in PROGRAMS:
            await write_on(world, replicas_of(world, program)[-2:], program, "t" + program)
        await start_view_change(world, "abc")
        world.machines[lost].up = False
        for _ in range(5):
            for program in PROGRAMS:
                assert await is_readable(world, program, "t" + program)
            await asyncio.sleep(0.05)

    run(scene())


def test_next_store_restarted_during_its_copy_reports_only_a_complete_copy():
    async def scene():
        world = World(names="abcd", in_view="abc")
        await world.client().store_turn(Turn("t1", "p", None, b"<t1", b">", 60.0), 1.0)
        new_store = world.machines["d"]
        world.cuts |= {("d", "a"), ("d", "b")}
        await start_view_change(world, "bcd")
        await asyncio.sleep(2.0)
        assert world.view.epoch not in new_store.synced
        new_store.restart()
        await new_store.store.load()
        assert new_store.store.view == world.view
        await asyncio.sleep(5.0)
        assert new_store.synced == []
        world.cuts.clear()
        await world.until(lambda: world.view.epoch in new_store.synced)
        assert turns_of(new_store) == {"t1"}

    run(scene())


def test_next_store_frozen_through_later_changes_never_reports_the_first_copy():
    async def scene():
        world = World(names="abcd", in_view="abc")
        new_store = world.machines["d"]
        world.cuts |= {("d", "a"), ("d", "b")}
        await start_view_change(world, "bcd")
        first = world.view.epoch
        await asyncio.sleep(0.2)
        new_store.frozen = True
        others = "abc"
        world.announce_view(StoreView(first + 1, world.view.stable, world.members("abc")), others)
        world.announce_view(StoreView(first + 2, world.members("abc")), others)
        await asyncio.sleep(5.0)
        new_store.frozen = False
        world.cuts.clear()
        await asyncio.sleep(10.0)
        assert first not in new_store.synced

    run(scene())


@pytest.mark.parametrize("copied", [False, True])
def test_returning_store_with_old_ledger_hides_no_newer_one(copied):
    """One of the other two replicas has missed the newer value, too."""

    async def scene():
        world = World(names="abcd")
        program = next(f"p{n}" for n in range(99) if "d" in replicas_of(world, f"p{n}"))
        others = [name for name in replicas_of(world, program) if name != "d"]
        client = world.client()
        await client.reserve(program, "t1", 10, 100, 1.0)
        await client.wait_until_settled()
        world.machines["d"].up = False
        await start_view_change(world, "abc")
        await complete_view_change(world)
        world.cuts.add(("sender", others[0]))
        await client.reserve(program, "t2", 20, 100, 1.0)
        client.close()
        world.machines["d"].up = True
        await start_view_change(world, "abcd")
        if copied:
            await complete_view_change(world)
        for stopped in reversed(
            others
        ):  # first without the replica that has the newer value: the read repairs the other one
            assert await committed_without(world, program, stopped) == 30

    run(scene())


async def committed_without(world, program, stopped):
    world.machines[stopped].up = False
    reader = world.client(f"reader-{stopped}")
    value = await asyncio.wait_for(reader.read_ledger(program), 5.0)
    reader.close()
    world.machines[stopped].up = True
    return ledger.committed_tokens(value)
