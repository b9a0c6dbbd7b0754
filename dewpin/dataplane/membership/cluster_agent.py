"""A sender's membership of the cluster: its lease, its position in the relay tree, and what it learns there.

The agent runs on an asyncio loop in a thread of its own. Updates arrive from a parent in the relay tree
(`relay_subscription`); the answers to the renewals of the lease, which the control servers give in turn, show what the
parent has missed (`lease_renewer`). Both apply updates to the same `ClusterKnowledge`.
"""

from __future__ import annotations

import asyncio
import logging
import random
import time
from collections.abc import Awaitable, Callable

from dewpin.cluster.platform_list import PlatformReader, ThreadedPlatformReader
from dewpin.cluster.ports import control_plane_address, data_plane_address
from dewpin.cluster.receivers import ReceiverDirectory
from dewpin.cluster.relay_messages import StateJson
from dewpin.cluster.rpc import Handler, RpcClient
from dewpin.cluster.settings import Settings
from dewpin.cluster.settings_watch import reloaded
from dewpin.dataplane.membership.cluster_knowledge import ClusterKnowledge
from dewpin.dataplane.membership.control_server_list import ControlServerList
from dewpin.dataplane.membership.lease_renewer import LeaseRenewer, renewal_period_s
from dewpin.dataplane.membership.receiver_list import ReceiverList
from dewpin.dataplane.membership.relay_subscription import RelaySubscription
from dewpin.dataplane.membership.state_confirmation import StateConfirmation
from dewpin.dataplane.membership.update_sources import UpdateSources

log = logging.getLogger(__name__)

STEP_ERROR_BACKOFF_S = 0.5
"""Back-off after a step that raised an unexpected exception."""


class ClusterAgent:
    """Keeps what a sender knows of the cluster current. It owns its tasks from `start` to `stop`.

    settings: the current settings of the process.
    address: where this sender answers requests of senders below in the relay tree.
    knowledge: the system state and the list of receivers.
    on_state, on_receivers, on_sender_count: called on the agent's loop when that has changed.
    clock: monotonic, in seconds.
    """

    def __init__(
        self,
        settings: Settings,
        client: RpcClient,
        rng: random.Random,
        on_state: Callable[[StateJson], None],
        on_receivers: Callable[[ReceiverDirectory], None],
        clock: Callable[[], float] = time.monotonic,
        platform: PlatformReader | None = None,
        on_sender_count: Callable[[int], None] = lambda sender_count: None,
    ) -> None:
        self.settings = settings
        self.address = data_plane_address(settings.ip, settings.port_range)
        sender_id = f"{settings.node_name}/{rng.getrandbits(48):012x}"
        self._receiver_list = ReceiverList(platform or ThreadedPlatformReader(), rng, on_receivers, clock)
        self._control_servers = ControlServerList(self._seed_addresses(), rng)
        sources = UpdateSources(self._control_servers, clock)
        self.knowledge = ClusterKnowledge(
            client, self.address, sources, self._receiver_list, on_state, self._max_state_age_s, clock
        )
        self._lease = LeaseRenewer(
            client,
            sender_id,
            self.address,
            lambda: self.settings,
            self._control_servers,
            sources,
            self.knowledge,
            on_sender_count,
            rng,
            clock,
        )
        self._subscription = RelaySubscription(
            client, sources, self.knowledge, lambda: renewal_period_s(self.settings), clock
        )
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def handlers(self) -> dict[str, Handler]:
        """The handlers of requests of the senders below in the relay tree."""
        return self.knowledge.handlers

    @property
    def directory(self) -> ReceiverDirectory:
        """The receivers that this sender knows."""
        return self._receiver_list.directory

    @property
    def confirmation(self) -> StateConfirmation:
        """As of when a majority has confirmed the system state."""
        return self.knowledge.confirmation

    @property
    def has_control_plane_contact(self) -> bool:
        """Whether a control server answered a renewal lately; False where this sender is cut off."""
        return self._lease.has_control_plane_contact

    def is_state_current(self) -> bool:
        """Return whether a majority has confirmed the state within the time that a change has to come into force.

        A change that is not in such a state was not acknowledged before that time.
        """
        return self.knowledge.is_current()

    def receiver_list_age_s(self) -> float:
        """Return how long ago the list that the receivers come from was read, by this sender or another process."""
        return self._receiver_list.age_s()

    def start(self) -> None:
        """Start to renew the lease and to subscribe to updates. Must be called on the agent's loop."""
        self._tasks = [
            asyncio.ensure_future(_repeat("_renew_and_pause", self._lease.renew_and_wait)),
            asyncio.ensure_future(_repeat("_watch", self._subscription.watch)),
            asyncio.ensure_future(_repeat("_guard_list", self._check_receiver_list)),
        ]

    async def stop(self) -> None:
        """Cancel all tasks and release the lease at all control servers."""
        for task in self._tasks:
            task.cancel()
        self.knowledge.stop()
        await self._lease.release()

    def apply_settings(self, settings: Settings) -> None:
        """Use the seeds and the platform's address of a changed settings file; what the start has bound stays."""
        self.settings = reloaded(self.settings, settings)
        self._control_servers.set_seeds(self._seed_addresses())

    def _seed_addresses(self) -> list[str]:
        ports = self.settings.port_range
        return [control_plane_address(seed.rpartition(":")[0], ports) for seed in self.settings.seeds]

    def _max_state_age_s(self) -> float:
        return self.settings.bounds.config_apply_ms / 1000

    async def _check_receiver_list(self) -> None:
        """Read the platform's list where no control server provides it in time."""
        await self._receiver_list.wait_for_next_check(self.settings)
        if self.knowledge.system_state.complete is not None:
            await self._receiver_list.read_if_stale(self.settings, self._lease.sender_count)


async def _repeat(name: str, step: Callable[[], Awaitable[None]]) -> None:
    """Run a step again and again; an unexpected exception is logged and does not end the other steps.

    name: the step's name in the log.
    """
    while True:
        try:
            await step()
        except Exception:
            log.exception("agent.step_failed", extra={"step": name})
            await asyncio.sleep(STEP_ERROR_BACKOFF_S)
