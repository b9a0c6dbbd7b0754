"""Ledgers copied to other stores: a copy preserves a chosen value, but is no vote for a value that is not chosen."""

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


async def request(machine, kind, view, /, **fields):
    message = wire.request(kind, view, machine.store.member_id, program="p", **fields)
    return await machine.store.handlers[kind](json.loads(json.dumps(message)))


async def accept(world, names, counter, value, next_counter=None):
    ballot, next_ballot = [counter, "s"], next_counter and [next_counter, "s"]
    for name in names:
        reply = await request(
            world.machines[name], wire.LEDGER_ACCEPT, world.view, ballot=ballot, value=value, next_ballot=next_ballot
        )
        assert reply["type"] == "ballot.accepted"


async def prepare(world, names, counter):
    for name in names:
        reply = await request(world.machines[name], wire.LEDGER_PREPARE, world.view, ballot=[counter, "s"])
        assert reply["type"] == "ballot.promise"


def cut_off(world, source, names):
    world.cuts = {pair for pair in world.cuts if pair[0] != source} | {(source, name) for name in names}


async def copy(world, **unreachable):
    """Run the copy for the current view on the named stores, each cut off from the stores in its argument."""
    for name, others in unreachable.items():
        cut_off(world, name, others)
        world.machines[name].sync.start(world.view)
    await world.until(lambda: all(world.view.epoch in world.machines[name].synced for name in unreachable))


@pytest.mark.parametrize("finished", [False, True])
def test_readers_agree_when_a_copy_brings_a_minority_value(finished):
    """Only `a` accepts a reservation. In the next view a proposer that has not read it gets promises from `b` and `c`
    and crashes once `c` has accepted; then `b` and `d` copy from `a`."""

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
        cut_off(world, "first", "c")
        first_value = await asyncio.wait_for(first.read_ledger("p"), 5.0)
        second = world.client("second")
        cut_off(world, "second", "ad")
        second_value = await asyncio.wait_for(second.read_ledger("p"), 5.0)
        assert second_value == first_value

    run(scene())


def test_copied_value_is_no_vote_until_the_replica_accepts_it():
    async def scene():
        world = World(names="a", losses=0)
        disk = world.machines["a"].disk
        record = ledger_replica.LedgerRecord("p", Ballot(5, "x"), Ballot(5, "x"), BEFORE)
        await disk.transact(lambda connection: ledger_replica.merge(connection, [record], 0))
        reply = await request(world.machines["a"], wire.LEDGER_PREPARE, world.view, ballot=[6, "x"])
        assert (reply["accepted"], reply["value"], reply["copied"]) == ([5, "x"], BEFORE, True)
        await accept(world, "a", 7, BEFORE)
        reply = await request(world.machines["a"], wire.LEDGER_PREPARE, world.view, ballot=[8, "s"])
        assert (reply["accepted"], reply["copied"]) == ([7, "s"], False)

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
    """The copy must not be rejected because of a promise: no other next replica may have the value."""

    async def scene():
        world = World(names="abcde", in_view="abc", syncs=False)
        await accept(world, "ab", 5, RESERVED)
        world.announce_view(StoreView(2, world.members("abc"), world.members("cde")))
        await prepare(world, "abde", 9)
        await copy(world, c="b", d="b", e="b")
        world.announce_view(StoreView(3, world.members("cde")))
        reader = world.client("reader")
        cut_off(world, "reader", "c")
        assert await asyncio.wait_for(reader.read_ledger("p"), 5.0) == RESERVED

    run(scene())


def test_copy_does_not_revert_promises():
    """If an older ballot were accepted after the promise, the newer one would overwrite it without having read it."""

    async def scene():
        world = World(syncs=False)
        store = world.machines["a"]
        await prepare(world, "a", 9)
        older = ledger_replica.LedgerRecord("p", Ballot(5, "s"), Ballot(3, "s"), BEFORE)
        await store.disk.transact(lambda connection: ledger_replica.merge(connection, [older], 0))
        reply = await request(store, wire.LEDGER_ACCEPT, world.view, ballot=[7, "s"], value=RESERVED, next_ballot=None)
        assert reply["type"] == "ballot.conflict"
        replica = ledger_replica.load(store.disk.connection, "p")
        assert (replica.promised, replica.accepted, replica.copied) == (Ballot(9, "s"), Ballot(3, "s"), True)

    run(scene())
