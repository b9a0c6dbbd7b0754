"""A hollow run: real control servers beside hollow senders, the real protocol over loopback.

A hollow sender is the agent of a real one (lease, relay tree, watches) without clients and without reading the
configuration; many live in one process. Each control server is a process of its own with its file. The run tells
what the
processes use when nothing changes, and how long a change takes to reach the senders.
"""

from __future__ import annotations

import asyncio
import multiprocessing
import random
import resource
import tempfile
import time
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from multiprocessing.connection import Connection
from multiprocessing.process import BaseProcess
from typing import Any

from benchmarks.capacity import shapes
from dewpin.cluster.receivers import Receiver, receiver_from_platform
from dewpin.cluster.rpc import RpcClient, RpcServer, split_address
from dewpin.cluster.settings import Settings, parse_settings
from dewpin.controlplane.control_server import ControlServer
from dewpin.controlplane.storage import Storage
from dewpin.controlplane.system_state import put_configuration
from dewpin.dataplane.cluster_agent import ClusterAgent

PORTS = [17380, 17395]
CONTROL_NETWORK = "127.77.0."
SENDER_NETWORK = "127.77."
SENDERS_IN_NETWORK = 200
CONTROL_PORT = 17400
RECEIVERS = 770
BOUND_S = 14.0
START_TIMEOUT_S = 60.0
CHANGE_TIMEOUT_S = 30.0
PROPOSE_TIMEOUT_S = 10.0

Answer = Callable[[Any], Coroutine[Any, Any, Any]]


@dataclass(frozen=True)
class HollowResult:
    """What one run told.

    control_server_us_per_s, senders_us_per_s: processor microseconds a second of the busiest control server and of
    all senders, when
    nothing changes; half_s, all_s: until a change had reached half and all of the senders, the median of the changes.
    """

    control_server_us_per_s: float
    senders_us_per_s: float
    half_s: float
    all_s: float


class FixedPlatform:
    """A platform whose list never changes."""

    def __init__(self) -> None:
        self._receivers = [receiver_from_platform(shapes.receiver(number)) for number in range(RECEIVERS)]

    async def read(self, address: str) -> list[Receiver]:
        """All receivers."""
        return self._receivers


def settings_of(name: str, ip: str, control_servers: int, serves: list[str], data_dir: str | None) -> Settings:
    """The settings of one process of the run."""
    raw: dict[str, Any] = {
        "node_name": name,
        "serves": serves,
        "ip": ip,
        "zone": "zone-1",
        "port_range": PORTS,
        "seeds": [f"{CONTROL_NETWORK}{number + 1}:{CONTROL_PORT}" for number in range(min(control_servers, 3))],
        "bootstrap": True,
        "listen": dict.fromkeys(("control", "front", "ready"), f"{ip}:{CONTROL_PORT}"),
        "bounds": {"config_apply_ms": BOUND_S * 1000, "drain_ms": 4000},
        "cloud": {"address": "127.0.0.1:1"},
    }
    if data_dir is not None:
        raw["data_dir"] = data_dir
    return parse_settings(raw)


def processor_s() -> float:
    """Processor time that this process has used."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


async def answer_pipe(pipe: Connection, answer: Answer) -> None:
    """Answer what comes through the pipe until it is closed."""
    loop = asyncio.get_running_loop()
    while True:
        try:
            asked = await loop.run_in_executor(None, pipe.recv)
        except EOFError:
            return
        pipe.send(await answer(asked))


def control_server_process(number: int, control_servers: int, folder: str, pipe: Connection) -> None:
    """One control server; asked for "usage" or to put a generation of a configuration with so many routes."""

    async def serve() -> None:
        settings = settings_of(
            f"control-server-{number}", f"{CONTROL_NETWORK}{number + 1}", control_servers, ["control"], folder
        )
        storage = Storage(folder)
        control_server = ControlServer(settings, storage, RpcClient(), random.Random(number), platform=FixedPlatform())
        server = RpcServer(control_server.handlers)
        await control_server.load()
        await server.start(*split_address(control_server.address))
        control_server.start()

        async def answer(asked: Any) -> Any:
            if asked == "usage":
                return processor_s()
            if asked == "ready":
                state = control_server.register.chosen
                return state is not None and bool(control_server.directory.receivers)
            generation, base, routes = asked
            change = put_configuration(shapes.configuration(routes), generation, base)
            started_s = time.monotonic()
            await control_server.register.propose(change, PROPOSE_TIMEOUT_S)
            return started_s

        await answer_pipe(pipe, answer)
        await control_server.stop()
        await server.stop()

    asyncio.run(serve())


class HollowSenders:
    """Many agents in one process, and when each of them got each generation of the configuration."""

    def __init__(self, count: int, control_servers: int) -> None:
        self.arrived_s: dict[int, list[float]] = {}
        self.agents = [self._agent(number, control_servers) for number in range(count)]

    def _agent(self, number: int, control_servers: int) -> ClusterAgent:
        network, host = divmod(number, SENDERS_IN_NETWORK)
        ip = f"{SENDER_NETWORK}{network + 1}.{host + 1}"
        settings = settings_of(f"sender-{number}", ip, control_servers, ["front"], None)
        return ClusterAgent(
            settings, RpcClient(), random.Random(number), self._on_state, lambda _: None, platform=FixedPlatform()
        )

    def _on_state(self, state: dict[str, Any]) -> None:
        if state["configuration"] is not None:
            generation = int(state["configuration"]["generation"])
            self.arrived_s.setdefault(generation, []).append(time.monotonic())

    async def start(self) -> None:
        """Listen and begin to renew, all within one renewal's time."""
        for agent in self.agents:
            await RpcServer(agent.handlers).start(*split_address(agent.address))
        for agent in self.agents:
            agent.start()
            await asyncio.sleep(BOUND_S / 5 / len(self.agents))

    def are_ready(self) -> bool:
        """Whether all have a lease, the receivers, and a place in a tree that knows all of them."""
        count = len(self.agents)
        return all(
            agent.confirmation.is_confirmed and agent.directory.receivers and agent.senders == count
            for agent in self.agents
        )


