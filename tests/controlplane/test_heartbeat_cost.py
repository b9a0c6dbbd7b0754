"""The cost of majority contact per machine, which must not depend on the number of fronts."""

import importlib.util
from pathlib import Path

import pytest

from dewpin.lab.event_loop import SimulatedEventLoop

ROOT = Path(__file__).resolve().parents[2]
spec = importlib.util.spec_from_file_location("majority_contact_costs", ROOT / "benchmarks/majority_contact.py")
costs = importlib.util.module_from_spec(spec)
spec.loader.exec_module(costs)

CONTROL_PROCESSES = 3
SECONDS = 10.0
FRONTS = (2, 12)
TOLERANCE = 0.05
"""Relative tolerance: periods are random, so two runs differ slightly."""


def measure_rates(fronts):
    """Returns heartbeats and heartbeat bytes per second at a control process, and messages per second at a front."""
    network = SimulatedEventLoop(1).run(costs.run_processes(fronts, CONTROL_PROCESSES, SECONDS, 2000.0))
    heartbeats = {costs.HEARTBEAT}
    return (
        costs.mean_rate(network.messages, heartbeats, True, CONTROL_PROCESSES, SECONDS),
        costs.mean_rate(network.bytes, heartbeats, True, CONTROL_PROCESSES, SECONDS),
        costs.mean_rate(network.messages, set(), False, fronts, SECONDS),
    )


def test_heartbeat_cost_is_independent_of_sender_count():
    with_few_fronts, with_many_fronts = measure_rates(FRONTS[0]), measure_rates(FRONTS[1])
    assert with_many_fronts[0] == pytest.approx(with_few_fronts[0], rel=TOLERANCE)
    assert with_many_fronts[1] == pytest.approx(with_few_fronts[1], rel=TOLERANCE)
    assert with_many_fronts[2] == pytest.approx(with_few_fronts[2], rel=0.25)


def test_heartbeats_are_sent_no_more_often_than_period():
    request_and_reply, peers, directions = 2, CONTROL_PROCESSES - 1, 2
    per_s = request_and_reply * peers * directions / 0.25
    assert measure_rates(FRONTS[0])[0] == pytest.approx(per_s, rel=TOLERANCE)
