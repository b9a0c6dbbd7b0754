"""The measure of the register plays a register whose members have all their handlers."""

import asyncio

from benchmarks.capacity.measures.register import change_registers


def test_the_register_of_the_measure_takes_changes():
    change = asyncio.run(change_registers(routes=500, seconds=0.0))
    assert change.seconds > 0
