"""The thread of a sender's asyncio event loop, which runs the cluster agent and the store client."""

from __future__ import annotations

import asyncio
import concurrent.futures
import logging
import random

from dewpin.cluster.logs import log_unexpected
from dewpin.cluster.memory_budget import MemoryBudget
from dewpin.cluster.placement import location_of
from dewpin.cluster.process.start_steps import StartSteps
from dewpin.cluster.process.supervised_thread import start_supervised_thread
from dewpin.cluster.rpc import RpcClient, RpcServer, internal_connection_limit, split_address
from dewpin.cluster.settings import Settings
from dewpin.dataplane.cluster_state_updater import ClusterStateUpdater
from dewpin.dataplane.membership.cluster_agent import ClusterAgent
from dewpin.dataplane.membership.cluster_state import ClusterState
from dewpin.dataplane.programs.store_client import BlockingStoreClient, StoreClient

STOP_SIGNAL_POLL_S = 0.1
INTERNAL_DESCRIPTOR_SHARE = 0.15
"""Maximum share of the process's descriptors for connections of other processes of the tier."""

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

    def start(self, steps: StartSteps, budget: MemoryBudget) -> BlockingStoreClient:
        """Start the thread; return the store client for request threads once the agent has started.

        Raises StartInterruptedError and any exception of the start.
        """
        steps.run("agent_thread", lambda: start_supervised_thread("agent", self._run_loop))
        started = asyncio.run_coroutine_threadsafe(self._start(steps, budget), self._loop)
        while not concurrent.futures.wait((started,), STOP_SIGNAL_POLL_S).done:
            steps.check_stop_signal()
        started.result()
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
        except Exception as error:  # the process must end all the same
            log_unexpected(error)

    def _run_loop(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    async def _start(self, steps: StartSteps, budget: MemoryBudget) -> None:
        settings = self._settings
        client = RpcClient(MemoryBudget(budget.limit_bytes))
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
        max_connections = internal_connection_limit(settings.limits, INTERNAL_DESCRIPTOR_SHARE)
        server = RpcServer(agent.handlers, budget, max_connections)
        host, port = split_address(agent.address)
        await steps.run_async("internal_address", lambda: server.start(host, port))
        agent.start()
        self.agent = agent
        self._state.is_cut_off = lambda: not agent.has_control_plane_contact
        self._state.is_current = agent.is_state_current

    async def _stop(self) -> None:
        """Release the lease and settle the last turns, whose maximum tokens would otherwise stay reserved."""
        settled = self.store_client.wait_until_settled() if self.store_client is not None else asyncio.sleep(0)
        stopped = self.agent.stop() if self.agent is not None else asyncio.sleep(0)
        await asyncio.gather(stopped, settled)
