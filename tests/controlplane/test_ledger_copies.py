"""Ledgers that are copied to other stores: a copy keeps a chosen value known, and is no vote for one that is not."""

import asyncio
import json

import pytest
from scripted.clock import run
from scripted.stores import World

from dewpin.cluster import store_messages as wire
from dewpin.cluster.store_view import StoreView
from dewpin.consensus import Ballot
from dewpin.controlplane.store import ledger_replica

BEFORE = {"spent": 1, "open": {}}
RESERVED = {"spent": 1, "open": {"t": 60}}
SETTLED = {"spent": 2, "open": {}}


async def ask(machine, kind, view, /, **fields):
    message = wire.request(kind, view, machine.store.member_id, program="p", **fields)
    return await machine.store.handlers[kind](json.loads(json.dumps(message)))


async def accept(world, names, counter, value, following=None):
    ballot, after = [counter, "s"], following and [following, "s"]
    for name in names:
        answer = await ask(
            world.machines[name], wire.LEDGER_ACCEPT, world.view, ballot=ballot, value=value, next_ballot=after
        )
        assert answer["type"] == "ballot.accepted"


async def prepare(world, names, counter):
    for name in names:
        answer = await ask(world.machines[name], wire.LEDGER_PREPARE, world.view, ballot=[counter, "s"])
        assert answer["type"] == "ballot.promise"


def cut(world, origin, names):
    world.cuts = {pair for pair in world.cuts if pair[0] != origin} | {(origin, name) for name in names}


async def copy(world, **unreachable):
    """Let the named stores copy for the present view; each is cut from the stores that its argument names."""
    for name, others in unreachable.items():
        cut(world, name, others)
        world.machines[name].sync.start(world.view)
    await world.until(lambda: all(world.view.epoch in world.machines[name].synced for name in unreachable))


@pytest.mark.parametrize("finished", [False, True])
def test_readers_agree_when_a_copy_brings_a_minority_value(finished):
    """`a` alone accepts a reservation. In the next view a proposer that has not seen it gets promises of `b` and `c`
    and dies once `c` has accepted; then `b` and `d` copy from `a`."""

    async def scene():
        world = World(names="abcd", in_view="abc", syncs=False)
        await accept(world, "abc", 3, BEFORE)
        await accept(world, "a", 5, RESERVED)
        world.announce_view(StoreView(2, world.members("abc"), world.members("bcd")))
        await prepare(world, "bc", 7)
        await accept(world, "c", 7, SETTLED)
        await copy(world, b="c", d="c")
        if finished:
            await copy(world, c="b")
            world.announce_view(StoreView(3, world.members("bcd")))
        first = world.client("first")
        cut(world, "first", "c")
        seen_first = await asyncio.wait_for(first.read_ledger("p"), 5.0)
        second = world.client("second")
        cut(world, "second", "ad")
        seen_second = await asyncio.wait_for(second.read_ledger("p"), 5.0)
        assert seen_second == seen_first

    run(scene())


def test_copied_value_is_no_vote_until_the_replica_accepts_it():
    async def scene():
        world = World(names="a", losses=0)
        disk = world.machines["a"].disk
        record = ledger_replica.LedgerRecord("p", Ballot(5, "x"), Ballot(5, "x"), BEFORE)
        await disk.transact(lambda connection: ledger_replica.merge(connection, [record], 0))
        answer = await ask(world.machines["a"], wire.LEDGER_PREPARE, world.view, ballot=[6, "x"])
        assert (answer["accepted"], answer["value"], answer["copied"]) == ([5, "x"], BEFORE, True)
        await accept(world, "a", 7, BEFORE)
        answer = await ask(world.machines["a"], wire.LEDGER_PREPARE, world.view, ballot=[8, "s"])
        assert (answer["accepted"], answer["copied"]) == ([7, "s"], False)

    run(scene())


def test_vote_is_kept_when_the_same_value_is_merged():
    async def scene():
        world = World(names="a", losses=0)
        await accept(world, "a", 5, BEFORE)
        disk = world.machines["a"].disk
        record = ledger_replica.LedgerRecord("p", Ballot(9, "x"), Ballot(5, "s"), BEFORE)
        await disk.transact(lambda connection: ledger_replica.merge(connection, [record], 0))
        replica = await disk.transact(lambda connection: ledger_replica.load(connection, "p"))
        assert (replica.promised, replica.copied) == (Ballot(9, "x"), False)

    run(scene())


def test_chosen_value_survives_a_change_with_a_newcomer_that_promised_a_greater_ballot():
    """The copy must not be refused for a promise: nobody else among the next replicas may have the value."""

    async def scene():
        world = World(names="abcde", in_view="abc", syncs=False)
        await accept(world, "ab", 5, RESERVED)
        world.announce_view(StoreView(2, world.members("abc"), world.members("cde")))
        await prepare(world, "abde", 9)
        await copy(world, c="b", d="b", e="b")
        world.announce_view(StoreView(3, world.members("cde")))
        reader = world.client("reader")
        cut(world, "reader", "c")
        assert await asyncio.wait_for(reader.read_ledger("p"), 5.0) == RESERVED

    run(scene())


def test_copy_does_not_revert_promises():
    """An older ballot accepted after the promise would be overwritten by the newer one, which has not read it."""

    async def scene():
        world = World(syncs=False)
        store = world.machines["a"]
        await prepare(world, "a", 9)
        older = ledger_replica.LedgerRecord("p", Ballot(5, "s"), Ballot(3, "s"), BEFORE)
        await store.disk.transact(lambda connection: ledger_replica.merge(connection, [older], 0))
        answer = await ask(store, wire.LEDGER_ACCEPT, world.view, ballot=[7, "s"], value=RESERVED, next_ballot=None)
        assert answer["type"] == "ballot.conflict"
        replica = ledger_replica.load(store.disk.connection, "p")
        assert (replica.promised, replica.accepted, replica.copied) == (Ballot(9, "s"), Ballot(3, "s"), True)

    run(scene())
