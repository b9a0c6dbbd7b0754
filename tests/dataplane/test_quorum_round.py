"""Quorum rounds: the replicas asked first, and when the others are asked."""

import asyncio
import itertools

import pytest
from scripted.clock import run
from scripted.stores import World, turn

from dewpin.cluster.placement import majority
from dewpin.cluster.store_view import StoreView
from dewpin.dataplane.programs.quorum_round import MAX_HEDGE_DELAY_S, MIN_HEDGE_DELAY_S, nearest_majorities


@pytest.mark.parametrize("size", [1, 2, 3, 5])
def test_nearest_majority_of_one_set_has_its_nearest_members(size):
    members = "abcdefg"[:size]
    chosen = nearest_majorities([frozenset(members)], list(members))
    assert sorted(chosen) == list(members[: majority(size)])


def test_nearest_majorities_cover_each_set_for_any_ranking():
    sets = [frozenset("abc"), frozenset("bcd"), frozenset("defgh")]
    for ranked in itertools.islice(itertools.permutations("abcdefgh"), 0, None, 97):
        chosen = set(nearest_majorities(sets, list(ranked)))
        assert all(len(chosen & members) >= majority(len(members)) for members in sets)


def test_nearest_majorities_share_members_of_several_sets():
    assert set(nearest_majorities([frozenset("abc"), frozenset("abd")], list("dabc"))) == {"a", "b"}


def asked_machines(world, kind="turn.put"):
    return sorted(name for name, machine in world.machines.items() if kind in machine.received_types)


def test_other_replicas_are_asked_after_the_hedge_delay():
    async def scenario():
        world = World(names="abcde", losses=2)
        world.set_locations({"a": "r/near", "b": "r/near", "c": "r/near", "d": "r/far", "e": "r/far"})
        client = world.client(location="r/near")
        await client.store_turn(turn("before"), 1.0)
        await client.wait_until_settled()
        for machine in world.machines.values():
            del machine.received_types[:]
        world.machines["a"].frozen = world.machines["b"].frozen = True
        started_s = asyncio.get_running_loop().time()
        await client.store_turn(turn("t"), 1.0)
        return asked_machines(world), asyncio.get_running_loop().time() - started_s

    names, took_s = run(scenario())
    assert names == ["c", "d", "e"]
    assert MIN_HEDGE_DELAY_S <= took_s < MIN_HEDGE_DELAY_S + 0.01


def test_other_replicas_are_asked_at_once_after_a_malformed_reply():
    async def scenario():
        world = World()

        async def respond_malformed(message):
            return {"type": "unknown reply"}

        world.machines["a"].store.handlers["turn.put"] = respond_malformed
        client = world.client()
        started_s = asyncio.get_running_loop().time()
        await client.reserve("p", "t", 5, 10, 1.0)
        await client.store_turn(turn("t"), 1.0)
        return asyncio.get_running_loop().time() - started_s

    assert run(scenario()) < MAX_HEDGE_DELAY_S


def test_hedge_delay_grows_with_the_latency_of_the_replicas():
    """If all replicas are slow because of high load, asking more of them would only add to the load."""

    async def scenario():
        world = World(names="abcde", losses=2, delay_s=0.03)
        client = world.client()
        for number in range(10):
            await client.store_turn(turn(f"t{number}"), 1.0)
        await client.wait_until_settled()
        return {name: machine.received_types.count("turn.put") for name, machine in world.machines.items()}

    put_counts = run(scenario())
    assert sum(put_counts.values()) <= 10 * 3 + 2


def test_budget_holds_for_senders_with_different_nearest_majorities():
    async def scenario():
        world = World(names="abcde", losses=2)
        world.set_locations({name: f"r/{name}" for name in "abcde"})
        clients = [
            world.client(f"sender-{name}", seed=number, location=f"r/{name}") for number, name in enumerate("abcde")
        ]
        committed_tokens = 0
        for number in range(40):
            client = clients[number % len(clients)]
            try:
                reservation = await client.reserve("p", f"t{number}", 10, 100, 1.0)
            except Exception as error:
                assert type(error).__name__ == "BudgetExceededError"
                continue
            committed_tokens += 10
            client.settle(reservation, 5)
            await client.wait_until_settled()
            committed_tokens -= 5
        ledger = await clients[0].read_ledger("p")
        return committed_tokens, ledger

    committed_tokens, ledger = run(scenario())
    assert ledger == {"spent": committed_tokens, "open": {}}
    assert 90 < committed_tokens <= 100


def test_unresponsive_replica_is_probed_until_it_replies_and_delays_no_write():
    async def scenario():
        world = World()
        client = world.client()
        await client.store_turn(turn("before"), 1.0)
        await client.wait_until_settled()
        world.machines["a"].frozen = True
        longest_s = 0.0
        for number in range(30):
            started_s = asyncio.get_running_loop().time()
            await client.store_turn(turn(f"t{number}"), 1.0)
            if number > 1:
                longest_s = max(longest_s, asyncio.get_running_loop().time() - started_s)
            await asyncio.sleep(0.5)
        world.machines["a"].frozen = False
        for number in range(30, 40):
            await client.store_turn(turn(f"t{number}"), 1.0)
            await asyncio.sleep(0.5)
        world.machines["b"].up = False
        started_s = asyncio.get_running_loop().time()
        await client.store_turn(turn("last"), 1.0)
        return longest_s, asyncio.get_running_loop().time() - started_s

    longest_s, last_s = run(scenario())
    assert longest_s < MIN_HEDGE_DELAY_S
    assert last_s < MIN_HEDGE_DELAY_S


def test_new_replica_is_relied_on_only_after_its_first_reply():
    async def scenario():
        world = World(names="abcd", in_view="abc")
        client = world.client()
        await client.store_turn(turn("before"), 1.0)
        await client.wait_until_settled()
        world.machines["d"].frozen = True
        view = StoreView(2, world.members("abd"))
        world.announce_view(view)
        client.adopt(view)
        started_s = asyncio.get_running_loop().time()
        await client.store_turn(turn("t"), 1.0)
        return asyncio.get_running_loop().time() - started_s

    assert run(scenario()) < MIN_HEDGE_DELAY_S


def test_health_of_a_former_member_is_removed():
    async def scenario():
        world = World(names="abcd", in_view="abc")
        client = world.client()
        await client.store_turn(turn("t1"), 1.0)
        await client.wait_until_settled()
        health = client._calls.health
        assert health.expected_latency_s(world.machines["a"].member.id, 0.0) > 0
        client.adopt(StoreView(world.view.epoch + 1, world.members("bcd"), None))
        return set(health._records) <= {member.id for member in world.members("bcd")}

    assert run(scenario())


def test_other_replicas_are_asked_at_once_after_a_refused_connection():
    async def scenario():
        world = World(names="abcde", losses=2, delay_s=0.05)
        world.set_locations({"a": "r/near", "b": "r/near", "c": "r/near", "d": "r/far", "e": "r/far"})
        client = world.client(location="r/near")
        for number in range(10):
            await client.store_turn(turn(f"t{number}"), 1.0)
        await client.wait_until_settled()
        world.machines["a"].up = False
        started_s = asyncio.get_running_loop().time()
        await client.store_turn(turn("t"), 1.0)
        return asyncio.get_running_loop().time() - started_s

    refusal_s, reply_s = 0.05, 0.05
    assert run(scenario()) < refusal_s + reply_s + 0.02
