"""What one control server observes of the others: who is alive, who was replaced, and for how long to wait for whom."""

from __future__ import annotations

from dataclasses import dataclass

from dewpin.controlplane.membership.peers import ALIVE_WITHIN_S, Peer, PeerTable

REPLACEMENT_TIMEOUT_S = 1.5
"""A silent process is given up after this time where another can take its place, unless it was interrupted lately."""
REMOVAL_TIMEOUT_S = 20.0
"""A silent process is given up after this time in any case."""
REPLACEMENT_JOINED_WITHIN_S = 30.0
"""A process that was first heard within this time may be the replacement of one that left."""
STARTUP_UNCERTAINTY_S = 3.0
"""A process that was first heard this soon after the own start may have been there before."""


@dataclass(frozen=True, slots=True)
class ClusterObservation:
    """What a reconfiguration is planned from; times are of the steady clock.

    Attributes:
        local_peer: this process.
        peers: the others.
        replica_count: how many members and stores there should be.
        started_at_s: when this process was started.
        now_s: the time of the observation.
        contact_since_s: since when a majority has been reached without a break; None while none is.
    """

    local_peer: Peer
    peers: PeerTable
    replica_count: int
    started_at_s: float
    now_s: float
    contact_since_s: float | None

    def all_peers(self) -> list[Peer]:
        """This process and all that it has heard."""
        return [self.local_peer, *self.peers.peers.values()]

    def since_last_received_s(self, peer_id: str) -> float:
        """For how long nothing has been heard of a process."""
        return 0.0 if peer_id == self.local_peer.id else self.peers.since_last_received_s(peer_id, self.now_s)

    def observed_silence_s(self, peer_id: str) -> float:
        """For how long nothing has been heard of a process while this one reached a majority."""
        if self.contact_since_s is None:
            return 0.0
        return min(self.since_last_received_s(peer_id), self.now_s - self.contact_since_s)

    def is_replaced(self, peer_id: str, name: str | None) -> bool:
        """Whether the machine of that name runs as another incarnation by now."""
        if peer_id == self.local_peer.id or self.observed_silence_s(peer_id) <= ALIVE_WITHIN_S:
            return False
        return name == self.local_peer.name or self.peers.is_replaced(peer_id, name, self.now_s)

    def has_left(self, peer_id: str) -> bool:
        """Whether the process announced its end and has been silent since."""
        peer = self.peers.peers.get(peer_id)
        return peer is not None and peer.is_leaving and self.observed_silence_s(peer_id) > ALIVE_WITHIN_S

    def has_joined_recently(self, peer: Peer) -> bool:
        """Whether the process came while this one was already there, and not long ago."""
        earliest_s = max(self.started_at_s + STARTUP_UNCERTAINTY_S, self.now_s - REPLACEMENT_JOINED_WITHIN_S)
        return peer.first_received_s >= earliest_s

    def replacement_timeout_s(self, peer_id: str) -> float:
        """For how long a silent process is waited for where another can take its place.

        It doubles with each recent interruption, so that one that freezes again and again is not replaced each time.
        """
        peer = self.peers.peers.get(peer_id)
        interruptions = peer.interruptions(self.now_s) if peer is not None and not peer.is_leaving else 0
        return min(REPLACEMENT_TIMEOUT_S * 2.0**interruptions, REMOVAL_TIMEOUT_S)

    def is_alive(self, peer_id: str) -> bool:
        """Whether the process was heard just now."""
        return self.since_last_received_s(peer_id) < ALIVE_WITHIN_S

    def may_coordinate(self, peer_id: str) -> bool:
        """Whether the process is alive and reaches a majority, as it says itself."""
        if peer_id == self.local_peer.id:
            return self.contact_since_s is not None
        peer = self.peers.peers.get(peer_id)
        return peer is not None and peer.reaches_majority and self.is_alive(peer_id)
