"""Measures bytes and time of a change of the system state, and of the catch-up of a restarted register member.

Three control servers of `tests/controlplane/control_server_world.py` run on a simulated event loop; the outgoing link
of each machine transmits its messages one by one at the given rate. Link time is simulated; processor time, of all
three together, is measured. Prints a JSON object for each case:

    python -m benchmarks.register_catch_up [--changes 10,100] [--bodies 4096] [--mbit 15,86,600]
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).parent.parent / "tests"))  # the simulated control servers are part of the tests

from controlplane.control_server_world import World  # noqa: E402
from scripted.clock import run  # noqa: E402
from scripted.rated_links import LinkNetwork  # noqa: E402

from benchmarks.control_server_runs import (  # noqa: E402
    OPERATOR_PAUSE_S,
    PROPOSAL_TIMEOUT_S,
    configuration_body,
    parse_list,
)
from dewpin.controlplane.register.proposer import RegisterUnavailableError  # noqa: E402
from dewpin.controlplane.register.system_state import put_configuration  # noqa: E402

HISTORY_BODY_BYTES = 4096
GIVE_UP_S = 15.0
DOWNTIME_S = 0.5


async def put(world: World, first_server: int, generation: int, base: int, size: int) -> tuple[int, float]:
    """Put a configuration, retrying at the next control server; return the attempts and the seconds until it succeeds.

    The seconds are infinite if it is not acknowledged within GIVE_UP_S.
    """
    clock = asyncio.get_running_loop().time
    start_s = clock()
    body = configuration_body(size, generation)
    for attempt in itertools.count():
        control_server = world.control_servers[[1, 2, 3][(first_server - 1 + attempt) % 3]]
        try:
            await control_server.register.propose(put_configuration(body, generation, base), PROPOSAL_TIMEOUT_S)
            return attempt + 1, clock() - start_s
        except RegisterUnavailableError:
            if clock() - start_s > GIVE_UP_S:
                return attempt + 1, float("inf")
            await asyncio.sleep(OPERATOR_PAUSE_S)
    raise AssertionError


async def wait_for_generation(world: World, numbers: tuple[int, ...], generation: int) -> float:
    """Return the seconds until these control servers have learned the generation; infinite after GIVE_UP_S."""
    clock = asyncio.get_running_loop().time
    start_s = clock()
    while any(world.generation(number) != generation for number in numbers):
        await asyncio.sleep(0.005)
        if clock() - start_s > GIVE_UP_S:
            return float("inf")
    return clock() - start_s


class Meter:
    """Measures bytes on the links and processor time since its creation."""

    def __init__(self, network: LinkNetwork) -> None:
        self.network = network
        self.bytes = network.bytes
        self.cpu_s = time.process_time()
        network.largest = 0

    def row(self, step: str, **figures: Any) -> dict[str, Any]:
        processor_s = time.process_time() - self.cpu_s
        sent_bytes = self.network.bytes - self.bytes
        return {
            "step": step,
            "kilobytes": round(sent_bytes / 1000, 1),
            "cpu_ms": round(1000 * processor_s, 1),
            **figures,
        }


async def measure(changes: int, sizes: list[int], rates: list[float]) -> list[dict[str, Any]]:
    """Return a row for each step, body size and link rate, after a history of `changes` changes."""
    world = World()
    network = world.network = LinkNetwork()
    await world.begin()
    generation = 0
    for _ in range(changes):
        generation += 1
        await put(world, 1, generation, generation - 1, HISTORY_BODY_BYTES)
    rows = []
    for size, mbit in itertools.product(sizes, rates):
        case = {"changes": changes, "body": size, "mbit": mbit}
        await wait_for_generation(world, (1, 2, 3), generation)
        network.set_rate(mbit)
        generation += 1
        meter = Meter(network)
        attempts, put_s = await put(world, 1, generation, generation - 1, size)
        spread_s = await wait_for_generation(world, (1, 2, 3), generation)
        rows.append(
            case
            | meter.row("change", calls=attempts, acknowledged_s=round(put_s, 3), known_s=round(put_s + spread_s, 3))
        )
        network.set_rate(None)
        await put(world, 1, generation, generation - 1, size)
        await world.kill(3)
        generation += 1
        await put(world, 1, generation, generation - 1, size)
        await asyncio.sleep(DOWNTIME_S)
        network.set_rate(mbit)
        meter = Meter(network)
        await world.start(3)
        assert world.control_servers[3].register.chosen is None
        catch_up_s = await wait_for_generation(world, (3,), generation)
        rows.append(case | meter.row("catch_up", took_s=round(catch_up_s, 3)))
        network.set_rate(None)
        await wait_for_generation(world, (1, 2, 3), generation)
        await asyncio.sleep(2.0)
    for control_server in world.control_servers.values():
        await control_server.stop()
    return rows


def main() -> None:
    """Run the benchmark and print its rows."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--changes", default="10,100,1000,3000")
    parser.add_argument("--bodies", default="4096,300000,4000000")
    parser.add_argument("--mbit", default="15,86,600")
    options = parser.parse_args()
    sizes = parse_list(options.bodies, int)
    rates = parse_list(options.mbit, float)
    for changes in parse_list(options.changes, int):
        for row in run(measure(changes, sizes, rates)):
            print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
