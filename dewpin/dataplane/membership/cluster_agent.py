"""A sender's cluster membership: its lease, its position in the relay tree and the updates that it receives.

The agent runs on an asyncio event loop in a dedicated thread. Updates arrive from a parent in the relay tree
(`relay_subscription`). The lease is renewed at the control servers in rotation, and their grants reveal updates that
the parent has missed (`lease_renewer`). Both apply updates to the same `ClusterKnowledge`.
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
"""Delay before a step that raised an unexpected exception is repeated."""


class ClusterAgent:
    """Keeps a sender's knowledge of the cluster up to date. It owns its tasks from `start` to `stop`.

    settings: the current settings of the process.
    address: the address at which this sender serves its children in the relay tree.
    knowledge: the system state and the list of receivers.
    on_state, on_receivers, on_sender_count: called on the agent's event loop after a change of the respective value.
    clock: returns the monotonic time in seconds.
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
        """The request handlers for the children in the relay tree."""
        return self.knowledge.handlers

    @property
    def directory(self) -> ReceiverDirectory:
        """The known receivers."""
        return self._receiver_list.directory

    @property
    def confirmation(self) -> StateConfirmation:
        """The confirmation of the system state by a majority."""
        return self.knowledge.confirmation

    @property
    def has_control_plane_contact(self) -> bool:
        """Whether a control server has recently answered a renewal; False means that this sender is cut off."""
        return self._lease.has_control_plane_contact

    def is_state_current(self) -> bool:
        """Return whether a majority has confirmed the state within the time limit for applying a change.

        A change that is missing from such a state is not acknowledged, or was acknowledged within the last such period.
        """
        return self.knowledge.is_current()

    def receiver_list_age_s(self) -> float:
        """Return the time since the receiver list was read from the platform, by this sender or another process."""
        return self._receiver_list.age_s()

    def start(self) -> None:
        """Start to renew the lease and to subscribe to updates; must be called on the agent's event loop."""
        self._tasks = [
            asyncio.ensure_future(_run_repeatedly("_renew_and_pause", self._lease.renew_and_wait)),
            asyncio.ensure_future(_run_repeatedly("_watch", self._subscription.watch)),
            asyncio.ensure_future(_run_repeatedly("_guard_list", self._check_receiver_list)),
        ]

    async def stop(self) -> None:
        """Cancel all tasks and release the lease at all control servers."""
        for task in self._tasks:
            task.cancel()
        self.knowledge.stop()
        await self._lease.release()

    def apply_settings(self, settings: Settings) -> None:
        """Apply the reloadable settings of a changed file, such as seeds and platform address; keep the others."""
        self.settings = reloaded(self.settings, settings)
        self._control_servers.set_seeds(self._seed_addresses())

    def _seed_addresses(self) -> list[str]:
        ports = self.settings.port_range
        return [control_plane_address(seed.rpartition(":")[0], ports) for seed in self.settings.seeds]

    def _max_state_age_s(self) -> float:
        return self.settings.bounds.config_apply_ms / 1000

    async def _check_receiver_list(self) -> None:
        """Read the platform's list if no control server provides a recent one."""
        await self._receiver_list.wait_for_next_check(self.settings)
        if self.knowledge.system_state.complete is not None:
            await self._receiver_list.read_if_stale(self.settings, self._lease.sender_count)


async def _run_repeatedly(name: str, step: Callable[[], Awaitable[None]]) -> None:
    """Run a step in an endless loop; an unexpected exception is logged and ends neither this step nor the others.

    name: name of the step in log records.
    """
    while True:
        try:
            await step()
        except Exception:
            log.exception("agent.step_failed", extra={"step": name})
            await asyncio.sleep(STEP_ERROR_BACKOFF_S)
