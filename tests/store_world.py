"""Stores and senders in one process, on a fake clock: scripted links, disks in memory, lost machines."""

import asyncio
import json
import random
import selectors
import sqlite3

from dewpin.cluster.netstring import Decoder, encode
from dewpin.cluster.rpc import RpcError
from dewpin.cluster.store_view import Member, StoreView
from dewpin.controlplane import storage as storage_module
from dewpin.controlplane.repair import TurnRepair
from dewpin.controlplane.storage import StorageFailed
from dewpin.controlplane.store import Store
from dewpin.controlplane.sync import StoreSync
from dewpin.dataplane.program_store import Turn
from dewpin.dataplane.store_client import StoreClient


def turn(name, previous=None, program="p", body=b"", retain_s=60.0):
    """A turn whose input and output tell its name."""
    return Turn(name, program, previous, b"<" + name.encode() + body, b">", retain_s)


def over_the_wire(message):
    """A message as the other side reads it."""
    (read,) = Decoder().feed(encode(message))
    return read


class _JumpingSelector(selectors.SelectSelector):
    """Lets the clock jump to the next timer instead of waiting for it."""

    now_s = 1000.0

    def select(self, timeout=None):
        if timeout is None:
            raise RuntimeError("nothing is left that could happen")
        self.now_s += max(timeout, 0.0)
        return super().select(0)


def run(scene):
    """Run a coroutine on a loop whose clock jumps; the clock starts at 1000 s."""
    selector = _JumpingSelector()
    loop = asyncio.SelectorEventLoop(selector)
    loop.time = lambda: selector.now_s
    try:
        return loop.run_until_complete(scene)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        for _ in range(5):  # a task that waits for others ends after them
            loop.run_until_complete(asyncio.sleep(0))
        loop.close()


class MemoryDisk:
    """A storage that runs each transaction at once, on a database in memory."""

    def __init__(self):
        self.connection = sqlite3.connect(":memory:", isolation_level=None, check_same_thread=False)
        storage_module._migrate(self.connection)
        self.full = False

    async def transact(self, work):
        self.connection.execute("BEGIN")
        try:
            result = work(self.connection)
            if self.full and self.connection.total_changes != getattr(self, "_changes", 0):
                raise StorageFailed("database or disk is full")
            self.connection.execute("COMMIT")
            self._changes = self.connection.total_changes
            return result
        except BaseException:
            self.connection.execute("ROLLBACK")
            self._changes = self.connection.total_changes
            raise


class Machine:
    """One store machine: its disk, the store that runs on it, and what its link does to calls."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.address = f"{name}:1"
        self.lives = 0
        self.up = True
        self.frozen = False
        self.loses_answers = False
        self.refuses = set()  # message types that never arrive
        self.delay_s = world.delay_s
        self.seen = []
        self.repairing = None
        self.start_empty()

    @property
    def member(self):
        return Member(self.store.member_id, self.address)

    def start_empty(self):
        """Start with an empty disk, as a new incarnation."""
        self.lives += 1
        self.disk = MemoryDisk()
        self._start(f"{self.name}-{self.lives}")

    def restart(self):
        """Start again on the same disk; the store knows no view until it has loaded or been told one."""
        self._start(self.store.member_id)

    def _start(self, member_id):
        self.synced = []
        self.store = Store(
            self.disk, member_id, self.world.count, wall_clock_ms=self.world.wall_ms, on_view=self._on_view
        )
        self.sync = StoreSync(self.store, self.world.link(self.name), self.synced.append)
        self.repair = TurnRepair(self.store, self.world.link(self.name), random.Random(self.name))
        if self.world.repairs:
            self.start_repair()

    def start_repair(self):
        """Begin the background repair of this process; the one of a process before has ended."""
        if self.repairing is not None:
            self.repairing.cancel()
        self.repairing = asyncio.ensure_future(self.repair.run_forever())

    def _on_view(self, view):
        if self.world.syncs:
            self.sync.start(view)


class Link:
    """The calls of one process."""

    def __init__(self, world, origin):
        self.world = world
        self.origin = origin

    async def call(self, address, message, timeout_s):
        try:
            return await asyncio.wait_for(self._call(address, message), timeout_s)
        except TimeoutError:
            raise RpcError("timeout", address) from None

    async def _call(self, address, message):
        machine = self.world.machines[address.partition(":")[0]]
        caller = self.world.machines.get(self.origin)
        if caller is not None and not caller.up:
            raise RpcError("connect", address)
        cut = (self.origin, machine.name) in self.world.cuts or message["type"] in machine.refuses
        await asyncio.sleep(machine.delay_s)
        if not machine.up:
            raise RpcError("connect", address)
        if machine.frozen or cut or (caller is not None and caller.frozen):
            await asyncio.sleep(3600)
        machine.seen.append(message["type"])
        handler = machine.store.handlers[message["type"]]
        try:
            answer = await handler(over_the_wire(message))
        except RpcError as error:
            fields = json.loads(json.dumps(error.message))
            raise RpcError(error.kind, error.detail, fields) from None
        self.world.after_answer(machine, message)
        if machine.loses_answers:
            await asyncio.sleep(3600)
        return over_the_wire(answer)


class World:
    """Store machines under a view, and senders that use them."""

    def __init__(self, names=("a", "b", "c"), losses=1, in_view=None, syncs=True, delay_s=0.001, repairs=False):
        self.count = 2 * losses + 1
        self.cuts = set()
        self.syncs = syncs
        self.repairs = repairs
        self.delay_s = delay_s
        self.clock_ms = 1_000_000
        self.after_answer = lambda machine, message: None
        self.machines = {name: Machine(self, name) for name in names}
        stable = tuple(self.machines[name].member for name in (in_view or names))
        self.view = StoreView(1, stable, None)
        self.tell(self.view)

    def wall_ms(self):
        return self.clock_ms

    def link(self, origin):
        return Link(self, origin)

    def tell(self, view, names=None):
        """Let stores adopt a view."""
        self.view = view
        for name in names or self.machines:
            self.machines[name].store.adopt(view)

    def members(self, names):
        return tuple(self.machines[name].member for name in names)

    def client(self, name="sender", seed=1):
        client = StoreClient(
            self.link(name), self.count, random.Random(seed), proposer=name, wall_clock_ms=lambda: self.clock_ms
        )
        client.adopt(self.view)
        return client

    async def until(self, condition, timeout_s=10.0):
        """Let time pass until `condition` holds."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while not condition():
            assert loop.time() < end_s, "it never came to that"
            await asyncio.sleep(0.01)
