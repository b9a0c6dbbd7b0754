"""Measured series: the independent variable, the measured values, and the code that was measured."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from typing import Any

from benchmarks.capacity.fit import Line, fit_line
from benchmarks.capacity.timing import in_fresh_process, processor_us_per_call


@dataclass(frozen=True)
class Effort:
    """How long a measurement takes.

    `seconds`: time for each point. `repeats`: number of points at each x.
    """

    seconds: float
    repeats: int


FULL = Effort(seconds=0.5, repeats=5)
QUICK = Effort(seconds=0.05, repeats=2)
ONCE = Effort(seconds=0, repeats=1)
"""For figures that do not vary, such as message sizes."""


@dataclass(frozen=True)
class Series:
    """Points of one measurement.

    `subject`: the module that was measured, "stand-in" if no module implements its message format yet.
    """

    name: str
    title: str
    subject: str
    x_name: str
    y_name: str
    y_unit: str
    points: tuple[tuple[float, float], ...]

    def line(self) -> Line:
        """Return the fitted line."""
        return fit_line(self.points)

    def to_json(self) -> dict[str, Any]:
        """Return a JSON object that `from_json` can parse."""
        return asdict(self)

    @classmethod
    def from_json(cls, record: dict[str, Any]) -> Series:
        """Parse the output of `to_json`. Raises TypeError or KeyError if a field is missing or unknown."""
        points = tuple((float(x), float(y)) for x, y in record["points"])
        return cls(**{**record, "points": points})


Measure = Callable[[Effort], Series]


def sample(xs: Sequence[int], effort: Effort, measure_at: Callable[[int], float]) -> tuple[tuple[float, float], ...]:
    """Return points measured at each x; each repeat covers all x, so that a short disturbance affects no single x."""
    return tuple((float(x), measure_at(x)) for _ in range(effort.repeats) for x in xs)


PrepareCall = Callable[[int], Callable[[], object]]
"""Returns the call to be timed at x; the preparation is not part of the measured time."""


def processor_series(
    name: str,
    title: str,
    subject: str,
    x_name: str,
    y_name: str,
    xs: Sequence[int],
    effort: Effort,
    prepare: PrepareCall,
) -> Series:
    """Measure the processor time of the call that `prepare` returns for each x."""
    points = sample(xs, effort, lambda x: processor_us_per_call(prepare(x), effort.seconds))
    return Series(name, title, subject, x_name, y_name, "µs", points)


def message_series(
    name: str, title: str, subject: str, x_name: str, xs: Sequence[int], effort: Effort, prepare: PrepareCall
) -> Series:
    """Measure the processor time of a message by its size."""
    return processor_series(name, title, subject, x_name, "processor time a message", xs, effort, prepare)


def memory_series(
    name: str,
    title: str,
    subject: str,
    x_name: str,
    xs: Sequence[int],
    effort: Effort,
    measure_resident_bytes: Callable[[int], float],
) -> Series:
    """Measure the resident memory that a module-level function returns in a separate process for each point."""
    points = sample(xs, effort, lambda size: in_fresh_process(measure_resident_bytes, size))
    return Series(name, title, subject, x_name, "resident memory", "B", points)
