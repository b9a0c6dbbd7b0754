"""Proxies for datagrams between real processes, with separate faults for each direction: cuts, loss, delay, duplicates.

There is one socket for each ordered pair of processes. A process sends to another at the socket of that pair, and
receives the other's datagrams from the socket of the reverse pair.
"""

import asyncio
import random
from itertools import permutations


class DatagramProxies:
    """The proxies between all processes.

    Attributes:
        links: the proxies by (sender, recipient); their attributes may be changed while they are in use.
        addresses: the address at which each process listens.
    """

    def __init__(self, names: list[str], seed: int = 1) -> None:
        self.names = names
        self.links: dict[tuple[str, str], DatagramProxy] = {}
        self.addresses: dict[str, tuple[str, int]] = {}
        self._random = random.Random(seed)

    async def open(self) -> None:
        """Open a socket for each pair."""
        loop = asyncio.get_running_loop()
        for pair in permutations(self.names, 2):
            _, self.links[pair] = await loop.create_datagram_endpoint(
                lambda: DatagramProxy(self._random), ("127.0.0.1", 0)
            )

    def peers_of(self, name: str) -> dict[str, tuple[str, int]]:
        """Return the addresses at which a process reaches the others."""
        return {other: self.links[name, other].address for other in self.names if other != name}

    def set_address(self, name: str, address: tuple[str, int]) -> None:
        """Forward datagrams for a process to this address from now on."""
        self.addresses[name] = address
        for other in self.names:
            if other != name:
                link = self.links[other, name]
                link.target = address
                link.reverse = self.links[name, other]

    def cut(self, senders: list[str], recipients: list[str]) -> None:
        """Drop all datagrams from `senders` to `recipients`; the reverse direction is unchanged."""
        for pair, link in self.links.items():
            link.is_cut = link.is_cut or (pair[0] in senders and pair[1] in recipients)

    def heal(self) -> None:
        """Remove all faults."""
        for link in self.links.values():
            link.is_cut = False
            link.loss_share = link.duplicate_share = link.max_lag_ms = 0.0

    def close(self) -> None:
        """Close all sockets."""
        for link in self.links.values():
            link.transport.close()


class DatagramProxy(asyncio.DatagramProtocol):
    """One direction between two processes.

    Attributes:
        is_cut: whether all datagrams are dropped.
        loss_share: share of the datagrams that are lost.
        duplicate_share: share of the other datagrams that arrive twice.
        max_lag_ms: maximum delay; the delay of each datagram is random.
        target: address of the recipient; None: not known yet.
        reverse: the proxy whose address the recipient uses for the sender.
        address: address of this proxy's socket.
    """

    address: tuple[str, int]

    def __init__(self, random_source: random.Random) -> None:
        self._random = random_source
        self.is_cut = False
        self.loss_share = 0.0
        self.duplicate_share = 0.0
        self.max_lag_ms = 0.0
        self.target: tuple[str, int] | None = None
        self.reverse: DatagramProxy | None = None

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:  # type: ignore[override]
        """Part of asyncio's protocol."""
        self.transport = transport
        self.address = transport.get_extra_info("sockname")

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Part of asyncio's protocol: forwards a datagram, subject to the faults."""
        if self.is_cut or self.target is None or self._random.random() < self.loss_share:
            return
        for _ in range(1 + (self._random.random() < self.duplicate_share)):
            delay_seconds = self._random.uniform(0.0, self.max_lag_ms) / 1000.0
            asyncio.get_running_loop().call_later(delay_seconds, self._forward, data)

    def _forward(self, data: bytes) -> None:
        if self.reverse and self.target and not self.transport.is_closing():
            self.reverse.transport.sendto(data, self.target)
