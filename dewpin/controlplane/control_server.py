"""A control server: register replica, heartbeats, service to senders, and reads of the platform's list of receivers.

Everything here runs on one asyncio event loop; the disk and the platform's list are accessed by separate threads.
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
"""Delay after a step that raised an unexpected exception."""
LEASE_RENEWALS_PER_APPLY_TIME = 5
"""Renewals of a sender's lease within the time limit for applying a configuration."""
READER_TIMEOUT_S = 0.8
"""A control server from which nothing was received for longer is not assigned to read the platform's list."""
MAX_STATE_AGE_FRACTION = 0.5
"""Fraction of the time limit for applying a configuration; the rest is left for distribution to the senders."""
MIN_STATE_AGE_LIMIT_HEARTBEATS = 3


def max_state_age_s(bounds: Bounds) -> float:
    """Return the maximum age of the last confirmation by a majority with which a control server serves its state."""
    max_age_s = MAX_STATE_AGE_FRACTION * bounds.config_apply_ms / 1000
    return max(max_age_s, MIN_STATE_AGE_LIMIT_HEARTBEATS * HEARTBEAT_PERIOD_S)


class ControlServerStorage(RegisterDatabase, Protocol):
    """The storage of a control server, including the id of its data directory."""

    @property
    def incarnation(self) -> str:
        """The id of the data directory, which is the id of this member."""


class SystemStateListener(Protocol):
    """Receives chosen system states in the process of a control server; implemented by its store."""

    def adopt(self, state: SystemState) -> None:
        """Apply a newly chosen state."""


class ControlServer:
    """The control server on one machine.

    Attributes:
        settings: the current settings.
        member: id of this incarnation.
        address: address of the RPC server.
        register: this process's replica of the register that holds the system state.
        freshness: freshness of the local system state.
        list_reader: reader and directory of the receivers in the platform's list.
        local_peer: description of this process that is sent in heartbeats.
        heartbeats: heartbeat exchange with the other control servers.
        leases: sender leases granted by this process.
        senders: service to senders.
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
            self.local_peer, self.register, self.freshness, self.list_reader, client, clock, self._notify_senders
        )
        peers = self.heartbeats.peers
        self.leases = LeaseTable(bounds.config_apply_ms / 1000 / LEASE_RENEWALS_PER_APPLY_TIME)
        self.senders = SenderService(self.leases, self.register, self.freshness, self.list_reader, peers, clock)
        self._maintenance = RegisterMaintenance(
            self.register, self.freshness, peers, self.local_peer, settings.fault_tolerance.replica_count, clock
        )
        self._store: SystemStateListener | None = None
        self._storage = storage
        self._rng = rng
        self._clock = clock
        self._has_sent_heartbeats = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def handlers(self) -> dict[str, Handler]:
        """Message handlers of this process, by message type."""
        return {
            HEARTBEAT: self.heartbeats.handle,
            **self.register.handlers,
            **self.senders.handlers,
        }

    def attach_store(self, store: SystemStateListener) -> None:
        """Pass chosen system states to the store of this process. Must be called before `load`."""
        self._store = store

    async def load(self) -> None:
        """Load the state from disk. Must complete before any handler is called."""
        await self.local_peer.load(self._storage)
        await self.register.load()

    def start(self) -> None:
        """Start the heartbeat exchange, the register maintenance and the reads of the platform's list."""
        self._tasks = [
            asyncio.ensure_future(self._repeat(HEARTBEAT_PERIOD_S, self._send_periodic_heartbeats)),
            asyncio.ensure_future(self._repeat(0.0, self._maintain_register)),
        ]
        if "control" in self.settings.serves:
            self._tasks.append(asyncio.ensure_future(self._repeat(0.0, self._read_list_when_due)))

    def apply_settings(self, settings: Settings) -> None:
        """Apply changed seeds and a changed platform address; bound addresses stay as they were at startup."""
        self.settings = self.local_peer.settings = reloaded(self.settings, settings)
        self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Send heartbeats with the current local state to all other control servers immediately."""
        self.heartbeats.send_to_all()

    def record_synced_epoch(self, epoch: int) -> None:
        """Report to the other control servers that the local store has copied all records for a store view epoch."""
        self.local_peer.synced_epoch = max(self.local_peer.synced_epoch, epoch)
        self.send_heartbeats()

    def leave(self) -> None:
        """Report to the other control servers that this process is shutting down."""
        self.local_peer.is_leaving = True
        self.send_heartbeats()

    async def stop(self) -> None:
        """Stop everything that `start` has started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, self.heartbeats.stop(), return_exceptions=True)
        await self.register.stop()

    async def _repeat(self, period_s: float, step: Callable[[], object]) -> None:
        """Run a step repeatedly, about every `period_s` seconds with jitter; 0 for a step that waits by itself."""
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
        """Run a maintenance step after the next periodic heartbeat, so that both share one wake-up.

        Heartbeats sent while a step is running do not trigger another one.
        """
        await self._has_sent_heartbeats.wait()
        try:
            await self._maintenance.step()
        finally:
            self._has_sent_heartbeats.clear()

    def _notify_senders(self) -> None:
        self.senders.announce()

    def _handle_chosen(self, state: SystemState) -> None:
        if self._store is not None:
            self._store.adopt(state)
        self._notify_senders()
        self.send_heartbeats()

    async def _read_list_when_due(self) -> None:
        await asyncio.sleep(self.list_reader.wait_s(self._is_assigned_reader()))
        cloud = self.settings.cloud
        if cloud is None or not self.list_reader.is_due(self._is_assigned_reader()):
            return
        if await self.list_reader.read(cloud):
            self._notify_senders()
            self.send_heartbeats()

    def _is_assigned_reader(self) -> bool:
        """Return whether this process is assigned to read the platform's list.

        Among the live control servers, those whose reads succeed are preferred, then those that reach a majority, then
        the lowest id. Concurrent readers are harmless: directories merge by version, and removed receivers stay known.
        """
        now_s = self._clock()
        others = [
            (peer.has_list_failed, not peer.reaches_majority, peer.id)
            for peer in self.heartbeats.peers.peers.values()
            if peer.serves_control and not peer.is_leaving and peer.since_last_received_s(now_s) < READER_TIMEOUT_S
        ]
        own = (self.list_reader.has_failed, self.freshness.contact_since_s() is None, self.member)
        return own <= min(others, default=own)
