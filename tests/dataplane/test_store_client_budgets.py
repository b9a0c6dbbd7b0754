"""Program budgets at the stores: reservations, settlements and releases, and the limit that is never exceeded."""

import asyncio
import random

import pytest
from scripted.clock import run
from scripted.stores import World, turn

from dewpin.cluster.store_view import StoreView
from dewpin.dataplane.programs.errors import BudgetExceededError, StoreUnavailableError
from dewpin.dataplane.programs.program_store import Reservation, Settlement


def test_budget_can_be_reserved_to_the_last_token():
    async def scenario():
        client = World().client()
        reservation = await client.reserve("p", "t1", 60, 100, 1.0)
        await client.reserve("p", "t2", 40, 100, 1.0)
        with pytest.raises(BudgetExceededError):
            await client.reserve("p", "t3", 1, 100, 1.0)
        client.settle(reservation, 59)
        await client.reserve("p", "t3", 1, 100, 1.0)
        with pytest.raises(BudgetExceededError):
            await client.reserve("p", "t4", 1, 100, 1.0)

    run(scenario())


def test_next_ledger_change_of_the_same_sender_skips_the_prepare_phase():
    async def scenario():
        world = World()
        client = world.client()
        client.settle(await client.reserve("p", "t1", 10, 100, 1.0), 10)
        await client.wait_until_settled()
        for machine in world.machines.values():
            machine.received_types.clear()
        client.settle(await client.reserve("p", "t2", 10, 100, 1.0), 10)
        await client.wait_until_settled()
        return sorted(machine.received_types for machine in world.machines.values())

    assert run(scenario()) == [[], ["ledger.accept", "ledger.accept"], ["ledger.accept", "ledger.accept"]]


def test_concurrent_reservations_of_two_senders_stay_within_the_budget():
    async def scenario():
        world = World()
        clients = [world.client(f"s{number}", seed=number) for number in range(4)]
        results = await asyncio.gather(
            *(client.reserve("p", f"t{n}", 10, 100, 5.0) for n, client in enumerate(clients * 5)),
            return_exceptions=True,
        )
        return sorted(type(result).__name__ for result in results)

    assert run(scenario()) == ["BudgetExceededError"] * 10 + ["Reservation"] * 10


def test_rejected_turn_releases_its_tokens():
    async def scenario():
        client = World().client()
        client.settle(await client.reserve("p", "t1", 100, 100, 1.0), 0)
        return await client.reserve("p", "t2", 100, 100, 1.0)

    assert run(scenario()) == Reservation("p", "t2", 100)


def test_reservation_of_a_crashed_sender_stays_counted():
    async def scenario():
        world = World()
        await world.client("dead").reserve("p", "t1", 60, 100, 1.0)
        with pytest.raises(BudgetExceededError):
            await world.client("alive").reserve("p", "t2", 60, 100, 1.0)

    run(scenario())


def test_outdated_ledger_value_does_not_cause_a_budget_error():
    async def scenario():
        world = World()
        one, two = world.client("one"), world.client("two")
        reservation = await one.reserve("p", "t1", 100, 100, 1.0)
        with pytest.raises(BudgetExceededError):
            await two.reserve("p", "t2", 100, 100, 1.0)
        one.settle(reservation, 0)
        await one.wait_until_settled()
        return await two.reserve("p", "t2", 100, 100, 1.0)

    assert run(scenario()).turn_id == "t2"


def test_reservation_with_unknown_outcome_is_released():
    async def scenario():
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

    assert run(scenario()).turn_id == "t2"


def test_sender_that_crashes_between_prepare_and_accept_blocks_nobody():
    async def scenario():
        world = World()
        for machine in world.machines.values():
            machine.dropped_types = {"ledger.accept"}
        crashing = world.client("dying")
        with pytest.raises(StoreUnavailableError):
            await crashing.reserve("p", "t1", 10, 100, 0.2)
        crashing.close()
        for machine in world.machines.values():
            machine.dropped_types = set()
        return await world.client("alive").reserve("p", "t2", 100, 100, 1.0)

    assert run(scenario()).turn_id == "t2"


