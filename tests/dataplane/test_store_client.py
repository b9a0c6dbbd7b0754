"""The store client: quorum writes and reads of turns, under faults and changes of the store view."""

import asyncio
import logging
import threading

import pytest
from scripted.clock import run
from scripted.stores import World, turn

from dewpin.cluster.store_messages import TurnRecord
from dewpin.cluster.store_view import StoreView
from dewpin.dataplane.programs import store_client
from dewpin.dataplane.programs.errors import BudgetExceededError, StoreUnavailableError, TurnNotFoundError
from dewpin.dataplane.programs.history_cache import HistoryCache
from dewpin.dataplane.programs.program_store import Reservation, Settlement
from dewpin.dataplane.programs.quorum_round import MIN_HEDGE_DELAY_S
from dewpin.dataplane.programs.store_client import BlockingStoreClient, StoreClient


def now_s():
    return asyncio.get_running_loop().time()


# Turns


def test_history_is_complete_when_read_by_another_sender():
    async def scenario():
        world = World()
        first, second = world.client("one"), world.client("two")
        await first.store_turn(turn("t1", body=bytes(range(256))), 1.0)
        await second.store_turn(turn("t2", "t1"), 1.0)
        await first.store_turn(turn("t3", "t2"), 1.0)
        return (await second.read_history("p", "t3", 1.0)).content

    assert run(scenario()) == b"<t1" + bytes(range(256)) + b"><t2><t3>"


def test_history_is_read_from_cache_by_the_sender_that_stored_it():
    async def scenario():
        world = World()
        client = world.client()
        await client.store_turn(turn("t1"), 1.0)
        await client.store_turn(turn("t2", "t1"), 1.0)
        history = (await client.read_history("p", "t2", 1.0)).content
        return history, [kind for machine in world.machines.values() for kind in machine.received_types]

    history, seen = run(scenario())
    assert history == b"<t1><t2>"
    assert "turn.chain" not in seen


def test_two_turns_can_continue_the_same_turn():
    async def scenario():
        world = World()
        client, other = world.client("one"), world.client("two")
        await client.store_turn(turn("t1"), 1.0)
        await client.store_turn(turn("left", "t1"), 1.0)
        await client.store_turn(turn("right", "t1"), 1.0)
        return [(await other.read_history("p", name, 1.0)).content for name in ("left", "right")]

    assert run(scenario()) == [b"<t1><left>", b"<t1><right>"]


@pytest.mark.parametrize("fault", ["up", "frozen", "loses_answers"])
def test_replica_that_fails_before_its_first_call_delays_operations_by_one_hedge_at_most(fault):
    async def scenario():
        world = World()
        setattr(world.machines["a"], fault, fault != "up")
        client, reader = world.client("one"), world.client("two")
        started_s = now_s()
        await client.reserve("p", "t1", 10, 100, 1.0)
        await client.store_turn(turn("t1"), 1.0)
        write_s = now_s() - started_s
        started_s = now_s()
        assert (await reader.read_history("p", "t1", 1.0)).content == b"<t1>"
        return write_s, now_s() - started_s

    write_s, read_s = run(scenario())
    assert write_s < 0.02 + (0.0 if fault == "up" else MIN_HEDGE_DELAY_S)
    assert read_s < (0.02 if fault == "up" else 0.1)


@pytest.mark.parametrize("fault", ["up", "frozen", "loses_answers"])
def test_replica_known_to_be_faulty_delays_no_operation(fault):
    async def scenario():
        world = World()
        client = world.client("one")
        await client.store_turn(turn("before"), 1.0)
        setattr(world.machines["a"], fault, fault != "up")
        await client.store_turn(turn("meets"), 1.0)
        started_s = now_s()
        await client.reserve("p", "t1", 10, 100, 1.0)
        await client.store_turn(turn("t1"), 1.0)
        return now_s() - started_s

    assert run(scenario()) < 0.02


def test_replica_that_was_slow_is_used_again_after_a_while():
    async def scenario():
        world = World()
        client = world.client("one")
        world.machines["a"].frozen = True
        await client.store_turn(turn("t0"), 1.0)
        world.machines["a"].frozen = False
        await asyncio.sleep(15.0)
        for number in range(1, 6):
            await client.store_turn(turn(f"t{number}"), 1.0)
            await asyncio.sleep(1.0)
        world.machines["b"].up = False
        started_s = now_s()
        await client.store_turn(turn("last"), 1.0)
        return now_s() - started_s

    assert run(scenario()) < 0.02


