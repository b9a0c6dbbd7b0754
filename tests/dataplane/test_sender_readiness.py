"""Readiness of a sender: it needs contact with the control plane and a state confirmed by a majority."""

import random
import signal
from types import SimpleNamespace

import pytest
from dataplane.agent_world import settings

from dewpin.cluster.receivers import NO_VERSION
from dewpin.cluster.relay_messages import LeaseGrant
from dewpin.dataplane.membership.cluster_agent import ClusterAgent
from dewpin.dataplane.membership.cluster_state import ClusterState
from dewpin.dataplane.membership.lease_renewer import MISSED_RENEWALS_UNTIL_CUT_OFF, renewal_period_s
from dewpin.dataplane.sender_process import Sender


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


def test_sender_without_answered_renewals_loses_control_plane_contact():
    clock, current_settings = Clock(), settings()
    agent = ClusterAgent(
        current_settings,
        None,
        random.Random(1),
        lambda state: None,
        lambda receivers: None,
        on_sender_count=lambda sender_count: None,
        clock=clock,
    )
    assert not agent.has_control_plane_contact
    agent._lease._apply_grant(LeaseGrant(3.0, -1, NO_VERSION, 0.0, (), (), 1))
    period_s = renewal_period_s(current_settings)
    clock.now_s += (MISSED_RENEWALS_UNTIL_CUT_OFF - 0.5) * period_s
    assert agent.has_control_plane_contact
    clock.now_s += period_s
    assert not agent.has_control_plane_contact


@pytest.mark.parametrize(
    ("missing", "is_ready"),
    [
        (None, True),
        ("configuration", False),
        ("receivers", False),
        ("store_view", False),
        ("has_control_plane_contact", False),
        ("is_confirmed", False),
        ("running", False),
    ],
)
def test_sender_is_ready_only_if_all_conditions_hold(missing, is_ready):
    present = {
        name: name != missing for name in ("configuration", "receivers", "store_view", "has_control_plane_contact")
    }
    state = ClusterState(
        configuration=object() if present["configuration"] else None,
        receivers={"engines": (object(),)} if present["receivers"] else {},
        store_view=object() if present["store_view"] else None,
    )
    confirmation = SimpleNamespace(is_confirmed=missing != "is_confirmed")
    sender = SimpleNamespace(
        state=state,
        agent_thread=SimpleNamespace(
            agent=SimpleNamespace(
                has_control_plane_contact=present["has_control_plane_contact"], confirmation=confirmation
            )
        ),
        signals=SimpleNamespace(stop_signal=signal.SIGTERM if missing == "running" else None),
        _has_been_ready=False,
    )
    assert Sender.is_ready(sender) is is_ready
