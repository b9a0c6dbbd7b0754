"""One process of the control plane: its peers, its part in the register, leases, the platform's list.

Everything here runs on one asyncio loop; the disk and the platform's list are read by threads of their own.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Callable
from typing import Protocol, cast

from dewpin.cluster.placement import location_of
from dewpin.cluster.platform_list import ReadsPlatform
from dewpin.cluster.ports import control_plane_address
from dewpin.cluster.receivers import DirectoryVersion, receiver_from_record
from dewpin.cluster.rpc import Handler, Message, RpcClient, RpcError
from dewpin.cluster.settings import Settings
from dewpin.cluster.settings_watch import reloaded
from dewpin.consensus import Ballot

from .leases import LeaseTable
from .list_reader import ListReader
from .peers import Peer, PeerRecord, PeerTable
from .reconfiguration import Knowledge, drives, due_change
from .register import RegisterUnavailable, SystemRegister, WritesRows
from .system_state import ChangeRefused, SystemState, genesis

log = logging.getLogger(__name__)

HELLO_PERIOD_S = 0.25
HELLO_TIMEOUT_S = 0.6
HELLO_FORGET_S = 20.0
PROPOSE_TIMEOUT_S = 2.0
MOST_CHANGES_AT_ONCE = 8
WATCH_HEARTBEAT_S = 1.0
RENEWALS_IN_BOUND = 5
READER_LIVE_S = 0.8
UNFINISHED_WAIT_S = 0.3
CONTROL_KNOWN_S = 5.0


class MemberStorage(WritesRows, Protocol):
    """The storage of this process, with the id that its folder was given."""

    @property
    def incarnation(self) -> str: ...


class Keeper:
    """The control plane's process on one machine."""

    def __init__(
        self,
        settings: Settings,
        storage: MemberStorage,
        client: RpcClient,
        rng: random.Random,
        clock: Callable[[], float] = time.monotonic,
        platform: ReadsPlatform | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.address = control_plane_address(settings.ip, settings.port_range)
        self.member = storage.incarnation
        self.register = SystemRegister(self.member, self.address, storage, client, rng)
        self.register.on_chosen = self._on_chosen
        self.peers = PeerTable()
        self.list = ListReader(self.member, settings.bounds.drain_ms / 1000, clock, platform)
        self.directory = self.list.directory
        self.leases = LeaseTable(settings.bounds.config_apply_ms / 1000 / RENEWALS_IN_BOUND)
        self.on_state: Callable[[SystemState], None] = lambda state: None
        self.synced_epoch: Callable[[], int] = lambda: 0
        self._storage = storage
        self._client = client
        self._rng = rng
        self._bootstrap = settings.bootstrap
        self._leaving = False
        self._started_s = clock()
        self._changed = asyncio.Event()
        self._unfinished_since_s: float | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self._greetings: set[asyncio.Task[None]] = set()

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

    async def load(self) -> None:
        """Takes up the disk's state. To be awaited before anybody may call the handlers."""
        await self._load_bootstrap()
        await self.register.load()

    def start(self) -> None:
        """Begins to speak to the others."""
        self._tasks = [
            asyncio.ensure_future(self._repeat(HELLO_PERIOD_S, self.greet_everyone)),
            asyncio.ensure_future(self._repeat(HELLO_PERIOD_S, self._maintain)),
        ]
        if "control" in self.settings.serves:
            self._tasks.append(asyncio.ensure_future(self._repeat(0.0, self._read_list_when_due)))

    def take_settings(self, settings: Settings) -> None:
        """Takes up a changed settings file: the seeds and the platform's address; what was bound at the start stays."""
        self.settings = reloaded(self.settings, settings)
        self.greet_everyone()

    def leave(self) -> None:
        """Tells the others that this process is about to end."""
        self._leaving = True
        self.greet_everyone()

    async def stop(self) -> None:
        """Ends what was started."""
        tasks = [*self._tasks, *self._greetings]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

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
            list_fails=self.list.has_failed,
            location=location_of(self.settings.region, self.settings.zone),
        )

    def me(self) -> Peer:
        """This process as a peer."""
        return Peer(**self.record(), last_heard_s=self.clock())

    def greet_everyone(self) -> None:
        """Introduces this process to all others now; whoever is behind asks for what it lacks."""
        for address in self._addresses_to_greet():
            self._begin_greeting(address)

    def _begin_greeting(self, address: str) -> None:
        task = asyncio.ensure_future(self._greet(address))
        self._greetings.add(task)
        task.add_done_callback(self._greetings.discard)

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
        receivers_version = _directory_version(message["receivers"])
        if self._is_behind(peer, receivers_version):
            self._begin_greeting(peer.address)
        answer: Message = {
            "type": "keeper.hello",
            "from": self.record(),
            "receivers_version": self.directory.version,
            "list_age_s": self.list.age_s(),
        }
        state = self.register.chosen
        if state is not None and state["version"] > peer.version:
            answer["state"] = state
            answer["ballot"] = self.register.chosen_ballot
        if self.directory.version > receivers_version:
            answer["receivers"] = self.directory.records()
        return answer

    def _is_behind(self, peer: Peer, receivers_version: DirectoryVersion) -> bool:
        state = self.register.chosen
        version = state["version"] if state is not None else -1
        return peer.version > version or receivers_version > self.directory.version

    def _hear(self, answer: Message) -> None:
        self.peers.hear(cast(PeerRecord, answer["from"]), self.clock())
        if "state" in answer:
            counter, proposer = answer["ballot"]
            self.register.observe(Ballot(counter, proposer), answer["state"])
        version, age_s = _directory_version(answer["receivers_version"]), float(answer["list_age_s"])
        if "receivers" in answer:
            receivers = [receiver_from_record(record) for record in answer["receivers"]]
            if self.list.take_copy(version, receivers, age_s):
                self._announce()
        self.list.note_age(version, age_s)

    # The register

    def _on_chosen(self, state: SystemState) -> None:
        self.on_state(state)
        self._announce()
        self.greet_everyone()

    async def _maintain(self) -> None:
        """Makes the first state, finishes what others left, and makes the change that is due."""
        if self.register.newest is None:
            await self._begin_if_everyone_is_here()
            return
        if self.register.chosen is None or self._unfinished_for_long():
            await self._learn_newest()
        for _ in range(MOST_CHANGES_AT_ONCE):
            if not await self._make_due_change():
                return

    async def _make_due_change(self) -> bool:
        """Makes the next change of members or stores, if this process drives them; whether one was made."""
        state, knowledge = self.register.chosen, self._knowledge()
        if state is None or not drives(state, knowledge):
            return False
        change = due_change(state, knowledge)
        if change is None:
            return False
        try:
            following = await self.register.propose(change, PROPOSE_TIMEOUT_S)
        except (ChangeRefused, RegisterUnavailable) as fault:
            log.info("keeper.change_not_made", extra={"why": repr(fault)})
            return False
        log.warning("keeper.reconfigured", extra=_reconfiguration_fields(following))
        return True

    def _knowledge(self) -> Knowledge:
        return Knowledge(
            self.me(), self.peers, self.settings.fault_tolerance.replica_count, self._started_s, self.clock()
        )

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
        keepers = self._control_addresses()
        self.leases.renew(sender, str(message["address"]), str(message["zone"]), now_s, len(keepers))
        self.directory.note_version(_directory_version(message["receivers_version"]))
        state = self.register.chosen
        return {
            "type": "lease.granted",
            "duration_s": self.leases.duration_s(len(keepers)),
            "state_version": state["version"] if state is not None else -1,
            "receivers_version": self.directory.version,
            "list_age_s": self.list.age_s(),
            "parents": self.leases.parents(sender, now_s),
            "keepers": keepers,
            "senders": len(self.leases.live(now_s)),
        }

    def _control_addresses(self) -> list[str]:
        now_s = self.clock()
        live = [
            peer.address
            for peer in self.peers.peers.values()
            if peer.control and peer.silent_s(now_s) < CONTROL_KNOWN_S
        ]
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
        news: Message = {
            "type": "relay.news",
            "receivers_version": self.directory.version,
            "list_age_s": self.list.age_s(),
        }
        state = self.register.chosen
        if state is not None and state["version"] > state_version:
            news["state"] = _without_history(state)
        if self.directory.version > receivers_version:
            news["receivers"] = self.directory.records()
        return news

    # The platform's list

    async def _read_list_when_due(self) -> None:
        await asyncio.sleep(self.list.wait_s(self._has_reading_duty()))
        cloud = self.settings.cloud
        if cloud is None or not self.list.is_due(self._has_reading_duty()):
            return
        if await self.list.read(cloud):
            self._announce()
            self.greet_everyone()

    def _has_reading_duty(self) -> bool:
        """The live control process with the least id reads the list, among those whose readings succeed if any do."""
        now_s = self.clock()
        live = [
            (peer.list_fails, peer.id)
            for peer in self.peers.peers.values()
            if peer.control and not peer.leaving and peer.silent_s(now_s) < READER_LIVE_S
        ]
        own = (self.list.has_failed, self.member)
        return own <= min(live, default=own)


def seed_address(seed: str, settings: Settings) -> str:
    """The address for dewpin's own messages on the machine of a seed."""
    host = seed.rpartition(":")[0]
    return control_plane_address(host, settings.port_range)


def _without_history(state: SystemState) -> Message:
    """The state as senders get it: they have no use for the orders that were taken before."""
    return {name: value for name, value in state.items() if name != "accepted"}


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
