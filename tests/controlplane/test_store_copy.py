"""Copying of turns during a view change: messages between releases, faults during the transfer, load on the disk."""

import asyncio

import pytest
from scripted.clock import START_S, run
from scripted.stores import World, turn

from dewpin.cluster import store_messages as wire
from dewpin.cluster.store_messages import TurnRecord
from dewpin.cluster.store_view import StoreView
from dewpin.controlplane.store import turn_copy, turn_table, turn_transfer
from dewpin.controlplane.store.turn_table import IndexEntry
from dewpin.controlplane.store.turn_transfer import TURNS_PER_REQUEST, FetchedTurns

EVERY_BYTE = bytes(range(256))
RETAIN_MS = 60_000


async def world_with_turns(turns=40, body=EVERY_BYTE):
    """Return a world whose stores a, b and c hold `turns` turns, and d none."""
    world = World(names="abcd", in_view="abc")
    client = world.client()
    for number in range(turns):
        await client.store_turn(turn(f"t{number:04}", program=f"p{number}", body=body), 1.0)
    await client.wait_until_settled()
    client.close()
    await world.copy_to_all_replicas()
    return world


def change(world):
    """Start the view change that replaces a by d."""
    world.machines["a"].up = False
    world.announce_view(StoreView(world.view.epoch + 1, world.members("abc"), world.members("bcd")))


def bodies_of(machine):
    return machine.disk.connection.execute("SELECT turn, input, output FROM turn_bodies ORDER BY turn").fetchall()


async def until_copied(world, name="d"):
    epoch = world.view.epoch
    await world.until(lambda: epoch in world.machines[name].synced)


def wrap(world, names, kind, wrapped):
    """Make `wrapped(handler, message)` answer the requests of `kind` at the machines `names`."""
    for name in names:
        handlers = world.machines[name].store.handlers
        handler = handlers[kind]
        handlers[kind] = lambda message, handler=handler: wrapped(handler, message)


def test_unexpected_exceptions_do_not_end_a_copy(monkeypatch):
    async def scene():
        world = await world_with_turns()
        failures = [ZeroDivisionError("a bug")] * 4
        find_missing = turn_table.find_missing_of_page

        def failing(connection, entries):
            if failures:
                raise failures.pop()
            return find_missing(connection, entries)

        monkeypatch.setattr(turn_table, "find_missing_of_page", failing)
        change(world)
        await until_copied(world)
        assert not failures and len(bodies_of(world.machines["d"])) == 40
        assert bodies_of(world.machines["d"]) == bodies_of(world.machines["b"])

    run(scene())


def test_bodies_are_copied_exactly_as_raw_bytes():
    async def scene():
        world = await world_with_turns()
        raw = []

        async def recording(handler, message):
            answer = await handler(message)
            raw.append("raw" in answer and "turns" not in answer)
            return answer

        wrap(world, "bc", wire.PULL_TURNS, recording)
        change(world)
        await until_copied(world)
        assert bodies_of(world.machines["d"]) == bodies_of(world.machines["b"])
        assert len(bodies_of(world.machines["d"])) == 40
        assert raw and all(raw)

    run(scene())


def test_source_of_earlier_release_replies_in_json():
    async def scene():
        world = await world_with_turns()

        async def without_raw_bodies(handler, message):
            answer = await handler({key: value for key, value in message.items() if key != "raw_bodies"})
            assert "raw" not in answer
            return answer

        wrap(world, "bc", wire.PULL_TURNS, without_raw_bodies)
        change(world)
        await until_copied(world)
        assert bodies_of(world.machines["d"]) == bodies_of(world.machines["b"])

    run(scene())


def truncated(answer):
    return {**answer, "raw": answer["raw"][:-1]}


def without_rows(answer):
    return {key: value for key, value in answer.items() if key != "rows"}


def with_unrequested_turn(answer):
    return {**answer, "rows": [["other", "p", None, 1, 0, len(answer["raw"])]]}


@pytest.mark.parametrize("spoil", [truncated, without_rows, with_unrequested_turn])
def test_unreadable_reply_is_requested_again(spoil):
    async def scene():
        world = await world_with_turns()
        corrupted = []

        async def corrupting(handler, message):
            answer = await handler(message)
            if len(corrupted) < 4:
                corrupted.append(1)
                return spoil(answer)
            return answer

        wrap(world, "bc", wire.PULL_TURNS, corrupting)
        change(world)
        await until_copied(world)
        assert len(corrupted) == 4
        assert bodies_of(world.machines["d"]) == bodies_of(world.machines["b"])

    run(scene())


def test_interrupted_copy_continues_with_missing_turns(monkeypatch):
    monkeypatch.setattr(turn_copy, "TURNS_PER_REQUEST", 10)

    async def scene():
        world = await world_with_turns()
        requested = []

        async def recording(handler, message):
            requested.extend(turn for turn, _ in message["keys"])
            answer = await handler(message)
            if len(requested) == 20:
                await asyncio.sleep(3600)
            return answer

        wrap(world, "bc", wire.PULL_TURNS, recording)
        change(world)
        await world.until(lambda: len(bodies_of(world.machines["d"])) >= 10)
        copied = {name for name, _, _ in bodies_of(world.machines["d"])}
        world.machines["d"].sync.stop()
        world.machines["d"].restart()
        del requested[:]
        requested.append("<interrupted copy>")
        world.announce_view(StoreView(world.view.epoch + 1, world.members("abc"), world.members("bcd")))
        await until_copied(world)
        assert copied.isdisjoint(requested)
        assert bodies_of(world.machines["d"]) == bodies_of(world.machines["b"])

    run(scene())


