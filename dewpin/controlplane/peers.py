"""What a control plane process knows of the others: who they are and when each was heard last."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TypedDict

FORGET_AFTER_S = 60.0


class PeerRecord(TypedDict):
    """How a process introduces itself to the others."""

    id: str
    name: str
    address: str
    control: bool
    store: bool
    version: int
    synced_epoch: int
    leaving: bool
    bootstrap: bool


@dataclass(frozen=True)
class Peer:
    """Another process of the control plane. `last_heard_s` on the steady clock; `version` -1: it has no state yet."""

    id: str
    name: str
    address: str
    control: bool
    store: bool
    version: int
    synced_epoch: int
    leaving: bool
    bootstrap: bool
    last_heard_s: float

    def silent_s(self, now_s: float) -> float:
        """For how long nothing was heard of it."""
        return now_s - self.last_heard_s


class PeerTable:
    """All processes of the control plane heard of, by the id of their incarnation."""

    def __init__(self) -> None:
        self.peers: dict[str, Peer] = {}

    def hear(self, record: PeerRecord, now_s: float) -> Peer:
        """Takes what a peer says of itself."""
        peer = Peer(
            id=record["id"],
            name=record["name"],
            address=record["address"],
            control=record["control"],
            store=record["store"],
            version=record["version"],
            synced_epoch=record["synced_epoch"],
            leaving=record["leaving"],
            bootstrap=record["bootstrap"],
            last_heard_s=now_s,
        )
        self.peers[peer.id] = peer
        self._forget_silent(now_s)
        return peer

    def note_ended(self, peer_id: str, now_s: float) -> None:
        """Another incarnation answered in this one's place."""
        if peer_id in self.peers:
            self.peers[peer_id] = replace(self.peers[peer_id], last_heard_s=now_s - FORGET_AFTER_S)

    def at_address(self, address: str) -> Peer | None:
        """The peer heard last at an address."""
        found = [peer for peer in self.peers.values() if peer.address == address]
        return max(found, key=lambda peer: peer.last_heard_s, default=None)

    def is_replaced(self, peer_id: str, name: str | None) -> bool:
        """Whether a later incarnation of the machine has been heard, so that this one is gone for good."""
        known = self.peers.get(peer_id)
        last = known.last_heard_s if known else float("-inf")
        name = name or (known.name if known else None)
        return any(
            other.id != peer_id and other.name == name and other.last_heard_s > last for other in self.peers.values()
        )

    def silent_s(self, peer_id: str, now_s: float) -> float:
        """For how long nothing was heard of a peer; infinite where nothing ever was."""
        peer = self.peers.get(peer_id)
        return peer.silent_s(now_s) if peer is not None else float("inf")

    def _forget_silent(self, now_s: float) -> None:
        for peer in list(self.peers.values()):
            if peer.silent_s(now_s) > FORGET_AFTER_S:
                del self.peers[peer.id]
