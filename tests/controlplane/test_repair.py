"""Background repair: turns that a store has missed come back while the view stays, whoever died."""

import asyncio

import pytest
from scripted.clock import run
from scripted.stores import World

from dewpin.cluster import store_messages as wire
from dewpin.cluster.rpc import RpcError
from dewpin.cluster.store_messages import TurnRecord
from dewpin.cluster.store_view import StoreView
from dewpin.controlplane import repair, turn_table
from dewpin.controlplane.store import RETAIN_MARGIN_MS
from dewpin.dataplane.program_store import StoreUnavailable, Turn

STATED_S = 3.0
"""Within this time after its return a store has what it missed, where that is little: two visits and their calls."""


def turn(name, program="p", body=b"", retain_s=60.0):
    return Turn(name, program, None, b"<" + name.encode() + body, b">", retain_s)


def turns_of(machine):
    return {row[0] for row in machine.disk.connection.execute("SELECT turn FROM turns")}


async def write(world, count, prefix="t", **fields):
    client = world.client()
    for number in range(count):
        await client.append(turn(f"{prefix}{number}", **fields), 1.0)
    client.close()  # the sender dies: nothing is handed on


def names(count, prefix="t"):
    return {f"{prefix}{number}" for number in range(count)}


def test_a_store_that_was_away_gets_what_it_missed_although_the_sender_died():
    async def scene():
        world = World(repairs=True)
        world.machines["c"].up = False
        await write(world, 40)
        await asyncio.sleep(20.0)
        assert turns_of(world.machines["c"]) == set()
        world.machines["c"].up = True
        await world.until(lambda: turns_of(world.machines["c"]) == names(40), STATED_S)

    run(scene())


def test_a_store_that_was_cut_from_the_senders_alone_misses_nothing():
    async def scene():
        world = World(repairs=True)
        world.cuts.add(("sender", "c"))
        await write(world, 10)
        await world.until(lambda: turns_of(world.machines["c"]) == names(10), STATED_S)

    run(scene())


def test_after_a_long_rest_a_missed_turn_comes_a_little_later():
    async def scene():
        world = World(repairs=True)
        await asyncio.sleep(100.0)
        world.cuts.add(("sender", "c"))
        await write(world, 10)
        most_s = 1.25 * repair.PERIOD_S * (2 + repair.MOST_ROUNDS_LEFT_OUT)
        await world.until(lambda: turns_of(world.machines["c"]) == names(10), most_s + 0.1)

    run(scene())


@pytest.mark.parametrize("lasts_s", [18.0, 19.0, 20.0, 21.0, 22.0])
def test_a_store_that_was_cut_off_in_a_long_rest_visits_the_others_at_once_when_it_is_back(lasts_s):
    async def scene():
        world = World(repairs=True)
        await asyncio.sleep(100.0)
        world.cuts |= {("c", "a"), ("c", "b"), ("sender", "c"), ("a", "c"), ("b", "c")}
        await write(world, 10)
        await asyncio.sleep(lasts_s)
        world.cuts.clear()
        await world.until(lambda: turns_of(world.machines["c"]) == names(10), 2.6 + repair.CALL_TIMEOUT_S)

    run(scene())


def test_a_turn_that_only_one_store_holds_reaches_all():
    """Its sender died before a majority had it; a reader may find it, so it must not be lost with one store."""

    async def scene():
        world = World(repairs=True)
        for name in "bc":
            world.cuts.add(("sender", name))
        client = world.client()
        try:
            await client.append(turn("t0"), 0.3)
        except StoreUnavailable:
            client.close()
        await world.until(lambda: all(turns_of(machine) == {"t0"} for machine in world.machines.values()), STATED_S)

    run(scene())


def test_a_turn_repaired_from_a_store_that_dies_then_is_passed_on_by_the_repaired_one():
    async def scene():
        world = World(names="abcde", losses=2, repairs=True)
        for name in "de":
            world.machines[name].up = False
        await write(world, 5)
        world.cuts |= {("e", "a"), ("e", "b"), ("e", "c")}
        for name in "de":
            world.machines[name].up = True
        await world.until(lambda: turns_of(world.machines["d"]) == names(5), STATED_S)
        for name in "abc":
            world.machines[name].up = False
        await world.until(lambda: turns_of(world.machines["e"]) == names(5), 12.0)

    run(scene())


def test_a_store_holds_only_the_programs_that_are_its_own():
    async def scene():
        world = World(names="abcdefg", repairs=True)
        programs = [f"p{number}" for number in range(30)]
        away = world.machines["a"]
        away.up = False
        client = world.client()
        for program in programs:
            await client.append(turn(program, program), 1.0)
        client.close()
        away.up = True
        await asyncio.sleep(5.0)
        held = {p for p in programs if away.store.member_id in world.view.stable_replicas(p, world.count)}
        assert 0 < len(held) < 30
        assert turns_of(away) == held

    run(scene())


def test_after_a_restart_the_repair_goes_on_where_it_was():
    async def scene():
        world = World(repairs=True)
        await write(world, 30, "old")
        await asyncio.sleep(5.0)
        away = world.machines["c"]
        away.up = False
        await write(world, 3, "new")
        asked = []
        for name in "ab":
            store = world.machines[name].store
            store.handlers[wire.PULL_ARRIVALS] = listening(store.handlers[wire.PULL_ARRIVALS], asked)
        away.restart()
        await away.store.load()
        away.store.adopt(world.view)
        away.up = True
        await world.until(lambda: turns_of(away) == names(30, "old") | names(3, "new"), STATED_S)
        told = [entry[0] for member, answer in asked if member == away.member.id for entry in answer["entries"]]
        assert set(told) <= names(3, "new")

    run(scene())


