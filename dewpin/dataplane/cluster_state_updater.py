"""Puts what the cluster agent learns in force for the request threads and the client of the stores."""

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
    """Writes `state`; `adopt_view` is called with each store view that has members. Used on the agent's loop alone."""

    def __init__(self, state: ClusterState, adopt_view: Callable[[StoreView], None]) -> None:
        self._state = state
        self._adopt_view = adopt_view

    def update_system_state(self, state: StateJson) -> None:
        """Put the store view and the configuration of a system state in force."""
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
        except InvalidConfigurationError as error:  # it was checked before it was agreed on: a fault of ours
            log.error("sender.configuration_invalid", extra={"faults": error.lines()})

    def update_receivers(self, directory: ReceiverDirectory) -> None:
        """Put a list of receivers in force."""
        self._state.receivers = directory.by_service()

    def update_sender_count(self, sender_count: int) -> None:
        """Use this number of live senders."""
        self._state.sender_count = sender_count
