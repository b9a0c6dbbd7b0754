"""A store: epochs, incarnations, expiry, and copying of records during view changes."""

import asyncio
import json
import logging

import pytest
from scripted.clock import run
from scripted.stores import World, take_turn, turn

from dewpin.cluster import store_messages as wire
from dewpin.cluster.rpc import RpcError
from dewpin.cluster.store_messages import TurnRecord
from dewpin.cluster.store_view import Member, StoreView
from dewpin.consensus import Ballot
from dewpin.controlplane.storage import StorageError
from dewpin.controlplane.store import ledger_replica, turn_table
from dewpin.controlplane.store.sender_handlers import RETENTION_MARGIN_MS
from dewpin.controlplane.store.store import PURGE_BATCH_SIZE, PURGE_PERIOD_S
from dewpin.controlplane.store.transfer_messages import TurnsReply
from dewpin.dataplane.programs.errors import BudgetExceededError, TurnNotFoundError


def record(name, previous=None, program="p", retain_ms=60_000):
    return TurnRecord(name, program, previous, retain_ms, b"<" + name.encode(), b">")


def turns_of(machine):
    return {row[0] for row in machine.disk.connection.execute("SELECT turn FROM turns")}


async def request(machine, kind, view, /, **fields):
    message = wire.request(kind, view, machine.store.member_id, **fields)
    return await machine.store.handlers[kind](json.loads(json.dumps(message)))


# One store


def test_request_of_another_epoch_is_rejected_with_the_stores_view():
    async def scene():
        world = World(syncs=False)
        for epoch in (0, 2):
            with pytest.raises(RpcError) as error:
                await request(world.machines["a"], wire.TURN_HISTORY, StoreView(epoch, ()), program="p", previous="t")
            assert error.value.kind == wire.STALE_EPOCH
            assert StoreView.from_json(error.value.message["view"]) == world.view

    run(scene())


def test_write_of_an_older_epoch_stores_nothing():
    async def scene():
        world = World(syncs=False)
        store = world.machines["a"]
        older = world.view
        world.announce_view(StoreView(older.epoch + 1, older.stable))
        writes = [
            (wire.TURN_PUT, {"turns": [record("t").to_json()]}),
            (wire.LEDGER_PREPARE, {"program": "p", "ballot": [1, "s"]}),
            (wire.LEDGER_ACCEPT, {"program": "p", "ballot": [1, "s"], "value": {}, "next_ballot": None}),
        ]
        for kind, fields in writes:
            with pytest.raises(RpcError) as error:
                await request(store, kind, older, **fields)
            assert error.value.kind == wire.STALE_EPOCH
        assert turns_of(store) == set()
        assert store.disk.connection.execute("SELECT count(*) FROM register_replica").fetchone() == (0,)

    run(scene())


def test_request_for_another_incarnation_is_rejected():
    async def scene():
        world = World()
        old_member_id = world.machines["a"].store.member_id
        world.machines["a"].start_empty()
        world.machines["a"].store.adopt(world.view)
        message = wire.request(wire.TURN_HISTORY, world.view, old_member_id, program="p", previous="t")
        with pytest.raises(RpcError) as error:
            await world.machines["a"].store.handlers[wire.TURN_HISTORY](message)
        assert error.value.kind == wire.WRONG_MEMBER

    run(scene())


def test_store_rejects_records_of_programs_that_it_does_not_replicate():
    async def scene():
        world = World(names="abcdefg")
        program = next(f"p{n}" for n in range(99) if "a-1" not in world.view.stable_replicas(f"p{n}", 3))
        with pytest.raises(RpcError) as error:
            await request(
                world.machines["a"], wire.TURN_PUT, world.view, turns=[record("t", program=program).to_json()]
            )
        assert error.value.kind == wire.NOT_REPLICA

    run(scene())


def test_restarted_store_has_the_view_of_its_last_copy_reply():
    async def scene():
        world = World(names="abcd", in_view="abc", syncs=False)
        changing = StoreView(2, world.members("abc"), world.members("bcd"))
        world.announce_view(changing, names="a")
        await request(world.machines["a"], wire.PULL_LEDGERS, changing, member="d-1", after="", most=10)
        world.machines["a"].restart()
        await world.machines["a"].store.load()
        assert world.machines["a"].store.view == changing
        assert not world.machines["a"].store.adopt(StoreView(1, world.members("abc")))

    run(scene())


