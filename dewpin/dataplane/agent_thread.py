"""The thread of a sender's asyncio event loop, which runs the cluster agent and the store client."""

from __future__ import annotations

import asyncio
import logging
import random
import threading

from dewpin.cluster.placement import location_of
from dewpin.cluster.rpc import RpcClient, RpcServer, split_address
from dewpin.cluster.settings import Settings
from dewpin.dataplane.cluster_state_updater import ClusterStateUpdater
from dewpin.dataplane.membership.cluster_agent import ClusterAgent
from dewpin.dataplane.membership.cluster_state import ClusterState
from dewpin.dataplane.programs.store_client import BlockingStoreClient, StoreClient

LOOP_START_TIMEOUT_S = 30.0

log = logging.getLogger(__name__)


class AgentThread:
    """Owns the event loop, the cluster agent and the store client.

    agent: the cluster agent; None until it has started.
    store_client: the store client; None until it has been created.

    The methods are thread-safe. Sockets stay open until the process exits, which follows `stop`.
    """

    def __init__(self, settings: Settings, state: ClusterState) -> None:
        self.agent: ClusterAgent | None = None
        self.store_client: StoreClient | None = None
        self._settings = settings
        self._state = state
        self._loop = asyncio.new_event_loop()
        self._has_started = threading.Event()
        self._start_task: asyncio.Task[None] | None = None

    def start(self) -> BlockingStoreClient:
        """Start the thread; return the store client for request threads once the agent has started.

        Raises RuntimeError after `LOOP_START_TIMEOUT_S`.
        """
        threading.Thread(target=self._run_loop, name="agent", daemon=True).start()
        if not self._has_started.wait(LOOP_START_TIMEOUT_S):
            raise RuntimeError("the cluster agent did not start in time")
        assert self.store_client is not None
        return BlockingStoreClient(self.store_client, self._loop)

    def apply_settings(self, settings: Settings) -> None:
        """Pass changed settings to the agent."""
        if self.agent is not None:
            self._loop.call_soon_threadsafe(self.agent.apply_settings, settings)

    def stop(self, timeout_s: float) -> None:
        """Release the lease and wait for pending settlements, for at most `timeout_s`."""
        stopped = asyncio.run_coroutine_threadsafe(self._stop(), self._loop)
        try:
            stopped.result(max(0.0, timeout_s))
        except TimeoutError:
            log.warning("sender.not_wound_up")

    def _run_loop(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._start_task = self._loop.create_task(self._start())
        self._loop.run_forever()

    async def _start(self) -> None:
        settings = self._settings
        client = RpcClient()
        location = location_of(settings.region, settings.zone)
        store_client = StoreClient(client, settings.fault_tolerance.replica_count, location=location)
        self.store_client = store_client
        updater = ClusterStateUpdater(self._state, store_client.adopt)
        agent = ClusterAgent(
            settings,
            client,
            random.Random(),
            updater.update_system_state,
            updater.update_receivers,
            on_sender_count=updater.update_sender_count,
        )
        server = RpcServer(agent.handlers)
        await server.start(*split_address(agent.address))
        agent.start()
        self.agent = agent
        self._state.is_cut_off = lambda: not agent.has_control_plane_contact
        self._state.is_current = agent.is_state_current
        self._has_started.set()

    async def _stop(self) -> None:
        """Release the lease and settle the last turns, whose maximum tokens would otherwise stay reserved."""
        settled = self.store_client.wait_until_settled() if self.store_client is not None else asyncio.sleep(0)
        stopped = self.agent.stop() if self.agent is not None else asyncio.sleep(0)
        await asyncio.gather(stopped, settled)
