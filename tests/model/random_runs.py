"""Settings of hypothesis for the random runs: fixed by default, newly drawn with the environment variable `RUNS`.

Hypothesis derives the seed of fixed runs from the source text of the machine's class, docstrings included.
"""

from __future__ import annotations

import os

from hypothesis import HealthCheck, Phase, settings

RUNS = int(os.environ.get("RUNS", "0"))
"""Number of newly drawn runs; 0 for the fixed default runs."""


def run_settings(runs: int, steps: int, shrinks: bool) -> settings:
    """The settings for `runs` runs of `steps` steps; `shrinks`: a failing run is shrunk."""
    return settings(
        max_examples=RUNS or runs,
        stateful_step_count=steps,
        derandomize=not RUNS,
        deadline=None,
        database=None,
        report_multiple_bugs=False,
        phases=[Phase.generate, Phase.shrink] if shrinks else [Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
