"""A second loss around a change of the view: a leaving store with the loss of another, stores that come back."""

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


async def write_at(world, machines, program, name):
    """Let exactly these stores hold a turn: a majority of its replicas, or its sender was told nothing."""
    client = world.client("writer")
    world.cuts |= {("writer", other) for other in world.machines if other not in machines}
    await client.store_turn(Turn(name, program, None, b"<" + name.encode(), b">", 60.0), 1.0)
    client.close()
    world.cuts = {cut for cut in world.cuts if cut[0] != "writer"}


def replicas_of(world, program):
    ids = world.view.stable_replicas(program, world.count)
    return sorted(name for name, machine in world.machines.items() if machine.store.member_id in ids)


async def lead(world, following):
    """Begin a change of the view to these stores; machines that are down hear nothing of it."""
    changing = StoreView(world.view.epoch + 1, world.view.stable, world.members(following))
    world.announce_view(changing, [name for name, machine in world.machines.items() if machine.up])


async def finish(world, timeout_s=10.0):
    """End the change of the view once every next store has said that it has copied."""
    next_ids = world.view.next_ids
    machines = [machine for machine in world.machines.values() if machine.store.member_id in next_ids]
    await world.until(lambda: all(world.view.epoch in machine.synced for machine in machines), timeout_s)
    world.announce_view(StoreView(world.view.epoch + 1, world.view.next))


async def readable(world, program, name):
    reader = world.client("reader")
    try:
        return await reader.read_history(program, name, 2.0) == f"<{name}>".encode()
    except (TurnNotFoundError, StoreUnavailableError):
        return False
    finally:
        reader.close()


def lose_after(world, kind, number, lost):
    """Lose the machine `lost` once the `number`th request of a kind has been answered."""
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
    """Each turn is on the leaving store `e` and one other, which may be the one that is lost during the copy."""

    async def scene():
        world = World(names="abce")
        for program in PROGRAMS:
            others = [name for name in replicas_of(world, program) if name != "e"]
            holders = ["e", others[len(program) % 2]] if "e" in replicas_of(world, program) else others[:2]
            await write_at(world, holders, program, "t" + program)
        lose_after(world, kind, number, lost)
        await lead(world, "abc")
        await asyncio.sleep(0.5)
        world.after_answer = lambda machine, message: None
        world.machines[lost].up = False
        world.machines[lost].start_empty()
        world.machines[lost].up = True
        await lead(world, "abc")
        await finish(world)
        world.machines["e"].up = False
        for away in "abc":
            world.machines[away].up = False
            for program in PROGRAMS:
                assert await readable(world, program, "t" + program)
            world.machines[away].up = True

    run(scene())


@pytest.mark.parametrize("lost", "abc")
def test_everything_is_readable_while_one_store_leaves_and_another_is_lost(lost):
    async def scene():
        world = World(names="abce", delay_s=0.01)
        for program in PROGRAMS:
            await write_at(world, replicas_of(world, program)[-2:], program, "t" + program)
        await lead(world, "abc")
        world.machines[lost].up = False
        for _ in range(5):
            for program in PROGRAMS:
                assert await readable(world, program, "t" + program)
            await asyncio.sleep(0.05)

    run(scene())


def test_next_store_restarted_during_its_copy_reports_only_a_complete_copy():
    async def scene():
        world = World(names="abcd", in_view="abc")
        await world.client().store_turn(Turn("t1", "p", None, b"<t1", b">", 60.0), 1.0)
        newcomer = world.machines["d"]
        world.cuts |= {("d", "a"), ("d", "b")}
        await lead(world, "bcd")
        await asyncio.sleep(2.0)
        assert world.view.epoch not in newcomer.synced
        newcomer.restart()
        await newcomer.store.load()
        assert newcomer.store.view == world.view
        await asyncio.sleep(5.0)
        assert newcomer.synced == []
        world.cuts.clear()
        await world.until(lambda: world.view.epoch in newcomer.synced)
        assert turns_of(newcomer) == {"t1"}

    run(scene())


def test_next_store_frozen_through_later_changes_never_reports_the_first_copy():
    async def scene():
        world = World(names="abcd", in_view="abc")
        newcomer = world.machines["d"]
        world.cuts |= {("d", "a"), ("d", "b")}
        await lead(world, "bcd")
        first = world.view.epoch
        await asyncio.sleep(0.2)
        newcomer.frozen = True
        others = "abc"
        world.announce_view(StoreView(first + 1, world.view.stable, world.members("abc")), others)
        world.announce_view(StoreView(first + 2, world.members("abc")), others)
        await asyncio.sleep(5.0)
        newcomer.frozen = False
        world.cuts.clear()
        await asyncio.sleep(10.0)
        assert first not in newcomer.synced

    run(scene())


@pytest.mark.parametrize("copied", [False, True])
def test_returning_store_with_old_ledger_hides_no_newer_one(copied):
    """One of the other two replicas has missed the newer value as well."""

    async def scene():
        world = World(names="abcd")
        program = next(f"p{n}" for n in range(99) if "d" in replicas_of(world, f"p{n}"))
        others = [name for name in replicas_of(world, program) if name != "d"]
        client = world.client()
        await client.reserve(program, "t1", 10, 100, 1.0)
        await client.wait_until_settled()
        world.machines["d"].up = False
        await lead(world, "abc")
        await finish(world)
        world.cuts.add(("sender", others[0]))
        await client.reserve(program, "t2", 20, 100, 1.0)
        client.close()
        world.machines["d"].up = True
        await lead(world, "abcd")
        if copied:
            await finish(world)
        for away in reversed(others):  # first the one that has it: a read passes it on
            assert await committed_without(world, program, away) == 30

    run(scene())


async def committed_without(world, program, away):
    world.machines[away].up = False
    reader = world.client(f"reader-{away}")
    value = await asyncio.wait_for(reader.read_ledger(program), 5.0)
    reader.close()
    world.machines[away].up = True
    return ledger.committed_tokens(value)
