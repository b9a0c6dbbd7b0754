"""What a control plane process knows of the others: who they are and when each was heard last."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import NotRequired, TypedDict

FORGET_AFTER_S = 60.0
LIVE_S = 1.0
"""A process heard within this time counts as live."""
INTERRUPTED_S = (1.5, 20.0)
"""A process that is heard again after a silence between these was interrupted: frozen, cut off or started anew. After a
longer one it had been given up."""
INTERRUPTIONS_COUNT_S = 60.0
"""For how long an interruption is remembered."""


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
    list_fails: bool
    location: NotRequired[str]
    reaches_majority: NotRequired[bool]


@dataclass(frozen=True)
class Peer:
    """Another process of the control plane. `version` -1: it has no state yet; `list_fails`: its last reading of the
    platform's list did; `reaches_majority`: by its own word, a majority of the register's members answers it;
    `interrupted_s`: when it came back from a silence; times are of the steady clock."""

    id: str
    name: str
    address: str
    control: bool
    store: bool
    version: int
    synced_epoch: int
    leaving: bool
    bootstrap: bool
    list_fails: bool
    last_heard_s: float
    first_heard_s: float = float("-inf")
    location: str = ""
    interrupted_s: tuple[float, ...] = ()
    reaches_majority: bool = True

    def silent_s(self, now_s: float) -> float:
        """For how long nothing was heard of it."""
        return now_s - self.last_heard_s

    def interruptions(self, now_s: float) -> int:
        """How often it came back from a silence lately."""
        return sum(now_s - at_s < INTERRUPTIONS_COUNT_S for at_s in self.interrupted_s)


class PeerTable:
    """All processes of the control plane heard of, by the id of their incarnation."""

    def __init__(self) -> None:
        self.peers: dict[str, Peer] = {}

    def hear(self, record: PeerRecord, now_s: float) -> Peer:
        """Takes what a peer says of itself. Whoever was at its address before has ended."""
        known = self.peers.get(record["id"])
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
            list_fails=record["list_fails"],
            last_heard_s=now_s,
            first_heard_s=known.first_heard_s if known is not None else now_s,
            location=record.get("location", ""),
            interrupted_s=_interruptions(known, now_s),
            reaches_majority=record.get("reaches_majority", True),
        )
        for other in list(self.peers.values()):
            if other.address == peer.address and other.id != peer.id:
                self._note_ended(other, now_s)
        self.peers[peer.id] = peer
        self._forget_silent(now_s)
        return peer

    def _note_ended(self, peer: Peer, now_s: float) -> None:
        ended_s = min(peer.last_heard_s, now_s - FORGET_AFTER_S)
        self.peers[peer.id] = replace(peer, last_heard_s=ended_s)

    def at_address(self, address: str) -> Peer | None:
        """The peer heard last at an address."""
        found = [peer for peer in self.peers.values() if peer.address == address]
        return max(found, key=lambda peer: peer.last_heard_s, default=None)

    def is_replaced(self, peer_id: str, name: str | None, now_s: float) -> bool:
        """Whether the machine of that name is heard as another incarnation while this one is silent, so that this one
        is gone for good. Two machines may share a name for a while: then both speak, and neither is replaced."""
        if self.silent_s(peer_id, now_s) <= LIVE_S:
            return False
        known = self.peers.get(peer_id)
        name = name or (known.name if known else None)
        return any(
            other.id != peer_id and other.name == name and other.silent_s(now_s) <= LIVE_S
            for other in self.peers.values()
        )

    def silent_s(self, peer_id: str, now_s: float) -> float:
        """For how long nothing was heard of a peer; infinite where nothing ever was."""
        peer = self.peers.get(peer_id)
        return peer.silent_s(now_s) if peer is not None else float("inf")

    def _forget_silent(self, now_s: float) -> None:
        for peer in list(self.peers.values()):
            if peer.silent_s(now_s) > FORGET_AFTER_S:
                del self.peers[peer.id]


def _interruptions(known: Peer | None, now_s: float) -> tuple[float, ...]:
    """When a peer that is heard now came back from a silence, as far as that counts still."""
    if known is None:
        return ()
    counting = tuple(at_s for at_s in known.interrupted_s if now_s - at_s < INTERRUPTIONS_COUNT_S)
    shortest_s, longest_s = INTERRUPTED_S
    return (*counting, now_s) if shortest_s < known.silent_s(now_s) < longest_s else counting
