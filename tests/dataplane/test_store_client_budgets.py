"""Budgets of programs at the stores: reserved, settled, taken back, and never passed."""

import asyncio

import pytest
from scripted.clock import run
from scripted.stores import World, turn

from dewpin.dataplane.program_store import BudgetSpent, Reservation, StoreUnavailable


def test_a_budget_is_exact_at_its_edge():
    async def scene():
        client = World().client()
        held = await client.reserve("p", "t1", 60, 100, 1.0)
        await client.reserve("p", "t2", 40, 100, 1.0)
        with pytest.raises(BudgetSpent):
            await client.reserve("p", "t3", 1, 100, 1.0)
        client.settle(held, 59)
        await client.reserve("p", "t3", 1, 100, 1.0)
        with pytest.raises(BudgetSpent):
            await client.reserve("p", "t4", 1, 100, 1.0)

    run(scene())


def test_the_next_change_of_the_same_sender_needs_one_round():
    async def scene():
        world = World()
        client = world.client()
        client.settle(await client.reserve("p", "t1", 10, 100, 1.0), 10)
        await client.settled()
        for machine in world.machines.values():
            machine.seen.clear()
        client.settle(await client.reserve("p", "t2", 10, 100, 1.0), 10)
        await client.settled()
        return sorted(machine.seen for machine in world.machines.values())

    assert run(scene()) == [[], ["ledger.accept", "ledger.accept"], ["ledger.accept", "ledger.accept"]]


def test_two_senders_that_reserve_at_once_never_pass_the_budget():
    async def scene():
        world = World()
        clients = [world.client(f"s{number}", seed=number) for number in range(4)]
        results = await asyncio.gather(
            *(client.reserve("p", f"t{n}", 10, 100, 5.0) for n, client in enumerate(clients * 5)),
            return_exceptions=True,
        )
        return sorted(type(result).__name__ for result in results)

    assert run(scene()) == ["BudgetSpent"] * 10 + ["Reservation"] * 10


def test_a_refused_turn_gives_its_tokens_back():
    async def scene():
        client = World().client()
        client.settle(await client.reserve("p", "t1", 100, 100, 1.0), 0)
        return await client.reserve("p", "t2", 100, 100, 1.0)

    assert run(scene()) == Reservation("p", "t2", 100)


def test_a_reservation_of_a_sender_that_died_stays_counted():
    async def scene():
        world = World()
        await world.client("dead").reserve("p", "t1", 60, 100, 1.0)
        with pytest.raises(BudgetSpent):
            await world.client("alive").reserve("p", "t2", 60, 100, 1.0)

    run(scene())


def test_the_budget_is_not_called_spent_on_a_value_that_is_out_of_date():
    async def scene():
        world = World()
        one, two = world.client("one"), world.client("two")
        held = await one.reserve("p", "t1", 100, 100, 1.0)
        with pytest.raises(BudgetSpent):
            await two.reserve("p", "t2", 100, 100, 1.0)
        one.settle(held, 0)
        await one.settled()
        return await two.reserve("p", "t2", 100, 100, 1.0)

    assert run(scene()).turn == "t2"


def test_a_reservation_with_an_unclear_end_is_taken_back():
    async def scene():
        world = World()
        client = world.client()
        for machine in world.machines.values():
            machine.loses_answers = True
        with pytest.raises(StoreUnavailable):
            await client.reserve("p", "t1", 100, 100, 0.5)
        for machine in world.machines.values():
            machine.loses_answers = False
        await client.settled()
        return await world.client("other").reserve("p", "t2", 100, 100, 1.0)

    assert run(scene()).turn == "t2"


def test_a_sender_that_dies_between_the_rounds_blocks_nobody():
    async def scene():
        world = World()
        for machine in world.machines.values():
            machine.refuses = {"ledger.accept"}
        dying = world.client("dying")
        with pytest.raises(StoreUnavailable):
            await dying.reserve("p", "t1", 10, 100, 0.2)
        dying.close()
        for machine in world.machines.values():
            machine.refuses = set()
        return await world.client("alive").reserve("p", "t2", 100, 100, 1.0)

    assert run(scene()).turn == "t2"


async def accepted_by_one(world, name):
    """Let a sender die whose reservation of 60 tokens only one replica accepted."""
    others = [machine for machine in world.machines.values() if machine.name != name]
    for machine in others:
        machine.refuses = {"ledger.accept"}
    dying = world.client("dying")
    with pytest.raises(StoreUnavailable):
        await dying.reserve("p", "t1", 60, 100, 0.2)
    dying.close()
    assert "ledger.accept" in world.machines[name].seen
    for machine in others:
        machine.refuses = set()


def test_a_change_that_a_minority_accepted_is_finished_by_whoever_meets_it():
    async def scene():
        world = World()
        await accepted_by_one(world, "a")
        world.machines["b"].up = False
        with pytest.raises(BudgetSpent):  # what `a` accepted was met, finished, and counts from now on
            await world.client("alive", seed=2).reserve("p", "t2", 60, 100, 1.0)
        world.machines["b"].up = True
        world.machines["a"].up = False
        with pytest.raises(BudgetSpent):
            await world.client("third", seed=3).reserve("p", "t3", 60, 100, 1.0)

    run(scene())


def test_a_change_that_a_minority_accepted_is_gone_once_another_was_chosen():
    async def scene():
        world = World()
        await accepted_by_one(world, "a")
        world.machines["a"].up = False
        await world.client("alive", seed=2).reserve("p", "t2", 60, 100, 1.0)
        world.machines["a"].up = True
        for absent in "bc":
            world.machines[absent].up = False
            third = world.client("third", seed=3)
            assert await third.read_ledger("p") == {"spent": 0, "open": {"t2": 60}}
            with pytest.raises(BudgetSpent):
                await third.reserve("p", "t3", 60, 100, 1.0)
            world.machines[absent].up = True

    run(scene())


def test_a_full_disk_at_one_replica_stops_nothing_and_at_two_everything_but_lies():
    async def scene():
        world = World()
        client = world.client()
        world.machines["a"].disk.full = True
        await client.reserve("p", "t1", 60, 100, 1.0)
        await client.append(turn("t1"), 1.0)
        world.machines["b"].disk.full = True
        with pytest.raises(StoreUnavailable):
            await client.append(turn("t2", "t1"), 0.5)
        with pytest.raises(StoreUnavailable):
            await client.reserve("p", "t2", 60, 100, 0.5)
        for machine in world.machines.values():
            machine.disk.full = False
        await client.settled()
        await client.reserve("p", "t3", 40, 100, 1.0)
        with pytest.raises(BudgetSpent):
            await client.reserve("p", "t4", 1, 100, 1.0)

    run(scene())