def test_long_history_takes_several_replies(monkeypatch):
    monkeypatch.setattr("dewpin.controlplane.store.history_reader.MAX_HISTORY_BYTES", 10)

    async def scene():
        world = World()
        client = world.client("one")
        previous = None
        for number in range(9):
            await client.store_turn(turn(f"t{number}", previous), 1.0)
            previous = f"t{number}"
        return (await world.client("two").read_history("p", previous, 1.0)).content

    assert run(scene()) == b"".join(b"<t%d>" % number for number in range(9))


def test_expired_turns_are_purged_from_the_end_of_a_history():
    async def scene():
        world = World(names="a", losses=0)
        store = world.machines["a"].store
        client = world.client()
        await client.store_turn(turn("t1", retain_s=10.0), 1.0)
        world.clock_ms += 9_000
        await client.store_turn(turn("t2", "t1", retain_s=10.0), 1.0)
        world.clock_ms += 9_000 + RETENTION_MARGIN_MS
        await store.purge_batch()
        assert (await world.client("other").read_history("p", "t2", 1.0)).content == b"<t1><t2>"
        world.clock_ms += 2_000
        purged_counts = [await store.purge_batch() for _ in range(3)]
        assert turns_of(world.machines["a"]) == set()
        assert purged_counts == [2, 0, 0]
        assert world.machines["a"].disk.connection.execute("SELECT count(*) FROM turn_bodies").fetchone() == (0,)
        with pytest.raises(TurnNotFoundError):
            await world.client("third").read_history("p", "t2", 1.0)

    run(scene())


def test_ended_history_is_purged_in_whole_batches_from_its_end():
    """Guards against an ended conversation that is deleted by one turn a second."""
    size = PURGE_BATCH_SIZE

    async def scene():
        world = World(names="a", losses=0)
        previous = None
        for number in range(2 * size + 10):
            turn_id = f"t{number:03}"
            await request(world.machines["a"], wire.TURN_PUT, world.view, turns=[record(turn_id, previous).to_json()])
            previous = turn_id
        world.clock_ms += 60_000 + RETENTION_MARGIN_MS + 1
        purged_counts, remaining = [], []
        for _ in range(4):
            purged_counts.append(await world.machines["a"].store.purge_batch())
            remaining.append(sorted(turns_of(world.machines["a"])))
        return purged_counts, remaining

    purged_counts, remaining = run(scene())
    assert purged_counts == [size, size, 10, 0]
    assert remaining == [[f"t{number:03}" for number in range(count)] for count in (size + 10, 10, 0, 0)]


def test_unexpected_exception_does_not_end_the_purge(monkeypatch, caplog):
    """Guards against a store that deletes nothing any more after one failed purge, and grows until its disk is full."""
    failures = [ZeroDivisionError("a bug"), StorageError("disk full")]
    purge = turn_table.purge

    def failing(*arguments):
        if failures:
            raise failures.pop(0)
        return purge(*arguments)

    monkeypatch.setattr(turn_table, "purge", failing)

    async def scene():
        world = World(names="a", losses=0)
        store = world.machines["a"]
        await request(store, wire.TURN_PUT, world.view, turns=[record("t").to_json()])
        world.clock_ms += 60_000 + RETENTION_MARGIN_MS + 1
        purging = asyncio.ensure_future(store.store.purge_forever())
        await asyncio.sleep(2.5 * PURGE_PERIOD_S)
        assert turns_of(store) == {"t"} and not failures and not purging.done()
        await asyncio.sleep(PURGE_PERIOD_S)
        assert turns_of(store) == set()
        purging.cancel()

    with caplog.at_level(logging.WARNING):
        run(scene())
    assert [record.getMessage() for record in caplog.records] == ["unexpected", "store.purge_failed"]


