"""Datagrams between real processes, led through sockets of ours: held, lost, late or doubled on each way by itself.

It owns one socket for each ordered pair of parties. A party reaches another at the socket of that pair, and sees what
the other sends come from there.
"""
import asyncio
import random
from itertools import permutations


class Ways:
    """`ways[a, b]` is the way from a to b; its fields are changed while it is in use."""

    def __init__(self, names: list[str], seed: int = 1) -> None:
        self.names, self.dice = names, random.Random(seed)
        self.ways: dict[tuple[str, str], Datagrams] = {}
        self.at: dict[str, tuple[str, int]] = {}        # where each party really listens

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        for pair in permutations(self.names, 2):
            _, self.ways[pair] = await loop.create_datagram_endpoint(lambda: Datagrams(self.dice), ("127.0.0.1", 0))

    def peers(self, name: str) -> dict[str, tuple[str, int]]:
        """Where this party reaches the others."""
        return {other: self.ways[name, other].address for other in self.names if other != name}

    def put(self, name: str, address: tuple[str, int]) -> None:
        """A party listens there from now on."""
        self.at[name] = address
        for other in self.names:
            if other != name:
                self.ways[other, name].to, self.ways[other, name].back = address, self.ways[name, other]

    def cut(self, from_: list[str], to: list[str]) -> None:
        """Nothing gets from these to those; the other direction stays as it is."""
        for pair, way in self.ways.items():
            way.held = way.held or (pair[0] in from_ and pair[1] in to)

    def heal(self) -> None:
        for way in self.ways.values():
            way.held, way.loses, way.doubles, way.lag = False, 0.0, 0.0, 0.0

    def close(self) -> None:
        for way in self.ways.values():
            way.transport.close()


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, dice: random.Random) -> None:
        self.dice, self.held = dice, False
        self.loses = self.doubles = self.lag = 0.0      # shares; ms at most, drawn for each
        self.to: tuple[str, int] | None = None
        self.back: Datagrams | None = None              # whose socket the receiver knows the sender by

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:    # type: ignore[override]
        self.transport = transport
        self.address: tuple[str, int] = transport.get_extra_info("sockname")

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        if self.held or self.to is None or self.dice.random() < self.loses:
            return
        for _ in range(1 + (self.dice.random() < self.doubles)):
            asyncio.get_running_loop().call_later(self.dice.uniform(0.0, self.lag) / 1000.0, self._carry, data)

    def _carry(self, data: bytes) -> None:
        if self.back and self.to and not self.transport.is_closing():
            self.back.transport.sendto(data, self.to)