def senders_process(count: int, control_servers: int, pipe: Connection) -> None:
    """The hollow senders; asked for "usage", "ready", or the arrivals of a generation."""

    async def serve() -> None:
        senders = HollowSenders(count, control_servers)
        await senders.start()

        async def answer(asked: Any) -> Any:
            if asked == "usage":
                return processor_s()
            if asked == "ready":
                return senders.are_ready()
            return senders.arrived_s.get(asked, [])

        await answer_pipe(pipe, answer)
        for task in asyncio.all_tasks() - {asyncio.current_task()}:
            task.cancel()

    asyncio.run(serve())


class Child:
    """A process of the run, with a pipe to ask it."""

    def __init__(self, target: Callable[..., None], *args: Any) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, theirs = context.Pipe()
        self._process: BaseProcess = context.Process(target=target, args=(*args, theirs))
        self._process.start()
        theirs.close()

    def ask(self, what: Any) -> Any:
        """The child's answer."""
        self._pipe.send(what)
        return self._pipe.recv()

    def close(self) -> None:
        """End the process and wait for it."""
        self._pipe.close()
        self._process.join(10)
        if self._process.is_alive():
            self._process.kill()
            self._process.join()


def wait_for(what: str, is_so: Callable[[], bool], timeout_s: float) -> None:
    """Wait for a fact; TimeoutError names it when it does not come."""
    end = time.monotonic() + timeout_s
    while not is_so():
        if time.monotonic() > end:
            raise TimeoutError(what)
        time.sleep(0.1)


def change_times(control_server: Child, senders: Child, count: int, changes: int, routes: int) -> list[list[float]]:
    """Arrivals of each change at the senders, in seconds after its order, in order."""
    found = []
    for generation in range(1, changes + 1):
        started_s = control_server.ask((generation, generation - 1, routes))
        reached = lambda: len(senders.ask(generation)) >= count  # noqa: B023, E731
        wait_for(f"change {generation} at all {count} senders", reached, CHANGE_TIMEOUT_S)
        found.append(sorted(arrived_s - started_s for arrived_s in senders.ask(generation)))
    return found


def hollow_run(count: int, control_servers: int, window_s: float, changes: int, routes: int) -> HollowResult:
    """Start `control servers` control servers and `count` hollow senders, measure them, end them. TimeoutError when
    a fact fails."""
    children: list[Child] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            cores = [
                Child(control_server_process, number, control_servers, f"{folder}/{number}")
                for number in range(control_servers)
            ]
            children += cores
            wait_for("control_servers", lambda: all(core.ask("ready") for core in cores), START_TIMEOUT_S)
            senders = Child(senders_process, count, control_servers)
            children.append(senders)
            wait_for("leases at all control servers", lambda: bool(senders.ask("ready")), START_TIMEOUT_S)
            before, started_s = [child.ask("usage") for child in children], time.monotonic()
            time.sleep(window_s)
            used = [child.ask("usage") - was for child, was in zip(children, before, strict=True)]
            took_s = time.monotonic() - started_s
            times = change_times(cores[0], senders, count, changes, routes)
        finally:
            for child in reversed(children):
                child.close()
    middle = len(times) // 2
    return HollowResult(
        control_server_us_per_s=max(used[:-1]) / took_s * 1e6,
        senders_us_per_s=used[-1] / took_s * 1e6,
        half_s=sorted(one[len(one) // 2] for one in times)[middle],
        all_s=sorted(one[-1] for one in times)[middle],
    )
