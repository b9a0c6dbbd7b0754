"""What the control plane costs while nothing changes, by the number of fronts: messages, bytes and processor time.

    python benchmarks/majority_contact.py [--fronts 30,100,300] [--control 3] [--seconds 20] [--apply-ms 2000]

The programs' own heartbeats, leases and relay tree run in simulated time over a network in memory. Messages and bytes
(of frames, without TCP's) are counted a second: at a control process (heartbeats; what senders ask of it), at a front.
Processor time is measured around the handlers of the control processes, frames decoded and encoded included.
"""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections import Counter, defaultdict
from typing import Any

import click

from dewpin.cluster.netstring import encode
from dewpin.cluster.receivers import Receiver
from dewpin.cluster.rpc import RpcError
from dewpin.cluster.settings import Settings, parse_settings
from dewpin.controlplane.control_server import ControlServer
from dewpin.dataplane.membership.cluster_agent import ClusterAgent
from dewpin.lab.event_loop import SimulatedEventLoop

LATENCY_S = 0.002
WARM_UP_S = 10.0
HEARTBEAT = "keeper.hello"
RECEIVERS = 40


class MemoryRows:
    """The rows of the register, in memory."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation

    async def write(self, statements: list[tuple[str, tuple[Any, ...]]]) -> None:
        """Keeps nothing: no process of the run starts anew."""

    async def query(self, sql: str, arguments: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
        """Nothing was kept: a query that counts answers 0, any other no rows."""
        return [(0,)] if sql.startswith("SELECT coalesce(max(") else []


class FixedPlatform:
    """A platform whose list never changes."""

    async def read(self, address: str) -> list[Receiver]:
        """All receivers."""
        return [Receiver(f"i-{number}", "engines", f"10.9.0.{number}:80", "east", 4) for number in range(RECEIVERS)]


class Network:
    """Carries calls, and counts them once `counts` is set."""

    def __init__(self) -> None:
        self.handlers: dict[str, dict[str, Any]] = {}
        self.counts = False
        self.messages: Counter[tuple[str, str]] = Counter()
        self.bytes: Counter[tuple[str, str]] = Counter()
        self.processor_s: defaultdict[str, float] = defaultdict(float)

    def note(self, address: str, kind: str, frame: bytes) -> None:
        """Counts a frame at the process that sent or received it."""
        if self.counts:
            self.messages[address, kind] += 1
            self.bytes[address, kind] += len(frame)


class Client:
    """The calls of one process."""

    def __init__(self, network: Network, source: str) -> None:
        self._network = network
        self._source = source

    async def call(self, address: str, message: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        """The answer of the process at `address`."""
        network, kind = self._network, str(message["type"])
        frame = encode({"v": 1, "n": 12345, "m": message})
        await asyncio.sleep(LATENCY_S)
        handler = network.handlers.get(address, {}).get(kind)
        if handler is None:
            raise RpcError("connect", address)
        began_s = time.process_time()
        request = json.loads(frame.partition(b":")[2][:-1])["m"]
        if kind == "relay.watch":  # it waits in the middle: its processor time is left out
            answer = encode({"v": 1, "r": 12345, "m": await handler(request)})
        else:
            answer = encode({"v": 1, "r": 12345, "m": await handler(request)})
            if network.counts:
                network.processor_s[address] += time.process_time() - began_s
        for one in (self._source, address):
            network.note(one, kind, frame)
            network.note(one, kind, answer)
        await asyncio.sleep(LATENCY_S)
        told: dict[str, Any] = json.loads(answer.partition(b":")[2][:-1])["m"]
        return told


def settings_of(name: str, ip: str, control: int, serves: str, apply_ms: float) -> Settings:
    """The settings of one process."""
    return parse_settings(
        {
            "node_name": name,
            "serves": [serves],
            "ip": ip,
            "zone": "east",
            "port_range": [7380, 7395],
            "seeds": [f"10.0.0.{number + 1}:8144" for number in range(control)],
            "bootstrap": True,
            "data_dir": "/unused",
            "listen": dict.fromkeys(("control", "front", "ready"), f"{ip}:8144"),
            "bounds": {"config_apply_ms": apply_ms},
            "cloud": {"address": "10.8.0.1:80"},
        }
    )


async def play(fronts: int, control: int, seconds: float, apply_ms: float) -> Network:
    """Lets so many processes run and counts what they send."""
    network, clock = Network(), asyncio.get_running_loop().time
    control_servers = []
    for number in range(control):
        settings = settings_of(f"core-{number}", f"10.0.0.{number + 1}", control, "control", apply_ms)
        client = Client(network, f"10.0.0.{number + 1}:7380")
        rows = MemoryRows(f"{number:016x}")
        control_server = ControlServer(settings, rows, client, random.Random(number), clock, FixedPlatform())  # type: ignore[arg-type]
        await control_server.load()
        network.handlers[control_server.address] = control_server.handlers
        control_servers.append(control_server)
    for control_server in control_servers:
        control_server.start()
    await asyncio.sleep(1.0)
    for number in range(fronts):
        ip = f"10.5.{number // 200}.{number % 200 + 1}"
        settings = settings_of(f"front-{number}", ip, control, "front", apply_ms)
        client = Client(network, f"{ip}:7381")
        agent = ClusterAgent(
            settings,
            client,  # type: ignore[arg-type]
            random.Random(number),
            lambda state: None,
            lambda directory: None,
            clock,
            FixedPlatform(),
        )
        network.handlers[agent.address] = agent.handlers
        agent.start()
    await asyncio.sleep(WARM_UP_S)
    network.counts = True
    await asyncio.sleep(seconds)
    network.counts = False
    return network


def mean(counter: Counter[tuple[str, str]], kinds: set[str], control: bool, machines: int, seconds: float) -> float:
    """The mean a second of the machines of one sort."""
    found = [
        count
        for (address, kind), count in counter.items()
        if address.startswith("10.0.") is control and (kind in kinds or not kinds)
    ]
    return sum(found) / machines / seconds


@click.command()
@click.option("--fronts", default="30,100,300")
@click.option("--control", default=3)
@click.option("--seconds", default=20.0)
@click.option("--apply-ms", default=2000.0)
def main(fronts: str, control: int, seconds: float, apply_ms: float) -> None:
    """Prints a row for each number of fronts."""
    print(
        "fronts | a control process: heartbeats/s, B/s | senders' messages/s, B/s | handlers' processor ms/s |", end=""
    )
    print(" a front: messages/s, B/s")
    for count in map(int, fronts.split(",")):
        network = SimulatedEventLoop(count).run(play(count, control, seconds, apply_ms))
        sent, size = network.messages, network.bytes
        senders = {"lease.renew", "relay.watch"}
        print(
            f"{count} | {mean(sent, {HEARTBEAT}, True, control, seconds):.1f},"
            f" {mean(size, {HEARTBEAT}, True, control, seconds):.0f} |"
            f" {mean(sent, senders, True, control, seconds):.0f}, {mean(size, senders, True, control, seconds):.0f} |"
            f" {1000 * sum(network.processor_s.values()) / control / seconds:.1f} |"
            f" {mean(sent, set(), False, count, seconds):.1f}, {mean(size, set(), False, count, seconds):.0f}"
        )


if __name__ == "__main__":
    main()
