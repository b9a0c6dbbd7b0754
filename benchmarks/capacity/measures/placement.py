"""The choice of the stores of a program."""

from __future__ import annotations

from benchmarks.capacity.series import Effort, Series, sample
from benchmarks.capacity.timing import processor_us_per_call
from dewpin.cluster.placement import replicas

STORES = (3, 9, 30, 90)


def rendezvous(effort: Effort) -> Series:
    """Measure the processor time to choose the stores of a program, by the stores in the view, without the cache."""

    def measure_at(count: int) -> float:
        stores = tuple(f"{number:016x}" for number in range(count))
        return processor_us_per_call(lambda: replicas.__wrapped__("3fa81c", stores, 3), effort.seconds)

    return Series(
        "rendezvous",
        "choice of a program's stores, not remembered from before",
        "dewpin/cluster/placement.py",
        "stores",
        "processor time a program",
        "µs",
        sample(STORES, effort, measure_at),
    )
