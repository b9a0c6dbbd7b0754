"""Ledgers that stand on a bare majority of their replicas: losses within the fault tolerance, one after the other, take
no reservation and no spent token away; beyond it no budget is begun anew, however many copies there are."""

import asyncio
import itertools

import pytest
from scripted.clock import run
from scripted.stores import World

from dewpin.cluster.store_view import StoreView
from dewpin.dataplane.programs.errors import BudgetExceededError, StoreUnavailableError

PROGRAM = "p"
BUDGET = 100
HELD = {"spent": 40, "open": {"running": 30}}
LEFT = BUDGET - 40 - 30
READ_WITHIN_S = 5.0


async def spend_at(world, voters):
    """Let exactly these stores take a settlement and a reservation, from a sender that dies then."""
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
    """Let those voters that the writer did not need take what the others took."""
    asked = next(world.machines[name] for name in voters if accepted_at(world.machines[name]))
    columns = "key, promised, accepted_ballot, value, changed_ms, copied"
    rows = asked.disk.connection.execute(f"SELECT {columns} FROM register_replica WHERE key LIKE 'ledger/%'").fetchall()
    for name in voters:
        world.machines[name].disk.connection.executemany(
            f"INSERT OR REPLACE INTO register_replica ({columns}) VALUES (?, ?, ?, ?, ?, ?)", rows
        )


def accepted_at(machine):
    """The ballots of the machine's ledgers, copied ones included."""
    rows = machine.disk.connection.execute("SELECT accepted_ballot FROM register_replica WHERE key LIKE 'ledger/%'")
    return [ballot for (ballot,) in rows]


def lose(world, names):
    for name in names:
        world.machines[name].up = False


async def replace_lost(world, lost, newcomers):
    """Change the view from what was lost to the newcomers; return as soon as the change has ended."""
    names = [name for name in world.machines if world.machines[name].member in world.view.stable and name not in lost]
    world.announce_view(
        StoreView(world.view.epoch + 1, world.view.stable, world.members([*names, *newcomers])), live(world)
    )
    machines = [world.machines[name] for name in (*names, *newcomers)]
    await world.until(lambda: all(world.view.epoch in machine.synced for machine in machines))
    world.announce_view(StoreView(world.view.epoch + 1, world.view.next), live(world))


def live(world):
    return [name for name, machine in world.machines.items() if machine.up]


async def assert_budget_is_kept(world, name):
    """A sender that knows nothing reads what was spent and reserved, gets what is left and not a token more."""
    reader = world.client(name)
    assert await asyncio.wait_for(reader.read_ledger(PROGRAM), READ_WITHIN_S) == HELD
    with pytest.raises(BudgetExceededError):
        await reader.reserve(PROGRAM, name, LEFT + 1, BUDGET, READ_WITHIN_S)
    reader.settle(await reader.reserve(PROGRAM, name, LEFT, BUDGET, READ_WITHIN_S), 0)
    await reader.wait_until_settled()
    reader.close()


@pytest.mark.parametrize("voters", list(itertools.combinations("abc", 2)))
@pytest.mark.parametrize("first", "abc")
@pytest.mark.parametrize("second", range(3))
def test_second_loss_right_after_a_replacement_loses_nothing(voters, first, second):
    """`second` is any store of the view after the first loss: a voter, the one that missed the accept, the newcomer.
    Voters answer slowly, so that a copy that ended without them would be first."""

    async def scene():
        world = World(names="abcde", in_view="abc")
        await spend_at(world, voters)
        lose(world, first)
        for name in voters:
            world.machines[name].delay_s = 0.2
        await replace_lost(world, first, "d")
        second_lost = [name for name in "abcd" if name != first][second]
        lose(world, second_lost)
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
        lose(world, next(name for name in voters if name != first))
        await assert_budget_is_kept(world, "after")

    run(scene())


@pytest.mark.parametrize("voters", list(itertools.combinations("abcde", 3)))
def test_two_losses_at_once_and_two_more_right_after_lose_nothing(voters):
    """f = 2: any two are lost at once, and right after their replacement those that voted, as far as they are left."""

    async def scene(first):
        world = World(names="abcdefg", in_view="abcde", losses=2)
        await spend_at(world, voters)
        lose(world, first)
        await assert_budget_is_kept(world, "between")
        await replace_lost(world, first, "fg")
        remaining = [name for name in "abcde" if name not in first]
        lose(world, sorted(remaining, key=lambda name: name not in voters)[:2])
        await assert_budget_is_kept(world, "after")

    for first in itertools.combinations("abcde", 2):
        run(scene(first))


@pytest.mark.parametrize("holders", ["ab", "abc"])
def test_no_budget_restarts_after_more_losses_than_tolerated(holders):
    """Two of three disks are lost. What `c` holds, or not, is of no use: no majority of these incarnations is left."""

    async def scene():
        world = World(names="abc")
        await spend_at(world, holders)
        for name in "ab":
            world.machines[name].start_empty()
            world.machines[name].store.adopt(world.view)
        changing = StoreView(2, world.view.stable, world.members("abc"))
        world.announce_view(changing)
        await asyncio.sleep(30.0)
        assert all(2 not in machine.synced for machine in world.machines.values()), "no majority to copy from is left"
        reader = world.client("reader")
        with pytest.raises(StoreUnavailableError):
            await reader.reserve(PROGRAM, "new", 1, BUDGET, READ_WITHIN_S)

    run(scene())
