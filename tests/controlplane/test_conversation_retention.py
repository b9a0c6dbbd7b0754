"""Conversations that last longer than the retention of their turns: kept whole while they go on, deleted afterwards."""

import asyncio
import math
from dataclasses import replace

import pytest
from scripted.clock import run
from scripted.stores import World, take_turn, turn

from dewpin.cluster.store_view import StoreView
from dewpin.controlplane.store.sender_handlers import RETENTION_MARGIN_MS
from dewpin.dataplane.programs.errors import StoreUnavailableError, TurnNotFoundError
from dewpin.dataplane.programs.history import EMPTY_HISTORY
from dewpin.dataplane.programs.history_cache import HistoryCache
from dewpin.dataplane.programs.program_store import Settlement

RETAIN_S = 10.0
PAUSE_MS = 4_000
LAST_TURN = 30
"""The conversation lasts three times as long as a store keeps a turn that nothing continues."""
LOCATIONS = {"a": "r/1", "b": "r/2", "c": "r/3"}
EVERY_TURN = b"".join(b"<t%d>" % number for number in range(1, LAST_TURN + 1))


def zoned_world():
    """Three stores, one in each zone."""
    world = World()
    world.set_locations(LOCATIONS)
    return world


async def take_turn_or_fail(client, next_turn, timeout_s):
    """Take a turn; the test fails if its history cannot be read or the turn cannot be stored."""
    try:
        await take_turn(client, next_turn, timeout_s)
    except StoreUnavailableError as error:
        pytest.fail(f"{next_turn.id} was not served: {error}")


async def read(world, last_turn, program="p"):
    """Read a history through a sender that has cached nothing; the test fails if it is incomplete."""
    try:
        return (await world.client("reader").read_history(program, last_turn, 1.0)).content
    except StoreUnavailableError as error:
        pytest.fail(f"{last_turn} cannot be continued: {error}")


async def purge(world):
    for machine in world.machines.values():
        if machine.up:
            while await machine.store.purge_batch():
                pass


def uncached_senders(world):
    """A sender in each zone; they cache nothing, so that each turn needs its history from the stores."""
    return [
        world.client(f"sender-{name}", seed=number, location=location, cache=HistoryCache(max_bytes=0))
        for number, (name, location) in enumerate(LOCATIONS.items())
    ]


async def converse(world, last_turn=LAST_TURN, before_turn=lambda number: None):
    """Take turns t1 to `last_turn`, each through the sender of the next zone, and purge the stores in between."""
    senders = uncached_senders(world)
    for number in range(1, last_turn + 1):
        before_turn(number)
        previous = f"t{number - 1}" if number > 1 else None
        sender = senders[number % len(senders)]
        await take_turn_or_fail(sender, turn(f"t{number}", previous, retain_s=RETAIN_S), 1.0)
        await sender.wait_until_settled()
        world.clock_ms += PAUSE_MS
        await purge(world)


def complete_stores(world, last_turn, program="p"):
    """The stores that hold a turn together with its whole history."""
    complete = set()
    for name, machine in world.machines.items():
        previous = dict(
            machine.disk.connection.execute("SELECT turn, previous FROM turns WHERE program = ?", (program,)).fetchall()
        )
        next_turn = last_turn
        while next_turn in previous:
            next_turn = previous[next_turn]
        if next_turn is None:
            complete.add(name)
    return complete


def test_conversation_through_changing_senders_outlives_the_retention_of_its_turns():
    """Guards against the loss of the oldest turns of a live conversation that changing majorities store."""

    async def scenario():
        world = zoned_world()
        await converse(world)
        return await read(world, f"t{LAST_TURN}")

    assert run(scenario()) == EVERY_TURN


def test_majority_has_the_whole_history_of_each_acknowledged_turn():
    """Guards against a turn that is acknowledged although one of the stores that count lacks a part of its history."""

    async def scenario():
        world = zoned_world()
        stores = []
        await converse(
            world, before_turn=lambda number: number > 1 and stores.append(complete_stores(world, f"t{number - 1}"))
        )
        return stores

    assert all(len(complete) >= 2 for complete in run(scenario()))


@pytest.mark.parametrize("lost", "abc")
def test_conversation_survives_the_loss_of_any_store(lost):
    """Guards against a history whose older turns are on one store only, although its newest is on a majority."""

    async def scenario():
        world = zoned_world()
        await converse(world)
        world.machines[lost].up = False
        return await read(world, f"t{LAST_TURN}")

    assert run(scenario()) == EVERY_TURN


def test_conversation_that_has_ended_is_deleted_from_every_store():
    """Guards against histories that are kept for ever because they were supplied again."""

    async def scenario():
        world = zoned_world()
        await converse(world)
        world.clock_ms += int(RETAIN_S * 1000) + RETENTION_MARGIN_MS + 1
        await purge(world)
        rows = [
            machine.disk.connection.execute(f"SELECT count(*) FROM {table}").fetchone()[0]
            for machine in world.machines.values()
            for table in ("turns", "turn_bodies")
        ]
        with pytest.raises(TurnNotFoundError):
            await read(world, f"t{LAST_TURN}")
        return rows

    assert run(scenario()) == [0] * 6


