"""The parties around the senders: each sender's agent, the receivers and the ways between, on loopback.

It owns every listening socket and connection of ours, and the list of receivers with its revisions. Each sender reaches
each party at an address of its own (or with some others, where descriptors are short), so that every way can be at
fault by itself. What it sees goes to the tally.
"""
import asyncio
import json
import random
import socket
from typing import Any

from . import places
from .http import Connection
from .links import Way
from .scenario import Scenario
from .tally import Tally

LISTENS = 128
NEWS = 300.0            # ms at most until an agent has a change, drawn for each sender


class Port:
    """One address of ours at which one sender reaches one party; it may be shut and opened again."""

    def __init__(self, host: str) -> None:
        self.address: tuple[str, int] = (host, 0)
        self.server: asyncio.Server | None = None

    async def open(self, made: Any) -> None:
        held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind(self.address)
        held.listen(LISTENS)
        self.address = held.getsockname()
        self.server = await asyncio.get_running_loop().create_server(made, sock=held)

    def shut(self) -> None:
        if self.server:
            self.server.close()
        self.server = None


class Receiver:
    def __init__(self, number: int, name: str, destination: int, zone: str, place: places.Place, since: float) -> None:
        self.number, self.name, self.destination, self.zone = number, name, destination, zone
        self.place, self.since, self.phase = place, since, "active"
        self.ports: list[Port] = []
        self.ways: list[Way] = []
        self.open: dict[Connection, int] = {}


class Agent:
    def __init__(self, number: int) -> None:
        self.port, self.way, self.revision = Port(f"127.2.{number >> 8}.{number & 255}"), Way(), 1
        self.watching: list[tuple[Connection, int]] = []


