"""One process of the control plane: joins its heartbeats, its part in the register, its service to senders and its
readings of the platform's list.

Everything here runs on one asyncio loop; the disk and the platform's list are read by threads of their own.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from typing import Protocol

from dewpin.cluster.placement import location_of
from dewpin.cluster.platform_list import PlatformReader
from dewpin.cluster.ports import control_plane_address
from dewpin.cluster.rpc import Handler, RpcClient
from dewpin.cluster.settings import Bounds, Settings
from dewpin.cluster.settings_watch import reloaded
from dewpin.controlplane.membership.heartbeat import HEARTBEAT_PERIOD_S, HeartbeatExchange, LocalProcess
from dewpin.controlplane.membership.heartbeat_messages import HEARTBEAT
from dewpin.controlplane.membership.leases import LeaseTable
from dewpin.controlplane.membership.majority_contact import RegisterConfirmation
from dewpin.controlplane.membership.peers import Peer, PeerRecord
from dewpin.controlplane.membership.register_upkeep import RegisterUpkeep
from dewpin.controlplane.platform_list_reader import ListReader
from dewpin.controlplane.register.register import SystemRegister
from dewpin.controlplane.register.replica_storage import WritesRows
from dewpin.controlplane.register.system_state import SystemState
from dewpin.controlplane.sender_service import SenderService

log = logging.getLogger(__name__)

FAULT_PAUSE_S = 0.25
"""After a step that failed in an unforeseen way."""
RENEWALS_IN_BOUND = 5
READER_LIVE_S = 0.8


KNOWLEDGE_SHARE_OF_BOUND = 0.5
"""Of the time within which a configuration is to be in force; the rest is for the way to the senders."""
FEWEST_HEARTBEATS_IN_AGE = 3


def knowledge_bound_s(bounds: Bounds) -> float:
    """The age of a majority's word beyond which a control process serves nothing."""
    share_s = KNOWLEDGE_SHARE_OF_BOUND * bounds.config_apply_ms / 1000
    return max(share_s, FEWEST_HEARTBEATS_IN_AGE * HEARTBEAT_PERIOD_S)


class MemberStorage(WritesRows, Protocol):
    """The storage of this process, with the id that its folder was given."""

    @property
    def incarnation(self) -> str: ...