@pytest.mark.parametrize("absent", "abc")
def test_store_that_was_absent_gets_the_whole_history_before_it_counts(absent):
    """Guards against a returned store that counts for new turns while it has deleted or missed the older ones."""
    left_at, returned_at = 4, 22

    async def scenario():
        world = zoned_world()
        others = [name for name in "abc" if name != absent]

        def before_turn(number):
            world.machines[absent].up = not left_at <= number < returned_at
            world.machines[others[0]].up = number < returned_at

        await converse(world, before_turn=before_turn)
        holders = complete_stores(world, f"t{LAST_TURN}")
        world.machines[others[1]].up = False
        return holders, await read(world, f"t{LAST_TURN}")

    holders, history = run(scenario())
    assert len(holders) == 2 and absent in holders
    assert history == EVERY_TURN


def test_turn_that_lasts_longer_than_the_retention_is_stored_with_its_history():
    """Guards against a history that every store deletes while the turn that continues it is in progress."""

    async def scenario():
        world = zoned_world()
        await converse(world, last_turn=5)
        sender = world.client("sender", cache=HistoryCache(max_bytes=0))
        history = await sender.read_history("p", "t5", 1.0)
        world.clock_ms += int(RETAIN_S * 1000) + RETENTION_MARGIN_MS + 1
        await purge(world)
        held = [complete_stores(world, "t5")]
        try:
            await sender.store_turn(replace(turn("t6", "t5"), history=history), 1.0)
        except StoreUnavailableError as error:
            pytest.fail(f"t6 was not stored: {error}")
        return held, complete_stores(world, "t6"), await read(world, "t6")

    held, stored, history = run(scenario())
    assert held == [set()]
    assert len(stored) >= 2
    assert history == b"<t1><t2><t3><t4><t5><t6>"


def test_replica_without_the_history_does_not_count_if_nobody_can_supply_it():
    """Guards against a turn that is acknowledged although its history is on no majority."""

    async def scenario():
        world = zoned_world()
        await converse(world, last_turn=2)
        for name in "ab":
            world.machines[name].disk.connection.execute("DELETE FROM turns WHERE turn = 't1'")
        with pytest.raises(StoreUnavailableError):
            await world.client("sender").store_turn(turn("t3", "t2"), 1.0)

    run(scenario())


@pytest.mark.parametrize("branch_every", [2, 5])
def test_forked_conversation_keeps_what_each_branch_continues(branch_every):
    """Guards against the loss of turns that are continued on one store by one branch and on another by a second one."""

    async def scenario():
        world = zoned_world()
        senders = uncached_senders(world)
        previous, expected = {"left": None, "right": None}, {"left": b"", "right": b""}
        for number in range(1, LAST_TURN + 1):
            branch = "left" if number % branch_every else "right"
            if number <= 3:
                branch = "left"
            name = f"{branch}{number}"
            await take_turn_or_fail(senders[number % 3], turn(name, previous[branch], retain_s=RETAIN_S), 1.0)
            previous[branch], expected[branch] = name, expected[branch] + f"<{name}>".encode()
            if number == 3:
                previous["right"], expected["right"] = name, expected["left"]
            world.clock_ms += PAUSE_MS
            await purge(world)
        return [await read(world, last) for last in previous.values()], list(expected.values())

    histories, expected = run(scenario())
    assert histories == expected


def test_program_keeps_the_history_of_another_program_that_has_ended():
    """Guards against a sub-agent that loses its parent's turns once the parent's own retention has ended."""

    async def scenario():
        world = zoned_world()
        await converse(world, last_turn=4)
        senders = uncached_senders(world)
        previous = "t4"
        for number in range(1, LAST_TURN + 1):
            name = f"s{number}"
            await take_turn_or_fail(senders[number % 3], turn(name, previous, "sub-agent", retain_s=RETAIN_S), 1.0)
            previous = name
            world.clock_ms += PAUSE_MS
            await purge(world)
        return complete_stores(world, previous, "sub-agent"), await read(world, previous, "sub-agent")

    stores, history = run(scenario())
    assert len(stores) >= 2
    assert history == b"<t1><t2><t3><t4>" + b"".join(b"<s%d>" % number for number in range(1, LAST_TURN + 1))


def test_turn_handed_over_to_another_sender_leaves_one_history():
    """Guards against a repeated turn that is complete on no majority because each sender completed another store."""

    async def scenario():
        world = zoned_world()
        await converse(world, last_turn=5)
        for sender in uncached_senders(world):
            await take_turn_or_fail(sender, turn("t6", "t5", retain_s=RETAIN_S), 1.0)
            world.clock_ms += PAUSE_MS
            await purge(world)
        return complete_stores(world, "t6"), await read(world, "t6")

    stores, history = run(scenario())
    assert len(stores) >= 2
    assert history == b"<t1><t2><t3><t4><t5><t6>"


