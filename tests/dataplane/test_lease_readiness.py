"""A sender's lease counts only while it was renewed a short while ago."""

import random

from dataplane.test_cluster_agent import settings

from dewpin.cluster.receivers import NO_VERSION
from dewpin.cluster.relay_messages import LeaseGrant
from dewpin.dataplane.cluster_agent import FRESH_RENEWALS, RENEWALS_IN_BOUND, ClusterAgent


class Clock:
    now_s = 100.0

    def __call__(self):
        return self.now_s


def test_a_sender_that_no_keeper_answers_any_more_has_no_lease():
    clock, told = Clock(), settings()
    agent = ClusterAgent(
        told,
        None,
        random.Random(1),
        lambda state: None,
        lambda receivers: None,
        on_senders=lambda senders: None,
        clock=clock,
    )
    assert not agent.hears_control
    agent._take_lease(LeaseGrant(3.0, -1, NO_VERSION, 0.0, (), (), 1))
    period_s = told.bounds.config_apply_ms / 1000 / RENEWALS_IN_BOUND
    clock.now_s += (FRESH_RENEWALS - 0.5) * period_s
    assert agent.hears_control
    clock.now_s += period_s
    assert not agent.hears_control
