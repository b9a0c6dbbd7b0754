"""Stores and senders on a scripted network and storage in memory, with machine failures."""

import asyncio
import random
from dataclasses import replace

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
    """Return a turn whose input contains its name."""
    return Turn(name, program, previous, b"<" + name.encode() + body, b">", retain_s)


async def take_turn(client, next_turn, timeout_s):
    """Read the history that a turn continues, as before its request is forwarded, and then store the turn."""
    if next_turn.previous_id is not None:
        history = await client.read_history(next_turn.program, next_turn.previous_id, timeout_s)
        next_turn = replace(next_turn, history=history)
    await client.store_turn(next_turn, timeout_s)


def all_turns(machine):
    """Return all turns of a store."""
    connection = machine.disk.connection
    keys = connection.execute("SELECT turn, program FROM turns").fetchall()
    return turn_table.read_turns(connection, keys, 1 << 30).records


class Machine:
    """A store machine: its storage, its store, and the faults of its link."""

    def __init__(self, world, name):
        self.world = world
        self.name = name
        self.address = f"{name}:1"
        self.incarnations = 0
        self.up = True
        self.frozen = False
        self.loses_answers = False
        self.dropped_types = set()  # message types that are lost before they arrive
        self.delay_s = world.delay_s
        self.received_types = []
        self.start_empty()

    @property
    def member(self):
        return Member(self.store.member_id, self.address)

    def start_empty(self):
        """Start with empty storage, as a new member."""
        self.incarnations += 1
        self.disk = MemoryDisk()
        self._start(f"{self.name}-{self.incarnations}")

    def restart(self):
        """Restart on the same storage; the store has no view until it loads or adopts one."""
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
    """The calls of one process to stores. A machine that is down refuses connections; frozen and cut-off ones hang."""

    def __init__(self, world, source):
        super().__init__(world.network, source)
        self.world = world

    async def deliver(self, address, message):
        machine = self.world.machine_at(address)
        caller = self.world.machines.get(self.source)
        if caller is not None and not caller.up:
            raise RpcError("connect", address)
        is_cut = (self.source, machine.name) in self.world.cuts or message["type"] in machine.dropped_types
        await asyncio.sleep(machine.delay_s)
        if not machine.up:
            raise RpcError("connect", address)
        if machine.frozen or is_cut or (caller is not None and caller.frozen):
            await asyncio.sleep(FOREVER_S)
        machine.received_types.append(message["type"])

    async def deliver_reply(self, address, message):
        machine = self.world.machine_at(address)
        self.world.after_answer(machine, message)
        if machine.loses_answers:
            await asyncio.sleep(FOREVER_S)


class World:
    """Store machines with a view, and senders that use them."""

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
        self.announce_view(self.view)

    def wall_ms(self):
        return self.clock_ms

    def link(self, origin):
        return Link(self, origin)

    def machine_at(self, address):
        return self.machines[address.partition(":")[0]]

    def announce_view(self, view, names=None):
        """Let the stores adopt a view; `names`: only these."""
        self.view = view
        for name in names or self.machines:
            self.machines[name].store.adopt(view)

    def members(self, names):
        return tuple(self.machines[name].member for name in names)

    def set_locations(self, locations):
        """Set the locations of the machines, in a new view."""
        stable = tuple(Member(member.id, member.address, locations[member.address[0]]) for member in self.view.stable)
        self.announce_view(StoreView(self.view.epoch + 1, stable, None))

    def client(self, name="sender", seed=1, location="", cache=None):
        client = StoreClient(
            self.link(name),
            self.count,
            random.Random(seed),
            cache,
            proposer_id=name,
            wall_clock_ms=lambda: self.clock_ms,
            location=location,
        )
        client.adopt(self.view)
        return client

    async def copy_to_all_replicas(self):
        """Store every turn on all of its replicas, as if senders had reached each of them."""
        replicas = [machine for machine in self.machines.values() if machine.member in self.view.stable]
        for machine in replicas:
            records = [record for other in replicas for record in all_turns(other)]
            held = [record for record in records if self.view.holds(machine.member.id, record.program, self.count)]
            await machine.disk.transact(
                lambda connection, held=held: turn_table.put(connection, held, self.wall_ms(), 0)
            )

    async def until(self, condition, timeout_s=10.0):
        """Wait until `condition()` holds; fail after `timeout_s` seconds."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while not condition():
            assert loop.time() < end_s, "the condition did not hold in time"
            await asyncio.sleep(0.01)