def test_purge_stops_at_a_turn_that_another_one_continues_or_that_has_not_expired():
    async def scene():
        world = World(names="a", losses=0)
        disk = world.machines["a"].disk
        ended = [record("root"), record("left", "root"), record("left2", "left"), record("sub", "left", "other")]
        living = [record("right", "root", retain_ms=90_000), record("late", "left2", retain_ms=10)]
        living += [record("long", retain_ms=90_000), record("short", "long", retain_ms=10)]
        now_ms = world.wall_ms()
        await disk.transact(lambda connection: turn_table.put(connection, [*ended, *living], now_ms, 0))
        deleted = [
            await disk.transact(lambda connection, at_ms=at_ms: turn_table.purge(connection, now_ms + at_ms, 100))
            for at_ms in (70_000, 100_000)
        ]
        assert turns_of(world.machines["a"]) == set()
        return [[turn for turn, _ in keys] for keys in deleted]

    first, second = run(scene())
    assert sorted(first) == ["late", "left", "left2", "short", "sub"]
    assert first.index("left") > max(first.index("left2"), first.index("sub"))
    assert sorted(second) == ["long", "right", "root"]
    assert second.index("root") > second.index("right")


def test_write_names_the_newest_turn_that_the_program_lacks():
    """Guards against a store that looks for the previous turn only, or takes another program's turns for its own."""

    async def scene():
        world = World(names="a", losses=0)

        async def put(*records):
            reply = await request(
                world.machines["a"], wire.TURN_PUT, world.view, turns=[one.to_json() for one in records]
            )
            return reply.get("missing")

        return [
            await put(record("t4", "t3")),
            await put(record("t3", "t2"), record("t2", "t1")),
            await put(record("t5", "t4")),
            await put(record("t1")),
            await put(record("t5", "t4")),
            await put(record("s1", "t5", program="q")),
            await put(*(record(f"t{n}", f"t{n - 1}" if n > 1 else None, program="q") for n in (5, 4, 3, 2))),
            await put(record("t1", program="q")),
            await put(record("s1", "t5", program="q")),
        ]

    assert run(scene()) == ["t3", "t1", "t1", None, None, "t5", "t1", None, None]


def test_body_is_kept_while_any_program_holds_the_turn():
    async def scene():
        world = World(names="a", losses=0)
        disk = world.machines["a"].disk
        now_ms = world.wall_ms()
        await disk.transact(lambda connection: turn_table.put(connection, [record("t", program="old")], now_ms, 0))
        later = [record("t", program="new", retain_ms=90_000)]
        await disk.transact(lambda connection: turn_table.put(connection, later, now_ms, 0))
        await disk.transact(lambda connection: turn_table.purge(connection, now_ms + 70_000, 10))
        page = await disk.transact(
            lambda connection: turn_table.read_history(connection, "new", "t", 100, charge=lambda size_bytes: None)
        )
        assert [turn.program for turn in page.turns] == ["new"]

    run(scene())


def test_idle_ledgers_are_purged_but_not_the_system_register():
    async def scene():
        world = World(names="a", losses=0)
        await world.client().reserve("p", "t1", 10, 100, 1.0)
        connection = world.machines["a"].disk.connection
        connection.execute("INSERT INTO register_replica (key, promised) VALUES ('system', '[1,\"x\"]')")
        world.machines["a"].store.set_ledger_retention(60.0)
        world.clock_ms += 3_600_000 + RETENTION_MARGIN_MS
        await world.machines["a"].store.purge_batch()
        keys = connection.execute("SELECT key FROM register_replica").fetchall()
        assert sorted(keys) == [("ledger/p",), ("system",)]
        world.clock_ms += 1
        await world.machines["a"].store.purge_batch()
        assert connection.execute("SELECT key FROM register_replica").fetchall() == [("system",)]

    run(scene())


def test_merge_of_ledgers_keeps_the_greatest_ballots_in_any_order():
    async def scene():
        world = World(names="a", losses=0)
        disk = world.machines["a"].disk
        low = ledger_replica.LedgerRecord("p", Ballot(9, "x"), Ballot(1, "x"), {"spent": 1, "open": {}})
        high = ledger_replica.LedgerRecord("p", Ballot(5, "y"), Ballot(5, "y"), {"spent": 5, "open": {}})
        for records in ([low, high], [high, low], [high], [low]):
            await disk.transact(lambda connection: ledger_replica.merge(connection, records, 0))
            replica = await disk.transact(lambda connection: ledger_replica.load(connection, "p"))
        assert (replica.promised, replica.accepted, replica.value["spent"]) == (Ballot(9, "x"), Ballot(5, "y"), 5)

    run(scene())


# Changes of the view


