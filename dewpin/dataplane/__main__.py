"""`python3 -m dewpin.dataplane`: runs a sender with the settings file named by DEWPIN_BOOT."""

from __future__ import annotations

import os
import signal
import sys
import threading
import time

from dewpin.cluster import logs
from dewpin.cluster.rpc import split_address
from dewpin.cluster.settings import BOOT_VARIABLE, Settings, settings_or_exit
from dewpin.cluster.settings_watch import POLL_PERIOD_S, SettingsWatch
from dewpin.dataplane.agent_thread import AgentThread
from dewpin.dataplane.ingress.readiness import ReadinessServer
from dewpin.dataplane.ingress.server import IngressServer
from dewpin.dataplane.membership import sender_readiness
from dewpin.dataplane.membership.cluster_state import ClusterState
from dewpin.dataplane.routing.request_handler import RequestHandler
from dewpin.dataplane.stop_signal import StopSignal

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
    stop_signal: set by SIGTERM and SIGINT.
    reload_requested: set by SIGHUP, to read the settings file immediately.

    Must be created on the main thread, like `StopSignal`.
    """

    def __init__(self, settings: Settings) -> None:
        self.state = ClusterState()
        self.agent_thread = AgentThread(settings, self.state)
        self.stop_signal = StopSignal()
        self.reload_requested = threading.Event()
        self._settings = settings

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully.

        The readiness server runs until the process exits, so that the platform learns that this sender is not ready.
        """
        settings = self._settings
        store = self.agent_thread.start()
        ingress = IngressServer(self.state, RequestHandler(self.state, store, settings.zone).handle)
        readiness = ReadinessServer(self.is_ready)
        ingress.start(split_address(settings.listen["front"]))
        readiness.start(split_address(settings.listen["ready"]))
        threading.Thread(target=self._watch_settings, name="settings", daemon=True).start()
        self.stop_signal.wait()
        grace_s = settings.bounds.grace_s
        grace_ends_s = time.monotonic() + grace_s
        ingress.stop(drain_s(grace_s), NOT_READY_NOTICE_S)
        self.agent_thread.stop(min(MAX_SETTLE_TIME_S, grace_ends_s - time.monotonic()))

    def is_ready(self) -> bool:
        """Return whether the sender is ready: it is not stopping and knows enough about the cluster."""
        agent = self.agent_thread.agent
        if self.stop_signal.is_set() or agent is None:
            return False
        return sender_readiness.is_ready(self.state, agent)

    def _watch_settings(self) -> None:
        """Apply changes of the settings file, immediately after SIGHUP and otherwise at the next poll."""
        watch = SettingsWatch(os.environ[BOOT_VARIABLE], self._settings)
        while not self.stop_signal.is_set():
            self.reload_requested.wait(POLL_PERIOD_S)
            self.reload_requested.clear()
            settings = watch.poll()
            if settings is not None:
                self.agent_thread.apply_settings(settings)


def drain_s(grace_s: float) -> float:
    """Return how long requests in progress may continue after SIGTERM."""
    return grace_s - min(DRAIN_MARGIN_S, MAX_DRAIN_MARGIN_SHARE * grace_s)


def main() -> int:
    """Run the sender; never return, since the process exits without waiting for daemon threads."""
    settings = settings_or_exit()
    logs.configure(settings.log_level, settings.node_name, settings.role)
    sender = Sender(settings)
    signal.signal(signal.SIGHUP, lambda *_: sender.reload_requested.set())
    sender.run()
    sys.stderr.flush()
    os._exit(0)


if __name__ == "__main__":
    sys.exit(main())
