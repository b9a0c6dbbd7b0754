"""Harness for the cluster agent: scripted control servers and relay parents, in simulated time."""

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
IDLE_PERIOD_S = 10.0


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
    """A scripted control server or relay parent: its state, its receiver list and its faults."""

    def __init__(self, harness, address):
        self.harness = harness
        self.address = address
        self.up = True
        self.frozen = False
        self.state_version = 1
        self.directory = ReceiverDirectory()
        self.directory.apply_listing([receiver()], "r")
        self.read_s = None  # time at which the list was read; None for just now
        self.parents = []
        self.senders = 4
        self.listed_control_servers = None  # the control servers that its grants list; None for all
        self.refuses = False  # whether it refuses requests because it reaches no majority
        self.granted_version = None  # the state version in its grants; None for its own
        self.update_age_s = 0.0  # time since a majority confirmed the state in its updates; None omits the field
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
        return 0.1 if self.read_s is None else self.harness.now_s - self.read_s

    async def answer(self, message):
        kind = message["type"]
        if self.refuses and kind != "lease.release":
            raise RpcError("no_quorum", self.address)
        if kind == "lease.renew":
            return {
                "type": "lease.granted",
                "duration_s": 3.2,
                "state_version": self.granted_version or self.state_version,
                "receivers_version": self.directory.version,
                "list_age_s": self.age_s(),
                "parents": self.parents,
                "keepers": self.listed_control_servers
                if self.listed_control_servers is not None
                else self.harness.control_server_addresses,
                "senders": self.senders,
            }
        if kind == "lease.release":
            return {"type": "lease.released"}
        return await self.update(message)

    async def update(self, message):
        if message["wait"] and not self.has_update(message):
            try:
                await asyncio.wait_for(self.changed.wait(), WATCH_HEARTBEAT_S)
            except TimeoutError:
                pass
        update = {
            "type": "relay.news",
            "receivers_version": self.directory.version,
            "list_age_s": self.age_s(),
        }
        if self.update_age_s is not None:
            update["knowledge_age_s"] = self.update_age_s
        if self.state_version > message["state_version"]:
            update["state"] = {"version": self.state_version}
        if self.directory.version > DirectoryVersion(*message["receivers_version"]):
            update["receivers"] = self.directory.to_records()
        return update

    def has_update(self, message):
        has_newer_list = self.directory.version > DirectoryVersion(*message["receivers_version"])
        return has_newer_list or self.state_version > message["state_version"]


class AgentHarness:
    """The agent under test with its sources, by address; also stands for the agent's RPC client and platform reader."""

    def __init__(self, control_servers=3, seeds=(1, 2, 3), rate_per_s=44.0):
        self.control_server_addresses = [control_server_address(number) for number in range(1, control_servers + 1)]
        self.sources = {address: Source(self, address) for address in self.control_server_addresses}
        self.calls = []
        self.direct_reads = []
        self.platform_list = [receiver()]
        self.is_platform_down = False
        self.states = []
        self.on_state = lambda state: self.states.append(state["version"])
        self.draining_flags = []
        self.sender_counts = []
        self.agent = ClusterAgent(
            settings(seeds, rate_per_s),
            self,
            random.Random(5),
            lambda state: self.on_state(state),
            lambda directory: self.draining_flags.append([one.draining for one in directory.receivers.values()]),
            lambda: self.now_s,
            self,
            self.sender_counts.append,
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
        """Deliver a call of the agent (RPC client)."""
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
        """Return the platform's list (platform reader)."""
        self.direct_reads.append((self.now_s, address))
        if self.is_platform_down:
            raise PlatformUnavailableError("down")
        return list(self.platform_list)

    async def wait_until(self, condition, timeout_s=10.0):
        started_s = self.now_s
        while not condition():
            await asyncio.sleep(0.005)
            assert self.now_s - started_s < timeout_s, f"condition not met within {timeout_s} s"
        return self.now_s - started_s

    def count_calls(self, kind, since_s=0.0):
        return sum(1 for called_at_s, _, call_kind in self.calls if call_kind == kind and called_at_s >= since_s)


def run_with_agent(scenario, **fields):
    async def run_scenario():
        harness = AgentHarness(**fields)
        harness.agent.start()
        await harness.wait_until(lambda: harness.states and harness.draining_flags)
        try:
            return await scenario(harness)
        finally:
            await harness.agent.stop()

    return run(run_scenario())
