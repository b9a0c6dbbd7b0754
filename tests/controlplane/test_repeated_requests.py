"""Repeated execution of every control plane handler for the same request: immediately, or later, after other requests.

A caller without a reply retries, and a request that timed out may still be executed much later. The resulting records
must be the same as without repetition.
"""

import asyncio
import random

import pytest
from controlplane.test_senders_and_control_servers import SENDERS, Fleet
from scripted import network, stores
from scripted.clock import run
from scripted.stores import World

from dewpin.cluster.rpc import RpcError
from dewpin.controlplane.register.proposer import RegisterUnavailableError
from dewpin.dataplane.programs.errors import BudgetExceededError
from dewpin.dataplane.programs.program_store import Turn

DELAY_S = (0.02, 1.5)
"""Range of the random delay of each repetition."""
REPLY_LOSS_RATE = 0.3
SEEDS = range(8)
MODES = ("twice", "late", "answer lost")


IDEMPOTENT_HANDLERS = {
    "register.prepare": "a ballot is promised once; a repetition gets a conflict and changes nothing",
    "register.accept": "a ballot has one value; repeating it changes nothing, and a greater promise rejects it",
    "register.body": "reads only",
    "register.orders": "reads only",
    "keeper.hello": "replaces the sender's description; the next heartbeat corrects a delayed one",
    "lease.renew": "replaces the lease; a renewal after the release expires",
    "lease.release": "removes the lease, if any",
    "relay.watch": "reads only",
    "relay.body": "reads only; a caller occupies a single slot, however many requests it sends",
    "turn.put": "a turn is immutable; it is kept unchanged, with the later expiry",
    "turn.chain": "reads only",
    "ledger.prepare": "as register.prepare",
    "ledger.accept": "as register.accept; a repeated ballot finds the turn already reserved or settled",
    "store.pull_index": "reads only, after the view was made durable",
    "store.pull_turns": "reads only, after the view was made durable",
    "store.pull_ledgers": "reads only, after the view was made durable",
}
"""Every type of request between processes and why its handler is idempotent."""


def test_every_handler_is_listed_as_idempotent():
    async def scenario():
        fleet = Fleet(random.Random(1))
        await fleet.begin()
        fleet.start_sender(1)
        handlers = {
            **fleet.control_servers[1].handlers,
            **fleet.agents[1].handlers,
            **World().machines["a"].store.handlers,
        }
        await fleet.stop()
        return set(handlers)

    assert run(scenario()) == set(IDEMPOTENT_HANDLERS)


