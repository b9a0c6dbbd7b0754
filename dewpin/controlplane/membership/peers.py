"""What a control server knows of the others: who they are and when each was heard last."""

from __future__ import annotations

from dataclasses import dataclass, replace

from dewpin.cluster.rpc import Message

FORGET_AFTER_S = 60.0
ALIVE_WITHIN_S = 1.0
"""A process whose last heartbeat is no older counts as alive."""
SHORTEST_INTERRUPTION_S = 1.5
LONGEST_INTERRUPTION_S = 20.0
"""A process that is heard again after a silence between these was interrupted: frozen, cut off or restarted. After a
longer one it had been given up."""
INTERRUPTION_MEMORY_S = 60.0
"""For how long an interruption is remembered."""


@dataclass(frozen=True, slots=True, kw_only=True)
class PeerDescription:
    """How a process introduces itself to the others.

    Attributes:
        id: of its incarnation, that of its data directory.
        name: of its machine.
        address: that of its RPC server.
        serves_control: whether it may become a member of the register.
        serves_store: whether it may become a store.
        version: of the newest state that it knows to be chosen; -1 before the first.
        synced_epoch: the newest epoch of the store view for which it has copied all records.
        is_leaving: whether it is about to end.
        is_bootstrap: whether it may found the register.
        has_list_failed: whether its last reading of the platform's list failed.
        location: region and zone, empty where it has none; None if an earlier release, which does not tell, sent it.
        reaches_majority: whether a majority of the register's members answers it; None as for `location`.
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
        """The form on the wire."""
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
        """The description in a message; earlier releases omit the last two fields. KeyError or TypeError if none."""
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
    """Another process of the control plane and when it was heard; times are of the steady clock.

    Attributes:
        location: as in the description, empty where it is not told.
        reaches_majority: as in the description, true where it is not told.
        last_received_s: when its last heartbeat or reply came.
        first_received_s: when its first one came.
        interrupted_at_s: when it came back from each of its interruptions, as far as they count.
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
        """The peer that introduces itself so."""
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
        """For how long nothing has been heard of it."""
        return now_s - self.last_received_s

    def interruptions(self, now_s: float) -> int:
        """How often it was interrupted lately."""
        return sum(now_s - at_s < INTERRUPTION_MEMORY_S for at_s in self.interrupted_at_s)


class PeerTable:
    """All processes of the control plane that were heard, by the id of their incarnation."""

    def __init__(self) -> None:
        self.peers: dict[str, Peer] = {}

    def record_received(self, description: PeerDescription, now_s: float) -> Peer:
        """Records what a peer says of itself. Another incarnation at its address has ended."""
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
        self._forget_expired(now_s)
        return peer

    def _record_ended(self, peer: Peer, now_s: float) -> None:
        ended_s = min(peer.last_received_s, now_s - FORGET_AFTER_S)
        self.peers[peer.id] = replace(peer, last_received_s=ended_s)

    def at_address(self, address: str) -> Peer | None:
        """The peer heard last at an address."""
        found = [peer for peer in self.peers.values() if peer.address == address]
        return max(found, key=lambda peer: peer.last_received_s, default=None)

    def is_replaced(self, peer_id: str, name: str | None, now_s: float) -> bool:
        """Whether the machine of that name is heard as another incarnation while this one is silent for good.

        Two machines may share a name for a while: then both are heard, and neither is replaced.
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
        """For how long nothing has been heard of a peer; infinite where nothing ever was."""
        peer = self.peers.get(peer_id)
        return peer.since_last_received_s(now_s) if peer is not None else float("inf")

    def _forget_expired(self, now_s: float) -> None:
        for peer in list(self.peers.values()):
            if peer.since_last_received_s(now_s) > FORGET_AFTER_S:
                del self.peers[peer.id]


def _interruption_times(known: Peer | None, now_s: float) -> tuple[float, ...]:
    """When a peer that is heard now came back from its interruptions, as far as they still count."""
    if known is None:
        return ()
    counting = tuple(at_s for at_s in known.interrupted_at_s if now_s - at_s < INTERRUPTION_MEMORY_S)
    was_interrupted = SHORTEST_INTERRUPTION_S < known.since_last_received_s(now_s) < LONGEST_INTERRUPTION_S
    return (*counting, now_s) if was_interrupted else counting
