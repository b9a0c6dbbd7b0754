"""Stores and senders on scripted links and disks in memory, with machines that are lost."""

import asyncio
import random

from dewpin.cluster.rpc import RpcError
from dewpin.cluster.store_view import Member, StoreView
from dewpin.controlplane.store import turn_table
from dewpin.controlplane.store.replica_sync import StoreSync
from dewpin.controlplane.store.store import Store
from dewpin.dataplane.programs.program_store import Turn
from dewpin.dataplane.programs.store_client import StoreClient
from scripted.disk import MemoryDisk
from scripted.network import FOREVER_S, Client, Network


def turn(name, previous=None, program="p", body=b"", retain_s=60.0):
    """A turn whose input and output tell its name."""
    return Turn(name, program, previous, b"<" + name.encode() + body, b">", retain_s)


def all_turns(machine):
    """Every turn that a store holds, of whatever program."""
    connection = machine.disk.connection
    keys = connection.execute("SELECT turn, program FROM turns").fetchall()
    return turn_table.read_turns(connection, keys, 1 << 30).records


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
        self.world.network.handlers[self.address] = self.store.handlers

    def _on_view(self, view):
        if self.world.syncs:
            self.sync.start(view)


class Link(Client):
    """The calls of one process to stores. A machine that is down refuses connects; one cut off or frozen is silent."""

    def __init__(self, world, source):
        super().__init__(world.network, source)
        self.world = world

    async def deliver(self, address, message):
        machine = self.world.machine_at(address)
        caller = self.world.machines.get(self.source)
        if caller is not None and not caller.up:
            raise RpcError("connect", address)
        is_cut = (self.source, machine.name) in self.world.cuts or message["type"] in machine.refuses
        await asyncio.sleep(machine.delay_s)
        if not machine.up:
            raise RpcError("connect", address)
        if machine.frozen or is_cut or (caller is not None and caller.frozen):
            await asyncio.sleep(FOREVER_S)
        machine.seen.append(message["type"])

    async def bring_back(self, address, message):
        machine = self.world.machine_at(address)
        self.world.after_answer(machine, message)
        if machine.loses_answers:
            await asyncio.sleep(FOREVER_S)


class World:
    """Store machines under a view, and senders that use them."""

    def __init__(self, names=("a", "b", "c"), losses=1, in_view=None, syncs=True, delay_s=0.001):
        self.count = 2 * losses + 1
        self.network = Network()
        self.cuts = set()
        self.syncs = syncs
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

    def machine_at(self, address):
        return self.machines[address.partition(":")[0]]

    def tell(self, view, names=None):
        """Let stores adopt a view."""
        self.view = view
        for name in names or self.machines:
            self.machines[name].store.adopt(view)

    def members(self, names):
        return tuple(self.machines[name].member for name in names)

    def tell_locations(self, locations):
        """Let the machines be in these places, as the next view tells it."""
        stable = tuple(Member(one.id, one.address, locations[one.address[0]]) for one in self.view.stable)
        self.tell(StoreView(self.view.epoch + 1, stable, None))

    def client(self, name="sender", seed=1, location=""):
        client = StoreClient(
            self.link(name),
            self.count,
            random.Random(seed),
            proposer_id=name,
            wall_clock_ms=lambda: self.clock_ms,
            location=location,
        )
        client.adopt(self.view)
        return client

    async def hold_everywhere(self):
        """Let every replica hold what any of them holds, as if the senders had asked them all."""
        holders = [machine for machine in self.machines.values() if machine.member in self.view.stable]
        for machine in holders:
            records = [record for other in holders for record in all_turns(other)]
            own = [record for record in records if self.view.holds(machine.member.id, record.program, self.count)]
            await machine.disk.transact(lambda connection, own=own: turn_table.put(connection, own, self.wall_ms(), 0))

    async def until(self, condition, timeout_s=10.0):
        """Let time pass until `condition` holds."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while not condition():
            assert loop.time() < end_s, "it never came to that"
            await asyncio.sleep(0.01)
