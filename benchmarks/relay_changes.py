"""Measures when a configuration change is in force at all senders, and whether it delays the list of receivers.

Three control servers and the agents of the senders run in simulated time; the outgoing link of each machine transmits
its messages one by one (control servers 86 Mbit/s, senders 15 Mbit/s by default). Times start at the acknowledgement to
the operator. 0.3 s after it the platform's list shows a receiver as draining; `list_s` is the time from then until all
senders know it. Prints a JSON object for each case:

    python -m benchmarks.relay_changes [--senders 30,100,300] [--bodies 4096,300000,4000000] [--mbit 15] [--compressed]

With `--compressed` the configuration consists of routes with random names, and the links transmit one compressed stream
per direction, as the connections between dewpin's processes do. Otherwise messages are not compressed.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))  # the simulated control servers are part of the tests

from controlplane.control_server_world import Platform, World  # noqa: E402
from scripted.clock import run  # noqa: E402
from scripted.rated_links import LinkNetwork  # noqa: E402

from benchmarks.control_server_runs import (  # noqa: E402
    OPERATOR_PAUSE_S,
    PROPOSAL_TIMEOUT_S,
    configuration_body,
    parse_list,
    realistic_body,
)
from dewpin.cluster.receivers import Receiver  # noqa: E402
from dewpin.cluster.settings import parse_settings  # noqa: E402
from dewpin.controlplane.register.proposer import RegisterUnavailableError  # noqa: E402
from dewpin.controlplane.register.system_state import put_configuration  # noqa: E402
from dewpin.dataplane.membership.cluster_agent import ClusterAgent  # noqa: E402

CONTROL_MBIT = 86.0
GIVE_UP_S = 60.0
SETTLE_S = 6.0
DRAIN_AFTER_S = 0.3
POLL_INTERVAL_S = 0.01


class Senders:
    """The agents of all senders.

    `generations`: the configuration generation in force at each sender. `drained`: whether each knows of the drain.
    """

    def __init__(self, world: World, count: int, rng: random.Random) -> None:
        self._world = world
        self.generations = [0] * count
        self.drained = [False] * count
        self.agents = [self._start(number, rng) for number in range(count)]

    def _start(self, number: int, rng: random.Random) -> ClusterAgent:
        ip = f"10.5.{number // 200}.{number % 200 + 1}"
        settings = parse_settings(
            {
                "node_name": f"front-{number}",
                "serves": ["front"],
                "ip": ip,
                "zone": "east",
                "port_range": [7380, 7395],
                "seeds": [f"10.0.0.{seed}:8144" for seed in self._world.seeds],
                "listen": {"front": f"{ip}:8149", "ready": f"{ip}:8141"},
                "bounds": {"drain_ms": 3000, "config_apply_ms": 2000},
                "cloud": {"address": "10.8.0.1:80"},
            }
        )

        def record_state(state: dict[str, Any]) -> None:
            if state["configuration"]:
                self.generations[number] = state["configuration"]["generation"]

        def record_receivers(directory: Any) -> None:
            self.drained[number] = directory.receivers["i-1"].draining

        agent = ClusterAgent(
            settings,
            self._world.network.client(f"{ip}:7381"),
            random.Random(rng.random()),
            record_state,
            record_receivers,
            asyncio.get_running_loop().time,
            Platform(self._world, f"sender {number}"),
        )
        self._world.network.handlers[agent.address] = agent.handlers
        agent.start()
        return agent


async def put(world: World, generation: int, body: bytes) -> None:
    """Put a configuration, retrying at the next control server until it is acknowledged.

    Raises RegisterUnavailableError after 60 attempts.
    """
    change = put_configuration(body, generation, generation - 1)
    for number in [1, 2, 3] * 20:
        try:
            await world.control_servers[number].register.propose(change, PROPOSAL_TIMEOUT_S)
            return
        except RegisterUnavailableError:
            await asyncio.sleep(OPERATOR_PAUSE_S)
    raise RegisterUnavailableError("no control server acknowledged the configuration")


async def wait_until(condition: Callable[[], bool], start_s: float) -> float | None:
    """Return the seconds from `start_s` until a condition holds; None if it does not within GIVE_UP_S."""
    clock = asyncio.get_running_loop().time
    while not condition():
        await asyncio.sleep(POLL_INTERVAL_S)
        if clock() - start_s > GIVE_UP_S:
            return None
    return round(clock() - start_s, 2)


async def measure(count: int, size: int, mbit: float, compressed: bool) -> dict[str, Any]:
    """Measure one change with a body of `size` bytes at `count` senders; return its row."""
    clock = asyncio.get_running_loop().time
    world = World()
    network = world.network = LinkNetwork(compressed)
    make_body = realistic_body if compressed else configuration_body
    await world.begin()
    await put(world, 1, make_body(4096, 1))
    senders = Senders(world, count, random.Random(count))
    await wait_until(lambda: set(senders.generations) == {1}, clock())
    await asyncio.sleep(SETTLE_S)
    network.rates = {world.address(number): CONTROL_MBIT for number in world.numbers}
    network.set_rate(mbit)
    body = make_body(size, 2)
    cpu_start_s = time.process_time()
    proposed_s = clock()
    await put(world, 2, body)
    acknowledged_s, bytes_before = clock(), network.bytes
    drain_task = asyncio.ensure_future(_drain(world, senders))
    in_force_s = await wait_until(lambda: set(senders.generations) == {2}, acknowledged_s)
    row = {
        "senders": count,
        "body": len(body),
        "compressed": compressed,
        "mbit": mbit,
        "acknowledged_s": round(acknowledged_s - proposed_s, 2),
        "in_force_s": in_force_s,
        "have_it": sum(generation == 2 for generation in senders.generations),
        "list_s": await drain_task,
        "megabytes": round((network.bytes - bytes_before) / 1e6, 1),
        "cpu_s": round(time.process_time() - cpu_start_s, 2),
    }
    network.set_rate(None)
    network.rates = {}
    for agent in senders.agents:
        await agent.stop()
    for control_server in world.control_servers.values():
        await control_server.stop()
    return row


async def _drain(world: World, senders: Senders) -> float | None:
    await asyncio.sleep(DRAIN_AFTER_S)
    start_s = asyncio.get_running_loop().time()
    world.receivers = [Receiver("i-1", "engines", "10.9.0.1:80", "east", 4, draining=True)]
    return await wait_until(lambda: all(senders.drained), start_s)


def main() -> None:
    """Run the benchmark and print its rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--senders", default="30,100,300")
    parser.add_argument("--bodies", default="4096,300000,4000000")
    parser.add_argument("--mbit", default="15")
    parser.add_argument("--compressed", action="store_true", help="use routes with random names and compress the links")
    options = parser.parse_args()
    for count in parse_list(options.senders, int):
        for size in parse_list(options.bodies, int):
            for mbit in parse_list(options.mbit, float):
                print(json.dumps(run(measure(count, size, mbit, options.compressed))), flush=True)


if __name__ == "__main__":
    main()
