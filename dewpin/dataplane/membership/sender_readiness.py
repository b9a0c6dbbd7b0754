"""Readiness of a sender: whether it knows enough about the cluster to serve clients."""

from __future__ import annotations

from dewpin.dataplane.membership.cluster_agent import ClusterAgent
from dewpin.dataplane.membership.cluster_state import ClusterState


def is_ready(state: ClusterState, agent: ClusterAgent) -> bool:
    """Return whether this sender is ready for client requests.

    It must have contact with a control server, a majority must have confirmed its state since the start, and it must
    know a configuration, receivers and stores.
    """
    if not agent.has_control_plane_contact or not agent.confirmation.is_confirmed:
        return False
    return state.configuration is not None and bool(state.receivers) and state.store_view is not None
