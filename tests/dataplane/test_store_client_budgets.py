"""Budgets of programs at the stores: reserved, settled, taken back, and never passed."""

import asyncio
import random

import pytest
from scripted.clock import run
from scripted.stores import World, turn

from dewpin.cluster.store_view import StoreView
from dewpin.dataplane.programs.errors import BudgetExceededError, StoreUnavailableError
from dewpin.dataplane.programs.program_store import Reservation, Settlement


def test_a_budget_is_exact_at_its_edge():
    async def scene():
        client = World().client()
        held = await client.reserve("p", "t1", 60, 100, 1.0)
        await client.reserve("p", "t2", 40, 100, 1.0)
        with pytest.raises(BudgetExceededError):
            await client.reserve("p", "t3", 1, 100, 1.0)
        client.settle(held, 59)
        await client.reserve("p", "t3", 1, 100, 1.0)
        with pytest.raises(BudgetExceededError):
            await client.reserve("p", "t4", 1, 100, 1.0)

    run(scene())


def test_the_next_change_of_the_same_sender_needs_one_round():
    async def scene():
        world = World()
        client = world.client()
        client.settle(await client.reserve("p", "t1", 10, 100, 1.0), 10)
        await client.wait_until_settled()
        for machine in world.machines.values():
            machine.seen.clear()
        client.settle(await client.reserve("p", "t2", 10, 100, 1.0), 10)
        await client.wait_until_settled()
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

    assert run(scene()) == ["BudgetExceededError"] * 10 + ["Reservation"] * 10


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
        with pytest.raises(BudgetExceededError):
            await world.client("alive").reserve("p", "t2", 60, 100, 1.0)

    run(scene())


def test_the_budget_is_not_called_spent_on_a_value_that_is_out_of_date():
    async def scene():
        world = World()
        one, two = world.client("one"), world.client("two")
        held = await one.reserve("p", "t1", 100, 100, 1.0)
        with pytest.raises(BudgetExceededError):
            await two.reserve("p", "t2", 100, 100, 1.0)
        one.settle(held, 0)
        await one.wait_until_settled()
        return await two.reserve("p", "t2", 100, 100, 1.0)

    assert run(scene()).turn_id == "t2"


def test_a_reservation_with_an_unclear_end_is_taken_back():
    async def scene():
        world = World()
        client = world.client()
        for machine in world.machines.values():
            machine.loses_answers = True
        with pytest.raises(StoreUnavailableError):
            await client.reserve("p", "t1", 100, 100, 0.5)
        for machine in world.machines.values():
            machine.loses_answers = False
        await client.wait_until_settled()
        return await world.client("other").reserve("p", "t2", 100, 100, 1.0)

    assert run(scene()).turn_id == "t2"


def test_a_sender_that_dies_between_the_rounds_blocks_nobody():
    async def scene():
        world = World()
        for machine in world.machines.values():
            machine.refuses = {"ledger.accept"}
        dying = world.client("dying")
        with pytest.raises(StoreUnavailableError):
            await dying.reserve("p", "t1", 10, 100, 0.2)
        dying.close()
        for machine in world.machines.values():
            machine.refuses = set()
        return await world.client("alive").reserve("p", "t2", 100, 100, 1.0)

    assert run(scene()).turn_id == "t2"


async def accepted_by_one(world, name):
    """Let a sender die whose reservation of 60 tokens only one replica accepted."""
    others = [machine for machine in world.machines.values() if machine.name != name]
    for machine in others:
        machine.refuses = {"ledger.accept"}
    dying = world.client("dying")
    with pytest.raises(StoreUnavailableError):
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
        with pytest.raises(BudgetExceededError):  # what `a` accepted was met, finished, and counts from now on
            await world.client("alive", seed=2).reserve("p", "t2", 60, 100, 1.0)
        world.machines["b"].up = True
        world.machines["a"].up = False
        with pytest.raises(BudgetExceededError):
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
            with pytest.raises(BudgetExceededError):
                await third.reserve("p", "t3", 60, 100, 1.0)
            world.machines[absent].up = True

    run(scene())


def test_a_full_disk_at_one_replica_stops_nothing_and_at_two_everything_but_lies():
    async def scene():
        world = World()
        client = world.client()
        world.machines["a"].disk.full = True
        await client.reserve("p", "t1", 60, 100, 1.0)
        await client.store_turn(turn("t1"), 1.0)
        world.machines["b"].disk.full = True
        with pytest.raises(StoreUnavailableError):
            await client.store_turn(turn("t2", "t1"), 0.5)
        with pytest.raises(StoreUnavailableError):
            await client.reserve("p", "t2", 60, 100, 0.5)
        for machine in world.machines.values():
            machine.disk.full = False
        await client.wait_until_settled()
        await client.reserve("p", "t3", 40, 100, 1.0)
        with pytest.raises(BudgetExceededError):
            await client.reserve("p", "t4", 1, 100, 1.0)

    run(scene())


async def kept_with_its_settlement(client, name, previous=None, most=60, used=7, budget=100):
    """Let a turn be reserved, kept and settled at once."""
    held = await client.reserve("p", name, most, budget, 1.0)
    await client.store_turn(turn(name, previous), 1.0, Settlement(held, used))