@pytest.mark.parametrize("turns", [1, 2, 9, 60])
def test_replica_that_lacks_a_long_history_gets_it_in_few_requests(turns):
    """Guards against one request for each missing turn."""

    async def scenario():
        world = zoned_world()
        world.machines["a"].dropped_types = {"turn.put"}
        await converse(world, last_turn=turns)
        world.machines["a"].dropped_types = set()
        world.machines["c"].up = False
        world.machines["a"].received_types.clear()
        await take_turn_or_fail(world.client("sender"), turn("last", f"t{turns}"), 1.0)
        return world.machines["a"].received_types.count("turn.put"), complete_stores(world, "last")

    requests, stores = run(scenario())
    assert requests <= 2 + math.log2(turns + 1)
    assert stores == {"a", "b"}


@pytest.mark.parametrize("lost", "abc")
def test_budget_of_a_conversation_counts_every_turn_although_stores_delete_idle_ledgers(lost):
    """Guards against a budget that begins anew because the stores that took part in its last change deleted it."""
    retain_s, pause_ms, used_tokens, budget = 7_200.0, 1_500_000, 7, 1_000

    async def scenario():
        world = zoned_world()
        for machine in world.machines.values():
            machine.store.set_ledger_retention(retain_s)
        senders, previous = uncached_senders(world), None
        for number in range(1, LAST_TURN + 1):
            sender, name = senders[number % 3], f"t{number}"
            if previous is None:
                reservation, history = await sender.reserve("p", name, 10, budget, 1.0), EMPTY_HISTORY
            else:
                start = await sender.begin_turn("p", name, 10, budget, previous, 1.0)
                reservation, history = start.reservation, start.history
            next_turn = replace(turn(name, previous, retain_s=retain_s), history=history)
            await sender.store_turn(next_turn, 1.0, Settlement(reservation, used_tokens))
            await sender.wait_until_settled()
            previous = name
            world.clock_ms += pause_ms
            await purge(world)
        world.machines[lost].up = False
        return await world.client("reader").read_ledger("p")

    assert run(scenario()) == {"spent": LAST_TURN * used_tokens, "open": {}}


# Changes of the store view


async def purge_forever(world):
    """Purge all stores far more often than they do by themselves."""
    while True:
        await asyncio.sleep(0.0005)
        await purge(world)


async def replace_by_empty_store(world, name):
    """Let a store lose its disk; wait until the view change that follows has ended."""
    world.machines[name].start_empty()
    changing = StoreView(world.view.epoch + 1, world.view.stable, world.members("abc"))
    world.announce_view(changing)
    await world.until(lambda: all(changing.epoch in machine.synced for machine in world.machines.values()))
    world.announce_view(StoreView(changing.epoch + 1, world.members("abc")))


async def world_after_losses(names):
    """A conversation, after which the named stores lost their disks one after the other, beside frequent purges."""
    world = zoned_world()
    await converse(world)
    purging = asyncio.ensure_future(purge_forever(world))
    for name in names:
        await replace_by_empty_store(world, name)
    purging.cancel()
    return world


@pytest.fixture
def slow_copies(monkeypatch):
    """Copies take a request and a transaction for each turn."""
    monkeypatch.setattr("dewpin.controlplane.store.turn_copy.TURNS_PER_REQUEST", 1)


@pytest.mark.parametrize("wiped", "abc")
def test_copy_to_a_new_store_keeps_expired_turns_that_are_still_continued(wiped, slow_copies):
    """Guards against a new store that deletes expired turns whose successors it has not copied yet."""

    async def scenario():
        world = await world_after_losses([wiped])
        return complete_stores(world, f"t{LAST_TURN}")

    assert wiped in run(scenario())


@pytest.mark.parametrize("first", "abc")
def test_conversation_survives_one_loss_after_the_other(first, slow_copies):
    """Guards against a history that a copy has left incomplete: it is lost with the next store."""

    async def scenario():
        world = await world_after_losses(sorted("abc", key=lambda name: name != first))
        return await read(world, f"t{LAST_TURN}")

    assert run(scenario()) == EVERY_TURN


def test_store_purges_again_after_a_copy_that_was_replaced_by_another(slow_copies):
    """Guards against a store that keeps expired turns for ever after a copy was cancelled."""

    async def scenario():
        world = zoned_world()
        await converse(world, last_turn=3)
        world.machines["a"].start_empty()
        for name in "bc":
            world.machines[name].frozen = True
        world.announce_view(StoreView(world.view.epoch + 1, world.view.stable, world.members("abc")), names="a")
        await asyncio.sleep(1.0)
        for name in "bc":
            world.machines[name].frozen = False
        await replace_by_empty_store(world, "a")
        world.clock_ms += int(RETAIN_S * 1000) + RETENTION_MARGIN_MS + 1
        await purge(world)
        return [
            machine.disk.connection.execute("SELECT turn FROM turns").fetchall() for machine in world.machines.values()
        ]

    assert run(scenario()) == [[], [], []]
