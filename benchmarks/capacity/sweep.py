"""The bench's sweep, read from its entry in the journal: its figures by machines, with lines fitted to them."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from pathlib import Path

from benchmarks.capacity.fit import Estimate, Line, fit_line
from benchmarks.capacity.sheet import estimate, markdown_table, plain
from benchmarks.capacity.target import Assumptions, Target

SWEEP_ENTRY = "20261202T060904-ea2547d0.json"
"""The journal's entry that the page shows."""

_FIGURE = re.compile(r"^(?P<name>.+?)\s{2,}(?P<cells>[\d.]+ / [\d.]+.*)$")
_CELL = re.compile(r"([\d.]+) / ([\d.]+)")
_SIZES = re.compile(r"^\s+(\d+(?:\s+\d+)+)\s+power")


class SweepError(ValueError):
    """The entry holds no table of a sweep."""


@dataclass(frozen=True)
class SweepFigure:
    """One figure: its middle and its busiest (or longest) value by the number of machines."""

    name: str
    machines: tuple[int, ...]
    middle: tuple[float, ...]
    busiest: tuple[float, ...]

    def line(self) -> Line:
        """A line through the busiest values."""
        return fit_line([(float(x), y) for x, y in zip(self.machines, self.busiest, strict=True)])


def read_table(digest: str) -> list[SweepFigure]:
    """The figures of a sweep's table; SweepError where there is none."""
    lines = digest.splitlines()
    header = next((number for number, line in enumerate(lines) if _SIZES.match(line)), None)
    if header is None:
        raise SweepError("no line with the numbers of machines")
    sizes = _SIZES.match(lines[header])
    assert sizes is not None
    machines = tuple(int(size) for size in sizes.group(1).split())
    figures = []
    for line in lines[header + 1 :]:
        found = _FIGURE.match(line)
        cells = _CELL.findall(found.group("cells")) if found else []
        if found and len(cells) == len(machines):
            middle, busiest = zip(*((float(one), float(two)) for one, two in cells), strict=True)
            figures.append(SweepFigure(found.group("name").strip(), machines, middle, busiest))
    if not figures:
        raise SweepError("no figures under the numbers of machines")
    return figures


def read_entry(path: Path) -> list[SweepFigure]:
    """The figures of a journal's entry; SweepError where it is no finished sweep."""
    entry = json.loads(path.read_text())
    if entry.get("cmd") != "sweep" or not entry.get("ok"):
        raise SweepError(f"{path.name} is no finished sweep")
    return read_table(entry["digest"])


def sweep_table(figures: list[SweepFigure], target: Target, assumed: Assumptions) -> str:
    """The sweep's figures, their lines, and where those lead with the target's machines."""
    machines = target.senders + assumed.stores + target.control_machines
    header = (
        "figure (middle / busiest or longest)",
        *(f"{size} machines" for size in figures[0].machines),
        "slope of the busiest, a machine",
        f"that line at {machines} machines",
    )
    rows = []
    for figure in figures:
        line = figure.line()
        cells = (f"{plain(one)} / {plain(two)}" for one, two in zip(figure.middle, figure.busiest, strict=True))
        at = line.at(machines)
        reached = estimate(Estimate(at.value, at.error), "") if at.value >= 0 else "falls"
        rows.append((figure.name, *cells, estimate(line.per_unit, ""), reached))
    return markdown_table(header, rows)
