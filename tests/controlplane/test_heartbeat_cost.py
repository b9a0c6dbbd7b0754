"""What contact with a majority costs each machine, whatever the number of fronts."""

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
SPREAD = 0.05
"""Periods are drawn at random, so that two runs differ a little."""


def figures(fronts):
    """Heartbeats a second and their bytes at a control process, messages a second at a front."""
    network = SimulatedEventLoop(1).run(costs.play(fronts, CONTROL_PROCESSES, SECONDS, 2000.0))
    heartbeats = {costs.HEARTBEAT}
    return (
        costs.mean(network.messages, heartbeats, True, CONTROL_PROCESSES, SECONDS),
        costs.mean(network.bytes, heartbeats, True, CONTROL_PROCESSES, SECONDS),
        costs.mean(network.messages, set(), False, fronts, SECONDS),
    )


def test_heartbeat_cost_is_independent_of_sender_count():
    few, many = figures(FRONTS[0]), figures(FRONTS[1])
    assert many[0] == pytest.approx(few[0], rel=SPREAD)
    assert many[1] == pytest.approx(few[1], rel=SPREAD)
    assert many[2] == pytest.approx(few[2], rel=0.25)


def test_heartbeats_are_sent_no_more_often_than_period():
    asked_and_answered, others, both_ways = 2, CONTROL_PROCESSES - 1, 2
    per_s = asked_and_answered * others * both_ways / 0.25
    assert figures(FRONTS[0])[0] == pytest.approx(per_s, rel=SPREAD)
