"""Simulated receivers: their addresses, their links to the senders, and the handling of calls."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from .faulty_link import FaultyLink
from .http_connection import HttpConnection, HttpRequest
from .listening_port import ListeningPort, loopback_host
from .load_clock import LoadClock
from .receiver_model import CallResult, DestinationQuota, ReceiverModel
from .records import ReceivedCall, Rule, Submission
from .result_collector import ResultCollector
from .scenario import Scenario

RECEIVER_NETWORK = 1


class ReceiverPhase(StrEnum):
    """The state of a receiver in the endpoint list; the values are those of the agent's JSON."""

    ACTIVE = "active"
    LEAVING = "leaving"
    LEFT = "left"


@dataclass(slots=True, eq=False)
class Receiver:
    """A receiver.

    Attributes:
        name, destination, zone: as in the endpoint list.
        model: its capacity and status.
        since_ms: when it joined; 0: present from the start.
        phase: its state in the endpoint list.
        ports, links: its address and its link for each group of senders.
        connections: the open connections.
    """

    name: str
    destination: int
    zone: str
    model: ReceiverModel
    since_ms: float
    phase: ReceiverPhase = ReceiverPhase.ACTIVE
    ports: list[ListeningPort] = field(default_factory=list)
    links: list[FaultyLink] = field(default_factory=list)
    connections: dict[HttpConnection, None] = field(default_factory=dict)


class Receivers:
    """All receivers.

    Each group of senders has a separate address for each receiver, so that links can fail independently. A group has
    one sender, or several if file descriptors are scarce.

    Attributes:
        receivers: all receivers that have ever joined.
        quotas: the rate limit of each destination.
        senders_per_group: number of senders that share an address.
    """

    def __init__(
        self,
        scenario: Scenario,
        collector: ResultCollector,
        random_source: random.Random,
        clock: LoadClock,
        on_delivered: Callable[[Submission], None],
    ) -> None:
        self.receivers: list[Receiver] = []
        self.quotas = [DestinationQuota(scenario.receivers.rate_limit) for _ in range(scenario.receivers.destinations)]
        self.senders_per_group = scenario.senders.senders_per_address
        self._group_count = -(-scenario.senders.count // self.senders_per_group)
        self._parameters = scenario.receivers
        self._collector = collector
        self._random = random_source
        self._clock = clock
        self._on_delivered = on_delivered

    async def add(self, destination: int, since_ms: float) -> Receiver:
        """Add a receiver and open its addresses."""
        number = len(self.receivers)
        model = ReceiverModel(self._parameters, self.quotas[destination], self._random.getrandbits(32))
        zone = self._parameters.zones[number % len(self._parameters.zones)]
        receiver = Receiver(f"r{number}", destination, zone, model, since_ms)
        receiver.links = [FaultyLink() for _ in range(self._group_count)]
        receiver.ports = [ListeningPort(loopback_host(RECEIVER_NETWORK, number)) for _ in range(self._group_count)]
        self.receivers.append(receiver)
        await self.open_ports(receiver)
        return receiver

    def group_of(self, sender: int) -> int:
        """Return the group of a sender."""
        return sender // self.senders_per_group

    def active(self) -> list[Receiver]:
        """Return the receivers that are active in the endpoint list."""
        return [receiver for receiver in self.receivers if receiver.phase == ReceiverPhase.ACTIVE]

    async def open_ports(self, receiver: Receiver) -> None:
        """Accept connections of all senders."""
        for group, port in enumerate(receiver.ports):
            await port.open(lambda group=group: self._accept(receiver, group))  # type: ignore[misc]

    def close_ports(self, receiver: Receiver) -> None:
        """Refuse new connections, and reset the open ones."""
        for port in receiver.ports:
            port.close()
        for connection in list(receiver.connections):
            connection.transport.abort()

    def close(self) -> None:
        """Close all addresses and connections."""
        for receiver in self.receivers:
            self.close_ports(receiver)

    def _accept(self, receiver: Receiver, group: int) -> HttpConnection:
        self._collector.handshakes += 1
        connection = HttpConnection(
            receiver.links[group],
            lambda connection, request: self._handle_call(receiver, group, connection, request),
            lambda closed: receiver.connections.pop(closed, None),
        )
        receiver.connections[connection] = None
        max_connections = self._parameters.max_connections
        if max_connections and len(receiver.connections) > max_connections:
            loop = asyncio.get_running_loop()
            loop.call_soon(lambda: connection.transport and connection.transport.abort())
        return connection

    def _handle_call(self, receiver: Receiver, group: int, connection: HttpConnection, request: HttpRequest) -> None:
        now_ms = self._clock.now_ms()
        submission_id = request.fields.get("req-id", "")
        link_sender = group * self.senders_per_group
        call = self._collector.record_call(submission_id, receiver.name, receiver.destination, link_sender, now_ms)
        result = receiver.model.call(now_ms, call.sender)
        overload = receiver.model.overload
        if overload and overload.at_ms == now_ms:
            if overload.is_senders_fault:
                description = f"{receiver.name} failed under {overload.multiple:.1f} times its maximum load"
                self._collector.checker.report(
                    Rule.NO_OVERLOAD_OF_COLD_RECEIVER, now_ms, call.submission, call.sender, description
                )
            self.close_ports(receiver)
            return
        if result.status == 0:
            return
        link = receiver.links[group]
        if link.reset_share and self._random.random() < link.reset_share:
            connection.transport.abort()
            return
        loop = asyncio.get_running_loop()
        loop.call_later(result.duration_ms / 1000.0, self._respond, receiver, connection, call, result)

    def _respond(self, receiver: Receiver, connection: HttpConnection, call: ReceivedCall, result: CallResult) -> None:
        if connection.transport.is_closing():
            return  # executed, but the response is lost
        retry_after_ms = result.retry_after_ms
        self._collector.record_response(call, result.status, retry_after_ms, receiver.destination, self._clock.now_ms())
        fields = {"Retry-After": f"{retry_after_ms / 1000.0:.3f}"} if retry_after_ms else {}
        connection.respond(result.status, b"", fields)
        if result.status == 200 and call.submission:
            self._on_delivered(call.submission)
