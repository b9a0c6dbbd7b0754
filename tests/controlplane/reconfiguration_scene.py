"""A scripted view of the peers with a simulated clock, for tests of reconfiguration planning."""

from dewpin.controlplane.membership.cluster_observation import ClusterObservation
from dewpin.controlplane.membership.peers import Peer, PeerDescription, PeerTable
from dewpin.controlplane.membership.reconfiguration import next_change
from dewpin.controlplane.register.system_state import initial_state, set_initial_stores, successor

STARTED_S = 1000.0
STABLE_S = 1040.0
"""By this time the initial peers no longer count as recently joined."""


class Scenario:
    """The state and peers as observed by process `a` on machine-a. Tests script the heartbeats of the others."""

    def __init__(self, members="abc", stores="abc", replica_count=3):
        addresses = {peer_id: f"{peer_id}:1" for peer_id in members}
        self.state = initial_state(addresses, {peer_id: f"machine-{peer_id}" for peer_id in members})
        if stores:
            store_addresses = {store: f"{store}:1" for store in stores}
            self.state = set_initial_stores(store_addresses, {store: f"machine-{store}" for store in stores})(
                self.state
            )
            self.state = successor(self.state)
        self.replica_count = replica_count
        self.peers = PeerTable()
        self.synced = {}
        self.contact_since_s = STARTED_S
        self.now_s = STARTED_S
        for peer_id in sorted({*members, *stores}):
            self.receive_heartbeats(peer_id)
        self.now_s = STABLE_S
        for peer_id in sorted({*members, *stores}):
            self.receive_heartbeats(peer_id)

    def description(self, peer_id, name=None, address=None, is_leaving=False, location="", reaches_majority=None):
        return PeerDescription(
            id=peer_id,
            name=name or f"machine-{peer_id[0]}",
            address=address or f"{peer_id[0]}:1",
            serves_control=True,
            serves_store=True,
            version=self.state["version"],
            synced_epoch=self.synced.get(peer_id, 0),
            is_leaving=is_leaving,
            is_bootstrap=False,
            has_list_failed=False,
            location=location,
            reaches_majority=reaches_majority,
        )

    def receive_heartbeats(self, *peer_ids, **fields):
        for peer_id in peer_ids:
            if peer_id != "a":
                self.peers.record_received(self.description(peer_id, **fields), self.now_s)

    def advance(self, seconds, *peer_ids):
        """Advances the clock, then receives heartbeats from the given peers."""
        self.now_s += seconds
        self.receive_heartbeats(*peer_ids)

    @property
    def observation(self):
        local_peer = Peer.from_description(self.description("a"), last_received_s=self.now_s)
        return ClusterObservation(
            local_peer, self.peers, self.replica_count, STARTED_S, self.now_s, self.contact_since_s
        )

    def apply_next_change(self):
        """Applies the next due change and returns the state keys that it changed."""
        change = next_change(self.state, self.observation)
        if change is None:
            return set()
        before, self.state = self.state, change(self.state)
        assert self.state["version"] == before["version"] + 1
        return {key for key in before if key != "version" and before[key] != self.state[key]}

    def apply_all_changes(self, synced=True):
        """Applies changes until none is due. Unless `synced` is false, stores complete their copies immediately."""
        for _ in range(20):
            if synced:
                epoch = self.state["stores"]["epoch"]
                self.synced = dict.fromkeys({*self.peers.peers, "a"}, epoch)
                for peer in list(self.peers.peers.values()):
                    if self.now_s - peer.last_received_s < 0.5:
                        self.receive_heartbeats(
                            peer.id, name=peer.name, address=peer.address, is_leaving=peer.is_leaving
                        )
            if not self.apply_next_change():
                return
        raise AssertionError("reconfiguration did not terminate")

    @property
    def members(self):
        return "".join(sorted(self.state["members"]))

    @property
    def stores(self):
        return sorted(self.state["stores"]["stable"])

    @property
    def next_stores(self):
        return sorted(self.state["stores"]["next"] or {})