def test_a_turn_that_is_kept_carries_its_settlement():
    async def scene():
        world = World()
        client = world.client()
        held = await client.reserve("p", "t1", 60, 100, 1.0)
        for machine in world.machines.values():
            machine.seen.clear()
        await client.store_turn(turn("t1"), 1.0, Settlement(held, 7))
        await client.wait_until_settled()
        seen = sorted(machine.seen for machine in world.machines.values())
        assert seen == [[], ["turn.put"], ["turn.put"]]
        assert await world.client("reader").read_ledger("p") == {"spent": 7, "open": {}}
        return client

    run(scene())


def test_the_promise_beside_a_carried_settlement_serves_the_next_turn():
    async def scene():
        world = World()
        client = world.client()
        await kept_with_its_settlement(client, "t1")
        for machine in world.machines.values():
            machine.seen.clear()
        await kept_with_its_settlement(client, "t2", "t1")
        await client.wait_until_settled()
        return sorted(machine.seen for machine in world.machines.values())

    assert run(scene()) == [[], ["ledger.accept", "turn.put"], ["ledger.accept", "turn.put"]]


def test_a_settlement_is_made_behind_where_another_sender_has_changed_the_ledger():
    async def scene():
        world = World()
        one, two = world.client("one"), world.client("two")
        held = await one.reserve("p", "t1", 60, 100, 1.0)
        await two.reserve("p", "t2", 20, 100, 1.0)
        await one.store_turn(turn("t1"), 1.0, Settlement(held, 7))
        await one.wait_until_settled()
        assert await world.client("reader").read_ledger("p") == {"spent": 7, "open": {"t2": 20}}

    run(scene())


def test_a_settlement_is_made_though_its_turn_cannot_be_kept():
    async def scene():
        world = World()
        client = world.client()
        held = await client.reserve("p", "t1", 60, 100, 1.0)
        for machine in world.machines.values():
            machine.refuses = {"turn.put"}
        with pytest.raises(StoreUnavailableError):
            await client.store_turn(turn("t1"), 0.3, Settlement(held, 7))
        await client.wait_until_settled()
        assert await world.client("reader").read_ledger("p") == {"spent": 7, "open": {}}
        client.close()

    run(scene())


def test_stores_of_an_earlier_release_keep_the_turn_and_are_settled_with_behind():
    async def scene():
        world = World()
        for machine in world.machines.values():
            put = machine.store.handlers["turn.put"]

            def without_ballots(message, put=put):
                return put({key: value for key, value in message.items() if key != "accept"})

            machine.store.handlers["turn.put"] = without_ballots
            world.network.handlers[machine.address] = machine.store.handlers
        client = world.client()
        await kept_with_its_settlement(client, "t1")
        await client.wait_until_settled()
        reader = world.client("reader")
        assert await reader.read_ledger("p") == {"spent": 7, "open": {}}
        assert await reader.read_history("p", "t1", 1.0) == b"<t1>"

    run(scene())


def test_a_settlement_beside_another_change_of_the_same_sender_is_taken_along_by_that():
    async def scene():
        world = World()
        client = world.client()
        held = await client.reserve("p", "t1", 60, 100, 1.0)
        _, other = await asyncio.gather(
            client.store_turn(turn("t1"), 1.0, Settlement(held, 7)), client.reserve("p", "t2", 50, 100, 1.0)
        )
        await client.wait_until_settled()
        assert await world.client("reader").read_ledger("p") == {"spent": 7, "open": {"t2": other.max_tokens}}

    run(scene())


def test_a_settlement_whose_view_moves_under_way_is_made_under_the_new_one():
    async def scene():
        world = World(names=("a", "b", "c", "d"), in_view=("a", "b", "c"))
        client = world.client()
        held = await client.reserve("p", "t1", 60, 100, 1.0)
        changing = StoreView(2, world.view.stable, world.members("abd"))
        world.tell(changing)
        await client.store_turn(turn("t1"), 1.0, Settlement(held, 7))
        await client.wait_until_settled()
        assert await world.client("reader").read_ledger("p") == {"spent": 7, "open": {}}

    run(scene())


@pytest.mark.parametrize("seed", range(6))
def test_turns_of_many_senders_that_carry_their_settlements_add_up(seed):
    async def scene():
        world = World()
        rng = random.Random(seed)
        clients = [world.client(f"s{number}", seed=number) for number in range(4)]

        async def one_turn(number):
            client = rng.choice(clients)
            held = await client.reserve("p", f"t{number}", 10, 1000, 5.0)
            await asyncio.sleep(rng.random() * 0.01)
            await client.store_turn(turn(f"t{number}"), 5.0, Settlement(held, number))

        await asyncio.gather(*(one_turn(number) for number in range(20)))
        for client in clients:
            await client.wait_until_settled()
        assert await world.client("reader").read_ledger("p") == {"spent": sum(range(20)), "open": {}}

    run(scene())


def test_a_turn_carries_no_ballot_into_a_newer_view():
    """Its majorities are those of the view that its promises were given under."""

    async def scene():
        world = World(names=("a", "b", "c", "d"), in_view=("a", "b", "c"))
        client = world.client()
        held = await client.reserve("p", "t1", 60, 100, 1.0)
        world.tell(StoreView(2, world.view.stable, world.members("abd")))
        carried = []
        for machine in world.machines.values():
            put = machine.store.handlers["turn.put"]

            def noted(message, put=put):
                carried.append((message["epoch"], "accept" in message))
                return put(message)

            world.network.handlers[machine.address] = {**machine.store.handlers, "turn.put": noted}
        await client.store_turn(turn("t1"), 1.0, Settlement(held, 7))
        await client.wait_until_settled()
        return set(carried)

    assert run(scene()) == {(1, True), (2, False)}