class ControlServer:
    """The control plane's process on one machine."""

    def __init__(
        self,
        settings: Settings,
        storage: MemberStorage,
        client: RpcClient,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
        platform: PlatformReader | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.address = control_plane_address(settings.ip, settings.port_range)
        self.member = storage.incarnation
        self.register = SystemRegister(self.member, self.address, storage, client, rng)
        self.register.on_chosen = self._on_chosen
        self.list = ListReader(self.member, settings.bounds.drain_ms / 1000, clock, platform)
        self.directory = self.list.directory
        self.confirmation = RegisterConfirmation(self.register, knowledge_bound_s(settings.bounds), clock)
        self.heartbeats = HeartbeatExchange(
            LocalProcess(self.record, self._seed_addresses),
            self.register,
            self.confirmation,
            self.list,
            client,
            clock,
            self._announce,
        )
        self.peers = self.heartbeats.peers
        self.leases = LeaseTable(settings.bounds.config_apply_ms / 1000 / RENEWALS_IN_BOUND)
        self.senders = SenderService(self.leases, self.register, self.confirmation, self.list, self.peers, clock)
        self.on_state: Callable[[SystemState], None] = lambda state: None
        self.synced_epoch: Callable[[], int] = lambda: 0
        self._upkeep = RegisterUpkeep(
            self.register,
            self.confirmation,
            self.peers,
            self.me,
            self._seed_addresses,
            settings.fault_tolerance.replica_count,
            clock,
        )
        self._storage = storage
        self._rng = rng
        self._bootstrap = settings.bootstrap
        self._leaving = False
        self._has_beaten = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def handlers(self) -> dict[str, Handler]:
        """The handlers of this process's messages, by type."""
        return {
            HEARTBEAT: self.heartbeats.handle,
            **self.register.handlers,
            **self.senders.handlers,
        }

    async def load(self) -> None:
        """Takes up the disk's state. To be awaited before anybody may call the handlers."""
        await self._load_bootstrap()
        await self.register.load()

    def start(self) -> None:
        """Begins to speak to the others."""
        self._tasks = [
            asyncio.ensure_future(self._repeat(HEARTBEAT_PERIOD_S, self._beat)),
            asyncio.ensure_future(self._repeat(0.0, self._keep_up)),
        ]
        if "control" in self.settings.serves:
            self._tasks.append(asyncio.ensure_future(self._repeat(0.0, self._read_list_when_due)))

    def take_settings(self, settings: Settings) -> None:
        """Takes up a changed settings file: the seeds and the platform's address; what was bound at the start stays."""
        self.settings = reloaded(self.settings, settings)
        self.send_heartbeats()

    def send_heartbeats(self) -> None:
        """Tells all other control processes now what is new here."""
        self.heartbeats.send_to_all()

    def leave(self) -> None:
        """Tells the others that this process is about to end."""
        self._leaving = True
        self.send_heartbeats()

    async def stop(self) -> None:
        """Ends what was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, self.heartbeats.stop(), return_exceptions=True)

    def record(self) -> PeerRecord:
        """How this process introduces itself."""
        state = self.register.chosen
        return PeerRecord(
            id=self.member,
            name=self.settings.node_name,
            address=self.address,
            control="control" in self.settings.serves,
            store="store" in self.settings.serves,
            version=state["version"] if state is not None else -1,
            synced_epoch=self.synced_epoch(),
            leaving=self._leaving,
            bootstrap=self._bootstrap,
            list_fails=self.list.has_failed,
            location=location_of(self.settings.region, self.settings.zone),
            reaches_majority=self.confirmation.contact_since_s() is not None,
        )

    def me(self) -> Peer:
        """This process as a peer."""
        return Peer(**self.record(), last_heard_s=self.clock())

    def _seed_addresses(self) -> list[str]:
        ports = self.settings.port_range
        return [control_plane_address(seed.rpartition(":")[0], ports) for seed in self.settings.seeds]

    async def _load_bootstrap(self) -> None:
        rows = await self._storage.query("SELECT value FROM meta WHERE name = 'bootstrap'")
        if rows:
            self._bootstrap = rows[0][0] == "1"
            return
        value = "1" if self._bootstrap else "0"
        await self._storage.write([("INSERT OR REPLACE INTO meta(name, value) VALUES ('bootstrap', ?)", (value,))])

    async def _repeat(self, period_s: float, step: Callable[[], object]) -> None:
        """Takes a step again and again, about once in `period_s`; a step that waits by itself has no period."""
        while True:
            pause_s = period_s * (0.9 + 0.2 * self._rng.random())
            try:
                result = step()
                if asyncio.iscoroutine(result):
                    await result
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("control.step_failed", extra={"step": getattr(step, "__qualname__", "")})
                pause_s = max(pause_s, FAULT_PAUSE_S)
            if pause_s > 0:
                await asyncio.sleep(pause_s)

    def _beat(self) -> None:
        self.send_heartbeats()
        self._has_beaten.set()

    async def _keep_up(self) -> None:
        """Takes a step of the upkeep with the next heartbeat, so that both share one wake-up; a step that takes longer
        leaves heartbeats out."""
        await self._has_beaten.wait()
        try:
            await self._upkeep.step()
        finally:
            self._has_beaten.clear()

    def _announce(self) -> None:
        self.senders.announce()

    def _on_chosen(self, state: SystemState) -> None:
        self.on_state(state)
        self._announce()
        self.send_heartbeats()

    # The platform's list

    async def _read_list_when_due(self) -> None:
        await asyncio.sleep(self.list.wait_s(self._has_reading_duty()))
        cloud = self.settings.cloud
        if cloud is None or not self.list.is_due(self._has_reading_duty()):
            return
        if await self.list.read(cloud):
            self._announce()
            self.send_heartbeats()

    def _has_reading_duty(self) -> bool:
        """The live control process with the least id reads the list, among those whose readings succeed and that reach
        a majority if any do. Two that read at once do no harm: directories merge by version, and ends stay known."""
        now_s = self.clock()
        live = [
            (peer.list_fails, not peer.reaches_majority, peer.id)
            for peer in self.peers.peers.values()
            if peer.control and not peer.leaving and peer.silent_s(now_s) < READER_LIVE_S
        ]
        own = (self.list.has_failed, self.confirmation.contact_since_s() is None, self.member)
        return own <= min(live, default=own)
