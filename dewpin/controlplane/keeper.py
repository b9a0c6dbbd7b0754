"""One process of the control plane: its peers, its part in the register, leases, the platform's list.

Everything here runs on one asyncio loop; the disk and the platform's list are read by threads of their own.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from typing import cast

from dewpin.cluster.platform_list import PlatformList, PlatformUnavailable
from dewpin.cluster.ports import control_plane_address
from dewpin.cluster.receivers import DirectoryVersion, ReceiverDirectory, receiver_from_record
from dewpin.cluster.rpc import Handler, Message, RpcClient, RpcError
from dewpin.cluster.settings import Settings
from dewpin.consensus import Ballot

from .leases import LEASE_PERIODS, LeaseTable
from .peers import Peer, PeerRecord, PeerTable
from .reconfiguration import Knowledge, drives, due_change
from .register import RegisterUnavailable, SystemRegister
from .storage import Storage
from .system_state import ChangeRefused, SystemState, genesis

log = logging.getLogger(__name__)

HELLO_PERIOD_S = 0.25
HELLO_TIMEOUT_S = 0.6
HELLO_FORGET_S = 20.0
PROPOSE_TIMEOUT_S = 2.0
WATCH_HEARTBEAT_S = 0.5
RENEWALS_IN_BOUND = 5
READINGS_IN_DRAIN = 4
STALE_READINGS = 2.5
READER_LIVE_S = 0.8
UNFINISHED_WAIT_S = 0.3
READ_WATCH_S = 1.0


class Keeper:
    """The control plane's process on one machine."""

    def __init__(
        self,
        settings: Settings,
        storage: Storage,
        client: RpcClient,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.address = control_plane_address(settings.ip, settings.port_range)
        self.member = storage.incarnation
        self.register = SystemRegister(self.member, self.address, storage, client, rng)
        self.register.on_chosen = self._on_chosen
        self.peers = PeerTable()
        self.directory = ReceiverDirectory()
        self.leases = LeaseTable(LEASE_PERIODS * settings.bounds.config_apply_ms / 1000 / RENEWALS_IN_BOUND)
        self.on_state: Callable[[SystemState], None] = lambda state: None
        self.synced_epoch: Callable[[], int] = lambda: 0
        self._storage = storage
        self._client = client
        self._rng = rng
        self._bootstrap = settings.bootstrap
        self._leaving = False
        self._started_s = clock()
        self._list_read_s = float("-inf")
        self._changed = asyncio.Event()
        self._unfinished_since_s: float | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def handlers(self) -> dict[str, Handler]:
        """The handlers of this process's messages, by type."""
        return {
            "keeper.hello": self._handle_hello,
            "register.prepare": self.register.handle_prepare,
            "register.accept": self.register.handle_accept,
            "lease.renew": self._handle_renew,
            "lease.release": self._handle_release,
            "relay.watch": self._handle_watch,
        }

    async def start(self) -> None:
        """Takes up the disk's state and begins to speak to the others."""
        await self._load_bootstrap()
        await self.register.load()
        self._tasks = [
            asyncio.ensure_future(self._repeat(HELLO_PERIOD_S, self._greet_everyone)),
            asyncio.ensure_future(self._repeat(HELLO_PERIOD_S, self._maintain)),
        ]
        if "control" in self.settings.serves:
            self._tasks.append(asyncio.ensure_future(self._repeat(self._reading_period_s / 4, self._read_list_if_due)))

    def leave(self) -> None:
        """Tells the others from now on that this process is about to end."""
        self._leaving = True

    async def stop(self) -> None:
        """Ends what was started."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _load_bootstrap(self) -> None:
        rows = await self._storage.query("SELECT value FROM meta WHERE name = 'bootstrap'")
        if rows:
            self._bootstrap = rows[0][0] == "1"
            return
        value = "1" if self._bootstrap else "0"
        await self._storage.write([("INSERT OR REPLACE INTO meta(name, value) VALUES ('bootstrap', ?)", (value,))])

    async def _repeat(self, period_s: float, step: Callable[[], object]) -> None:
        while True:
            try:
                result = step()
                if asyncio.iscoroutine(result):
                    await result
            except asyncio.CancelledError:
                raise
            except Exception:
                log.exception("keeper.step_failed", extra={"step": getattr(step, "__name__", "")})
            await asyncio.sleep(period_s * (0.9 + 0.2 * self._rng.random()))

    # Peers

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
        )

    def me(self) -> Peer:
        """This process as a peer."""
        return Peer(**self.record(), last_heard_s=self.clock())

    def _greet_everyone(self) -> None:
        for address in self._addresses_to_greet():
            asyncio.ensure_future(self._greet(address))

    def _addresses_to_greet(self) -> set[str]:
        addresses = {seed_address(seed, self.settings) for seed in self.settings.seeds}
        now_s = self.clock()
        addresses |= {peer.address for peer in self.peers.peers.values() if peer.silent_s(now_s) < HELLO_FORGET_S}
        state = self.register.newest
        if state is not None:
            addresses.update(state["members"].values())
            addresses.update(state["former_members"].values())
            addresses.update(state["stores"]["stable"].values())
            addresses.update((state["stores"]["next"] or {}).values())
        return addresses - {self.address}

    async def _greet(self, address: str) -> None:
        message: Message = {"type": "keeper.hello", "from": self.record(), "receivers": self.directory.version}
        try:
            answer = await self._client.call(address, message, HELLO_TIMEOUT_S)
            self._hear(answer)
        except (RpcError, KeyError, TypeError, ValueError) as fault:
            log.debug("keeper.hello_failed", extra={"address": address, "why": repr(fault)})

    async def _handle_hello(self, message: Message) -> Message:
        peer = self.peers.hear(cast(PeerRecord, message["from"]), self.clock())
        answer: Message = {"type": "keeper.hello", "from": self.record()}
        state = self.register.chosen
        if state is not None and state["version"] > peer.version:
            answer["state"] = state
            answer["ballot"] = self.register.chosen_ballot
        if self.directory.version > _directory_version(message["receivers"]):
            answer["receivers"] = self.directory.records()
            answer["receivers_version"] = self.directory.version
        answer["list_age_s"] = self.list_age_s()
        return answer

    def _hear(self, answer: Message) -> None:
        self.peers.hear(cast(PeerRecord, answer["from"]), self.clock())
        if "state" in answer:
            counter, proposer = answer["ballot"]
            self.register.observe(Ballot(counter, proposer), answer["state"])
        if "receivers" in answer:
            receivers = [receiver_from_record(record) for record in answer["receivers"]]
            if self.directory.take_copy(_directory_version(answer["receivers_version"]), receivers):
                self._announce()
        age_s = answer.get("list_age_s")
        if isinstance(age_s, float):
            self._list_read_s = max(self._list_read_s, self.clock() - age_s)

    # The register

    def _on_chosen(self, state: SystemState) -> None:
        self.on_state(state)
        self._announce()

    async def _maintain(self) -> None:
        """Makes the first state, finishes what others left, and makes the change that is due."""
        if self.register.newest is None:
            await self._begin_if_everyone_is_here()
            return
        if self.register.chosen is None or self._unfinished_for_long():
            await self._learn_newest()
        state = self.register.chosen
        if state is None:
            return
        knowledge = self._knowledge()
        if not drives(state, knowledge):
            return
        change = due_change(state, knowledge)
        if change is None:
            return
        try:
            following = await self.register.propose(change, PROPOSE_TIMEOUT_S)
            log.warning("keeper.reconfigured", extra=_reconfiguration_fields(following))
        except (ChangeRefused, RegisterUnavailable) as fault:
            log.info("keeper.change_not_made", extra={"why": repr(fault)})

    def _knowledge(self) -> Knowledge:
        return Knowledge(self.me(), self.peers, self.settings.fault_tolerance.machines, self._started_s, self.clock())

    async def _begin_if_everyone_is_here(self) -> None:
        members: dict[str, str] = {}
        names: dict[str, str] = {}
        for seed in self.settings.seeds:
            address = seed_address(seed, self.settings)
            peer = self.me() if address == self.address else self.peers.at_address(address)
            if peer is None or not peer.bootstrap or peer.version >= 0:
                return
            members[peer.id] = peer.address
            names[peer.id] = peer.name
        if self.member in members:
            await self.register.begin(genesis(members, names))

    def _unfinished_for_long(self) -> bool:
        if not self.register.has_unfinished_value:
            self._unfinished_since_s = None
            return False
        if self._unfinished_since_s is None:
            self._unfinished_since_s = self.clock()
        return self.clock() - self._unfinished_since_s > UNFINISHED_WAIT_S

    async def _learn_newest(self) -> None:
        try:
            await self.register.propose(lambda state: state, PROPOSE_TIMEOUT_S)
        except RegisterUnavailable as fault:
            log.info("keeper.state_unknown", extra={"why": repr(fault)})

    # Senders

    def _announce(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle_renew(self, message: Message) -> Message:
        now_s = self.clock()
        sender = str(message["sender"])
        self.leases.renew(sender, str(message["address"]), str(message["zone"]), now_s)
        self.directory.note_version(_directory_version(message["receivers_version"]))
        state = self.register.chosen
        return {
            "type": "lease.granted",
            "duration_s": self.leases.duration_s,
            "state_version": state["version"] if state is not None else -1,
            "receivers_version": self.directory.version,
            "list_age_s": self.list_age_s(),
            "parents": self.leases.parents(sender, now_s),
            "keepers": self._control_addresses(),
            "senders": len(self.leases.live(now_s)),
        }

    def _control_addresses(self) -> list[str]:
        now_s = self.clock()
        live = [peer.address for peer in self.peers.peers.values() if peer.control and peer.silent_s(now_s) < 5.0]
        return sorted({self.address, *live})

    async def _handle_release(self, message: Message) -> Message:
        self.leases.release(str(message["sender"]))
        return {"type": "lease.released"}

    async def _handle_watch(self, message: Message) -> Message:
        """Answers at once where there is news for the caller, else with the next news or after a heartbeat."""
        state_version = int(message["state_version"])
        receivers_version = _directory_version(message["receivers_version"])
        if message.get("wait", True) and not self._has_news(state_version, receivers_version):
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), WATCH_HEARTBEAT_S)
            except TimeoutError:
                pass
        return self._news(state_version, receivers_version)

    def _has_news(self, state_version: int, receivers_version: DirectoryVersion) -> bool:
        state = self.register.chosen
        return (state is not None and state["version"] > state_version) or self.directory.version > receivers_version

    def _news(self, state_version: int, receivers_version: DirectoryVersion) -> Message:
        news: Message = {"type": "relay.news", "list_age_s": self.list_age_s()}
        state = self.register.chosen
        if state is not None and state["version"] > state_version:
            news["state"] = state
        if self.directory.version > receivers_version:
            news["receivers"] = self.directory.records()
            news["receivers_version"] = self.directory.version
        return news

    # The platform's list

    @property
    def _reading_period_s(self) -> float:
        return self.settings.bounds.drain_ms / 1000 / READINGS_IN_DRAIN

    def list_age_s(self) -> float:
        """How long ago the list was read last, by anybody that was heard of; 1e9 before the first time."""
        return min(self.clock() - self._list_read_s, 1e9)

    async def _read_list_if_due(self) -> None:
        age_s = self.list_age_s()
        due_s = self._reading_period_s if self._has_reading_duty() else STALE_READINGS * self._reading_period_s
        if age_s < due_s:
            return
        cloud = self.settings.cloud
        if cloud is None:
            return
        began_s = self.clock()
        platform = PlatformList(cloud.address)
        try:
            receivers = await asyncio.get_running_loop().run_in_executor(None, platform.read)
        except PlatformUnavailable as fault:
            log.info("keeper.list_unavailable", extra={"why": str(fault)})
            return
        self._list_read_s = max(self._list_read_s, began_s)
        if self.directory.take_reading(receivers, self.member):
            self._announce()

    def _has_reading_duty(self) -> bool:
        """The live control process with the least id reads the list."""
        now_s = self.clock()
        live = [
            peer.id
            for peer in self.peers.peers.values()
            if peer.control and not peer.leaving and peer.silent_s(now_s) < READER_LIVE_S
        ]
        return self.member <= min(live, default=self.member)


def seed_address(seed: str, settings: Settings) -> str:
    """The address for dewpin's own messages on the machine of a seed."""
    host = seed.rpartition(":")[0]
    return control_plane_address(host, settings.port_range)


def _directory_version(pair: object) -> DirectoryVersion:
    counter, reader = cast(tuple[int, str], pair)
    return DirectoryVersion(int(counter), str(reader))


def _reconfiguration_fields(state: SystemState) -> dict[str, object]:
    return {
        "version": state["version"],
        "members": list(state["members"]),
        "stores": list(state["stores"]["stable"]),
        "next_stores": list(state["stores"]["next"] or {}),
    }
