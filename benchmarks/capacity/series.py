"""A measured series: the variable, the measured values, and the code that was measured."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from typing import Any

from benchmarks.capacity.fit import Line, fit_line
from benchmarks.capacity.timing import in_fresh_process, processor_us_per_call


@dataclass(frozen=True)
class Effort:
    """How long a measurement may take.

    seconds: time spent at each point; repeats: points taken at each x.
    """

    seconds: float
    repeats: int


FULL = Effort(seconds=0.5, repeats=5)
QUICK = Effort(seconds=0.05, repeats=2)
ONCE = Effort(seconds=0, repeats=1)
"""For figures that are the same each time, such as numbers of bytes."""


@dataclass(frozen=True)
class Series:
    """Points of one measurement.

    subject: the module measured, or "stand-in" while the module of that shape does not exist.
    """

    name: str
    title: str
    subject: str
    x_name: str
    y_name: str
    y_unit: str
    points: tuple[tuple[float, float], ...]

    def line(self) -> Line:
        """The fitted line."""
        return fit_line(self.points)

    def to_json(self) -> dict[str, Any]:
        """A JSON object that from_json reads back."""
        return asdict(self)

    @classmethod
    def from_json(cls, record: dict[str, Any]) -> Series:
        """Read what to_json wrote; TypeError or KeyError when a field is missing or unknown."""
        points = tuple((float(x), float(y)) for x, y in record["points"])
        return cls(**{**record, "points": points})


Measure = Callable[[Effort], Series]


def sample(xs: Sequence[int], effort: Effort, measure_at: Callable[[int], float]) -> tuple[tuple[float, float], ...]:
    """Points of measure_at at each x; rounds go over all x in turn, so that a short disturbance affects no single x."""
    return tuple((float(x), measure_at(x)) for _ in range(effort.repeats) for x in xs)


PrepareCall = Callable[[int], Callable[[], object]]
"""Makes, outside the time that is measured, the call to be timed at x."""


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
    """Processor time of one call, which `prepare` makes for each x."""
    points = sample(xs, effort, lambda x: processor_us_per_call(prepare(x), effort.seconds))
    return Series(name, title, subject, x_name, y_name, "µs", points)


def message_series(
    name: str, title: str, subject: str, x_name: str, xs: Sequence[int], effort: Effort, prepare: PrepareCall
) -> Series:
    """Processor time of one message, by its size."""
    return processor_series(name, title, subject, x_name, "processor time a message", xs, effort, prepare)


def memory_series(
    name: str,
    title: str,
    subject: str,
    x_name: str,
    xs: Sequence[int],
    effort: Effort,
    resident: Callable[[int], float],
) -> Series:
    """Resident memory that a module-level function returns, run in a process of its own for each point."""
    points = sample(xs, effort, lambda size: in_fresh_process(resident, size))
    return Series(name, title, subject, x_name, "resident memory", "B", points)
