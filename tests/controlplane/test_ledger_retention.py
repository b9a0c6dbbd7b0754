"""A program that was stopped by its budget may return within `retain_s`: until then no store deletes its ledger."""

import asyncio
import json
from types import SimpleNamespace

import pytest
from scripted.clock import run
from scripted.disk import MemoryDisk
from scripted.stores import World

from dewpin.cluster.configuration import longest_retain_s
from dewpin.controlplane.local_store import LocalStore
from dewpin.controlplane.store import ledger_replica, ledger_retention
from dewpin.controlplane.store.ledger_retention import MAX_RETENTION_MS, MIN_RETENTION_MS, LedgerRetention
from dewpin.controlplane.store.sender_handlers import RETENTION_MARGIN_MS
from dewpin.controlplane.store.store import PURGE_PERIOD_S
from dewpin.dataplane.programs.errors import BudgetExceededError

HOUR_MS = 3_600_000
BUDGET = 100


async def purge(world):
    for machine in world.machines.values():
        await machine.store.purge_batch()


def configure(world, retain_s):
    for machine in world.machines.values():
        machine.store.set_ledger_retention(retain_s)


async def spend(world):
    writer = world.client("writer")
    writer.settle(await writer.reserve("p", "t", BUDGET, BUDGET, 1.0), BUDGET)
    await writer.wait_until_settled()


async def is_stopped_by_its_budget(world):
    """Return whether a new sender is refused the reservation of one more token."""
    reader = world.client("reader")
    try:
        await reader.reserve("p", "again", 1, BUDGET, 1.0)
    except BudgetExceededError:
        return True
    return False


@pytest.mark.parametrize(("retain_s", "kept_ms"), [(7_200.0, 2 * HOUR_MS), (60.0, HOUR_MS), (100_000.0, 100_000_000)])
def test_program_stopped_by_its_budget_stays_stopped_for_the_longest_retain_s(retain_s, kept_ms):
    async def scene(later_ms):
        world = World()
        configure(world, retain_s)
        await spend(world)
        world.clock_ms += later_ms
        await purge(world)
        return await is_stopped_by_its_budget(world)

    assert run(scene(kept_ms + RETENTION_MARGIN_MS))
    assert not run(scene(kept_ms + RETENTION_MARGIN_MS + 1))


def test_each_rejection_restarts_the_retention():
    async def scene():
        world = World()
        configure(world, 7_200.0)
        await spend(world)
        for _ in range(5):
            world.clock_ms += 2 * HOUR_MS
            await purge(world)
            assert await is_stopped_by_its_budget(world)

    run(scene())


def test_no_ledger_is_purged_before_a_configuration_is_known():
    async def scene():
        world = World()
        await spend(world)
        world.clock_ms += 10 * HOUR_MS
        await purge(world)
        configure(world, 20 * 3600.0)
        await purge(world)
        for machine in world.machines.values():
            machine.restart()
            await machine.store.load()
            machine.store.adopt(world.view)
        world.clock_ms += 9 * HOUR_MS
        await purge(world)
        assert await is_stopped_by_its_budget(world)

    run(scene())


def test_ledger_is_kept_for_the_retention_at_its_last_change():
    async def scene(later_ms):
        world = World()
        configure(world, 7_200.0)
        await purge(world)
        await spend(world)
        configure(world, 60.0)
        await purge(world)
        world.clock_ms += later_ms
        await purge(world)
        return await is_stopped_by_its_budget(world)

    assert run(scene(2 * HOUR_MS - 1))
    assert not run(scene(2 * HOUR_MS + RETENTION_MARGIN_MS + 1))


def test_decreasing_retentions_keep_every_promise():
    long = LedgerRetention(10 * HOUR_MS)
    shorter = long.after_configuration(5 * 3600.0, 0)
    assert [shorter.max_idle_ms(now) // HOUR_MS for now in (0, 10 * HOUR_MS - 1, 10 * HOUR_MS)] == [10, 10, 5]
    shortest = shorter.after_configuration(0.0, 8 * HOUR_MS)
    assert shortest.max_idle_ms(13 * HOUR_MS - 1) >= 5 * HOUR_MS, (
        "ledgers changed under five hours until the eighth hour"
    )
    assert shortest.max_idle_ms(13 * HOUR_MS) == MIN_RETENTION_MS
    assert shortest.after_configuration(0.0, 12 * HOUR_MS) == shortest
    assert shortest.after_configuration(0.0, 14 * HOUR_MS) == LedgerRetention(MIN_RETENTION_MS)
    assert shortest.after_configuration(10 * 3600.0, 9 * HOUR_MS) == long


@pytest.mark.parametrize(
    ("retain_s", "kept_ms"),
    [(0.0, MIN_RETENTION_MS), (-5.0, MIN_RETENTION_MS), (1e300, MAX_RETENTION_MS), (1e999, MAX_RETENTION_MS)],
)
def test_retention_is_limited_to_database_integers(retain_s, kept_ms):
    assert ledger_retention.retention_ms(retain_s) == kept_ms


def test_unchanged_retention_is_not_written():
    async def scene():
        world = World(names="a", losses=0)
        machine = world.machines["a"]
        configure(world, 7_200.0)
        await purge(world)
        changes = machine.disk.connection.total_changes
        for _ in range(5):
            await purge(world)
        assert machine.disk.connection.total_changes == changes

    run(scene())


def test_longest_retain_s_includes_the_default():
    routes = [{"retain_s": 30}, {"retain_s": None}, {}]
    assert longest_retain_s(json.dumps({"routes": routes})) == 60.0
    assert longest_retain_s(json.dumps({"routes": [*routes, {"retain_s": 7200.5}]})) == 7200.5
    assert longest_retain_s(json.dumps({"routes": []})) == 0.0


def test_store_of_a_process_follows_the_configuration():
    async def scene():
        disk, clock_ms = MemoryDisk(), [0]
        disk.incarnation = "a-1"
        settings = SimpleNamespace(fault_tolerance=SimpleNamespace(replica_count=1))
        store = LocalStore(settings, disk, None, lambda epoch: None, lambda: clock_ms[0])
        await store.start()
        record = ledger_replica.LedgerRecord("p", (5, "s"), (5, "s"), {"spent": 1, "open": {}})
        await disk.transact(lambda connection: ledger_replica.merge(connection, [record], 0))

        async def ledgers_after(hours, retain_s, digest):
            body = json.dumps({"routes": [{"retain_s": retain_s}]})
            stores = {"epoch": 0, "stable": {}, "next": None}
            store.adopt({"stores": stores, "configuration": {"digest": digest, "body": body}})
            clock_ms[0] = hours * HOUR_MS
            await asyncio.sleep(2 * PURGE_PERIOD_S)
            return len(ledger_replica.read_page(disk.connection, "", 9))

        store.adopt({"stores": {"epoch": 0, "stable": {}, "next": None}, "configuration": None})
        assert await ledgers_after(5, 10 * 3600, "one") == 1
        assert await ledgers_after(9, 20 * 3600, "two") == 1
        assert await ledgers_after(19, 20 * 3600, "two") == 1
        assert await ledgers_after(21, 20 * 3600, "two") == 0

    run(scene())