def test_at_most_one_batch_of_a_copy_waits_for_the_disk(monkeypatch):
    """A put shares its commit with all other pending writes, so its duration depends on their total size."""
    monkeypatch.setattr(turn_copy, "TURNS_PER_REQUEST", 5)

    async def scene():
        world = await world_with_turns(turns=100)
        disk = world.machines["d"].disk
        transact, pending, batch_counts = disk.transact, [], []

        async def slow(work):
            pending.append(work)
            batch_counts.append(
                len([pending_work for pending_work in pending if "_write_batch" in pending_work.__qualname__])
            )
            await asyncio.sleep(0.05)
            pending.remove(work)
            return await transact(work)

        monkeypatch.setattr(disk, "transact", slow)
        change(world)
        await until_copied(world)
        assert max(batch_counts) == 1
        assert bodies_of(world.machines["d"]) == bodies_of(world.machines["b"])

    run(scene())


def fetched_turn(name):
    record = TurnRecord(name, "p", None, RETAIN_MS, b"in", b"out")
    return FetchedTurns((record,), (RETAIN_MS,), frozenset())


class SlowStore:
    """A store whose disk takes 50 ms per transaction; `written`: the turns written by each transaction."""

    def __init__(self):
        self.storage = self
        self.written = []

    def now_ms(self):
        return 0

    async def transact(self, work):
        before = len(self.written)
        await asyncio.sleep(0.05)
        work(self)
        return self.written[before:]

    def executemany(self, statement, rows):
        if "turn_bodies" in statement:
            self.written.append([row[0] for row in rows])


def test_turns_that_arrive_during_a_write_share_the_next_sync():
    async def scene():
        store = SlowStore()
        writer = turn_copy.TurnWriter(store)
        await asyncio.gather(*(writer.write_fetched(fetched_turn(name)) for name in "abcdef"))
        return store.written, asyncio.get_running_loop().time() - START_S

    written, took_s = run(scene())
    assert sorted(name for names in written for name in names) == list("abcdef")
    assert took_s == pytest.approx(0.1)  # one transaction for the first turn, one for the other five


def test_cancelled_writer_leaves_the_turns_of_the_others_to_be_written():
    async def scene():
        store = SlowStore()
        writer = turn_copy.TurnWriter(store)
        tasks = [asyncio.ensure_future(writer.write_fetched(fetched_turn(name))) for name in "abcd"]
        await asyncio.sleep(0.06)  # the call for `b` is writing the turns of all waiting calls
        tasks[1].cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return [name for names in store.written for name in names], [task.cancelled() for task in tasks]

    written, cancelled = run(scene())
    assert cancelled == [False, True, False, False]
    assert {"a", "c", "d"} <= set(written)


def test_large_bodies_take_several_requests(monkeypatch):
    monkeypatch.setattr(turn_transfer, "MAX_BODY_BYTES_PER_REPLY", 1000)

    async def scene():
        world = await world_with_turns(turns=20, body=bytes(900))
        change(world)
        await until_copied(world)
        assert len(bodies_of(world.machines["d"])) == 20

    run(scene())


def test_turns_of_unresponsive_source_are_fetched_from_others():
    """The source that gets the first request never answers, whichever it is."""

    async def scene():
        world = await world_with_turns()
        requested = []

        async def never_answer_if_first(handler, message):
            requested.append(message["to"])
            if message["to"] == requested[0]:
                await asyncio.sleep(3600)
            return await handler(message)

        wrap(world, "bc", wire.PULL_TURNS, never_answer_if_first)
        change(world)
        d = world.machines["d"]
        await world.until(lambda: len(bodies_of(d)) == 40)
        assert len(set(requested)) == 2

    run(scene())


@pytest.mark.parametrize("held", [0, 3, 200])
def test_find_missing_of_page_agrees_with_find_missing(held):
    async def scene():
        world = await world_with_turns(turns=held)
        connection = world.machines["b"].disk.connection
        entries = [IndexEntry(f"t{number:04}", f"p{number}", 1) for number in (0, 2, 3, 199, 500)]
        expected = turn_table.find_missing(connection, entries)
        assert turn_table.find_missing_of_page(connection, entries) == expected
        assert [entry.turn for entry in expected] == [entry.turn for entry in entries if int(entry.turn[1:]) >= held]
        assert turn_table.find_missing_of_page(connection, []) == []
        other = [IndexEntry("t0000", "another program", 1)]
        assert turn_table.find_missing_of_page(connection, other) == other

    run(scene())


def test_batch_of_a_copy_is_bounded():
    assert TURNS_PER_REQUEST <= 500
    assert turn_transfer.MAX_BODY_BYTES_PER_REPLY <= 1024 * 1024