async def change_view(world, next_names, pause_s=0.0):
    """Change the view from its stable members to those named in `next_names`, as the system register does."""
    stable = world.view.stable
    changing = StoreView(world.view.epoch + 1, stable, world.members(next_names))
    world.announce_view(changing)
    await world.until(lambda: all(changing.epoch in world.machines[name].synced for name in next_names))
    await asyncio.sleep(pause_s)
    world.announce_view(StoreView(changing.epoch + 1, world.members(next_names)))


def test_replacing_all_stores_loses_nothing():
    async def scene():
        world = World(names="abcdef", in_view="abc")
        client = world.client()
        for number in range(30):
            program = f"p{number}"
            await client.store_turn(turn("a" + program, program=program), 1.0)
            await client.store_turn(turn("b" + program, "a" + program, program=program), 1.0)
            await client.reserve(program, "t", 60, 100, 1.0)
        await change_view(world, "def")
        for name in "abc":
            world.machines[name].up = False
        other = world.client("other")
        for number in range(30):
            program = f"p{number}"
            expected = f"<a{program}><b{program}>".encode()
            assert (await other.read_history(program, "b" + program, 1.0)).content == expected
            with pytest.raises(BudgetExceededError):
                await other.reserve(program, "u", 60, 100, 1.0)
            await other.reserve(program, "u", 40, 100, 1.0)

    run(scene())


def test_wiped_store_returns_as_another_member_and_copies_everything():
    async def scene():
        world = World()
        world.machines["b"].dropped_types = {"turn.put"}
        client = world.client()
        await client.store_turn(turn("t1"), 1.0)
        client.close()
        world.machines["a"].start_empty()
        world.machines["b"].dropped_types = set()
        await change_view(world, "abc")
        assert [turns_of(machine) for machine in world.machines.values()] == [{"t1"}] * 3
        world.machines["c"].up = False
        assert (await world.client("other").read_history("p", "t1", 1.0)).content == b"<t1>"

    run(scene())


def test_copy_is_incomplete_before_a_majority_of_sources_was_read():
    async def scene():
        world = World(names="abcd", in_view="abc")
        client = world.client()
        await client.store_turn(turn("t1"), 1.0)
        for name in "bc":
            world.machines[name].up = False
        world.announce_view(StoreView(2, world.members("abc"), world.members("abd")))
        await asyncio.sleep(30.0)
        assert 2 not in world.machines["d"].synced
        world.machines["b"].up = True
        await world.until(lambda: 2 in world.machines["d"].synced)
        assert turns_of(world.machines["d"]) == {"t1"}

    run(scene())


def test_unresponsive_source_does_not_delay_the_copy():
    async def scene():
        world = World(names="abcd", in_view="abc")
        client = world.client()
        for number in range(50):
            await client.store_turn(turn(f"t{number}", program=f"p{number}"), 1.0)
        world.announce_view(StoreView(2, world.members("abc"), world.members("bcd")))
        world.machines["a"].frozen = True
        await world.until(lambda: 2 in world.machines["d"].synced, timeout_s=3.0)
        assert len(turns_of(world.machines["d"])) == 50

    run(scene())


def test_writes_under_the_old_view_fail_once_a_copy_began():
    async def scene():
        world = World(names="abcd", in_view="abc", syncs=False)
        old_view = world.view
        changing = StoreView(2, world.members("abc"), world.members("bcd"))
        for name in "ab":
            await request(
                world.machines[name],
                wire.PULL_INDEX,
                changing,
                view=changing.to_json(),
                member="d-1",
                after=["", ""],
                most=10,
            )
        rejected_count = 0
        for name in "abc":
            try:
                await request(world.machines[name], wire.TURN_PUT, old_view, turns=[record("t").to_json()])
            except RpcError as error:
                rejected_count += error.kind == wire.STALE_EPOCH
        assert rejected_count == 2

    run(scene())


