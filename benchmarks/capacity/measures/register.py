"""Changes of the register: elapsed time, and processor time of all members together."""

from __future__ import annotations

import asyncio
import random
import tempfile
import time
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import NamedTuple

from benchmarks.capacity import shapes
from benchmarks.capacity.series import Effort, Series, sample
from benchmarks.capacity.timing import MICROSECONDS, free_port
from dewpin.cluster.rpc import RpcClient, RpcServer
from dewpin.controlplane.register.register import SystemRegister
from dewpin.controlplane.register.system_state import initial_state, put_configuration
from dewpin.controlplane.storage import Storage

REGISTER = "dewpin/controlplane/register/register.py, dewpin/consensus"
REGISTER_MEMBERS = 5
REGISTER_ROUTES = (50, 500, 1_000, 2_000)


class ChangeCost(NamedTuple):
    """Cost of one change of the register, all members together."""

    seconds: float
    processor_seconds: float


async def measure_change(routes: int, seconds: float) -> ChangeCost:
    """Change a register of REGISTER_MEMBERS members in one process over loopback, each with a database of its own.

    Returns the mean cost of a change.
    """
    with tempfile.TemporaryDirectory() as folder:
        async with AsyncExitStack() as stack:
            registers = []
            for number in range(REGISTER_MEMBERS):
                storage = Storage(f"{folder}/{number}")
                stack.callback(storage.close)
                client = RpcClient()
                stack.push_async_callback(client.close)
                address = f"127.0.0.1:{free_port()}"
                register = SystemRegister(storage.incarnation, address, storage, client, random.Random(number))
                server = RpcServer(register.handlers)
                await server.start("127.0.0.1", int(address.rpartition(":")[2]))
                stack.push_async_callback(server.stop)
                registers.append(register)
            members = {register.member: register.address for register in registers}
            initial = initial_state(members, {member: member for member in members})
            for register in registers:
                await register.load()
                await register.bootstrap(initial)
            body = shapes.configuration(routes)
            generation = 1
            await registers[0].propose(put_configuration(body, generation, 0), 10.0)
            start_s, processor_start_s = time.perf_counter(), time.process_time()
            while time.perf_counter() < start_s + seconds:
                await registers[0].propose(put_configuration(body, generation + 1, generation), 10.0)
                generation += 1
            changes = max(generation - 1, 1)
            return ChangeCost(
                (time.perf_counter() - start_s) / changes, (time.process_time() - processor_start_s) / changes
            )


def register_series(
    effort: Effort, name: str, title: str, y_name: str, cost_of: Callable[[ChangeCost], float]
) -> Series:
    """Measure a cost of a register change, by the routes of the configuration."""

    def measure_at(routes: int) -> float:
        return cost_of(asyncio.run(measure_change(routes, effort.seconds))) * MICROSECONDS

    return Series(name, title, REGISTER, "routes", y_name, "µs", sample(REGISTER_ROUTES, effort, measure_at))


def register_change(effort: Effort) -> Series:
    """Measure the time of a register change, by the routes of the configuration."""
    title = f"a change of the register of {REGISTER_MEMBERS} members in one process, each with its file"
    return register_series(effort, "register-change", title, "time a change", lambda cost: cost.seconds)


def register_cost(effort: Effort) -> Series:
    """Measure the processor time of a register change, all members together."""
    title = f"processor time of a change of the register, all {REGISTER_MEMBERS} members together"
    name, y_name = "register-cost", "processor time a change"
    return register_series(effort, name, title, y_name, lambda cost: cost.processor_seconds)
