"""A sender's part in the cluster: its lease, its place in the relay tree, and what it learns there.

The agent runs on an asyncio loop in a thread of its own. News come from a parent in the relay tree; the answers to the
renewals of the lease, given by the control servers in turn, tell what the parent has missed.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable

from dewpin.cluster.body_messages import RELAY_BODY
from dewpin.cluster.body_pages import BodyPageService, KnownBody
from dewpin.cluster.errors import ErrorKind
from dewpin.cluster.platform_list import PlatformReader, ThreadedPlatformReader
from dewpin.cluster.ports import control_plane_address, data_plane_address
from dewpin.cluster.receivers import ReceiverDirectory
from dewpin.cluster.relay_messages import (
    LEASE_RELEASE,
    RELAY_WATCH,
    LeaseGrant,
    RelayUpdate,
    RenewRequest,
    StateJson,
    WatchRequest,
)
from dewpin.cluster.relay_service import RelayedKnowledge, RelayService
from dewpin.cluster.rpc import Handler, Message, RpcClient, RpcError
from dewpin.cluster.settings import Settings
from dewpin.cluster.settings_watch import reloaded
from dewpin.dataplane.membership.body_fetch import BodyFetch
from dewpin.dataplane.membership.control_server_list import ControlServerList
from dewpin.dataplane.membership.local_system_state import LocalSystemState
from dewpin.dataplane.membership.receiver_list import ReceiverList
from dewpin.dataplane.membership.sender_count import SenderCount
from dewpin.dataplane.membership.state_confirmation import StateConfirmation

log = logging.getLogger(__name__)

RENEWALS_IN_BOUND = 5
FRESH_RENEWALS = 4
"""A sender that has missed so many renewals in a row takes itself for cut off."""
UNCONFIRMED_PERIOD_S = 0.1
"""Between renewals before the first confirmed state: the next answer may bring a majority's word."""
MOST_REFUSALS_COUNTED = 8
RENEW_TIMEOUT_S = 0.35
WATCH_TIMEOUT_S = 1.7
WATCH_RETRY_S = 0.05
FAULT_PAUSE_S = 0.5
PARENT_SHUN_S = 3.0
SHORTEST_PAUSE_S = 0.02