@pytest.mark.parametrize("seed", range(12))
def test_writes_during_a_view_change_are_kept(seed):
    async def scene():
        world = World(names="abcdef", in_view="abc", delay_s=0.004)
        clients = [world.client(f"s{number}", seed=100 * seed + number) for number in range(3)]
        stored, granted, stop = [], {}, asyncio.Event()

        async def write(client, number):
            previous, step = None, 0
            program = f"p{number}"
            while not stop.is_set():
                name = f"{program}.{step}"
                step += 1
                await take_turn(client, turn(name, previous, program), 5.0)
                stored.append((program, name))
                previous = name
                try:
                    reservation = await client.reserve("shared", f"{name}.r", 7, 700, 5.0)
                except BudgetExceededError:
                    continue
                granted[reservation.turn_id] = 7
                if step % 3 == 0:
                    client.settle(reservation, 3)
                    granted[reservation.turn_id] = 3

        writers = [asyncio.ensure_future(write(client, number)) for number, client in enumerate(clients)]
        await asyncio.sleep(0.05 + 0.01 * seed)
        for next_names in ("bcd", "def", "dea"):
            await change_view(world, next_names, pause_s=0.02 * seed)
            await asyncio.sleep(0.05)
        stop.set()
        await asyncio.gather(*writers)
        for client in clients:
            await client.wait_until_settled()
        for name in "bcf":
            world.machines[name].up = False
        world.machines["ade"[seed % 3]].up = False
        reader = world.client("reader", seed=seed)
        for program, name in stored:
            assert (await reader.read_history(program, name, 2.0)).content.endswith(f"<{name}>".encode())
        spent = sum(granted.values())
        assert spent <= 700
        remaining = 700 - spent
        if remaining:
            await reader.reserve("shared", "last", remaining, 700, 2.0)
        with pytest.raises(BudgetExceededError):
            await reader.reserve("shared", "over", 1, 700, 2.0)
        assert len(stored) > 10

    run(scene())


def test_smaller_view_has_turns_that_a_remaining_store_had_missed():
    async def scene():
        world = World()
        world.machines["c"].dropped_types = {"turn.put"}
        client = world.client()
        await client.store_turn(turn("t1"), 1.0)
        client.close()
        world.machines["c"].dropped_types = set()
        await change_view(world, "bc")
        assert turns_of(world.machines["c"]) == {"t1"}

    run(scene())


def test_newer_view_replaces_a_copy_in_progress():
    async def scene():
        world = World(names="abcde", in_view="abc")
        await world.client().store_turn(turn("t1"), 1.0)
        world.machines["a"].up = world.machines["b"].up = False
        world.announce_view(StoreView(2, world.members("abc"), world.members("bcd")))
        await asyncio.sleep(1.0)
        world.machines["a"].up = world.machines["b"].up = True
        world.announce_view(StoreView(3, world.members("abc"), world.members("cde")))
        await world.until(lambda: 3 in world.machines["e"].synced and 3 in world.machines["d"].synced)
        assert 2 not in world.machines["d"].synced
        assert turns_of(world.machines["e"]) == {"t1"}

    run(scene())


def test_members_have_addresses():
    member = Member("a", "1.2.3.4:5")
    assert StoreView(1, (member,)).members == {"a": member}


def test_no_turn_is_fetched_from_two_sources():
    async def scene():
        world = World(names="abcd", in_view="abc")
        client = world.client()
        for number in range(40):
            await client.store_turn(turn(f"t{number}", program=f"p{number}"), 1.0)
        await world.copy_to_all_replicas()
        fetched = []
        for name in "abc":
            handlers = world.machines[name].store.handlers
            handlers[wire.PULL_TURNS] = recording_turns(handlers[wire.PULL_TURNS], fetched)
        await change_view(world, "bcd")
        assert sorted(fetched) == sorted(turns_of(world.machines["d"]))
        assert len(fetched) == 40

    run(scene())


def recording_turns(handler, fetched):
    async def record_turns(message):
        reply = await handler(message)
        fetched.extend(record.turn for record in TurnsReply.decode(reply).records)
        return reply

    return record_turns


# Logs


def test_logs_tell_which_turns_a_store_took_lacked_and_deleted(caplog):
    async def scene():
        world = World(names="a", losses=0)
        store = world.machines["a"]
        for one in (record("t1"), record("t3", "t2")):
            await request(store, wire.TURN_PUT, world.view, turns=[one.to_json()])
        world.clock_ms += 60_000 + RETENTION_MARGIN_MS + 1
        await store.store.purge_batch()

    with caplog.at_level(logging.DEBUG, "dewpin.controlplane.store"):
        run(scene())
    taken = [(*line.turns, line.missing) for line in caplog.records if line.message == "store.turns_stored"]
    deleted = [sorted(line.turns) for line in caplog.records if line.message == "store.turns_deleted"]
    assert taken == [("t1", None), ("t3", "t2")]
    assert deleted == [["t1", "t3"]]