async def let_one_replica_accept(world, name):
    """Crash a sender whose reservation of 60 tokens was accepted by only one replica."""
    others = [machine for machine in world.machines.values() if machine.name != name]
    for machine in others:
        machine.dropped_types = {"ledger.accept"}
    crashing = world.client("dying")
    with pytest.raises(StoreUnavailableError):
        await crashing.reserve("p", "t1", 60, 100, 0.2)
    crashing.close()
    assert "ledger.accept" in world.machines[name].received_types
    for machine in others:
        machine.dropped_types = set()


def test_change_accepted_by_a_minority_is_completed_by_the_next_ballot_that_finds_it():
    async def scenario():
        world = World()
        await let_one_replica_accept(world, "a")
        world.machines["b"].up = False
        with pytest.raises(BudgetExceededError):  # the ballot completes the change that `a` accepted, which now counts
            await world.client("alive", seed=2).reserve("p", "t2", 60, 100, 1.0)
        world.machines["b"].up = True
        world.machines["a"].up = False
        with pytest.raises(BudgetExceededError):
            await world.client("third", seed=3).reserve("p", "t3", 60, 100, 1.0)

    run(scenario())


def test_change_accepted_by_a_minority_is_lost_once_another_is_chosen():
    async def scenario():
        world = World()
        await let_one_replica_accept(world, "a")
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

    run(scenario())


def test_full_disk_of_one_replica_is_tolerated_and_of_two_fails_operations():
    async def scenario():
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

    run(scenario())


def test_ledger_read_asks_the_replicas_despite_a_remembered_promise():
    async def scenario():
        world = World()
        one, two = world.client("one"), world.client("two")
        await one.reserve("p", "t1", 60, 100, 1.0)
        await two.reserve("p", "t2", 20, 100, 1.0)
        return await one.read_ledger("p")

    assert run(scenario()) == {"spent": 0, "open": {"t1": 60, "t2": 20}}


async def store_with_settlement(client, name, previous=None, max_tokens=60, used=7, budget=100):
    """Reserve tokens for a turn, and store it together with its settlement."""
    reservation = await client.reserve("p", name, max_tokens, budget, 1.0)
    await client.store_turn(turn(name, previous), 1.0, Settlement(reservation, used))


def test_settlement_is_piggybacked_on_the_write_of_its_turn():
    async def scenario():
        world = World()
        client = world.client()
        reservation = await client.reserve("p", "t1", 60, 100, 1.0)
        for machine in world.machines.values():
            machine.received_types.clear()
        await client.store_turn(turn("t1"), 1.0, Settlement(reservation, 7))
        await client.wait_until_settled()
        seen = sorted(machine.received_types for machine in world.machines.values())
        assert seen == [[], ["turn.put"], ["turn.put"]]
        assert await world.client("reader").read_ledger("p") == {"spent": 7, "open": {}}
        return client

    run(scenario())


def test_promise_of_a_piggybacked_settlement_is_used_by_the_next_turn():
    async def scenario():
        world = World()
        client = world.client()
        await store_with_settlement(client, "t1")
        for machine in world.machines.values():
            machine.received_types.clear()
        await store_with_settlement(client, "t2", "t1")
        await client.wait_until_settled()
        return sorted(machine.received_types for machine in world.machines.values())

    assert run(scenario()) == [[], ["ledger.accept", "turn.put"], ["ledger.accept", "turn.put"]]


def test_settlement_is_made_in_the_background_if_another_sender_changed_the_ledger():
    async def scenario():
        world = World()
        one, two = world.client("one"), world.client("two")
        reservation = await one.reserve("p", "t1", 60, 100, 1.0)
        await two.reserve("p", "t2", 20, 100, 1.0)
        await one.store_turn(turn("t1"), 1.0, Settlement(reservation, 7))
        await one.wait_until_settled()
        assert await world.client("reader").read_ledger("p") == {"spent": 7, "open": {"t2": 20}}

    run(scenario())


