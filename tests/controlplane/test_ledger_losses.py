"""Ledgers stored on a bare majority of their replicas: consecutive losses within the fault tolerance lose no
reservation and no spent token. After greater losses no budget restarts, whatever copies remain."""

import asyncio
import itertools

import pytest
from scripted.clock import run
from scripted.stores import World

from dewpin.cluster.store_view import StoreView
from dewpin.dataplane.programs.errors import BudgetExceededError, StoreUnavailableError

PROGRAM = "p"
BUDGET = 100
LEDGER_VALUE = {"spent": 40, "open": {"running": 30}}
REMAINING = BUDGET - 40 - 30
READ_TIMEOUT_S = 5.0


async def spend_at(world, voters):
    """Let exactly these stores accept a settlement and a reservation from a sender, which then crashes."""
    writer = world.client("writer")
    world.cuts |= {("writer", name) for name in world.machines if name not in voters}
    await writer.reserve(PROGRAM, "before", 50, BUDGET, 1.0)
    writer.settle(await writer.reserve(PROGRAM, "before", 50, BUDGET, 1.0), 40)
    await writer.wait_until_settled()
    await writer.reserve(PROGRAM, "running", 30, BUDGET, 1.0)
    writer.close()
    deliver_to_all(world, voters)
    assert {name for name, machine in world.machines.items() if accepted_at(machine)} == set(voters)


def deliver_to_all(world, voters):
    """Copy the accepted ledgers to the voters that were not part of the writer's majority."""
    source = next(world.machines[name] for name in voters if accepted_at(world.machines[name]))
    columns = "key, promised, accepted_ballot, value, changed_ms, copied"
    rows = source.disk.connection.execute(
        f"SELECT {columns} FROM register_replica WHERE key LIKE 'ledger/%'"
    ).fetchall()
    for name in voters:
        world.machines[name].disk.connection.executemany(
            f"INSERT OR REPLACE INTO register_replica ({columns}) VALUES (?, ?, ?, ?, ?, ?)", rows
        )


def accepted_at(machine):
    """Return the accepted ballots of the machine's ledgers, including copied ones."""
    rows = machine.disk.connection.execute("SELECT accepted_ballot FROM register_replica WHERE key LIKE 'ledger/%'")
    return [ballot for (ballot,) in rows]


def stop_machines(world, names):
    for name in names:
        world.machines[name].up = False


async def replace_lost(world, lost, new_names):
    """Replace the lost stores in the view by new ones; return as soon as the change has completed."""
    names = [name for name in world.machines if world.machines[name].member in world.view.stable and name not in lost]
    world.announce_view(
        StoreView(world.view.epoch + 1, world.view.stable, world.members([*names, *new_names])), running_names(world)
    )
    machines = [world.machines[name] for name in (*names, *new_names)]
    await world.until(lambda: all(world.view.epoch in machine.synced for machine in machines))
    world.announce_view(StoreView(world.view.epoch + 1, world.view.next), running_names(world))


def running_names(world):
    return [name for name, machine in world.machines.items() if machine.up]


async def assert_budget_is_kept(world, name):
    """A new sender reads the spent and reserved tokens, and can reserve the remaining tokens but not one more."""
    reader = world.client(name)
    assert await asyncio.wait_for(reader.read_ledger(PROGRAM), READ_TIMEOUT_S) == LEDGER_VALUE
    with pytest.raises(BudgetExceededError):
        await reader.reserve(PROGRAM, name, REMAINING + 1, BUDGET, READ_TIMEOUT_S)
    reader.settle(await reader.reserve(PROGRAM, name, REMAINING, BUDGET, READ_TIMEOUT_S), 0)
    await reader.wait_until_settled()
    reader.close()


@pytest.mark.parametrize("voters", list(itertools.combinations("abc", 2)))
@pytest.mark.parametrize("first", "abc")
@pytest.mark.parametrize("second", range(3))
def test_second_loss_right_after_a_replacement_loses_nothing(voters, first, second):
    """`second` is any store of the view after the first loss: a voter, the one that missed the accept, the new store.
    Voters answer slowly, so that a copy that does not wait for them would complete first."""

    async def scene():
        world = World(names="abcde", in_view="abc")
        await spend_at(world, voters)
        stop_machines(world, first)
        for name in voters:
            world.machines[name].delay_s = 0.2
        await replace_lost(world, first, "d")
        second_lost = [name for name in "abcd" if name != first][second]
        stop_machines(world, second_lost)
        await assert_budget_is_kept(world, "between")
        await replace_lost(world, first + second_lost, "e")
        await assert_budget_is_kept(world, "after")

    run(scene())


@pytest.mark.parametrize("voters", list(itertools.combinations("abc", 2)))
@pytest.mark.parametrize("first", "abc")
def test_wiped_store_accepts_nothing_before_it_has_copied(voters, first):
    async def scene():
        world = World(names="abc")
        await spend_at(world, voters)
        world.machines[first].start_empty()
        world.machines[first].store.adopt(world.view)
        await assert_budget_is_kept(world, "beside")
        await replace_lost(world, "", first)
        stop_machines(world, next(name for name in voters if name != first))
        await assert_budget_is_kept(world, "after")

    run(scene())


@pytest.mark.parametrize("voters", list(itertools.combinations("abcde", 3)))
def test_two_losses_at_once_and_two_more_right_after_lose_nothing(voters):
    """f = 2: any two are lost at once, then, right after their replacement, two more, remaining voters first."""

    async def scene(first):
        world = World(names="abcdefg", in_view="abcde", losses=2)
        await spend_at(world, voters)
        stop_machines(world, first)
        await assert_budget_is_kept(world, "between")
        await replace_lost(world, first, "fg")
        remaining = [name for name in "abcde" if name not in first]
        stop_machines(world, sorted(remaining, key=lambda name: name not in voters)[:2])
        await assert_budget_is_kept(world, "after")

    for first in itertools.combinations("abcde", 2):
        run(scene(first))


@pytest.mark.parametrize("holders", ["ab", "abc"])
def test_no_budget_restarts_after_more_losses_than_tolerated(holders):
    """Two of three disks are lost. Whether or not `c` has the value, no majority of the incarnations is left."""

    async def scene():
        world = World(names="abc")
        await spend_at(world, holders)
        for name in "ab":
            world.machines[name].start_empty()
            world.machines[name].store.adopt(world.view)
        changing = StoreView(2, world.view.stable, world.members("abc"))
        world.announce_view(changing)
        await asyncio.sleep(30.0)
        assert all(2 not in machine.synced for machine in world.machines.values()), "no majority is left to copy from"
        reader = world.client("reader")
        with pytest.raises(StoreUnavailableError):
            await reader.reserve(PROGRAM, "new", 1, BUDGET, READ_TIMEOUT_S)

    run(scene())