def test_write_is_sent_to_the_nearest_majority_only():
    async def scenario():
        world = World(names="abcde", losses=2)
        locations = {"a": "r/far", "b": "r/near", "c": "r/far", "d": "r/near", "e": "r/near"}
        world.set_locations(locations)
        client = world.client("one", location="r/near")
        await client.store_turn(turn("first"), 1.0)
        await client.wait_until_settled()
        for machine in world.machines.values():
            del machine.received_types[:]
        for number in range(20):
            await client.store_turn(turn(f"t{number}"), 1.0)
            await client.wait_until_settled()
        return {name: machine.received_types.count("turn.put") for name, machine in world.machines.items()}

    assert run(scenario()) == {"a": 0, "b": 20, "c": 0, "d": 20, "e": 20}


def test_read_is_sent_to_one_replica_only_if_it_has_the_turn():
    async def scenario():
        world = World(names="abcde", losses=2)
        writer, reader = world.client("one"), world.client("two")
        await writer.store_turn(turn("t1"), 1.0)
        assert (await reader.read_history("p", "t1", 1.0)).content == b"<t1>"
        return sum(machine.received_types.count("turn.chain") for machine in world.machines.values())

    assert run(scenario()) == 1


def test_write_stored_by_a_minority_fails_and_is_not_cached():
    async def scenario():
        world = World()
        client = world.client()
        for name in "bc":
            world.machines[name].up = False
        with pytest.raises(StoreUnavailableError):
            await client.store_turn(turn("t1"), 0.5)
        return client.cache.get("p", "t1")

    assert run(scenario()) is None


def test_failed_write_does_not_continue_in_the_background():
    """The turns would be held for nobody: the client was not told that they are stored."""

    async def scenario():
        world = World()
        client = world.client()
        for name in "bc":
            world.machines[name].up = False
        with pytest.raises(StoreUnavailableError):
            await client.store_turn(turn("t1"), 0.5)
        await asyncio.sleep(3.0)
        return len(client._calls._tasks)

    assert run(scenario()) == 0


def test_read_finds_turn_that_the_first_replica_lacks():
    async def scenario():
        world = World()
        world.machines["a"].dropped_types = {"turn.put"}
        await world.client("one").store_turn(turn("t1"), 1.0)
        histories = {(await world.client("two", seed).read_history("p", "t1", 1.0)).content for seed in range(10)}
        return histories, "turn.chain" in world.machines["a"].received_types

    assert run(scenario()) == ({b"<t1>"}, True)


def test_history_is_read_from_several_replicas_if_one_lacks_a_turn():
    async def scenario():
        world = World()
        writer = world.client("one")
        await writer.store_turn(turn("t1"), 1.0)
        world.machines["a"].dropped_types = {"turn.put"}
        await writer.store_turn(turn("t2", "t1"), 1.0)
        world.machines["a"].dropped_types = set()
        await writer.store_turn(turn("t3", "t2"), 1.0)
        return (await world.client("two").read_history("p", "t3", 1.0)).content

    assert run(scenario()) == b"<t1><t2><t3>"


def test_turn_is_written_to_an_unreachable_replica_once_it_returns():
    async def scenario():
        world = World()
        world.machines["a"].up = False
        await world.client().store_turn(turn("t1"), 1.0)
        await asyncio.sleep(2.0)
        world.machines["a"].up = True
        await asyncio.sleep(2.0)
        return "turn.put" in world.machines["a"].received_types

    assert run(scenario())


def test_turn_is_reported_not_found_only_by_a_majority():
    async def scenario():
        world = World()
        client = world.client()
        await client.store_turn(turn("t1"), 1.0)
        world.machines["a"].up = False
        with pytest.raises(TurnNotFoundError):
            await client.read_history("p", "never", 1.0)
        world.machines["b"].up = False
        with pytest.raises(StoreUnavailableError):
            await client.read_history("p", "never", 1.0)

    run(scenario())


def test_log_tells_which_turn_of_a_history_is_missing_and_where(caplog):
    async def scenario():
        world = World()
        writer = world.client("one")
        await writer.store_turn(turn("t1"), 1.0)
        await writer.store_turn(turn("t2", "t1"), 1.0)
        for machine in world.machines.values():
            machine.disk.connection.execute("DELETE FROM turns WHERE turn = 't1'")
        with pytest.raises(StoreUnavailableError):
            await world.client("two").read_history("p", "t2", 1.0)

    with caplog.at_level(logging.INFO, "dewpin.dataplane.programs"):
        run(scenario())
    incomplete = next(line for line in caplog.records if line.message == "turn.history_incomplete")
    not_found = next(line for line in caplog.records if line.message == "turn.not_found")
    assert (incomplete.turn, incomplete.missing) == ("t2", "t1")
    assert not_found.turn == "t1" and len(not_found.stores_without_it) == 2


