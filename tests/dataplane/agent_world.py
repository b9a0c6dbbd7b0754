"""A cluster agent among scripted control servers and parents in the relay tree, in simulated time."""

import asyncio
import random

from scripted.clock import run

from dewpin.cluster.platform_list import PlatformUnavailableError
from dewpin.cluster.receivers import DirectoryVersion, Receiver, ReceiverDirectory
from dewpin.cluster.relay_service import WATCH_HEARTBEAT_S
from dewpin.cluster.rpc import RpcError
from dewpin.cluster.settings import parse_settings
from dewpin.dataplane.membership.cluster_agent import ClusterAgent

APPLY_S = 2.0
DRAIN_S = 3.0
CALM_S = 10.0


def control_server_address(number):
    return f"10.0.0.{number}:7380"


def settings(seeds=(1, 2, 3), rate_per_s=44.0):
    return parse_settings(
        {
            "node_name": "front-1",
            "serves": ["front"],
            "ip": "10.5.0.1",
            "zone": "east",
            "port_range": [7380, 7395],
            "seeds": [f"10.0.0.{seed}:8144" for seed in seeds],
            "listen": {"front": "10.5.0.1:8149", "ready": "10.5.0.1:8141"},
            "bounds": {"drain_ms": 1000 * DRAIN_S, "config_apply_ms": 1000 * APPLY_S},
            "cloud": {"address": "10.8.0.1:80", "rate_per_s": rate_per_s},
        }
    )


def receiver(draining=False, receiver_id="i-1"):
    return Receiver(receiver_id, "engines", "10.9.0.1:80", "east", 4, draining)


class Source:
    """A control server, or a sender above in the relay tree: what it knows, and whether it answers."""

    def __init__(self, world, address):
        self.world = world
        self.address = address
        self.up = True
        self.frozen = False
        self.state_version = 1
        self.directory = ReceiverDirectory()
        self.directory.apply_listing([receiver()], "r")
        self.read_s = None  # when the list was read; None: just now
        self.parents = []
        self.senders = 4
        self.names = None  # the control servers that it names; None: all
        self.refuses = False  # answers that it reaches no majority
        self.told_version = None  # the version that its grants tell; None: the one that it has
        self.news_age_s = 0.0  # how long ago a majority confirmed what its news tell
        self.latency_s = 0.002
        self.changed = asyncio.Event()

    def set_version(self, version):
        self.state_version = version
        self.changed.set()
        self.changed = asyncio.Event()

    def read(self, *receivers, reader="r"):
        self.directory.apply_listing(receivers, reader)
        self.changed.set()
        self.changed = asyncio.Event()

    def age_s(self):
        return 0.1 if self.read_s is None else self.world.now_s - self.read_s

    async def answer(self, message):
        kind = message["type"]
        if self.refuses and kind != "lease.release":
            raise RpcError("no_quorum", self.address)
        if kind == "lease.renew":
            return {
                "type": "lease.granted",
                "duration_s": 3.2,
                "state_version": self.told_version or self.state_version,
                "receivers_version": self.directory.version,
                "list_age_s": self.age_s(),
                "parents": self.parents,
                "keepers": self.names if self.names is not None else self.world.control_server_addresses,
                "senders": self.senders,
            }
        if kind == "lease.release":
            return {"type": "lease.released"}
        return await self.news(message)

    async def news(self, message):
        if message["wait"] and not self.has_news(message):
            try:
                await asyncio.wait_for(self.changed.wait(), WATCH_HEARTBEAT_S)
            except TimeoutError:
                pass
        news = {
            "type": "relay.news",
            "receivers_version": self.directory.version,
            "list_age_s": self.age_s(),
        }
        if self.news_age_s is not None:
            news["knowledge_age_s"] = self.news_age_s
        if self.state_version > message["state_version"]:
            news["state"] = {"version": self.state_version}
        if self.directory.version > DirectoryVersion(*message["receivers_version"]):
            news["receivers"] = self.directory.to_records()
        return news

    def has_news(self, message):
        newer = self.directory.version > DirectoryVersion(*message["receivers_version"])
        return newer or self.state_version > message["state_version"]


class World:
    """The agent under test, its sources by address, and the platform's list."""

    def __init__(self, control_servers=3, seeds=(1, 2, 3), rate_per_s=44.0):
        self.control_server_addresses = [control_server_address(number) for number in range(1, control_servers + 1)]
        self.sources = {address: Source(self, address) for address in self.control_server_addresses}
        self.calls = []
        self.own_readings = []
        self.platform = [receiver()]
        self.platform_down = False
        self.states = []
        self.on_state = lambda state: self.states.append(state["version"])
        self.drained = []
        self.counts = []
        self.agent = ClusterAgent(
            settings(seeds, rate_per_s),
            self,
            random.Random(5),
            lambda state: self.on_state(state),
            lambda directory: self.drained.append([one.draining for one in directory.receivers.values()]),
            lambda: self.now_s,
            self,
            self.counts.append,
        )

    @property
    def now_s(self):
        return asyncio.get_running_loop().time()

    def control_server(self, number):
        return self.sources[control_server_address(number)]

    @property
    def control_servers(self):
        return [self.sources[address] for address in self.control_server_addresses]

    def add_parent(self):
        parent = Source(self, "10.5.0.9:7381")
        self.sources[parent.address] = parent
        for server in self.control_servers:
            server.parents = [parent.address]
        return parent

    async def call(self, address, message, timeout_s):
        """The client's part."""
        self.calls.append((self.now_s, address, message["type"]))
        source = self.sources.get(address)
        if source is None or not source.up:
            await asyncio.sleep(0.001)
            raise RpcError("connect", address)
        try:
            return await asyncio.wait_for(self.deliver(source, message), timeout_s)
        except TimeoutError:
            raise RpcError("timeout", address) from None

    async def deliver(self, source, message):
        await asyncio.sleep(0.002)
        if source.frozen:
            await asyncio.sleep(1e6)
        answer = await source.answer(message)
        await asyncio.sleep(source.latency_s)
        if not source.up:
            raise RpcError("closed", source.address)
        return answer

    async def read(self, address):
        """The platform's part."""
        self.own_readings.append((self.now_s, address))
        if self.platform_down:
            raise PlatformUnavailableError("down")
        return list(self.platform)

    async def until(self, condition, most_s=10.0):
        began_s = self.now_s
        while not condition():
            await asyncio.sleep(0.005)
            assert self.now_s - began_s < most_s, f"not within {most_s} s"
        return self.now_s - began_s

    def count(self, kind, since_s=0.0):
        return sum(1 for at_s, _, named in self.calls if named == kind and at_s >= since_s)


def play(scene, **fields):
    async def whole():
        world = World(**fields)
        world.agent.start()
        await world.until(lambda: world.states and world.drained)
        try:
            return await scene(world)
        finally:
            await world.agent.stop()

    return run(whole())
