"""The register measurement runs against members that have all their handlers."""

import asyncio

from benchmarks.capacity.measures.register import change_registers


def test_measured_register_accepts_changes():
    change = asyncio.run(change_registers(routes=500, seconds=0.0))
    assert change.seconds > 0
