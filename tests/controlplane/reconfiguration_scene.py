"""Scripted knowledge of peers, at times of a clock made up here, for the tests of which change is due."""

from dewpin.controlplane.membership.cluster_observation import ClusterObservation
from dewpin.controlplane.membership.peers import Peer, PeerDescription, PeerTable
from dewpin.controlplane.membership.reconfiguration import next_change
from dewpin.controlplane.register.system_state import initial_state, set_initial_stores, successor

STARTED_S = 1000.0
SETTLED_S = 1040.0
"""By then all that was there from the start is long known."""


class Scene:
    """What the process `a` on machine-a knows; the others are heard as the test says."""

    def __init__(self, members="abc", stores="abc", full=3):
        addresses = {one: f"{one}:1" for one in members}
        self.state = initial_state(addresses, {one: f"machine-{one}" for one in members})
        if stores:
            ids = {one: f"{one}:1" for one in stores}
            self.state = set_initial_stores(ids, {one: f"machine-{one}" for one in stores})(self.state)
            self.state = successor(self.state)
        self.replica_count = full
        self.peers = PeerTable()
        self.synced = {}
        self.contact_since_s = STARTED_S
        self.now_s = STARTED_S
        for one in sorted({*members, *stores}):
            self.hear(one)
        self.now_s = SETTLED_S
        for one in sorted({*members, *stores}):
            self.hear(one)

    def description(self, one, name=None, address=None, leaving=False, location="", reaches_majority=None):
        return PeerDescription(
            id=one,
            name=name or f"machine-{one[0]}",
            address=address or f"{one[0]}:1",
            serves_control=True,
            serves_store=True,
            version=self.state["version"],
            synced_epoch=self.synced.get(one, 0),
            is_leaving=leaving,
            is_bootstrap=False,
            has_list_failed=False,
            location=location,
            reaches_majority=reaches_majority,
        )

    def hear(self, *ids, **fields):
        for one in ids:
            if one != "a":
                self.peers.record_received(self.description(one, **fields), self.now_s)

    def after(self, seconds, *heard):
        """Lets time go by; those named spoke just now."""
        self.now_s += seconds
        self.hear(*heard)

    @property
    def observation(self):
        me = Peer.from_description(self.description("a"), last_received_s=self.now_s)
        return ClusterObservation(me, self.peers, self.replica_count, STARTED_S, self.now_s, self.contact_since_s)

    def step(self):
        """Makes the due change; the keys that it changed."""
        change = next_change(self.state, self.observation)
        if change is None:
            return set()
        before, self.state = self.state, change(self.state)
        assert self.state["version"] == before["version"] + 1
        return {key for key in before if key != "version" and before[key] != self.state[key]}

    def settle(self, synced=True):
        """Makes changes until none is due; stores copy at once unless told otherwise."""
        for _ in range(20):
            if synced:
                epoch = self.state["stores"]["epoch"]
                self.synced = dict.fromkeys({*self.peers.peers, "a"}, epoch)
                for peer in list(self.peers.peers.values()):
                    if self.now_s - peer.last_received_s < 0.5:
                        self.hear(peer.id, name=peer.name, address=peer.address, leaving=peer.is_leaving)
            if not self.step():
                return
        raise AssertionError("changes without end")

    @property
    def members(self):
        return "".join(sorted(self.state["members"]))

    @property
    def stores(self):
        return sorted(self.state["stores"]["stable"])

    @property
    def next_stores(self):
        return sorted(self.state["stores"]["next"] or {})
