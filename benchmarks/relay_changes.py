"""How long a change of the configuration takes to be in force at all senders, and whether the list waits behind it.

Three control servers and so many senders' agents run in simulated time; each machine's outgoing link carries its
messages one after the other (control servers 86 Mbit/s, senders 15 Mbit/s unless told otherwise). Counted from the
operator's acknowledgement. A receiver is shown draining 0.3 s after it; `list_s` is until all senders know. Prints one
row of JSON for each case:

    python -m benchmarks.relay_changes [--senders 30,100,300] [--bodies 4096,300000,4000000] [--mbit 15] [--compressed]

With `--compressed` the configuration is all routes with random names, and links carry what the connections between
dewpin's processes carry: one compressed stream each way. Without it nothing is made shorter.
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

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))  # the simulated control servers are those of the tests

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
CALM_S = 6.0
DRAIN_AFTER_S = 0.3
PERIOD_S = 0.01


class Senders:
    """The agents of all senders, and the generation that each has in force."""

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
    """Put a configuration, at one control server after the other until it is acknowledged."""
    change = put_configuration(body, generation, generation - 1)
    for number in [1, 2, 3] * 20:
        try:
            await world.control_servers[number].register.propose(change, PROPOSAL_TIMEOUT_S)
            return
        except RegisterUnavailableError:
            await asyncio.sleep(OPERATOR_PAUSE_S)
    raise RegisterUnavailableError("not acknowledged")


async def until(condition: Callable[[], bool], began_s: float) -> float | None:
    """Return the seconds until a condition holds; None if it doesn't within GIVE_UP_S."""
    clock = asyncio.get_running_loop().time
    while not condition():
        await asyncio.sleep(PERIOD_S)
        if clock() - began_s > GIVE_UP_S:
            return None
    return round(clock() - began_s, 2)


async def measure(count: int, size: int, mbit: float, compressed: bool) -> dict[str, Any]:
    """One change of that size at that many senders."""
    clock = asyncio.get_running_loop().time
    world = World()
    network = world.network = LinkNetwork(compressed)
    make_body = realistic_body if compressed else configuration_body
    await world.begin()
    await put(world, 1, make_body(4096, 1))
    senders = Senders(world, count, random.Random(count))
    await until(lambda: set(senders.generations) == {1}, clock())
    await asyncio.sleep(CALM_S)
    network.rates = {world.address(number): CONTROL_MBIT for number in world.numbers}
    network.set_rate(mbit)
    body = make_body(size, 2)
    cpu_s = time.process_time()
    asked_s = clock()
    await put(world, 2, body)
    began_s, sent_bytes = clock(), network.bytes
    world_drains = asyncio.ensure_future(_drain(world, senders))
    applied_s = await until(lambda: set(senders.generations) == {2}, began_s)
    row = {
        "senders": count,
        "body": len(body),
        "compressed": compressed,
        "mbit": mbit,
        "acknowledged_s": round(began_s - asked_s, 2),
        "in_force_s": applied_s,
        "have_it": sum(generation == 2 for generation in senders.generations),
        "list_s": await world_drains,
        "megabytes": round((network.bytes - sent_bytes) / 1e6, 1),
        "cpu_s": round(time.process_time() - cpu_s, 2),
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
    began_s = asyncio.get_running_loop().time()
    world.receivers = [Receiver("i-1", "engines", "10.9.0.1:80", "east", 4, draining=True)]
    return await until(lambda: all(senders.drained), began_s)


def main() -> None:
    """Print the rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--senders", default="30,100,300")
    parser.add_argument("--bodies", default="4096,300000,4000000")
    parser.add_argument("--mbit", default="15")
    parser.add_argument("--compressed", action="store_true", help="routes with random names, as connections carry them")
    options = parser.parse_args()
    for count in parse_list(options.senders, int):
        for size in parse_list(options.bodies, int):
            for mbit in parse_list(options.mbit, float):
                print(json.dumps(run(measure(count, size, mbit, options.compressed))), flush=True)


if __name__ == "__main__":
    main()