class RequestRepeater:
    """Repeats requests and records their types. `mode` determines how they are repeated."""

    def __init__(self, mode, seed):
        self.types = set()
        self._mode = mode
        self._rng = random.Random(f"{mode}/{seed}")
        self._tasks = set()

    def wrap(self, call):
        """Returns a replacement for a link's `_call`."""

        async def repeated(link, address, message):
            self.types.add(message["type"])
            if self._mode == "late":
                self._start(self._repeat(call, link, address, message, self._rng.uniform(*DELAY_S)))
                return await call(link, address, message)
            if self._mode == "answer lost" and self._rng.random() > REPLY_LOSS_RATE:
                return await call(link, address, message)
            first = await call(link, address, message)
            if self._mode == "answer lost":
                return await call(link, address, message)
            await self._repeat(call, link, address, message, 0.0)
            return first

        return repeated

    async def _repeat(self, call, link, address, message, after_s):
        await asyncio.sleep(after_s)
        try:
            await call(link, address, message)
        except RpcError:
            pass

    def _start(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def wait_until_done(self):
        while self._tasks:
            await asyncio.wait(set(self._tasks))


def turn(name, previous=None):
    return Turn(name, "p", previous, b"<" + name.encode(), b">", 60.0)


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("seed", SEEDS)
def test_repeated_requests_leave_turns_and_budgets_unchanged(mode, seed, monkeypatch):
    repeater = RequestRepeater(mode, seed)
    monkeypatch.setattr(stores.Link, "_call", repeater.wrap(stores.Link._call))

    async def scenario():
        world = World()
        one, two = world.client("one", seed), world.client("two", seed + 1)
        first = await one.reserve("p", "t1", 40, 100, 10.0)
        second = await two.reserve("p", "t2", 40, 100, 10.0)
        await one.reserve("p", "t1", 40, 100, 10.0)
        with pytest.raises(BudgetExceededError):
            await two.reserve("p", "t3", 30, 100, 10.0)
        one.settle(first, 33)
        one.settle(first, 33)
        await one.store_turn(turn("t1"), 10.0)
        await one.store_turn(turn("t1"), 10.0)
        await two.store_turn(turn("t2", "t1"), 10.0)
        await one.wait_until_settled()
        two.settle(second, 7)
        await two.wait_until_settled()
        chain = (await world.client("three", seed + 2).read_history("p", "t2", 10.0)).content
        await repeater.wait_until_done()
        final = await world.client("four", seed + 3).read_ledger("p")
        rows = {
            machine.disk.connection.execute("SELECT count(*) FROM turns").fetchone()
            for machine in world.machines.values()
        }
        return chain, final, max(rows)

    chain, final, rows = run(scenario())
    assert chain == b"<t1><t2>"
    assert final == {"spent": 40, "open": {}}
    assert rows == (2,)
    assert repeater.types == {"turn.put", "turn.chain", "ledger.prepare", "ledger.accept"}


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("seed", SEEDS)
def test_repeated_requests_leave_copy_for_new_view_unchanged(mode, seed, monkeypatch):
    repeater = RequestRepeater(mode, seed)

    async def scenario():
        world = World(names=("a", "b", "c", "d"), in_view=("a", "b", "c"))
        client = world.client("one", seed)
        reservation = await client.reserve("p", "t1", 40, 100, 10.0)
        for number in range(1, 6):
            await client.store_turn(turn(f"t{number}", f"t{number - 1}" if number > 1 else None), 10.0)
        client.settle(reservation, 33)
        await client.wait_until_settled()
        monkeypatch.setattr(stores.Link, "_call", repeater.wrap(stores.Link._call))
        view = type(world.view)(2, world.view.stable, world.members("bcd"))
        world.announce_view(view)
        await world.until(lambda: all(2 in world.machines[name].synced for name in "bcd"))
        world.announce_view(type(world.view)(3, world.members("bcd"), None))
        world.machines["a"].up = False
        other = world.client("two", seed + 1)
        other.adopt(world.view)
        chain = (await other.read_history("p", "t5", 10.0)).content
        final = await other.read_ledger("p")
        await repeater.wait_until_done()
        return chain, final

    chain, final = run(scenario())
    assert chain == b"<t1><t2><t3><t4><t5>"
    assert final == {"spent": 33, "open": {}}
    assert {"store.pull_index", "store.pull_turns", "store.pull_ledgers"} <= repeater.types


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("seed", SEEDS)
def test_repeated_requests_leave_register_leases_and_updates_unchanged(mode, seed, monkeypatch):
    repeater = RequestRepeater(mode, seed)
    monkeypatch.setattr(network.Client, "_call", repeater.wrap(network.Client._call))

    async def start_and_run():
        fleet = Fleet(random.Random(seed))
        await fleet.begin()
        try:
            generation = 0
            for next_generation in range(1, 9):
                await put_until_acknowledged(fleet, 1 + next_generation % 3, next_generation, generation)
                generation = next_generation
            for number in range(1, SENDERS + 1):
                fleet.start_sender(number)
            await fleet.until(lambda: set(fleet.generations.values()) == {8})
            await put_until_acknowledged(fleet, 2, 9, 8)
            await fleet.until(lambda: set(fleet.generations.values()) == {9})
            stopped_agent = fleet.agents.pop(1)
            await stopped_agent.stop()
            await asyncio.sleep(5.0)
            live = {
                number: len(fleet.control_servers[number].leases.live(asyncio.get_running_loop().time()))
                for number in (1, 2, 3)
            }
            assert fleet.regressed_senders == []
            assert fleet.is_whole(1, 2, 3)
            return live
        finally:
            await fleet.stop()

    live = run(start_and_run())
    assert set(live.values()) == {SENDERS - 1}
    assert {
        "register.prepare",
        "register.accept",
        "keeper.hello",
        "lease.renew",
        "lease.release",
        "relay.watch",
    } <= (repeater.types)


async def put_until_acknowledged(fleet, number, generation, base):
    """Repeats a change until it is acknowledged, as an operator would. A version mismatch fails the test."""
    for _ in range(20):
        try:
            await fleet.put(number, generation, base)
            return
        except RegisterUnavailableError:
            await asyncio.sleep(0.1)
    raise AssertionError("the change was not acknowledged")
