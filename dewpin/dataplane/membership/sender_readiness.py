"""Whether a sender knows enough of the cluster to serve clients."""

from __future__ import annotations

from dewpin.dataplane.membership.cluster_agent import ClusterAgent
from dewpin.dataplane.membership.cluster_state import ClusterState


def is_ready(state: ClusterState, agent: ClusterAgent) -> bool:
    """Return whether clients may be sent to this sender.

    A control server has to answer it, a majority has to have confirmed its state since the start, and it has to know a
    configuration, receivers and stores.
    """
    if not agent.has_control_plane_contact or not agent.confirmation.is_confirmed:
        return False
    return state.configuration is not None and bool(state.receivers) and state.store_view is not None
