"""The peers known to a control server: their descriptions and when each was last heard from."""

from __future__ import annotations

from dataclasses import dataclass, replace

from dewpin.cluster.rpc import Message

FORGET_AFTER_S = 60.0
ALIVE_WITHIN_S = 1.0
"""A process counts as alive if its last heartbeat is not older than this."""
SHORTEST_INTERRUPTION_S = 1.5
LONGEST_INTERRUPTION_S = 20.0
"""Silence of a length between these two bounds counts as an interruption: the process was frozen, partitioned or
restarted. After a longer silence, the process had already been removed."""
INTERRUPTION_RETENTION_S = 60.0
"""For how long an interruption counts."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerDescription:
    """The description that a process sends to its peers.

    Attributes:
        id: the id of its incarnation, which is that of its data directory.
        name: the name of its machine.
        address: the address of its RPC server.
        serves_control: whether it may become a member of the register.
        serves_store: whether it may become a store.
        version: the version of the newest state it knows to be chosen; -1 before the first.
        synced_epoch: the newest epoch of the store view for which it has copied all records.
        is_leaving: whether it is about to shut down.
        is_bootstrap: whether it may bootstrap the register.
        has_list_failed: whether its last read of the platform's list failed.
        location: region and zone, empty if it has none; None from earlier releases, which do not send it.
        reaches_majority: whether it has contact with a majority of the register's members; None from earlier
            releases, which do not send it.
    """

    id: str
    name: str
    address: str
    serves_control: bool
    serves_store: bool
    version: int
    synced_epoch: int
    is_leaving: bool
    is_bootstrap: bool
    has_list_failed: bool
    location: str | None = None
    reaches_majority: bool | None = None

    def encode(self) -> Message:
        """Encode the description for the wire."""
        message: Message = {
            "id": self.id,
            "name": self.name,
            "address": self.address,
            "control": self.serves_control,
            "store": self.serves_store,
            "version": self.version,
            "synced_epoch": self.synced_epoch,
            "leaving": self.is_leaving,
            "bootstrap": self.is_bootstrap,
            "list_fails": self.has_list_failed,
        }
        if self.location is not None:
            message["location"] = self.location
        if self.reaches_majority is not None:
            message["reaches_majority"] = self.reaches_majority
        return message

    @classmethod
    def decode(cls, record: Message) -> PeerDescription:
        """Decode a description; earlier releases omit the last two fields. Raises KeyError or TypeError on failure."""
        return cls(
            id=record["id"],
            name=record["name"],
            address=record["address"],
            serves_control=record["control"],
            serves_store=record["store"],
            version=record["version"],
            synced_epoch=record["synced_epoch"],
            is_leaving=record["leaving"],
            is_bootstrap=record["bootstrap"],
            has_list_failed=record["list_fails"],
            location=record.get("location"),
            reaches_majority=record.get("reaches_majority"),
        )


@dataclass(frozen=True, slots=True, kw_only=True)
class Peer(PeerDescription):
    """Another process of the control plane and when it was heard from. Times are from the monotonic clock.

    Attributes:
        location: as in the description; empty if not sent.
        reaches_majority: as in the description; true if not sent.
        last_received_s: when its last heartbeat or reply arrived.
        first_received_s: when its first heartbeat or reply arrived.
        interrupted_at_s: the end of each interruption that still counts.
    """

    location: str = ""
    reaches_majority: bool = True
    last_received_s: float
    first_received_s: float = float("-inf")
    interrupted_at_s: tuple[float, ...] = ()

    @classmethod
    def from_description(
        cls,
        description: PeerDescription,
        last_received_s: float,
        first_received_s: float = float("-inf"),
        interrupted_at_s: tuple[float, ...] = (),
    ) -> Peer:
        """Create a peer from its description."""
        return cls(
            id=description.id,
            name=description.name,
            address=description.address,
            serves_control=description.serves_control,
            serves_store=description.serves_store,
            version=description.version,
            synced_epoch=description.synced_epoch,
            is_leaving=description.is_leaving,
            is_bootstrap=description.is_bootstrap,
            has_list_failed=description.has_list_failed,
            location="" if description.location is None else description.location,
            reaches_majority=True if description.reaches_majority is None else description.reaches_majority,
            last_received_s=last_received_s,
            first_received_s=first_received_s,
            interrupted_at_s=interrupted_at_s,
        )

    def since_last_received_s(self, now_s: float) -> float:
        """Return the time since its last message."""
        return now_s - self.last_received_s

    def interruptions(self, now_s: float) -> int:
        """Return the number of recent interruptions."""
        return sum(now_s - at_s < INTERRUPTION_RETENTION_S for at_s in self.interrupted_at_s)


class PeerTable:
    """All peers of the control plane heard from, by incarnation id."""

    def __init__(self) -> None:
        self.peers: dict[str, Peer] = {}

    def record_received(self, description: PeerDescription, now_s: float) -> Peer:
        """Record a description received from a peer. Any other incarnation at its address is marked as ended."""
        known = self.peers.get(description.id)
        peer = Peer.from_description(
            description,
            last_received_s=now_s,
            first_received_s=known.first_received_s if known is not None else now_s,
            interrupted_at_s=_interruption_times(known, now_s),
        )
        for other in list(self.peers.values()):
            if other.address == peer.address and other.id != peer.id:
                self._record_ended(other, now_s)
        self.peers[peer.id] = peer
        self._remove_expired(now_s)
        return peer

    def _record_ended(self, peer: Peer, now_s: float) -> None:
        ended_s = min(peer.last_received_s, now_s - FORGET_AFTER_S)
        self.peers[peer.id] = replace(peer, last_received_s=ended_s)

    def at_address(self, address: str) -> Peer | None:
        """Return the peer last heard from at an address."""
        peers_at_address = [peer for peer in self.peers.values() if peer.address == address]
        return max(peers_at_address, key=lambda peer: peer.last_received_s, default=None)

    def is_replaced(self, peer_id: str, name: str | None, now_s: float) -> bool:
        """Return whether the named machine is alive as another incarnation while this peer is silent.

        Two machines may temporarily share a name. Then both are heard from, and neither counts as replaced.
        """
        if self.since_last_received_s(peer_id, now_s) <= ALIVE_WITHIN_S:
            return False
        known = self.peers.get(peer_id)
        name = name or (known.name if known else None)
        return any(
            other.id != peer_id and other.name == name and other.since_last_received_s(now_s) <= ALIVE_WITHIN_S
            for other in self.peers.values()
        )

    def since_last_received_s(self, peer_id: str, now_s: float) -> float:
        """Return the time since the last message from a peer; infinite for an unknown peer."""
        peer = self.peers.get(peer_id)
        return peer.since_last_received_s(now_s) if peer is not None else float("inf")

    def _remove_expired(self, now_s: float) -> None:
        for peer in list(self.peers.values()):
            if peer.since_last_received_s(now_s) > FORGET_AFTER_S:
                del self.peers[peer.id]


def _interruption_times(known: Peer | None, now_s: float) -> tuple[float, ...]:
    """Return the ends of a peer's interruptions that still count, including one that ends with a message now."""
    if known is None:
        return ()
    recent = tuple(at_s for at_s in known.interrupted_at_s if now_s - at_s < INTERRUPTION_RETENTION_S)
    was_interrupted = SHORTEST_INTERRUPTION_S < known.since_last_received_s(now_s) < LONGEST_INTERRUPTION_S
    return (*recent, now_s) if was_interrupted else recent
