"""I/O for the lease and membership protocols: a peer's datagram socket and a voter's file.

A message is sent only after the votes that it depends on are on disk. The node makes no protocol decisions.
"""

import asyncio
import ipaddress
import os
import time
from collections.abc import Iterable, Mapping, Sequence

import msgspec

from .lease_candidate import LeaseCandidate
from .lease_messages import LeaseEnvelope, LeaseMessage
from .lease_voter import LeaseVoter, Votes
from .membership import Membership
from .membership_messages import Address, MembershipEnvelope
from .wire import Datagram, decode_datagram, encode_datagram

TICK_SECONDS = 0.02
RECOVERY_REQUEST_TICKS = 25
"""Ticks between two requests of a recovering voter."""
VOTES_FILE = "votes"


def boot_time_ms() -> float:
    """Return ms of a clock that never steps and continues while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


def is_reachable(address: Address) -> bool:
    """Return whether an address can be sent to without resolving it.

    Addresses of members come from datagrams: a host name would block the event loop in a lookup, and a port out of
    range would raise an exception."""
    try:
        return bool(ipaddress.ip_address(address[0])) and 0 < address[1] < 65536
    except ValueError:
        return False


class VotesFile:
    """A voter's file: {role: [fencing token, holder]}, synced and replaced atomically."""

    def __init__(self, folder: str) -> None:
        self.path = os.path.join(folder, VOTES_FILE)

    def read(self) -> Votes | None:
        """Return the stored votes; None if they are missing or unreadable, so that earlier grants are unknown."""
        try:
            with open(self.path, "rb") as file:
                return msgspec.json.decode(file.read(), type=Votes)
        except (OSError, msgspec.MsgspecError):
            return None

    def write(self, votes: Votes) -> None:
        """Store the votes. Raises OSError."""
        with open(self.path + ".new", "wb") as file:
            file.write(msgspec.json.encode(votes))
            file.flush()
            os.fsync(file.fileno())
        os.replace(self.path + ".new", self.path)


class PeerNode(asyncio.DatagramProtocol):
    """One peer.

    `peers`: {name: address} of peers with fixed addresses, which take precedence over those reported by members.
    `membership` and `candidates` are set by the owner before the socket is opened. `voter`: None if this peer is not a
    voter. `dropped_datagrams`: number of datagrams that were malformed, from an unknown peer, or could not be sent."""

    def __init__(
        self,
        name: str,
        peers: Mapping[str, Address],
        voters: Sequence[str],
        folder: str,
        term_ms: float,
        is_new_installation: bool = False,
    ) -> None:
        """`is_new_installation`: the installation has never run, so that a folder without votes has lost none."""
        self.name = name
        self.peers = dict(peers)
        self.membership: Membership | None = None
        self.candidates: list[LeaseCandidate] = []
        self.voter: LeaseVoter | None = None
        self.dropped_datagrams = 0
        self._transport: asyncio.DatagramTransport | None = None
        if name in voters:
            os.makedirs(folder, exist_ok=True)
            self._votes_file = VotesFile(folder)
            votes = self._votes_file.read()
            if votes is None and is_new_installation:
                self._votes_file.write(votes := {})
            self.voter = LeaseVoter(name, voters, term_ms, boot_time_ms(), votes)

    async def open(self, host: str, port: int) -> Address:
        """Open the socket and start the timer; return the bound address."""
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, (host, port))
        self._transport = transport
        self._ticking = loop.create_task(self._tick_forever())
        address: Address = transport.get_extra_info("sockname")
        return address

    def close(self) -> None:
        """Close the socket and stop the timer."""
        self._ticking.cancel()
        if self._transport:
            self._transport.close()

    def release(self, candidate: LeaseCandidate) -> None:
        """Release a lease."""
        self._send_lease_messages(candidate.release(boot_time_ms()))

    def leave(self) -> None:
        """Leave the membership voluntarily."""
        if self.membership:
            self._send_membership_messages(self.membership.leave())

    def datagram_received(self, data: bytes, address: Address) -> None:
        """Handle a datagram; count one that is malformed or not from a known peer."""
        datagram = decode_datagram(data)
        if datagram is None or not self._handle_datagram(datagram, address):
            self.dropped_datagrams += 1

    def error_received(self, error: Exception) -> None:
        """Ignore a peer's closed port, which implies nothing about the grants that it made."""

    async def _tick_forever(self) -> None:
        ticks = 0
        while True:
            for candidate in self.candidates:
                self._send_lease_messages(candidate.tick(boot_time_ms()))
            if self.membership:
                self._send_membership_messages(self.membership.tick(boot_time_ms()))
            if self.voter and self.voter.is_recovering and ticks % RECOVERY_REQUEST_TICKS == 0:
                self._send_lease_messages(self.voter.start_recovery())
            ticks += 1
            await asyncio.sleep(TICK_SECONDS)

    def _handle_datagram(self, datagram: Datagram, address: Address) -> bool:
        if isinstance(datagram.message, LeaseMessage):
            if self._address_of(datagram.name) is None:
                return False
            self._handle_lease_message(datagram.name, datagram.message)
            return True
        if self.membership is None:
            return False
        envelopes = self.membership.receive(datagram.name, address, datagram.message, boot_time_ms())
        self._send_membership_messages(envelopes)
        return True

    def _handle_lease_message(self, peer: str, message: LeaseMessage) -> None:
        now_ms = boot_time_ms()
        envelopes: list[LeaseEnvelope] = []
        if self.voter:
            envelopes = self.voter.receive(peer, message, now_ms)
            if self.voter.has_unsaved_votes:
                self._votes_file.write(self.voter.votes)  # if this raises, no message is sent
                self.voter.has_unsaved_votes = False
        for candidate in self.candidates:
            envelopes += candidate.receive(peer, message, now_ms)
        self._send_lease_messages(envelopes)

    def _address_of(self, name: str) -> Address | None:
        return self.peers.get(name) or (self.membership.address_of(name) if self.membership else None)

    def _send_membership_messages(self, envelopes: Iterable[MembershipEnvelope]) -> None:
        for envelope in envelopes:
            address = self.peers.get(envelope.peer, envelope.address)
            if self._transport and is_reachable(address):
                self._transport.sendto(encode_datagram(self.name, envelope.message), address)
            else:
                self.dropped_datagrams += 1

    def _send_lease_messages(self, envelopes: Iterable[LeaseEnvelope]) -> None:
        for envelope in envelopes:
            if envelope.peer == self.name:
                loop = asyncio.get_running_loop()
                loop.call_soon(self._handle_lease_message, envelope.peer, envelope.message)
            elif self._transport and (address := self._address_of(envelope.peer)):
                self._transport.sendto(encode_datagram(self.name, envelope.message), address)
