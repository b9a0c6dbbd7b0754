"""A network in simulated time: in-memory connections between machines, with fault injection.

No socket is opened, and lost bytes are never delivered later.
"""

import asyncio
from collections.abc import Callable
from contextvars import Context
from enum import Enum
from typing import Any

from .event_loop import SimulatedEventLoop
from .link_conditions import LinkConditions
from .machine import CURRENT_MACHINE, Machine
from .transport import Address, SimulatedTransport

FIRST_CLIENT_PORT = 40_001


class AddressFault(Enum):
    """How new connections to an address fail."""

    REFUSED = "refused"
    SILENT = "silent"  # never answered


class SimulatedListener:
    """A listener at an address; replaces asyncio.Server.

    Attributes:
        machine: its owner; None: the test itself.
        protocol_factory: creates the protocol of each connection.
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
    """The network between all machines.

    Attributes:
        loop: the event loop.
        listeners: all listeners by address.
        transports: both ends of every open connection.
        address_faults: faults of new connections, by address.
        link_between: returns the conditions from one address to another; called for each new connection.
        user_timeout_s: TCP_USER_TIMEOUT of every connection; None: disabled.
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
        """Schedule a call of the network itself, which belongs to no machine."""
        self.loop.call_at(when, function, *arguments, context=Context())

    def listen(self, address: Address, protocol_factory: Callable[[], Any]) -> SimulatedListener:
        """Listen for the calling machine. Raises OSError if the address is in use."""
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
        """Open a connection of the calling machine, from `host`.

        Raises OSError if it is refused; never returns if the other side does not respond.
        """
        machine = CURRENT_MACHINE.get()
        local = (host, self._next_port)
        self._next_port += 1
        outbound, inbound = self.link_between(local, address), self.link_between(address, local)
        is_silent = self.address_faults.get(address) == AddressFault.SILENT
        if is_silent or outbound.drops_all or inbound.drops_all or outbound.is_cut or inbound.is_cut:
            await asyncio.get_running_loop().create_future()
        await asyncio.sleep(outbound.latency_s)
        listener = self.listeners.get(address)
        if listener is None or self.address_faults.get(address) == AddressFault.REFUSED:
            await asyncio.sleep(inbound.latency_s)
            raise ConnectionRefusedError(111, f"connect call failed {address}")
        is_silent = self.address_faults.get(address) == AddressFault.SILENT
        if listener.machine is not None and listener.machine.paused and is_silent:
            await asyncio.get_running_loop().create_future()
        client_end = self._make_transport(machine, local, address, outbound)
        server_end = self._make_transport(listener.machine, address, local, inbound)
        client_end.other, server_end.other = server_end, client_end
        self.loop.record(client_end.name(), "connects")
        accepted_factory = listener.protocol_factory
        server_end.protocol = server_end.machine.call(accepted_factory) if server_end.machine else accepted_factory()
        server_end.call_as_owner(server_end.protocol.connection_made, server_end)
        await asyncio.sleep(inbound.latency_s)
        if client_end.has_ended:
            raise ConnectionResetError(104, "Connection reset by peer")
        protocol = client_end.protocol = protocol_factory()
        protocol.connection_made(client_end)
        return client_end, protocol

    def _make_transport(
        self, machine: Machine | None, local: Address, remote: Address, link: LinkConditions
    ) -> SimulatedTransport:
        self._transport_count += 1
        transport = SimulatedTransport(self, machine, local, remote, link, self._transport_count)
        self.transports.add(transport)
        if machine is not None:
            machine.on_killed.append(transport.close_after_kill)
        return transport

    def deliver_held(self) -> None:
        """Deliver the data that cut links held, on connections that still exist; call this once links are restored."""
        for transport in sorted(self.transports, key=lambda transport: transport.number):
            if transport.has_held_deliveries and not transport.link.is_cut:
                transport.send_held()

    def reset_connection(self, transport: SimulatedTransport) -> None:
        """Reset a connection at both ends, as a fault of the network."""
        for end in (transport, transport.other):
            if end is not None:
                end.call_as_owner(end.receive_reset)
