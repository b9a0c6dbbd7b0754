"""A control server: its part in the register, its heartbeats, its service to senders and its readings of the list.

Everything here runs on one asyncio loop; the disk and the platform's list are read by threads of their own.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from typing import Protocol

from dewpin.cluster.platform_list import PlatformReader
from dewpin.cluster.ports import control_plane_address
from dewpin.cluster.rpc import Handler, RpcClient
from dewpin.cluster.settings import Bounds, Settings
from dewpin.cluster.settings_watch import reloaded
from dewpin.controlplane.membership.heartbeat import HEARTBEAT_PERIOD_S, HeartbeatExchange
from dewpin.controlplane.membership.heartbeat_messages import HEARTBEAT
from dewpin.controlplane.membership.leases import LeaseTable
from dewpin.controlplane.membership.local_peer import LocalPeer
from dewpin.controlplane.membership.majority_contact import StateFreshness
from dewpin.controlplane.membership.register_maintenance import RegisterMaintenance
from dewpin.controlplane.platform_list_reader import PlatformListReader
from dewpin.controlplane.register.register import SystemRegister
from dewpin.controlplane.register.replica_storage import RegisterDatabase
from dewpin.controlplane.register.system_state import SystemState
from dewpin.controlplane.sender_service import SenderService

log = logging.getLogger(__name__)

ERROR_BACKOFF_S = 0.25
"""After a step that failed in an unforeseen way."""
RENEWALS_IN_BOUND = 5
"""Renewals of a sender's lease within the time in which a configuration is to be in force."""
READER_ALIVE_WITHIN_S = 0.8
"""A control server that was last heard longer ago is not the assigned reader of the platform's list."""
FRESHNESS_SHARE_OF_BOUND = 0.5
"""Of the time within which a configuration is to be in force; the rest is for the way to the senders."""
FEWEST_HEARTBEATS_IN_AGE = 3


def max_state_age_s(bounds: Bounds) -> float:
    """The time since the last confirmation by a majority beyond which a control server serves no state."""
    share_s = FRESHNESS_SHARE_OF_BOUND * bounds.config_apply_ms / 1000
    return max(share_s, FEWEST_HEARTBEATS_IN_AGE * HEARTBEAT_PERIOD_S)


class ControlServerStorage(RegisterDatabase, Protocol):
    """The storage of a control server, with the id that its data directory was given."""

    @property
    def incarnation(self) -> str:
        """The id of the data directory: this member's id."""


class StateFollower(Protocol):
    """What follows the system state in the process of a control server: its store."""

    def adopt(self, state: SystemState) -> None:
        """Follows a newly chosen state."""


