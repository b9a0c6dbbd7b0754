"""A sender's part in the cluster: its lease, its place in the relay tree, and what it learns there.

The agent runs on an asyncio loop in a thread of its own. News come from a parent in the relay tree; the answers to the
renewals of the lease, given by the keepers in turn, tell what the parent has missed.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import logging
import random
import time
from collections.abc import Callable
from typing import Any, cast

from dewpin.cluster.platform_list import PlatformList, PlatformUnavailable
from dewpin.cluster.ports import control_plane_address, data_plane_address
from dewpin.cluster.receivers import DirectoryVersion, ReceiverDirectory, receiver_from_record
from dewpin.cluster.rpc import Handler, Message, RpcClient, RpcError
from dewpin.cluster.settings import Settings

log = logging.getLogger(__name__)

RENEWALS_IN_BOUND = 5
RENEW_TIMEOUT_S = 0.35
WATCH_TIMEOUT_S = 1.2
WATCH_HEARTBEAT_S = 0.5
WATCH_RETRY_S = 0.05
PARENT_SHUN_S = 3.0
STALE_SHARE_OF_DRAIN = 0.5
OWN_READING_SHARE_OF_DRAIN = 0.4
UNKNOWN_AGE_S = 1e9

SystemStateJson = dict[str, Any]


class ClusterAgent:
    """Keeps a sender's view of the cluster. Callbacks run on the agent's loop."""

    def __init__(
        self,
        settings: Settings,
        client: RpcClient,
        rng: random.Random,
        on_state: Callable[[SystemStateJson], None],
        on_receivers: Callable[[ReceiverDirectory], None],
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.settings = settings
        self.address = data_plane_address(settings.ip, settings.port_range)
        self.sender = f"{settings.node_name}/{rng.getrandbits(48):012x}"
        self.state: SystemStateJson | None = None
        self.directory = ReceiverDirectory()
        self.has_lease = False
        self.senders = 0
        self._client = client
        self._rng = rng
        self._on_state = on_state
        self._on_receivers = on_receivers
        self._clock = clock
        self._keepers = [self._seed_address(seed) for seed in settings.seeds]
        rng.shuffle(self._keepers)
        self._parents: list[str] = []
        self._shunned_until_s: dict[str, float] = {}
        self._list_read_s = float("-inf")
        self._own_reading_s = float("-inf")
        self._changed = asyncio.Event()
        self._turns = itertools.count()
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def handlers(self) -> dict[str, Handler]:
        """What this sender answers to its children in the relay tree."""
        return {"relay.watch": self._handle_watch}

    def start(self) -> None:
        """Begins to renew the lease and to follow the relay tree. Called on the agent's loop."""
        self._tasks = [
            asyncio.ensure_future(self._renew_forever()),
            asyncio.ensure_future(self._watch_forever()),
            asyncio.ensure_future(self._guard_list_forever()),
        ]

    async def stop(self) -> None:
        """Gives the lease up."""
        for task in self._tasks:
            task.cancel()
        with contextlib.suppress(RpcError):
            message: Message = {"type": "lease.release", "sender": self.sender}
            await self._client.call(self._next_keeper(), message, RENEW_TIMEOUT_S)

    def list_age_s(self) -> float:
        """How long ago the list that this sender's receivers come from was read."""
        return min(self._clock() - self._list_read_s, UNKNOWN_AGE_S)

    # The lease

    async def _renew_forever(self) -> None:
        period_s = self.settings.bounds.config_apply_ms / 1000 / RENEWALS_IN_BOUND
        while True:
            began_s = self._clock()
            await self._renew(self._next_keeper())
            pause_s = period_s * (0.9 + 0.2 * self._rng.random()) - (self._clock() - began_s)
            await asyncio.sleep(max(pause_s if self.has_lease else pause_s / 4, 0.02))

    async def _renew(self, keeper: str) -> None:
        message: Message = {
            "type": "lease.renew",
            "sender": self.sender,
            "address": self.address,
            "zone": self.settings.zone,
            "receivers_version": self.directory.version,
        }
        try:
            answer = await self._client.call(keeper, message, RENEW_TIMEOUT_S)
            self.has_lease = True
            self.senders = int(answer["senders"])
            self._parents = [str(parent) for parent in answer["parents"]]
            self._take_keepers([str(address) for address in answer["keepers"]])
            if self._is_behind(answer):
                await self._fetch(keeper)
            else:
                self._note_age(answer)
        except (RpcError, KeyError, TypeError, ValueError) as fault:
            log.debug("lease.not_renewed", extra={"keeper": keeper, "why": repr(fault)})

    def _is_behind(self, answer: Message) -> bool:
        version = self.state["version"] if self.state is not None else -1
        return int(answer["state_version"]) > version or _version(answer["receivers_version"]) > self.directory.version

    async def _fetch(self, keeper: str) -> None:
        self._take_news(await self._client.call(keeper, self._watch_message(wait=False), WATCH_TIMEOUT_S))

    def _take_keepers(self, keepers: list[str]) -> None:
        if set(keepers) - set(self._keepers):
            self._rng.shuffle(keepers)
            self._keepers = keepers + [one for one in self._keepers if one not in keepers]
        seeds = {self._seed_address(seed) for seed in self.settings.seeds}
        self._keepers = [one for one in self._keepers if one in keepers or one in seeds]

    def _next_keeper(self) -> str:
        return self._keepers[next(self._turns) % len(self._keepers)]

    def _seed_address(self, seed: str) -> str:
        return control_plane_address(seed.rpartition(":")[0], self.settings.port_range)

    # The relay tree

    async def _watch_forever(self) -> None:
        while True:
            source = self._watch_source()
            try:
                news = await self._client.call(source, self._watch_message(wait=True), WATCH_TIMEOUT_S)
                self._take_news(news)
            except (RpcError, KeyError, TypeError, ValueError) as fault:
                self._shunned_until_s[source] = self._clock() + PARENT_SHUN_S
                log.debug("relay.parent_failed", extra={"parent": source, "why": repr(fault)})
                await asyncio.sleep(WATCH_RETRY_S)

    def _watch_source(self) -> str:
        now_s = self._clock()
        usable = [one for one in (*self._parents, *self._keepers) if self._shunned_until_s.get(one, 0.0) <= now_s]
        return usable[0] if usable else self._next_keeper()

    def _watch_message(self, wait: bool) -> Message:
        return {
            "type": "relay.watch",
            "state_version": self.state["version"] if self.state is not None else -1,
            "receivers_version": self.directory.version,
            "wait": wait,
        }

    def _take_news(self, news: Message) -> None:
        changed = False
        state = news.get("state")
        if state is not None and (self.state is None or state["version"] > self.state["version"]):
            self.state = state
            self._on_state(state)
            changed = True
        if "receivers" in news:
            receivers = [receiver_from_record(record) for record in news["receivers"]]
            if self.directory.take_copy(_version(news["receivers_version"]), receivers):
                self._on_receivers(self.directory)
                changed = True
        self._note_age(news)
        if changed:
            self._announce()

    def _note_age(self, answer: Message) -> None:
        self._list_read_s = max(self._list_read_s, self._clock() - float(answer["list_age_s"]))

    def _announce(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle_watch(self, message: Message) -> Message:
        state_version = int(message["state_version"])
        receivers_version = _version(message["receivers_version"])
        if not self._has_news(state_version, receivers_version):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), WATCH_HEARTBEAT_S)
        news: Message = {"type": "relay.news", "list_age_s": self.list_age_s()}
        if self.state is not None and self.state["version"] > state_version:
            news["state"] = self.state
        if self.directory.version > receivers_version:
            news["receivers"] = self.directory.records()
            news["receivers_version"] = self.directory.version
        return news

    def _has_news(self, state_version: int, receivers_version: DirectoryVersion) -> bool:
        newer_state = self.state is not None and self.state["version"] > state_version
        return newer_state or self.directory.version > receivers_version

    # The list, where no keeper can give it in time

    async def _guard_list_forever(self) -> None:
        drain_s = self.settings.bounds.drain_ms / 1000
        while True:
            await asyncio.sleep(drain_s / 10 * (0.8 + 0.4 * self._rng.random()))
            if self.state is None or self.list_age_s() < STALE_SHARE_OF_DRAIN * drain_s:
                continue
            if self._clock() - self._own_reading_s >= OWN_READING_SHARE_OF_DRAIN * drain_s:
                self._own_reading_s = self._clock()
                await self._read_list()

    async def _read_list(self) -> None:
        cloud = self.settings.cloud
        if cloud is None:
            return
        began_s = self._clock()
        try:
            platform = PlatformList(cloud.address)
            receivers = await asyncio.get_running_loop().run_in_executor(None, platform.read)
        except PlatformUnavailable as fault:
            log.info("receivers.list_unavailable", extra={"why": str(fault)})
            return
        self._list_read_s = max(self._list_read_s, began_s)
        if self.directory.take_private_reading(receivers):
            self._on_receivers(self.directory)


def _version(pair: object) -> DirectoryVersion:
    counter, reader = cast(tuple[int, str], pair)
    return DirectoryVersion(int(counter), str(reader))