def test_settlement_is_made_even_if_its_turn_cannot_be_stored():
    async def scenario():
        world = World()
        client = world.client()
        reservation = await client.reserve("p", "t1", 60, 100, 1.0)
        for machine in world.machines.values():
            machine.dropped_types = {"turn.put"}
        with pytest.raises(StoreUnavailableError):
            await client.store_turn(turn("t1"), 0.3, Settlement(reservation, 7))
        await client.wait_until_settled()
        assert await world.client("reader").read_ledger("p") == {"spent": 7, "open": {}}
        client.close()

    run(scenario())


def test_stores_of_an_earlier_release_store_the_turn_and_are_settled_in_the_background():
    async def scenario():
        world = World()
        for machine in world.machines.values():
            put = machine.store.handlers["turn.put"]

            def without_ballots(message, put=put):
                return put({key: value for key, value in message.items() if key != "accept"})

            machine.store.handlers["turn.put"] = without_ballots
            world.network.handlers[machine.address] = machine.store.handlers
        client = world.client()
        await store_with_settlement(client, "t1")
        await client.wait_until_settled()
        reader = world.client("reader")
        assert await reader.read_ledger("p") == {"spent": 7, "open": {}}
        assert (await reader.read_history("p", "t1", 1.0)).content == b"<t1>"

    run(scenario())


def test_settlement_during_another_change_of_the_same_sender_is_made_by_that_change():
    async def scenario():
        world = World()
        client = world.client()
        reservation = await client.reserve("p", "t1", 60, 100, 1.0)
        _, other = await asyncio.gather(
            client.store_turn(turn("t1"), 1.0, Settlement(reservation, 7)), client.reserve("p", "t2", 50, 100, 1.0)
        )
        await client.wait_until_settled()
        assert await world.client("reader").read_ledger("p") == {"spent": 7, "open": {"t2": other.max_tokens}}

    run(scenario())


def test_settlement_is_made_under_the_new_view_if_the_view_changes_meanwhile():
    async def scenario():
        world = World(names=("a", "b", "c", "d"), in_view=("a", "b", "c"))
        client = world.client()
        reservation = await client.reserve("p", "t1", 60, 100, 1.0)
        next_view = StoreView(2, world.view.stable, world.members("abd"))
        world.announce_view(next_view)
        await client.store_turn(turn("t1"), 1.0, Settlement(reservation, 7))
        await client.wait_until_settled()
        assert await world.client("reader").read_ledger("p") == {"spent": 7, "open": {}}

    run(scenario())


@pytest.mark.parametrize("seed", range(6))
def test_piggybacked_settlements_of_many_senders_add_up(seed):
    async def scenario():
        world = World()
        rng = random.Random(seed)
        clients = [world.client(f"s{number}", seed=number) for number in range(4)]

        async def one_turn(number):
            client = rng.choice(clients)
            reservation = await client.reserve("p", f"t{number}", 10, 1000, 5.0)
            await asyncio.sleep(rng.random() * 0.01)
            await client.store_turn(turn(f"t{number}"), 5.0, Settlement(reservation, number))

        await asyncio.gather(*(one_turn(number) for number in range(20)))
        for client in clients:
            await client.wait_until_settled()
        assert await world.client("reader").read_ledger("p") == {"spent": sum(range(20)), "open": {}}

    run(scenario())


def test_ballot_is_not_piggybacked_under_a_newer_view():
    """A ballot needs majorities of the view under which its promises were given."""

    async def scenario():
        world = World(names=("a", "b", "c", "d"), in_view=("a", "b", "c"))
        client = world.client()
        reservation = await client.reserve("p", "t1", 60, 100, 1.0)
        world.announce_view(StoreView(2, world.view.stable, world.members("abd")))
        puts = []
        for machine in world.machines.values():
            put = machine.store.handlers["turn.put"]

            def record_put(message, put=put):
                puts.append((message["epoch"], "accept" in message))
                return put(message)

            world.network.handlers[machine.address] = {**machine.store.handlers, "turn.put": record_put}
        await client.store_turn(turn("t1"), 1.0, Settlement(reservation, 7))
        await client.wait_until_settled()
        return set(puts)

    assert run(scenario()) == {(1, True), (2, False)}
