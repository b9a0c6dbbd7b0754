"""The description that this process sends to its peers."""

from __future__ import annotations

from collections.abc import Callable

from dewpin.cluster.placement import location_of
from dewpin.cluster.ports import control_plane_address
from dewpin.cluster.settings import Settings
from dewpin.controlplane.membership.majority_contact import StateFreshness
from dewpin.controlplane.membership.peers import Peer, PeerDescription
from dewpin.controlplane.platform_list_reader import PlatformListReader
from dewpin.controlplane.register.register import SystemRegister
from dewpin.controlplane.register.replica_storage import RegisterDatabase


class LocalPeer:
    """This process as a peer. Its description is created anew for each heartbeat.

    Attributes:
        settings: the current settings.
        synced_epoch: the newest epoch of the store view for which this process has copied all records.
        is_leaving: whether this process is about to shut down.
    """

    def __init__(
        self,
        settings: Settings,
        register: SystemRegister,
        freshness: StateFreshness,
        list_reader: PlatformListReader,
        clock: Callable[[], float],
    ) -> None:
        self.settings = settings
        self.synced_epoch = 0
        self.is_leaving = False
        self._register = register
        self._freshness = freshness
        self._list_reader = list_reader
        self._clock = clock
        self._is_bootstrap = settings.bootstrap

    async def load(self, storage: RegisterDatabase) -> None:
        """Load from disk whether the process was first started to bootstrap the register; settings may change."""
        rows = await storage.query("SELECT value FROM meta WHERE name = 'bootstrap'")
        if rows:
            self._is_bootstrap = rows[0][0] == "1"
            return
        value = "1" if self._is_bootstrap else "0"
        await storage.write([("INSERT OR REPLACE INTO meta(name, value) VALUES ('bootstrap', ?)", (value,))])

    def description(self) -> PeerDescription:
        """Return the current description to send to peers."""
        state = self._register.chosen
        return PeerDescription(
            id=self._register.member,
            name=self.settings.node_name,
            address=self._register.address,
            serves_control="control" in self.settings.serves,
            serves_store="store" in self.settings.serves,
            version=state["version"] if state is not None else -1,
            synced_epoch=self.synced_epoch,
            is_leaving=self.is_leaving,
            is_bootstrap=self._is_bootstrap,
            has_list_failed=self._list_reader.has_failed,
            location=location_of(self.settings.region, self.settings.zone),
            reaches_majority=self._freshness.contact_since_s() is not None,
        )

    def as_peer(self) -> Peer:
        """Return the same information in the form stored for other peers."""
        return Peer.from_description(self.description(), last_received_s=self._clock())

    def seed_addresses(self) -> list[str]:
        """Return the addresses of the control servers listed in the settings."""
        ports = self.settings.port_range
        return [control_plane_address(seed.rpartition(":")[0], ports) for seed in self.settings.seeds]