class World:
    def __init__(self, scenario: Scenario, tally: Tally) -> None:
        self.scenario, self.tally, self.dice = scenario, tally, random.Random(scenario.seed)
        told = scenario.receivers
        self.shared = scenario.senders.to_an_address
        self.groups = -(-scenario.senders.count // self.shared)
        self.destinations = [places.Destination(told.limit) for _ in range(told.destinations)]
        self.receivers: list[Receiver] = []
        self.agents = [Agent(number) for number in range(scenario.senders.count)]
        self.changes: list[Receiver] = []       # the n-th made revision n + 1; what is told is the present state
        self.refusing = False
        self.heard_end: Any = lambda ident, outcome, ms: None       # of a notice
        self.heard_run: Any = lambda hand: None                     # of a delivery
        self.loop = asyncio.get_running_loop()
        self.zero = self.loop.time()

    def now(self) -> float:
        return (self.loop.time() - self.zero) * 1000.0

    async def open(self) -> None:
        for destination in range(len(self.destinations)):
            for _ in range(self.scenario.receivers.each):
                await self.add(destination, 0.0)
        for number, agent in enumerate(self.agents):
            await agent.port.open(lambda number=number, agent=agent: Connection(
                agent.way, lambda *request: self._asked(number, agent, *request)))

    async def add(self, destination: int, since: float) -> Receiver:
        number, told = len(self.receivers), self.scenario.receivers
        place = places.Place(told, self.destinations[destination], self.dice.getrandbits(32))
        zone = told.zones[number % len(told.zones)]
        one = Receiver(number, f"r{number}", destination, zone, place, since)
        one.ways = [Way() for _ in range(self.groups)]
        one.ports = [Port(f"127.1.{number >> 8}.{number & 255}") for _ in range(self.groups)]
        self.receivers.append(one)
        await self.answer(one)
        return one

    async def answer(self, one: Receiver) -> None:
        """Opens a receiver's ports to all senders."""
        for group, port in enumerate(one.ports):
            await port.open(lambda group=group: self._connected(one, group))

    def refuse(self, one: Receiver) -> None:
        """Shuts them: connections are refused, and those there were break."""
        for port in one.ports:
            port.shut()
        for connection in list(one.open):
            connection.transport.abort()

    def close(self) -> None:
        for one in self.receivers:
            self.refuse(one)
        for agent in self.agents:
            agent.port.shut()
            for connection, _ in agent.watching:
                connection.transport.abort()

    # -- receivers -----------------------------------------------------------------------------------------------

    def _connected(self, one: Receiver, group: int) -> Connection:
        self.tally.handshakes += 1
        connection = Connection(one.ways[group], lambda *request: self._called(one, group, *request),
                                lambda gone: self._parted(one, gone))
        one.open[connection] = group
        most = self.scenario.receivers.connections
        if most and len(one.open) > most:
            self.loop.call_soon(lambda: connection.transport and connection.transport.abort())
        return connection

    def _parted(self, one: Receiver, gone: Connection) -> None:
        one.open.pop(gone, None)

    def _called(self, one: Receiver, group: int, connection: Connection, method: str, path: str,
                fields: dict[str, str], body: bytes) -> None:
        now = self.now()
        call = self.tally.called(fields.get("req-id", ""), one.name, one.destination, group * self.shared, now)
        way, sender = one.ways[group], call.sender
        status, wait, took = one.place.call(now, sender)
        if one.place.fallen and one.place.fallen[0] == now:
            _, times, knew = one.place.fallen
            if knew:
                self.tally.broken("failback", now, call.hand, sender, f"{one.name} fell over at {times:.1f} times")
            self.refuse(one)
            return
        if status == 0:
            return
        if way.resets and self.dice.random() < way.resets:
            connection.transport.abort()
            return
        self.loop.call_later(took / 1000.0, self._done, one, connection, call, status, wait)

    def _done(self, one: Receiver, connection: Connection, call: Any, status: int, wait: float) -> None:
        if connection.transport.is_closing():
            return              # it ran, and nobody hears of it
        self.tally.answered(call, status, wait, one.destination, self.now())
        connection.answer(status, b"", {"Retry-After": f"{wait / 1000.0:.3f}"} if wait else {})
        if status == 200 and call.hand:
            self.heard_run(call.hand)

    # -- the list ------------------------------------------------------------------------------------------------

    def member(self, one: Receiver, sender: int) -> dict[str, Any]:
        at = "%s:%d" % one.ports[sender // self.shared].address
        return {"id": one.name, "host_port": at, "locality": one.zone, "flavor": "k", "cell": one.destination,
                "phase": one.phase, "size": 1.0, "up_since_ms": 0}

    def known(self, sender: int) -> dict[str, Any]:
        return {"revision": 1, "complete": True, "members": [
            self.member(one, sender) for one in self.receivers if one.since <= 0.0]}

    def change(self, one: Receiver, phase: str) -> None:
        """News of the list: every agent has it some moments later, each at its own time."""
        one.phase = phase
        self.changes.append(one)
        for number, agent in enumerate(self.agents):
            late = self.dice.uniform(0.0, NEWS) / 1000.0
            self.loop.call_later(late, self._news, number, agent, len(self.changes) + 1)

    def _news(self, number: int, agent: Agent, revision: int) -> None:
        agent.revision = max(agent.revision, revision)
        for connection, index in agent.watching:
            self._tell(number, agent, connection, index)
        agent.watching.clear()

    def _tell(self, number: int, agent: Agent, connection: Connection, index: int | None) -> None:
        if index is None:
            members = [one for one in self.receivers if one.phase != "left"]
        else:
            members = list(dict.fromkeys(self.changes[max(0, index - 1):agent.revision - 1]))
        body = {"revision": agent.revision, "complete": index is None, "members": [
            self.member(one, number) for one in members]}
        for one in members:
            if one.phase != "active":
                self.tally.told.setdefault((number, one.name), self.now())
        connection.answer(200, json.dumps(body).encode())

    def _asked(self, number: int, agent: Agent, connection: Connection, method: str, path: str,
               fields: dict[str, str], body: bytes) -> None:
        if path.startswith("/v1/notices"):
            for line in body.splitlines():
                told = json.loads(line)
                if hand := self.tally.noticed(told["message"], told["outcome"], self.now()):
                    self.heard_end(hand, told["outcome"], told.get("retry_in_ms", 0.0))
            return connection.answer(204)
        self.tally.asked.append((self.now(), number, 503 if self.refusing else 200))
        if self.refusing:
            return connection.answer(503)
        asked = dict(one.split("=", 1) for one in path.partition("?")[2].split("&") if "=" in one)
        index = int(asked["index"]) if "index" in asked else None
        if index is None or index < agent.revision:
            return self._tell(number, agent, connection, index)
        entry = connection, index
        agent.watching.append(entry)
        self.loop.call_later(float(asked.get("wait", 0)) / 1000.0, self._waited, number, agent, entry)

    def _waited(self, number: int, agent: Agent, entry: tuple[Connection, int]) -> None:
        if entry in agent.watching:
            agent.watching.remove(entry)
            self._tell(number, agent, *entry)