def test_program_continues_turn_of_another_program_on_its_own_replicas():
    async def scenario():
        world = World(names="abcdefg")
        writer, reader = world.client("one"), world.client("two")
        old_program, new_program = (
            "p0",
            next(
                f"p{n}"
                for n in range(1, 99)
                if not world.view.stable_replicas(f"p{n}", 3) & world.view.stable_replicas("p0", 3)
            ),
        )
        await writer.store_turn(turn("t1", program=old_program), 1.0)
        history = (await reader.read_history(new_program, "t1", 1.0)).content
        holders = [
            machine.store.member_id
            for machine in world.machines.values()
            if machine.disk.connection.execute(
                "SELECT 1 FROM turns WHERE turn = 't1' AND program = ?", (new_program,)
            ).fetchone()
        ]
        return history, len(holders), set(holders) <= world.view.stable_replicas(new_program, 3)

    history, holders, are_replicas = run(scenario())
    assert history == b"<t1>"
    assert holders >= 2 and are_replicas


def test_turn_not_found_among_many_stores_needs_all_but_a_minority():
    async def scenario():
        world = World(names="abcdefg")
        client = world.client()
        world.machines["g"].up = False
        with pytest.raises(TurnNotFoundError):
            await client.read_history("p", "never", 1.0)
        world.machines["f"].up = False
        with pytest.raises(StoreUnavailableError):
            await client.read_history("p", "never", 1.0)

    run(scenario())


def test_call_without_a_store_view_ends_by_time_out():
    async def scenario():
        world = World()
        client = StoreClient(world.link("x"), 3)
        started_s = now_s()
        with pytest.raises(StoreUnavailableError):
            await client.store_turn(turn("t1"), 0.5)
        return now_s() - started_s

    assert run(scenario()) == pytest.approx(0.5)


# View changes


def test_sender_adopts_newer_view_from_a_rejection():
    async def scenario():
        world = World(syncs=False)
        client = world.client()
        world.announce_view(StoreView(2, world.view.stable))
        await client.store_turn(turn("t1"), 1.0)
        return (await client.read_history("p", "t1", 1.0)).content

    assert run(scenario()) == b"<t1>"


def test_store_adopts_newer_view_from_a_request():
    async def scenario():
        world = World(syncs=False)
        world.announce_view(StoreView(2, world.view.stable), names="a")
        client = world.client()
        await client.store_turn(turn("t1"), 1.0)
        await asyncio.sleep(1.0)
        put_epochs = {
            machine.store.view.epoch for machine in world.machines.values() if "turn.put" in machine.received_types
        }
        world.machines["b"].up = False
        await client.store_turn(turn("t2"), 1.0)
        await asyncio.sleep(1.0)
        return put_epochs, {machine.store.view.epoch for machine in world.machines.values()}

    assert run(scenario()) == ({2}, {2})


def test_wiped_store_does_not_prove_that_a_turn_is_missing():
    async def scenario():
        world = World()
        writer = world.client("one")
        world.machines["a"].dropped_types = {"turn.put"}
        await writer.store_turn(turn("t1"), 1.0)
        world.machines["b"].start_empty()
        world.machines["b"].store.adopt(world.view)
        world.machines["c"].frozen = True
        with pytest.raises(StoreUnavailableError):
            await world.client("two").read_history("p", "t1", 1.0)
        world.machines["c"].frozen = False
        return (await world.client("two").read_history("p", "t1", 1.0)).content

    assert run(scenario()) == b"<t1>"


def test_write_during_a_view_change_needs_majorities_of_both_views():
    async def scenario():
        world = World(names="abcdef", in_view="abc", syncs=False)
        world.announce_view(StoreView(2, world.members("abc"), world.members("def")))
        for name in "ef":
            world.machines[name].up = False
        client = world.client()
        with pytest.raises(StoreUnavailableError):
            await client.store_turn(turn("t1"), 0.5)
        with pytest.raises(StoreUnavailableError):
            await client.reserve("p", "t1", 10, 100, 0.5)
        world.machines["e"].up = True
        await client.store_turn(turn("t1"), 1.0)
        await client.reserve("p", "t2", 10, 100, 1.0)

    run(scenario())


# The blocking client


