"""The register measurement: its members have all handlers that changes need."""

import asyncio

from benchmarks.capacity.measures.register import measure_change


def test_register_measurement_commits_changes():
    cost = asyncio.run(measure_change(routes=500, seconds=0.0))
    assert cost.seconds > 0