def listening(handler, heard):
    async def listen(message):
        answer = await handler(message)
        heard.append((message["member"], answer))
        return answer

    return listen


def test_a_copy_for_a_change_of_the_view_sets_where_the_repair_begins():
    async def scene():
        world = World(names="abcd", in_view="abc", repairs=True)
        await write(world, 30, "old")
        world.tell(StoreView(2, world.members("abc"), world.members("bcd")))
        await world.until(lambda: all(2 in world.machines[name].synced for name in "bcd"))
        await asyncio.sleep(1.0)
        asked = []
        for name in "bc":
            store = world.machines[name].store
            store.handlers[wire.PULL_ARRIVALS] = listening(store.handlers[wire.PULL_ARRIVALS], asked)
        world.tell(StoreView(3, world.members("bcd")))
        await asyncio.sleep(5.0)
        assert asked
        assert [entry for member, answer in asked if member == "d-1" for entry in answer["entries"]] == []

    run(scene())


def test_nothing_is_repaired_while_the_view_changes():
    async def scene():
        world = World(names="abcd", in_view="abc", syncs=False, repairs=True)
        world.tell(StoreView(2, world.members("abc"), world.members("bcd")))
        await asyncio.sleep(5.0)
        assert all(wire.PULL_ARRIVALS not in machine.seen for machine in world.machines.values())

    run(scene())


def test_a_store_at_rest_is_asked_every_four_seconds_by_each_other_and_writes_nothing():
    async def scene():
        world = World(repairs=True)
        await write(world, 20)
        await asyncio.sleep(5.0)
        changes = {name: machine.disk.connection.total_changes for name, machine in world.machines.items()}
        for machine in world.machines.values():
            machine.seen.clear()
        await asyncio.sleep(100.0)
        for name, machine in world.machines.items():
            assert set(machine.seen) == {wire.PULL_ARRIVALS}
            assert len(machine.seen) <= 2 * 100 / 3.6, "each of two others comes every four seconds"
            assert machine.disk.connection.total_changes == changes[name]

    run(scene())


def test_ordinary_writes_are_not_fetched_twice():
    async def scene():
        world = World(repairs=True)
        world.machines["c"].delay_s = 0.3
        client = world.client()
        for number in range(200):
            await client.append(turn(f"t{number}"), 1.0)
            await asyncio.sleep(0.02)
        await client.settled()
        assert all(wire.PULL_TURNS not in machine.seen for machine in world.machines.values())

    run(scene())


def test_bodies_are_fetched_at_a_bounded_rate():
    async def scene():
        world = World(repairs=True)
        world.machines["c"].up = False
        await write(world, 100, body=b"x" * 200_000)
        world.machines["c"].up = True
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await world.until(lambda: turns_of(world.machines["c"]) == names(100), 30.0)
        least_s = 100 * 200_000 / repair.BYTES_PER_S
        assert least_s - 0.5 <= loop.time() - began_s <= least_s + STATED_S

    run(scene())


def test_a_silent_source_holds_the_repair_from_the_others_up_for_a_moment_only():
    async def scene():
        world = World(names="abcde", losses=2, repairs=True)
        world.machines["e"].up = False
        await write(world, 20)
        world.machines["a"].frozen = True
        world.machines["e"].up = True
        await world.until(lambda: turns_of(world.machines["e"]) == names(20), STATED_S + 2 * repair.CALL_TIMEOUT_S)

    run(scene())


def test_arrival_numbers_are_not_given_again_once_all_turns_are_purged():
    async def scene():
        world = World(names="a", losses=0)
        machine = world.machines["a"]
        await write(world, 5, retain_s=10.0)
        assert turn_table.last_arrival(machine.disk.connection) == 5
        world.clock_ms += 10_001 + RETAIN_MARGIN_MS
        await machine.store.purge_step()
        assert turns_of(machine) == set()
        await write(world, 1, "later")
        found = turn_table.arrivals(machine.disk.connection, 5, 99, 10, world.clock_ms)
        assert [entry.turn for entry in found.entries] == ["later0"]
        assert found.newest == 6

    run(scene())


def test_arrivals_come_in_pages_in_the_order_in_which_they_were_taken():
    async def scene():
        world = World(names="a", losses=0)
        connection = world.machines["a"].disk.connection
        await write(world, 5, "z")
        await write(world, 5, "a")
        after, found = 0, []
        while True:
            page = turn_table.arrivals(connection, after, 8, 3, world.clock_ms)
            found += [entry.turn for entry in page.entries]
            if page.after == after:
                break
            after = page.after
        assert found == [f"z{number}" for number in range(5)] + ["a0", "a1", "a2"]

    run(scene())


def test_a_request_of_another_epoch_gets_no_arrivals():
    async def scene():
        world = World()
        message = wire.request(wire.PULL_ARRIVALS, StoreView(0, ()), "a-1", member="b-1", after=0, until=9, most=9)
        try:
            await world.machines["a"].store.handlers[wire.PULL_ARRIVALS](message)
            raise AssertionError("answered")
        except RpcError as refusal:
            assert refusal.kind == wire.STALE_EPOCH

    run(scene())


def test_a_long_order_of_arrivals_is_walked_at_a_bounded_rate():
    async def scene():
        world = World(names="ab", losses=0, repairs=False)
        machine = world.machines["a"]
        records = [TurnRecord(f"t{number:05}", "p", None, 60_000, b"<", b">") for number in range(20_000)]
        for other in world.machines.values():
            turn_table.put(other.disk.connection, records, world.clock_ms, 0)
        world.count = machine.store.replica_count = world.machines["b"].store.replica_count = 2
        await machine.repair.visit_all()
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        await machine.repair.visit_all()
        assert 3.5 <= loop.time() - began_s <= 6.0, "5,000 entries a second at most"

    run(scene())
