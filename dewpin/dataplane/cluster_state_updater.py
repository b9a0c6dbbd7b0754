"""Passes the updates of the cluster agent to the request threads and the store client."""

from __future__ import annotations

import logging
from collections.abc import Callable

from dewpin.cluster.configuration import InvalidConfigurationError, parse_configuration
from dewpin.cluster.receivers import ReceiverDirectory
from dewpin.cluster.relay_messages import StateJson
from dewpin.cluster.store_view import StoreView
from dewpin.dataplane.membership.cluster_state import ClusterState

log = logging.getLogger(__name__)


class ClusterStateUpdater:
    """Updates `state`; calls `adopt_view` with each store view that has members. Only for the agent's event loop."""

    def __init__(self, state: ClusterState, adopt_view: Callable[[StoreView], None]) -> None:
        self._state = state
        self._adopt_view = adopt_view

    def update_system_state(self, state: StateJson) -> None:
        """Apply the store view and the configuration of a system state."""
        view = StoreView.from_json(state["stores"])
        if view.stable:
            self._state.store_view = view
            self._adopt_view(view)
        stored = state["configuration"]
        current = self._state.configuration
        if stored is None or (current is not None and current.generation == stored["generation"]):
            return
        try:
            self._state.configuration = parse_configuration(stored["body"].encode())
        except InvalidConfigurationError as error:  # it was validated before it was chosen: an internal error
            log.error("sender.configuration_invalid", extra={"faults": error.lines()})

    def update_receivers(self, directory: ReceiverDirectory) -> None:
        """Apply a list of receivers."""
        self._state.receivers = directory.by_service()

    def update_sender_count(self, sender_count: int) -> None:
        """Apply the number of live senders."""
        self._state.sender_count = sender_count
