"""One control server's view of the others: which are alive or replaced, and the removal timeout of each."""

from __future__ import annotations

from dataclasses import dataclass

from dewpin.controlplane.membership.peers import ALIVE_WITHIN_S, Peer, PeerTable

REPLACEMENT_TIMEOUT_S = 1.5
"""Timeout for replacing a silent process if a spare is available and it had no recent interruptions."""
REMOVAL_TIMEOUT_S = 20.0
"""Timeout for removing a silent process in all other cases, and the upper bound of every replacement timeout."""
REPLACEMENT_JOINED_WITHIN_S = 30.0
"""A process first heard from within this time may be the replacement of one that left."""
STARTUP_UNCERTAINTY_S = 3.0
"""A process first heard from within this time after the local start may have been running before it."""


@dataclass(frozen=True, slots=True)
class ClusterObservation:
    """The input of reconfiguration planning. Times are from the monotonic clock.

    Attributes:
        local_peer: this process.
        peers: the other processes.
        replica_count: the configured number of members and stores.
        started_at_s: the start time of this process.
        now_s: the time of the observation.
        contact_since_s: start of the current uninterrupted contact with a majority; None if there is none.
    """

    local_peer: Peer
    peers: PeerTable
    replica_count: int
    started_at_s: float
    now_s: float
    contact_since_s: float | None

    def all_peers(self) -> list[Peer]:
        """Return this process and all known peers."""
        return [self.local_peer, *self.peers.peers.values()]

    def since_last_received_s(self, peer_id: str) -> float:
        """Return the time since the last message from a process."""
        return 0.0 if peer_id == self.local_peer.id else self.peers.since_last_received_s(peer_id, self.now_s)

    def observed_silence_s(self, peer_id: str) -> float:
        """Return how long a process has been silent during the local uninterrupted contact with a majority."""
        if self.contact_since_s is None:
            return 0.0
        return min(self.since_last_received_s(peer_id), self.now_s - self.contact_since_s)

    def is_replaced(self, peer_id: str, name: str | None) -> bool:
        """Return whether the named machine is now running as another incarnation."""
        if peer_id == self.local_peer.id or self.observed_silence_s(peer_id) <= ALIVE_WITHIN_S:
            return False
        return name == self.local_peer.name or self.peers.is_replaced(peer_id, name, self.now_s)

    def has_left(self, peer_id: str) -> bool:
        """Return whether the process announced its shutdown and is silent."""
        peer = self.peers.peers.get(peer_id)
        return peer is not None and peer.is_leaving and self.observed_silence_s(peer_id) > ALIVE_WITHIN_S

    def has_joined_recently(self, peer: Peer) -> bool:
        """Return whether the process joined recently and after this process had started."""
        earliest_s = max(self.started_at_s + STARTUP_UNCERTAINTY_S, self.now_s - REPLACEMENT_JOINED_WITHIN_S)
        return peer.first_received_s >= earliest_s

    def replacement_timeout_s(self, peer_id: str) -> float:
        """Return the timeout for replacing a silent process if a spare is available.

        It doubles with each recent interruption, so that a process that freezes repeatedly is not replaced every time.
        """
        peer = self.peers.peers.get(peer_id)
        interruptions = peer.interruptions(self.now_s) if peer is not None and not peer.is_leaving else 0
        return min(REPLACEMENT_TIMEOUT_S * 2.0**interruptions, REMOVAL_TIMEOUT_S)

    def is_alive(self, peer_id: str) -> bool:
        """Return whether the process was heard from within `ALIVE_WITHIN_S`."""
        return self.since_last_received_s(peer_id) < ALIVE_WITHIN_S

    def may_coordinate(self, peer_id: str) -> bool:
        """Return whether the process is alive and reports contact with a majority."""
        if peer_id == self.local_peer.id:
            return self.contact_since_s is not None
        peer = self.peers.peers.get(peer_id)
        return peer is not None and peer.reaches_majority and self.is_alive(peer_id)
