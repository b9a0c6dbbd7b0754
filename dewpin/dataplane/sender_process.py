"""The process of a sender: start, signals, settings and end."""

from __future__ import annotations

import os
import threading
import time

from dewpin.cluster.logs import Event, log_event
from dewpin.cluster.memory_budget import MemoryBudget
from dewpin.cluster.process.program import log_started
from dewpin.cluster.process.signals import ProcessSignals
from dewpin.cluster.process.start_steps import StartSteps
from dewpin.cluster.process.supervised_thread import start_supervised_thread
from dewpin.cluster.rpc import split_address
from dewpin.cluster.settings import BOOT_VARIABLE, FRONT, READY, Settings
from dewpin.cluster.settings_watch import POLL_PERIOD_S, SettingsWatch
from dewpin.dataplane.agent_thread import AgentThread
from dewpin.dataplane.ingress.open_connections import connection_limit
from dewpin.dataplane.ingress.readiness import ReadinessServer
from dewpin.dataplane.ingress.server import IngressServer
from dewpin.dataplane.membership import sender_readiness
from dewpin.dataplane.membership.cluster_state import ClusterState
from dewpin.dataplane.routing.request_handler import RequestHandler
from dewpin.dataplane.upstream.response_limits import RECEIVER_SHARE_OF_BUDGET

NOT_READY_NOTICE_S = 2.2
"""How long new connections are accepted after SIGTERM: until the platform has detected that the sender is not ready."""
DRAIN_MARGIN_S = 0.7
"""Requests in progress are aborted this long before the end of the grace period, so that the process can exit."""
MAX_DRAIN_MARGIN_SHARE = 0.125
"""Maximum margin as a share of the grace period; less than a sixth, since a request may be aborted only in the last
sixth of the period."""
MAX_SETTLE_TIME_S = 1.0
"""How long a sender without requests waits for pending settlements and the release of its lease."""


class Sender:
    """One sender process: agent thread, servers for clients and platform, and settings watch.

    state: the sender's view of the cluster.
    agent_thread: runs the cluster agent and the store client.
    signals: the signals that the process has received.
    reload_requested: set after SIGHUP, to read the settings file immediately.
    """

    def __init__(self, settings: Settings, signals: ProcessSignals) -> None:
        self.state = ClusterState()
        self.agent_thread = AgentThread(settings, self.state)
        self.signals = signals
        self.reload_requested = threading.Event()
        self._settings = settings
        self._has_been_ready = False

    def start(self, steps: StartSteps) -> IngressServer:
        """Start all threads and servers; return the server for clients. Raises StartInterruptedError.

        The readiness server runs until the process exits, so that the platform learns that this sender is not ready.
        """
        settings = self._settings
        budget = MemoryBudget.for_process(settings.limits.memory_mb)
        store = self.agent_thread.start(steps, budget)
        max_receiver_bytes = int(budget.limit_bytes * RECEIVER_SHARE_OF_BUDGET)
        handler = RequestHandler(self.state, store, settings.zone, max_receiver_bytes=max_receiver_bytes)
        ingress = IngressServer(
            self.state,
            handler.handle,
            max_connections=connection_limit(settings.limits),
            budget=budget,
        )
        readiness = ReadinessServer(self.is_ready, budget)
        steps.run("front_address", lambda: ingress.start(split_address(settings.listen[FRONT])))
        steps.run("ready_address", lambda: readiness.start(split_address(settings.listen[READY])))
        steps.run("settings_thread", lambda: start_supervised_thread("settings", self._watch_settings))
        return ingress

    def wait_for_stop_signal(self) -> None:
        """Handle signals until one stops the process. Must be called on the main thread."""
        while self.signals.stop_signal is None:
            if self.signals.take_reload_request():
                self.reload_requested.set()
            self.signals.wait()

    def stop(self, ingress: IngressServer) -> None:
        """Shut down gracefully within the grace period."""
        grace_s = self._settings.bounds.grace_s
        grace_ends_s = time.monotonic() + grace_s
        ingress.stop(drain_s(grace_s), NOT_READY_NOTICE_S)
        self.agent_thread.stop(min(MAX_SETTLE_TIME_S, grace_ends_s - time.monotonic()))

    def is_ready(self) -> bool:
        """Return whether the sender is ready: it is not stopping and knows enough about the cluster."""
        agent = self.agent_thread.agent
        if self.signals.stop_signal is not None or agent is None:
            return False
        is_ready = sender_readiness.is_ready(self.state, agent)
        if is_ready and not self._has_been_ready:
            self._has_been_ready = True
            log_event(Event.READY)
        return is_ready

    def _watch_settings(self) -> None:
        """Apply changes of the settings file, immediately after SIGHUP and otherwise at the next poll."""
        watch = SettingsWatch(os.environ[BOOT_VARIABLE], self._settings)
        while self.signals.stop_signal is None:
            self.reload_requested.wait(POLL_PERIOD_S)
            self.reload_requested.clear()
            settings = watch.poll()
            if settings is not None:
                self.agent_thread.apply_settings(settings)


def drain_s(grace_s: float) -> float:
    """Return how long requests in progress may continue after SIGTERM."""
    return grace_s - min(DRAIN_MARGIN_S, MAX_DRAIN_MARGIN_SHARE * grace_s)


def run_sender(settings: Settings, signals: ProcessSignals, steps: StartSteps) -> None:
    """Run a sender until a stop signal, then shut down gracefully. Raises StartInterruptedError."""
    sender = Sender(settings, signals)
    ingress = sender.start(steps)
    log_started(steps)
    sender.wait_for_stop_signal()
    log_event(Event.STOPPING)
    sender.stop(ingress)