class ControlServer:
    """The control server on one machine.

    Attributes:
        settings: those in force.
        member: the id of this incarnation.
        address: that of the RPC server.
        register: this process's part in the register that holds the system state.
        freshness: how fresh its knowledge of the system state is.
        list_reader: the receivers that the platform's list shows.
        local_peer: how this process introduces itself.
        heartbeats: the exchange of heartbeats with the other control servers.
        leases: the leases of senders that this process has granted.
        senders: the service to senders.
    """

    def __init__(
        self,
        settings: Settings,
        storage: ControlServerStorage,
        client: RpcClient,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
        platform: PlatformReader | None = None,
    ) -> None:
        bounds = settings.bounds
        self.settings = settings
        self.member = storage.incarnation
        self.address = control_plane_address(settings.ip, settings.port_range)
        self.register = SystemRegister(self.member, self.address, storage, client, rng, self._handle_chosen)
        self.freshness = StateFreshness(self.register, max_state_age_s(bounds), clock)
        self.list_reader = PlatformListReader(self.member, bounds.drain_ms / 1000, clock, platform)
        self.local_peer = LocalPeer(settings, self.register, self.freshness, self.list_reader, clock)
        self.heartbeats = HeartbeatExchange(
            self.local_peer, self.register, self.freshness, self.list_reader, client, clock, self._announce
        )
        peers = self.heartbeats.peers
        self.leases = LeaseTable(bounds.config_apply_ms / 1000 / RENEWALS_IN_BOUND)
        self.senders = SenderService(self.leases, self.register, self.freshness, self.list_reader, peers, clock)
        self._maintenance = RegisterMaintenance(
            self.register, self.freshness, peers, self.local_peer, settings.fault_tolerance.replica_count, clock
        )
        self._store: StateFollower | None = None
        self._storage = storage
        self._rng = rng
        self._clock = clock
        self._has_sent_heartbeats = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def handlers(self) -> dict[str, Handler]:
        """The handlers of this process's messages, by type."""
        return {
            HEARTBEAT: self.heartbeats.handle,
            **self.register.handlers,
            **self.senders.handlers,
        }

    def attach_store(self, store: StateFollower) -> None:
        """Has the store of this process follow the system state. To be called before `load`."""
        self._store = store

    async def load(self) -> None:
        """Reads the state on disk. To be awaited before anybody may call the handlers."""
        await self.local_peer.load(self._storage)
        await self.register.load()

    def start(self) -> None:
        """Starts to exchange heartbeats, to maintain the register and to read the platform's list."""
        self._tasks = [
            asyncio.ensure_future(self._repeat(HEARTBEAT_PERIOD_S, self._send_periodic_heartbeats)),
            asyncio.ensure_future(self._repeat(0.0, self._maintain_register)),
        ]
        if "control" in self.settings.serves:
            self._tasks.append(asyncio.ensure_future(self._repeat(0.0, self._read_list_when_due)))

    def apply_settings(self, settings: Settings) -> None:
        """Applies a changed settings file: the seeds and the platform's address; what was bound at the start stays."""
        self.settings = self.local_peer.settings = reloaded(self.settings, settings)
        self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Tells all other control servers now what is new here."""
        self.heartbeats.send_to_all()

    def record_synced_epoch(self, epoch: int) -> None:
        """Tells the others that the store of this process has copied all records for an epoch of the store view."""
        self.local_peer.synced_epoch = max(self.local_peer.synced_epoch, epoch)
        self.send_heartbeats()

    def leave(self) -> None:
        """Tells the others that this process is about to end."""
        self.local_peer.is_leaving = True
        self.send_heartbeats()

    async def stop(self) -> None:
        """Ends what `start` has started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, self.heartbeats.stop(), return_exceptions=True)
        await self.register.stop()

    async def _repeat(self, period_s: float, step: Callable[[], object]) -> None:
        """Runs a step again and again, about once in `period_s`; 0 for a step that waits by itself."""
        while True:
            delay_s = period_s * (0.9 + 0.2 * self._rng.random())
            try:
                result = step()
                if asyncio.iscoroutine(result):
                    await result
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("control.step_failed", extra={"step": getattr(step, "__qualname__", "")})
                delay_s = max(delay_s, ERROR_BACKOFF_S)
            if delay_s > 0:
                await asyncio.sleep(delay_s)

    def _send_periodic_heartbeats(self) -> None:
        self.send_heartbeats()
        self._has_sent_heartbeats.set()

    async def _maintain_register(self) -> None:
        """Runs a step of the maintenance with the next heartbeat, so that both share one wake-up.

        Heartbeats that are sent during a longer step start none.
        """
        await self._has_sent_heartbeats.wait()
        try:
            await self._maintenance.step()
        finally:
            self._has_sent_heartbeats.clear()

    def _announce(self) -> None:
        self.senders.announce()

    def _handle_chosen(self, state: SystemState) -> None:
        if self._store is not None:
            self._store.adopt(state)
        self._announce()
        self.send_heartbeats()

    async def _read_list_when_due(self) -> None:
        await asyncio.sleep(self.list_reader.wait_s(self._is_assigned_reader()))
        cloud = self.settings.cloud
        if cloud is None or not self.list_reader.is_due(self._is_assigned_reader()):
            return
        if await self.list_reader.read(cloud):
            self._announce()
            self.send_heartbeats()

    def _is_assigned_reader(self) -> bool:
        """Whether this process is the one that reads the platform's list.

        It is the one with the least id of the live control servers whose readings succeed and that reach a majority, if
        any do. Two that read at once do no harm: directories merge by version, and receivers that ended stay known.
        """
        now_s = self._clock()
        others = [
            (peer.has_list_failed, not peer.reaches_majority, peer.id)
            for peer in self.heartbeats.peers.peers.values()
            if peer.serves_control and not peer.is_leaving and peer.since_last_received_s(now_s) < READER_ALIVE_WITHIN_S
        ]
        own = (self.list_reader.has_failed, self.freshness.contact_since_s() is None, self.member)
        return own <= min(others, default=own)
