"""A short seeded soak; the long ones are started by hand (`python -m tests.soak --seeds 50 --jobs 6`)."""

from .run import run

DURATION_S = 50.0
"""Longer than the retention of a turn and the margin with which stores keep it."""


def test_conversations_outlive_their_retention_while_processes_are_disrupted():
    result = run(seed=1, duration_s=DURATION_S)
    print(result.observations)
    assert result.violations == []
    assert result.observations["turns"] > 0
