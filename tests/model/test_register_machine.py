"""Random runs of five registers; `RUNS=2000 python -m pytest tests/model/test_register_machine.py` draws more of them.

Without `RUNS` the runs are the same each time (`derandomize`); with it they are drawn anew."""

import os

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.model.register_machine import RegisterMachine

RUNS = int(os.environ.get("RUNS", "0"))
STEPS = 50


def test_random_runs_of_five_registers_satisfy_properties(shrinks=True):
    profile = settings(
        max_examples=RUNS or 60,
        stateful_step_count=STEPS,
        derandomize=not RUNS,
        deadline=None,
        database=None,
        report_multiple_bugs=False,
        phases=[Phase.generate, Phase.shrink] if shrinks else [Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(RegisterMachine, settings=profile)
