"""Histories are read inside the memory budget of the process, which is released once the reply is encoded."""

import asyncio

import pytest
from scripted.clock import run
from scripted.stores import World, turn

from dewpin.cluster import store_messages as wire
from dewpin.cluster.memory_budget import MemoryBudget
from dewpin.cluster.rpc import RpcError
from dewpin.cluster.store_requests import HistoryRequest
from dewpin.controlplane.store.history_reader import PAGE_COPIES, HistoryReader
from dewpin.controlplane.store.view_guard import ViewGuard

BODY_BYTES = 40_000
PAGES_IN_BUDGET = 3


async def reader_of_stored_turn():
    """Return a reader of the only store of a world with a turn "t", and its budget, which has room for few pages."""
    world = World(names="a", losses=0)
    await world.client("sender").store_turn(turn("t", body=bytes(BODY_BYTES)), 1.0)
    machine = world.machines["a"]
    guard = ViewGuard(machine.disk, machine.store.member_id, 1, lambda view: None)
    guard.adopt(world.view)
    budget = MemoryBudget(int(PAGE_COPIES * BODY_BYTES * (PAGES_IN_BUDGET + 0.9)))
    return HistoryReader(guard, budget), budget, world.view.epoch


def test_pages_that_do_not_fit_are_refused_and_the_others_released():
    async def scene():
        reader, budget, epoch = await reader_of_stored_turn()
        reads = [reader.read(epoch, HistoryRequest("p", "t")) for _ in range(2 * PAGES_IN_BUDGET)]
        results = await asyncio.gather(*reads, return_exceptions=True)
        refused = [result for result in results if isinstance(result, RpcError)]
        assert {error.kind for error in refused} == {wire.BUSY}
        assert 0 < len(results) - len(refused) <= PAGES_IN_BUDGET
        await asyncio.sleep(0)
        assert budget.held_bytes == 0
        assert (await reader.read(epoch, HistoryRequest("p", "t")))["type"] == wire.TURN_HISTORY_PAGE

    run(scene())


def test_a_single_page_is_read_even_if_it_exceeds_the_budget():
    async def scene():
        reader, budget, epoch = await reader_of_stored_turn()
        budget.limit_bytes = BODY_BYTES
        page = await reader.read(epoch, HistoryRequest("p", "t"))
        assert len(page["links"]) == 1

    run(scene())


def test_a_page_is_released_if_the_read_fails():
    async def scene():
        reader, budget, epoch = await reader_of_stored_turn()
        with pytest.raises(RpcError):
            await reader.read(epoch + 1, HistoryRequest("p", "t"))
        await asyncio.sleep(0)
        assert budget.held_bytes == 0

    run(scene())


def test_a_read_that_is_abandoned_without_an_event_loop_releases_its_page():
    async def scene():
        reader, budget, epoch = await reader_of_stored_turn()

        class NeverEndingGuard:
            async def transact(self, epoch, work):
                work(reader._guard.storage.connection)
                await asyncio.Event().wait()

        read = HistoryReader(NeverEndingGuard(), budget).read(epoch, HistoryRequest("p", "t"))
        read.send(None)
        assert budget.held_bytes > 0
        return read, budget

    read, budget = run(scene())
    read.close()  # as the garbage collector does at the end of a process
    assert budget.held_bytes == 0
