"""Control plane processes in one process of tests: links that are cut, disks in memory, a clock that jumps."""

import asyncio
import contextlib
import random

from store_world import MemoryDisk, over_the_wire

from dewpin.cluster.rpc import RpcError, error_message
from dewpin.controlplane.register import SystemRegister
from dewpin.controlplane.storage import StorageFailed
from dewpin.controlplane.system_state import genesis

LATENCY_S = 0.002
FOREVER_S = 1e6


class Disk(MemoryDisk):
    """Rows of one machine. `fails`: writes raise; `stalls`: nothing returns; `delay_s`: how long each call takes."""

    def __init__(self, incarnation="one"):
        super().__init__()
        self.incarnation = incarnation
        self.fails = False
        self.stalls = False
        self.delay_s = 0.0
        self.writes = 0

    async def write(self, statements):
        await self._wait()
        if self.fails:
            raise StorageFailed("database or disk is full")
        self.writes += 1
        self.connection.execute("BEGIN")
        for sql, values in statements:
            self.connection.execute(sql, values)
        self.connection.execute("COMMIT")

    async def query(self, sql, arguments=()):
        await self._wait()
        return self.connection.execute(sql, arguments).fetchall()

    async def _wait(self):
        await asyncio.sleep(FOREVER_S if self.stalls else self.delay_s)


class Network:
    """Carries calls between addresses."""

    def __init__(self):
        self.handlers = {}
        self.down = set()
        self.cuts = set()
        self.one_way_cuts = set()  # pairs of source and target
        self.calls = []
        self.latency_s = LATENCY_S
        self.on_call = lambda source, target, message: None

    def cut(self, *addresses):
        """Cuts these off from all others."""
        for one in addresses:
            self.cuts |= {frozenset((one, other)) for other in self.handlers if other not in addresses}

    def cut_one_way(self, *sources):
        """Lets nothing out from these to any other; what the others send still arrives."""
        for one in sources:
            self.one_way_cuts |= {(one, other) for other in self.handlers if other not in sources}

    def cut_inwards(self, *targets):
        """Lets nothing in to these from any other; what they send still arrives."""
        for one in targets:
            self.one_way_cuts |= {(other, one) for other in self.handlers if other not in targets}

    def join(self):
        self.cuts.clear()
        self.one_way_cuts.clear()

    def client(self, source):
        return Client(self, source)

    def reaches(self, source, target):
        if {source, target} & self.down or (source, target) in self.one_way_cuts:
            return False
        return frozenset((source, target)) not in self.cuts


class Client:
    def __init__(self, network, source):
        self.network = network
        self.source = source

    async def call(self, address, message, timeout_s):
        message = over_the_wire(message)
        self.network.calls.append((self.source, address, message["type"]))
        self.network.on_call(self.source, address, message)
        try:
            return over_the_wire(await asyncio.wait_for(self._call(address, message), timeout_s))
        except TimeoutError:
            raise RpcError("timeout", address) from None

    async def _call(self, address, message):
        await self._travel(self.source, address)
        handler = self.network.handlers.get(address, {}).get(message["type"])
        if handler is None:
            raise RpcError("connect", address)
        try:
            answer = await handler(message)
        except RpcError as fault:
            answer = error_message(fault.kind, fault.detail)
        await self._travel(address, self.source)
        if answer.get("type") == "error":
            raise RpcError(answer["kind"], answer["detail"], answer)
        return answer

    async def _travel(self, source, target):
        await asyncio.sleep(self.network.latency_s)
        if not self.network.reaches(source, target):
            await asyncio.sleep(FOREVER_S)


class Registers:
    """Several members of the register, named by single letters that are their addresses as well."""

    def __init__(self, names="abc", members="abc"):
        self.network = Network()
        self.disks = {name: Disk() for name in names}
        self.genesis = genesis({name: name for name in members}, {name: f"machine-{name}" for name in members})
        self.members = {}
        for name in names:
            self.members[name] = self._member(name)

    def _member(self, name):
        register = SystemRegister(name, name, self.disks[name], self.network.client(name), random.Random(name))
        self.network.handlers[name] = register.handlers
        return register

    async def begin(self):
        for member in self.members.values():
            await member.load()
        for name in self.genesis["members"]:
            await self.members[name].begin(self.genesis)

    async def restart(self, name, wiped=False):
        """Starts a member's process anew, from its disk or (under another id) from an empty one."""
        if wiped:
            self.disks[name] = Disk()
        self.members[name] = self._member(name)
        await self.members[name].load()
        return self.members[name]


@contextlib.contextmanager
def raises_nothing_left(tasks):
    """Cancels what a scene left running."""
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
