"""One peer on a datagram socket, with a voter's file: the thin side of `lease.py` and `members.py`.

It owns the socket, the timer and the file `votes`. Nothing leaves before what it rests on is on disk; it decides
nothing.
"""
import asyncio
import ipaddress
import os
import time
from collections.abc import Mapping, Sequence

import msgspec

from .lease import Candidate, Message, Sent, Voter
from .member_messages import Address, Out
from .members import Members
from .wire import Packet, pack, unpack

LOOK = 0.02             # seconds between two looks at what is due
NAME = "votes"


def clock() -> float:
    """ms on a clock that never steps and goes on while the machine sleeps."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


def reachable(address: Address) -> bool:
    """Guards against what a datagram says of another: a name would be looked up while all wait, a wild port raises."""
    try:
        return bool(ipaddress.ip_address(address[0])) and 0 < address[1] < 65536
    except ValueError:
        return False


class Votes:
    """The voter's file: {duty: [number, holder]}, replaced in one step and synced."""

    def __init__(self, folder: str) -> None:
        self.path = os.path.join(folder, NAME)

    def read(self) -> dict[str, tuple[int, str]] | None:
        """None where there is none, or none that can be read: then it is not known what was granted."""
        try:
            with open(self.path, "rb") as file:
                return msgspec.json.decode(file.read(), type=dict[str, tuple[int, str]])
        except (OSError, msgspec.MsgspecError):
            return None

    def write(self, votes: Mapping[str, tuple[int, str]]) -> None:
        with open(self.path + ".new", "wb") as file:
            file.write(msgspec.json.encode(votes))
            file.flush()
            os.fsync(file.fileno())
        os.replace(self.path + ".new", self.path)


class Node(asyncio.DatagramProtocol):
    """`peers`: {name: address} where it is fixed how to reach them, before what members say; `first`: the installation
    never ran, so an empty folder is no loss; `members` is set before messages come."""

    def __init__(self, name: str, peers: Mapping[str, tuple[str, int]], voters: Sequence[str], folder: str,
                 term: float, first: bool = False) -> None:
        self.name, self.peers, self.term = name, dict(peers), term
        self.members: Members | None = None
        self.candidates: list[Candidate] = []
        self.voter: Voter | None = None
        self.bad = 0                    # datagrams that were no message, or from nobody known
        self.transport: asyncio.DatagramTransport | None = None
        if name in voters:
            os.makedirs(folder, exist_ok=True)
            self.votes = Votes(folder)
            held = self.votes.read()
            if held is None and first:
                self.votes.write(held := {})
            self.voter = Voter(name, voters, term, clock(), held)

    async def open(self, host: str, port: int) -> tuple[str, int]:
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, (host, port))
        self.transport = transport
        self.task = loop.create_task(self._run())
        address: tuple[str, int] = transport.get_extra_info("sockname")
        return address

    def close(self) -> None:
        self.task.cancel()
        if self.transport:
            self.transport.close()

    def release(self, candidate: Candidate) -> None:
        self._send(candidate.release(clock()))

    def leave(self) -> None:
        if self.members:
            self._out(self.members.leave())

    async def _run(self) -> None:
        beat = 0
        while True:
            for candidate in self.candidates:
                self._send(candidate.tick(clock()))
            if self.members:
                self._out(self.members.tick(clock()))
            if self.voter and self.voter.blank and beat % 25 == 0:
                self._send(self.voter.start())
            beat += 1
            await asyncio.sleep(LOOK)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        packet = unpack(data)
        if packet is None or not self._takes(packet, address):
            self.bad += 1

    def _takes(self, packet: Packet, address: Address) -> bool:
        if isinstance(packet.message, Message):
            if self._where(packet.name) is None:
                return False
            self._heard(packet.name, packet.message)
            return True
        if self.members is None:
            return False
        self._out(self.members.hear(packet.name, address, packet.message, clock()))
        return True

    def _where(self, name: str) -> Address | None:
        return self.peers.get(name) or (self.members.address(name) if self.members else None)

    def _out(self, out: Out) -> None:
        for peer, address, message in out:
            to = self.peers.get(peer, address)
            if self.transport and reachable(to):
                self.transport.sendto(pack(self.name, message), to)
            else:
                self.bad += 1

    def error_received(self, error: Exception) -> None:
        """A peer's port is shut: it says nothing of what it granted."""

    def _heard(self, peer: str, message: Message) -> None:
        now, sent = clock(), []
        if self.voter:
            sent = self.voter.hear(peer, message, now)
            if self.voter.changed:
                self.votes.write(self.voter.votes)      # an error here ends the call: nothing was said yet
                self.voter.changed = False
        for candidate in self.candidates:
            sent += candidate.hear(peer, message, now)
        self._send(sent)

    def _send(self, sent: Sent) -> None:
        for peer, message in sent:
            if peer == self.name:
                asyncio.get_running_loop().call_soon(self._heard, peer, message)
            elif self.transport and (address := self._where(peer)):
                self.transport.sendto(pack(self.name, message), address)