def test_blocking_client_works_from_another_thread():
    loop = asyncio.new_event_loop()
    thread = threading.Thread(target=loop.run_forever, daemon=True)
    thread.start()
    try:

        async def make_client():
            return World().client()

        client = asyncio.run_coroutine_threadsafe(make_client(), loop).result(5)
        store = BlockingStoreClient(client, loop)
        reservation = store.reserve("p", "t1", 10, 10, 5.0)
        with pytest.raises(BudgetExceededError):
            store.reserve("p", "t2", 1, 10, 5.0)
        store.store_turn(turn("t1"), 5.0)
        store.settle(reservation, 5)
        assert store.read_history("p", "t1", 5.0).content == b"<t1>"
        with pytest.raises(TurnNotFoundError):
            store.read_history("p", "never", 5.0)
        assert store.reserve("p", "t3", 5, 10, 5.0).max_tokens == 5
    finally:
        loop.call_soon_threadsafe(loop.stop)
        thread.join()
        loop.close()


def test_history_cache_is_limited_in_size_and_age():
    clock = [0.0]
    cache = HistoryCache(max_bytes=3000, clock_s=lambda: clock[0])
    for number in range(10):
        cache.put(TurnRecord(f"t{number}", "p", None, 60_000, b"x" * 400, b"y" * 100), 10.0)
    assert cache.get("p", "t0") is None
    assert cache.complete_history("p", "t9").content == b"x" * 400 + b"y" * 100
    clock[0] = 10.0
    assert cache.get("p", "t9") is None


# Turns that continue a conversation


def test_beginning_a_turn_reserves_and_reads_concurrently():
    async def scenario():
        world = World(delay_s=0.02)
        await world.client("one").store_turn(turn("t1"), 1.0)
        client = world.client("two")
        started_s = now_s()
        start = await client.begin_turn("p", "t2", 10, 100, "t1", 1.0)
        took_s = now_s() - started_s
        started_s = now_s()
        await world.client("three").reserve("q", "t", 10, 100, 1.0)
        return start.history.content, start.reservation.max_tokens, took_s, now_s() - started_s

    history, max_tokens, begin_s, reserve_s = run(scenario())
    assert (history, max_tokens) == (b"<t1>", 10)
    assert begin_s < reserve_s + 0.005


@pytest.mark.parametrize(
    ("previous", "budget", "error"), [("never", 100, TurnNotFoundError), ("t1", 5, BudgetExceededError)]
)
def test_failure_to_begin_a_turn_releases_its_reservation(previous, budget, error):
    async def scenario():
        world = World()
        client = world.client("one")
        await client.store_turn(turn("t1"), 1.0)
        with pytest.raises(error):
            await world.client("two").begin_turn("p", "t2", 10, budget, previous, 1.0)
        await asyncio.sleep(1.0)
        return await client.read_ledger("p")

    ledger = run(scenario())
    assert ledger is None or ledger == {"spent": 0, "open": {}}


def test_time_out_in_beginning_a_turn_releases_its_reservation():
    async def scenario():
        world = World()
        await world.client("one").store_turn(turn("t1"), 1.0)
        for machine in world.machines.values():
            machine.dropped_types = {"turn.chain"}
        client = world.client("two")
        with pytest.raises(StoreUnavailableError):
            await client.begin_turn("p", "t2", 10, 100, "t1", 0.3)
        await client.wait_until_settled()
        return await client.read_ledger("p")

    assert run(scenario()) == {"spent": 0, "open": {}}


@pytest.mark.filterwarnings("error")
def test_settlement_of_a_call_that_a_blocked_loop_did_not_start_is_made_later(monkeypatch):
    """The turn may not be durable, but the tokens that it used must be counted."""
    monkeypatch.setattr(store_client, "THREAD_WAIT_MARGIN_S", 0.0)
    settled = []

    class Client:
        async def store_turn(self, turn, timeout_s, settlement):
            await asyncio.sleep(0)
            raise AssertionError("the call continues after its thread has timed out")

        def settle(self, reservation, used_tokens):
            settled.append((reservation.turn_id, used_tokens))

    loop = asyncio.new_event_loop()
    reservation = Reservation("p", "t", 10)
    with pytest.raises(StoreUnavailableError):
        store_client.BlockingStoreClient(Client(), loop).store_turn(turn("t"), 0.0, Settlement(reservation, 7))
    loop.call_soon(loop.stop)
    loop.run_forever()
    calls = asyncio.all_tasks(loop)
    loop.run_until_complete(asyncio.wait(calls))
    loop.close()
    assert [call.cancelled() for call in calls] == [True]
    assert settled == [("t", 7)]
