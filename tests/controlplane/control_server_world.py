"""Simulation of several control servers on an in-memory network and disks, for tests and benchmarks."""

import asyncio
import random

from scripted.clock import run
from scripted.disk import Disk
from scripted.network import Network

from dewpin.cluster.platform_list import PlatformUnavailableError
from dewpin.cluster.receivers import Receiver
from dewpin.cluster.settings import parse_settings
from dewpin.controlplane.control_server import ControlServer
from dewpin.controlplane.register.system_state import put_configuration

DRAIN_S = 3.0
APPLY_S = 2.0
CATCH_UP_S = 4.0


class Platform:
    """Platform reader of one process; it fails while the platform is down or cut off from the process."""

    def __init__(self, world, host):
        self.world = world
        self.host = host

    async def read(self, address):
        await asyncio.sleep(0.005)
        self.world.readings.append((asyncio.get_running_loop().time(), self.host))
        if self.world.platform_down or self.host in self.world.cut_from_platform:
            raise PlatformUnavailableError("down")
        return list(self.world.receivers)


class FastStore:
    """A store that completes each copy after 0.1 s."""

    def __init__(self, control_server):
        self.control_server = control_server

    def adopt(self, state):
        epoch = state["stores"]["epoch"]
        asyncio.get_running_loop().call_later(0.1, self.control_server.record_synced_epoch, epoch)


class World:
    """Control servers by machine number; machines 1 to 3 are the seeds."""

    def __init__(self, count=3):
        self.network = Network()
        self.control_servers = {}
        self.disks = {}
        self.incarnation_count = 0
        self.receivers = [Receiver("i-1", "engines", "10.9.0.1:80", "east", 4)]
        self.readings = []
        self.platform_down = False
        self.cut_from_platform = set()
        self.frozen_s = {}
        self.seeds = (1, 2, 3)
        self.numbers = list(range(1, count + 1))

    def address(self, number):
        return f"10.0.0.{number}:7380"

    def settings(self, number, bootstrap, name=None):
        document = {
            "node_name": name or f"store-{number}",
            "serves": ["control", "store"],
            "ip": f"10.0.0.{number}",
            "zone": "east",
            "port_range": [7380, 7395],
            "seeds": [f"10.0.0.{seed}:8144" for seed in self.seeds],
            "bootstrap": bootstrap,
            "data_dir": "/unused",
            "listen": {"control": f"10.0.0.{number}:8144"},
            "fault_tolerance": {"machines": 1},
            "bounds": {"drain_ms": 1000 * DRAIN_S, "config_apply_ms": 1000 * APPLY_S},
            "cloud": {"address": "10.8.0.1:80"},
        }
        return parse_settings(document)

    async def begin(self):
        for number in self.numbers:
            await self.start(number, bootstrap=True)
        await self.until(lambda: all(self.state(number) for number in self.numbers))
        await self.until(lambda: self.stores() == self.members() and self.next_stores() is None)

    async def start(self, number, bootstrap=False, wiped=False, name=None):
        """Start the process of a machine on its existing disk, or on an empty one if `wiped`."""
        if wiped or number not in self.disks:
            self.incarnation_count += 1
            self.disks[number] = Disk(f"{number}{self.incarnation_count:04d}")
        address = self.address(number)
        self.network.handlers.pop(address, None)
        self.network.down.discard(address)
        loop = asyncio.get_running_loop()
        control_server = ControlServer(
            self.settings(number, bootstrap, name),
            self.disks[number],
            self.network.client(address),
            random.Random(number),
            lambda: self.frozen_s.get(number, loop.time()),
            Platform(self, number),
        )
        control_server.attach_store(FastStore(control_server))
        self.control_servers[number] = control_server
        await control_server.load()
        self.network.handlers[address] = control_server.handlers
        control_server.start()

    def freeze(self, number):
        """Stop the clock of a machine and cut it off: until `thaw`, its clock stands still and it reaches no other."""
        self.frozen_s[number] = asyncio.get_running_loop().time()
        self.network.down.add(self.address(number))
        self.cut_from_platform.add(number)

    def thaw(self, number):
        del self.frozen_s[number]
        self.network.down.discard(self.address(number))
        self.cut_from_platform.discard(number)

    async def kill(self, *numbers):
        for number in numbers:
            self.network.down.add(self.address(number))
            await self.control_servers[number].stop()

    async def put(self, number, generation, base):
        change = put_configuration(b'{"generation": %d}' % generation, generation, base)
        return await self.control_servers[number].register.propose(change, 0.85)

    async def until(self, condition, most_s=10.0):
        """Wait until a condition holds; return the seconds that this took."""
        started_s = asyncio.get_running_loop().time()
        while not condition():
            await asyncio.sleep(0.01)
            elapsed_s = asyncio.get_running_loop().time() - started_s
            assert elapsed_s < most_s, f"condition does not hold within {most_s} s"
        return asyncio.get_running_loop().time() - started_s

    def state(self, number):
        return self.control_servers[number].register.chosen

    def newest(self):
        states = [
            control_server.register.chosen
            for control_server in self.control_servers.values()
            if control_server.register.chosen
        ]
        return max(states, key=lambda state: state["version"])

    def generation(self, number):
        state = self.state(number)
        return state["configuration"]["generation"] if state and state["configuration"] else 0

    def addresses(self, ids):
        return sorted(ids.values())

    def members(self):
        return self.addresses(self.newest()["members"])

    def stores(self):
        return self.addresses(self.newest()["stores"]["stable"])

    def next_stores(self):
        return self.newest()["stores"]["next"]

    def is_whole(self, *numbers):
        """Return whether these machines are exactly the members and the stores, with no change in progress."""
        if any(self.control_servers[number].register.chosen is None for number in numbers):
            return False
        state = self.newest()
        expected = [self.address(number) for number in numbers]
        ids = {self.control_servers[number].member for number in numbers}
        return (
            self.members() == self.stores() == expected
            and set(state["members"]) == set(state["stores"]["stable"]) == ids
            and state["members"] == state["former_members"]
            and state["stores"]["next"] is None
        )


def play(scene, count=3):
    """Run a scene on a world whose initial configuration is complete; return its result."""

    async def run_in_world():
        world = World(count)
        await world.begin()
        try:
            return await scene(world)
        finally:
            for control_server in world.control_servers.values():
                await control_server.stop()

    return run(run_in_world())


def renewal(sender="s/1", version=(0, "")):
    return {"sender": sender, "address": "10.5.0.1:7381", "zone": "east", "receivers_version": list(version)}


def shows_drain(world, number):
    known = world.control_servers[number].list_reader.directory.receivers.get("i-1")
    return known is not None and known.draining


async def drain_known(world, numbers):
    """Wait until all these processes show the receiver as draining; return the seconds that this took."""
    return await world.until(lambda: all(shows_drain(world, number) for number in numbers))


def drain(world):
    world.receivers = [Receiver("i-1", "engines", "10.9.0.1:80", "east", 4, draining=True)]


async def listed(world):
    await world.until(
        lambda: all(control_server.list_reader.directory.receivers for control_server in world.control_servers.values())
    )


def reader_of(world):
    return world.readings[-1][1]
