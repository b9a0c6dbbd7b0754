"""Measures the idle cost of the control plane by the number of senders: messages, bytes and processor time.

    python benchmarks/majority_contact.py [--fronts 30,100,300] [--control 3] [--seconds 20] [--apply-ms 2000]

The real heartbeats, leases and relay tree run in simulated time over an in-memory network. Reports messages and bytes
per second (of frames, without TCP overhead) at a control process (heartbeats; requests of the senders) and at a front,
which is a sender. Processor time is measured around the request handlers of the control processes, including decoding
and encoding of frames.
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


class NullStorage:
    """Storage of the register that keeps no data."""

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation

    async def write(self, statements: list[tuple[str, tuple[Any, ...]]]) -> None:
        """Discard the write: no process is restarted in this benchmark."""

    async def query(self, sql: str, arguments: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
        """Return 0 for the query of a maximum, no rows for any other."""
        return [(0,)] if sql.startswith("SELECT coalesce(max(") else []


class FixedPlatform:
    """A platform whose list of receivers never changes."""

    async def read(self, address: str) -> list[Receiver]:
        """Return all receivers."""
        return [Receiver(f"i-{number}", "engines", f"10.9.0.{number}:80", "east", 4) for number in range(RECEIVERS)]


class Network:
    """Connects the processes of the simulation; counts messages and bytes while `is_counting` is set."""

    def __init__(self) -> None:
        self.handlers: dict[str, dict[str, Any]] = {}
        self.is_counting = False
        self.messages: Counter[tuple[str, str]] = Counter()
        self.bytes: Counter[tuple[str, str]] = Counter()
        self.processor_s: defaultdict[str, float] = defaultdict(float)

    def record_frame(self, address: str, message_type: str, frame: bytes) -> None:
        """Count a frame for the process that sent or received it."""
        if self.is_counting:
            self.messages[address, message_type] += 1
            self.bytes[address, message_type] += len(frame)


class Client:
    """The RPC client of one process."""

    def __init__(self, network: Network, source: str) -> None:
        self._network = network
        self._source = source

    async def call(self, address: str, message: dict[str, Any], timeout_s: float) -> dict[str, Any]:
        """Return the reply of the process at `address`.

        Raises RpcError (`connect`) if no process handles this type of message there.
        """
        network, message_type = self._network, str(message["type"])
        frame = encode({"v": 1, "n": 12345, "m": message})
        await asyncio.sleep(LATENCY_S)
        handler = network.handlers.get(address, {}).get(message_type)
        if handler is None:
            raise RpcError("connect", address)
        start_s = time.process_time()
        request = json.loads(frame.partition(b":")[2][:-1])["m"]
        if message_type == "relay.watch":  # a long poll: other tasks run meanwhile, so its time is not counted
            reply = encode({"v": 1, "r": 12345, "m": await handler(request)})
        else:
            reply = encode({"v": 1, "r": 12345, "m": await handler(request)})
            if network.is_counting:
                network.processor_s[address] += time.process_time() - start_s
        for process in (self._source, address):
            network.record_frame(process, message_type, frame)
            network.record_frame(process, message_type, reply)
        await asyncio.sleep(LATENCY_S)
        reply_message: dict[str, Any] = json.loads(reply.partition(b":")[2][:-1])["m"]
        return reply_message


def settings_of(name: str, ip: str, control: int, serves: str, apply_ms: float) -> Settings:
    """Return the settings of one process."""
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


async def run_processes(fronts: int, control: int, seconds: float, apply_ms: float) -> Network:
    """Run control processes and fronts; return the network with its counts of the last `seconds`."""
    network, clock = Network(), asyncio.get_running_loop().time
    control_servers = []
    for number in range(control):
        settings = settings_of(f"core-{number}", f"10.0.0.{number + 1}", control, "control", apply_ms)
        client = Client(network, f"10.0.0.{number + 1}:7380")
        storage = NullStorage(f"{number:016x}")
        control_server = ControlServer(settings, storage, client, random.Random(number), clock, FixedPlatform())  # type: ignore[arg-type]
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
    network.is_counting = True
    await asyncio.sleep(seconds)
    network.is_counting = False
    return network


def mean_rate(
    counter: Counter[tuple[str, str]], message_types: set[str], at_control: bool, processes: int, seconds: float
) -> float:
    """Return the mean rate per second and process of the given message types, at control processes or at fronts."""
    counts = [
        count
        for (address, message_type), count in counter.items()
        if address.startswith("10.0.") is at_control and (message_type in message_types or not message_types)
    ]
    return sum(counts) / processes / seconds


@click.command()
@click.option("--fronts", default="30,100,300")
@click.option("--control", default=3)
@click.option("--seconds", default=20.0)
@click.option("--apply-ms", default=2000.0)
def main(fronts: str, control: int, seconds: float, apply_ms: float) -> None:
    """Print a row for each number of fronts."""
    print(
        "fronts | per control process: heartbeats/s, B/s | senders' messages/s, B/s | handler processor ms/s |", end=""
    )
    print(" per front: messages/s, B/s")
    for count in map(int, fronts.split(",")):
        network = SimulatedEventLoop(count).run(run_processes(count, control, seconds, apply_ms))
        messages, sizes = network.messages, network.bytes
        sender_requests = {"lease.renew", "relay.watch"}
        print(
            f"{count} | {mean_rate(messages, {HEARTBEAT}, True, control, seconds):.1f},"
            f" {mean_rate(sizes, {HEARTBEAT}, True, control, seconds):.0f} |"
            f" {mean_rate(messages, sender_requests, True, control, seconds):.0f},"
            f" {mean_rate(sizes, sender_requests, True, control, seconds):.0f} |"
            f" {1000 * sum(network.processor_s.values()) / control / seconds:.1f} |"
            f" {mean_rate(messages, set(), False, count, seconds):.1f},"
            f" {mean_rate(sizes, set(), False, count, seconds):.0f}"
        )


if __name__ == "__main__":
    main()
