"""`python3 -m dewpin.dataplane`: a sender, told by the settings file under DEWPIN_BOOT."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import signal
import sys
import threading
import time
from typing import Any

from dewpin.cluster import logs
from dewpin.cluster.configuration import InvalidConfigurationError, parse_configuration
from dewpin.cluster.placement import location_of
from dewpin.cluster.receivers import ReceiverDirectory
from dewpin.cluster.rpc import RpcClient, RpcServer, split_address
from dewpin.cluster.settings import BOOT_VARIABLE, Settings, settings_or_exit
from dewpin.cluster.settings_watch import POLL_PERIOD_S, SettingsWatch
from dewpin.cluster.store_view import StoreView
from dewpin.dataplane.ingress.readiness import ReadinessServer
from dewpin.dataplane.ingress.server import IngressServer
from dewpin.dataplane.membership.cluster_agent import ClusterAgent
from dewpin.dataplane.membership.cluster_state import ClusterState
from dewpin.dataplane.programs.store_client import BlockingStoreClient, StoreClient
from dewpin.dataplane.routing.request_handler import RequestHandler
from dewpin.dataplane.stop_signal import StopSignal

log = logging.getLogger(__name__)

NOT_READY_NOTICE_S = 2.2
"""How long new connections are taken after SIGTERM: until the platform has seen that this sender is not ready."""
DRAIN_MARGIN_S = 0.7
"""How long before the end of the grace requests under way are cut, so that the process can end by itself."""
MOST_DRAIN_MARGIN = 0.125
"""The margin's greatest share of the grace: a request may be cut in its last sixth only."""
MOST_WIND_UP_S = 1.0
"""How long a sender without requests still waits for its settlements and the release of its lease."""
LOOP_START_TIMEOUT_S = 30.0


class Sender:
    """The parts of one sender: the agent's loop in a thread, and the servers of clients."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.state = ClusterState()
        self.loop = asyncio.new_event_loop()
        self.agent: ClusterAgent | None = None
        self.stopping = StopSignal()
        self.hangup = threading.Event()
        self._store_client: StoreClient | None = None
        self._started = threading.Event()

    def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then drains."""
        threading.Thread(target=self._run_loop, name="agent", daemon=True).start()
        if not self._started.wait(LOOP_START_TIMEOUT_S):
            raise RuntimeError("the agent's loop did not start")
        assert self._store_client is not None
        store = BlockingStoreClient(self._store_client, self.loop)
        request_handler = RequestHandler(self.state, store, self.settings.zone)
        ingress = IngressServer(self.state, request_handler.handle)
        ready = ReadinessServer(self.is_ready)
        ingress.start(split_address(self.settings.listen["front"]))
        ready.start(split_address(self.settings.listen["ready"]))
        threading.Thread(target=self._follow_settings, name="settings", daemon=True).start()
        self.stopping.wait()
        grace_s = self.settings.bounds.grace_s
        killed_at = time.monotonic() + grace_s
        ingress.stop(drain_s(grace_s), NOT_READY_NOTICE_S)
        self._stop_agent(min(MOST_WIND_UP_S, killed_at - time.monotonic()))

    def is_ready(self) -> bool:
        """Whether clients may be sent here: routes, receivers and stores are known, a majority has confirmed the routes
        since the start, a control process answers, and no stop has begun."""
        agent = self.agent
        if self.stopping.is_set() or agent is None:
            return False
        if not agent.has_control_plane_contact or not agent.confirmation.is_confirmed:
            return False
        return self.state.configuration is not None and bool(self.state.receivers) and self.state.store_view is not None

    def _follow_settings(self) -> None:
        """Hands changes of the settings file on, at once after SIGHUP and soon without."""
        watch = SettingsWatch(os.environ[BOOT_VARIABLE], self.settings)
        while not self.stopping.is_set():
            self.hangup.wait(POLL_PERIOD_S)
            self.hangup.clear()
            settings = watch.poll()
            if settings is not None and self.agent is not None:
                self.loop.call_soon_threadsafe(self.agent.apply_settings, settings)

    def _run_loop(self) -> None:
        asyncio.set_event_loop(self.loop)
        self.loop.create_task(self._start_agent())
        self.loop.run_forever()

    async def _start_agent(self) -> None:
        client = RpcClient()
        replica_count = self.settings.fault_tolerance.replica_count
        location = location_of(self.settings.region, self.settings.zone)
        self._store_client = StoreClient(client, replica_count, location=location)
        agent = ClusterAgent(
            self.settings,
            client,
            random.Random(),
            self._on_state,
            self._on_receivers,
            on_sender_count=self._on_sender_count,
        )
        server = RpcServer(agent.handlers)
        await server.start(*split_address(agent.address))
        agent.start()
        self.agent = agent
        self.state.is_cut_off = lambda: not agent.has_control_plane_contact
        self.state.is_current = agent.is_state_current
        self._started.set()

    def _stop_agent(self, within_s: float) -> None:
        stopped = asyncio.run_coroutine_threadsafe(self._wind_up(), self.loop)
        try:
            stopped.result(max(0.0, within_s))
        except TimeoutError:
            log.info("sender.not_wound_up")

    async def _wind_up(self) -> None:
        """Releases the lease and settles the last turns, whose programs would else keep the most of them reserved."""
        settled = self._store_client.wait_until_settled() if self._store_client is not None else asyncio.sleep(0)
        stopped = self.agent.stop() if self.agent is not None else asyncio.sleep(0)
        await asyncio.gather(stopped, settled)

    def _on_state(self, state: dict[str, Any]) -> None:
        view = StoreView.from_json(state["stores"])
        if view.stable:
            self.state.store_view = view
            if self._store_client is not None:
                self._store_client.adopt(view)
        stored = state["configuration"]
        current = self.state.configuration
        if stored is None or (current is not None and current.generation == stored["generation"]):
            return
        try:
            self.state.configuration = parse_configuration(stored["body"].encode())
        except InvalidConfigurationError as invalid:  # it was checked before it was agreed on: a fault of ours
            log.error("sender.configuration_invalid", extra={"faults": invalid.lines()})

    def _on_receivers(self, directory: ReceiverDirectory) -> None:
        self.state.receivers = directory.by_service()

    def _on_sender_count(self, sender_count: int) -> None:
        self.state.sender_count = sender_count


def drain_s(grace_s: float) -> float:
    """Returns for how long after SIGTERM requests under way may go on."""
    return grace_s - min(DRAIN_MARGIN_S, MOST_DRAIN_MARGIN * grace_s)


def main() -> int:
    """Runs the sender; returns its exit code."""
    settings = settings_or_exit()
    logs.configure(settings.log_level, settings.node_name, settings.role)
    sender = Sender(settings)
    signal.signal(signal.SIGHUP, lambda *_: sender.hangup.set())
    sender.run()
    sys.stderr.flush()
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
