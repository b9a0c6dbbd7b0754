"""A network in simulated time: connections in memory between machines, and the faults on the way.

No socket is opened, and a byte that was lost is never delivered later.
"""

import asyncio
from collections.abc import Callable
from contextvars import Context
from enum import Enum
from typing import Any

from .event_loop import SimulatedEventLoop
from .machine import CURRENT_MACHINE, Machine
from .transport import Address, LinkConditions, SimulatedTransport

FIRST_CLIENT_PORT = 40_001


class AddressFault(Enum):
    """What becomes of new connections to an address."""

    REFUSED = "refused"
    SILENT = "silent"  # nothing is ever answered


class SimulatedListener:
    """What listens at an address, in the place of asyncio's Server.

    Attributes:
        machine: its owner; None: the experiment itself.
        protocol_factory: makes the protocol of each connection.
    """

    def __init__(
        self,
        network: "SimulatedNetwork",
        machine: Machine | None,
        address: Address,
        protocol_factory: Callable[[], Any],
    ) -> None:
        self.machine = machine
        self.protocol_factory = protocol_factory
        self._network = network
        self._address = address

    def close(self) -> None:
        """Part of asyncio's server."""
        if self.is_serving():
            del self._network.listeners[self._address]

    def is_serving(self) -> bool:
        """Part of asyncio's server."""
        return self._network.listeners.get(self._address) is self

    async def wait_closed(self) -> None:
        """Part of asyncio's server."""
        return None


class SimulatedNetwork:
    """All machines' network.

    Attributes:
        loop: the event loop.
        listeners: by their addresses.
        transports: both ends of the connections that there are.
        address_faults: what becomes of new connections to an address.
        link_between: gives the conditions from one address to another, asked for each new connection.
        user_timeout_s: TCP_USER_TIMEOUT of every connection; None: none.
    """

    def __init__(self, loop: SimulatedEventLoop) -> None:
        self.loop = loop
        self.listeners: dict[Address, SimulatedListener] = {}
        self.transports: set[SimulatedTransport] = set()
        self.address_faults: dict[Address, AddressFault] = {}
        self.link_between: Callable[[Address, Address], LinkConditions] = lambda source, target: LinkConditions()
        self.user_timeout_s: float | None = None
        self._next_port = FIRST_CLIENT_PORT
        self._transport_count = 0

    def call_at(self, when: float, function: Callable[..., Any], *arguments: Any) -> None:
        """Have the network's own work done, which is no machine's."""
        self.loop.call_at(when, function, *arguments, context=Context())

    def listen(self, address: Address, protocol_factory: Callable[[], Any]) -> SimulatedListener:
        """Listen for the machine that asks; OSError where something listens already."""
        if address in self.listeners:
            raise OSError(98, f"address in use: {address}")
        machine = CURRENT_MACHINE.get()
        listener = self.listeners[address] = SimulatedListener(self, machine, address, protocol_factory)
        if machine is not None:
            machine.on_killed.append(listener.close)
        return listener

    async def connect(
        self, address: Address, protocol_factory: Callable[[], Any], host: str = "127.0.0.1"
    ) -> tuple[SimulatedTransport, Any]:
        """Open a connection of the machine that asks, from this host.

        Raises OSError where it is refused; takes for ever where nothing is answered.
        """
        machine = CURRENT_MACHINE.get()
        local = (host, self._next_port)
        self._next_port += 1
        there, back = self.link_between(local, address), self.link_between(address, local)
        is_silent = self.address_faults.get(address) == AddressFault.SILENT
        if is_silent or there.drops_all or back.drops_all or there.is_cut or back.is_cut:
            await asyncio.get_running_loop().create_future()
        await asyncio.sleep(there.latency_s)
        listener = self.listeners.get(address)
        if listener is None or self.address_faults.get(address) == AddressFault.REFUSED:
            await asyncio.sleep(back.latency_s)
            raise ConnectionRefusedError(111, f"connect call failed {address}")
        is_silent = self.address_faults.get(address) == AddressFault.SILENT
        if listener.machine is not None and listener.machine.paused and is_silent:
            await asyncio.get_running_loop().create_future()
        ours = self._make_transport(machine, local, address, there)
        theirs = self._make_transport(listener.machine, address, local, back)
        ours.other, theirs.other = theirs, ours
        self.loop.record(ours.name(), "connects")
        make = listener.protocol_factory
        theirs.protocol = theirs.machine.call(make) if theirs.machine else make()
        theirs.call_as_owner(theirs.protocol.connection_made, theirs)
        await asyncio.sleep(back.latency_s)
        if ours.is_dead:
            raise ConnectionResetError(104, "Connection reset by peer")
        protocol = ours.protocol = protocol_factory()
        protocol.connection_made(ours)
        return ours, protocol

    def _make_transport(
        self, machine: Machine | None, local: Address, remote: Address, link: LinkConditions
    ) -> SimulatedTransport:
        self._transport_count += 1
        transport = SimulatedTransport(self, machine, local, remote, link, self._transport_count)
        self.transports.add(transport)
        if machine is not None:
            machine.on_killed.append(transport.vanish)
        return transport

    def deliver_held(self) -> None:
        """Deliver what cuts held and is still wanted; to be called after links were joined again."""
        for transport in sorted(self.transports, key=lambda transport: transport.number):
            if transport.has_held_deliveries and not transport.link.is_cut:
                transport.send_held()

    def reset_connection(self, transport: SimulatedTransport) -> None:
        """Break a connection from outside: both ends see a reset."""
        for end in (transport, transport.other):
            if end is not None:
                end.call_as_owner(end.receive_reset)