class ClusterAgent:
    """Keeps a sender's view of the cluster. Callbacks run on the agent's loop."""

    def __init__(
        self,
        settings: Settings,
        client: RpcClient,
        rng: random.Random,
        on_state: Callable[[StateJson], None],
        on_receivers: Callable[[ReceiverDirectory], None],
        clock: Callable[[], float] = time.monotonic,
        platform: PlatformReader | None = None,
        on_senders: Callable[[int], None] = lambda senders: None,
    ) -> None:
        self.settings = settings
        self.address = data_plane_address(settings.ip, settings.port_range)
        self.sender = f"{settings.node_name}/{rng.getrandbits(48):012x}"
        self.states = LocalSystemState()
        self._list = ReceiverList(platform or ThreadedPlatformReader(), rng, on_receivers, clock)
        self.directory = self._list.directory
        self.confirmation = StateConfirmation(clock())
        self._control_answered_s = float("-inf")
        self._refusals = 0
        self.senders = 0
        self._client = client
        self._rng = rng
        self._on_state = on_state
        self._on_senders = on_senders
        self._sender_count = SenderCount()
        self._clock = clock
        self._control_servers = ControlServerList(self._seed_addresses(), rng)
        self._parents: list[str] = []
        self._shunned_until_s: dict[str, float] = {}
        self._relay = RelayService(self._relayed_knowledge)
        self._pages = BodyPageService(self._known_body, clock)
        self._fetch = BodyFetch(client, self.address, self, self._pages.announce, self._take_body, clock)
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def handlers(self) -> dict[str, Handler]:
        """What this sender answers to its children in the relay tree."""
        return {RELAY_WATCH: self._relay.handle_watch, RELAY_BODY: self._pages.handle}

    @property
    def state(self) -> StateJson | None:
        """The newest system state that is held whole."""
        return self.states.whole

    def start(self) -> None:
        """Begins to renew the lease and to follow the relay tree. Called on the agent's loop."""
        self._tasks = [
            asyncio.ensure_future(_repeat(self._renew_and_pause)),
            asyncio.ensure_future(_repeat(self._watch)),
            asyncio.ensure_future(_repeat(self._guard_list)),
        ]

    def take_settings(self, settings: Settings) -> None:
        """Takes up a changed settings file: the seeds and the platform's address; what was bound at the start stays."""
        self.settings = reloaded(self.settings, settings)
        self._control_servers.set_seeds(self._seed_addresses())

    async def stop(self) -> None:
        """Gives the lease up, at all that grant it."""
        for task in self._tasks:
            task.cancel()
        self._fetch.stop()
        message: Message = {"type": LEASE_RELEASE, "sender": self.sender}
        calls = [
            self._client.call(control_server, message, RENEW_TIMEOUT_S)
            for control_server in self._control_servers.all()
        ]
        await asyncio.gather(*calls, return_exceptions=True)

    @property
    def hears_control(self) -> bool:
        """Whether a control process has answered a renewal a short while ago, if only that it reaches no majority;
        false where this sender is cut off."""
        fresh_s = FRESH_RENEWALS * self._renewal_period_s()
        return self._clock() - self._control_answered_s < fresh_s

    def knows_current_state(self) -> bool:
        """Whether a majority has confirmed the state held here within the time that a configuration has to come into
        force: what is not in it was not acknowledged before that time."""
        return self.confirmation.age_s(self._clock()) <= self._apply_s()

    def _apply_s(self) -> float:
        return self.settings.bounds.config_apply_ms / 1000

    def _renewal_period_s(self) -> float:
        return self._apply_s() / RENEWALS_IN_BOUND

    def list_age_s(self) -> float:
        """How long ago the list that this sender's receivers come from was read, by anybody."""
        return self._list.age_s()

    # The lease

    async def _renew_and_pause(self) -> None:
        period_s = self._renewal_period_s()
        began_s = self._clock()
        if not await self._renew(self._control_servers.next(began_s)):
            await asyncio.sleep(self._pause_after_failure_s())
            return
        if not self.confirmation.is_confirmed:
            period_s = min(period_s / 4, UNCONFIRMED_PERIOD_S)
        pause_s = period_s * (0.9 + 0.2 * self._rng.random()) - (self._clock() - began_s)
        await asyncio.sleep(max(pause_s, SHORTEST_PAUSE_S))

    def _pause_after_failure_s(self) -> float:
        """Short while another control process may be asked; all senders together are not to flood one that refuses."""
        period_s = self._renewal_period_s()
        if self._control_servers.usable(self._clock()):
            return period_s / 8
        return min(period_s, period_s / 4 * float(2**self._refusals))

    async def _renew(self, control_server: str) -> bool:
        """Renews the lease at one control server and asks it for what it has newer; whether it was granted."""
        asked_s = self._clock()
        request = RenewRequest(self.sender, self.address, self.settings.zone, self.directory.version)
        try:
            grant = LeaseGrant.decode(await self._client.call(control_server, request.encode(), RENEW_TIMEOUT_S))
            self._take_lease(grant)
            if self._is_behind(grant):
                await self._fetch_news(control_server)
            else:
                self._list.note_age(grant.receivers_version, asked_s - grant.list_age_s)
            if self.states.told_version >= grant.state_version:
                self.confirmation.confirm(asked_s - grant.knowledge_age_s)
        except (RpcError, KeyError, TypeError, ValueError) as fault:
            self._note_failure(control_server, fault)
            return False
        self._control_servers.answered(control_server, self._clock())
        self._refusals = 0
        return True

    def _note_failure(self, control_server: str, fault: Exception) -> None:
        log.debug("lease.not_renewed", extra={"control_server": control_server, "why": repr(fault)})
        now_s = self._clock()
        if isinstance(fault, RpcError) and fault.kind == ErrorKind.NO_QUORUM:
            self._control_answered_s = now_s
            self._refusals = min(self._refusals + 1, MOST_REFUSALS_COUNTED)
            self._control_servers.refused(control_server, now_s)
        else:
            self._control_servers.failed(control_server, now_s)

    def _take_lease(self, grant: LeaseGrant) -> None:
        self._control_servers.named(grant.control_addresses, self._clock())
        self._parents = list(grant.parents)
        senders = self._sender_count.told(grant.senders, grant.duration_s, self._clock())
        if senders != self.senders:
            self.senders = senders
            self._on_senders(senders)
        self._control_answered_s = self._clock()

    def _is_behind(self, grant: LeaseGrant) -> bool:
        return grant.state_version > self.states.told_version or grant.receivers_version > self.directory.version

    async def _fetch_news(self, control_server: str) -> None:
        asked_s = self._clock()
        answer = await self._client.call(control_server, self._watch_request(waits=False).encode(), WATCH_TIMEOUT_S)
        self._take_news(RelayUpdate.decode(answer), asked_s)

    def _seed_addresses(self) -> list[str]:
        ports = self.settings.port_range
        return [control_plane_address(seed.rpartition(":")[0], ports) for seed in self.settings.seeds]

    # The relay tree

    async def _watch(self) -> None:
        source, asked_s = self._watch_source(), self._clock()
        try:
            answer = await self._client.call(source, self._watch_request(waits=True).encode(), WATCH_TIMEOUT_S)
            self._take_news(RelayUpdate.decode(answer), asked_s)
        except (RpcError, KeyError, TypeError, ValueError) as fault:
            self._shunned_until_s[source] = self._clock() + PARENT_SHUN_S
            log.debug("relay.parent_failed", extra={"parent": source, "why": repr(fault)})
            has_others = self._watch_source() not in self._shunned_until_s
            await asyncio.sleep(WATCH_RETRY_S if has_others else self._renewal_period_s())

    def _watch_source(self) -> str:
        now_s = self._clock()
        self._shunned_until_s = {one: until_s for one, until_s in self._shunned_until_s.items() if until_s > now_s}
        sources = [*self.parents(), *self.control_servers()]
        return next((one for one in sources if one not in self._shunned_until_s), sources[-1])

    def _watch_request(self, waits: bool) -> WatchRequest:
        return WatchRequest(self.states.told_version, self.directory.version, waits, self.states.generation)

    def _take_news(self, news: RelayUpdate, asked_s: float) -> None:
        """Takes an answer to a watch. Ages count from when it was asked: it may have been held up on its way."""
        changed = False
        if news.state is not None and self.states.take(news.state):
            self._put_in_force()
            changed = True
        list_read_s = asked_s - news.list_age_s
        if news.receivers is not None and self._list.take_copy(news.receivers_version, news.receivers, list_read_s):
            changed = True
        self._list.note_age(news.receivers_version, list_read_s)
        self.confirmation.confirm(asked_s - news.knowledge_age_s)
        if changed:
            self._relay.announce()

    def _put_in_force(self) -> None:
        """Puts the newest state in force as far as it is here, and fetches the body that it lacks."""
        self.confirmation.note_held(self.states.is_whole)
        self._on_state(self.states.in_force)
        self._fetch.want(self.states.lacking)
        self._pages.announce()

    def _take_body(self, digest: str, body: str) -> None:
        if self.states.take_body(digest, body):
            self._put_in_force()
            self._relay.announce()

    def _known_body(self, digest: str) -> KnownBody | None:
        body = self.states.body_of(digest)
        return KnownBody(body, len(body)) if body is not None else self._fetch.known(digest)

    def parents(self) -> list[str]:
        """The senders above this one in the relay tree, the nearest first."""
        return self._parents

    def control_servers(self) -> list[str]:
        """The control servers, those that failed just now at the end."""
        return [*self._control_servers.usable(self._clock()), *self._control_servers.all()]

    def _relayed_knowledge(self) -> RelayedKnowledge:
        return RelayedKnowledge(
            state=self.states.told,
            directory=self.directory,
            list_age_s=self._list.shared_age_s(),
            age_s=self.confirmation.told_age_s(self._clock()),
            is_current=self.confirmation.told_age_s(self._clock()) <= self._apply_s(),
        )

    # The list, where no control server can give it in time

    async def _guard_list(self) -> None:
        await self._list.pause(self.settings)
        if self.state is not None:
            await self._list.read_if_stale(self.settings, self.senders)


async def _repeat(step: Callable[[], Awaitable[None]]) -> None:
    """Runs a step again and again; one that fails in an unforeseen way is logged and does not end the others."""
    while True:
        try:
            await step()
        except Exception:
            log.exception("agent.step_failed", extra={"step": getattr(step, "__name__", "")})
            await asyncio.sleep(FAULT_PAUSE_S)
