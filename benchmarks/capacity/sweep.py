"""Figures of a sweep over fleet sizes, read from its journal entry, with a line fitted to each."""

from __future__ import annotations

import json
import re
from dataclasses import dataclass
from pathlib import Path

from benchmarks.capacity.fit import Estimate, Line, fit_line
from benchmarks.capacity.sheet import format_estimate, format_number, markdown_table
from benchmarks.capacity.target import Assumptions, Target

SWEEP_ENTRY = "20261202T060904-ea2547d0.json"
"""The journal entry that the page shows."""

_FIGURE = re.compile(r"^(?P<name>.+?)\s{2,}(?P<cells>[\d.]+ / [\d.]+.*)$")
_CELL = re.compile(r"([\d.]+) / ([\d.]+)")
_SIZES = re.compile(r"^\s+(\d+(?:\s+\d+)+)\s+power")


class SweepError(ValueError):
    """The journal entry does not contain the table of a completed sweep."""


@dataclass(frozen=True)
class SweepFigure:
    """A figure of the sweep: its middle value and its value at the busiest machine (or the longest), by fleet size."""

    name: str
    machines: tuple[int, ...]
    middle: tuple[float, ...]
    busiest: tuple[float, ...]

    def line(self) -> Line:
        """Return the line fitted to the busiest values."""
        return fit_line([(float(x), y) for x, y in zip(self.machines, self.busiest, strict=True)])


def read_table(digest: str) -> list[SweepFigure]:
    """Parse the table of a sweep. Raises SweepError if there is none."""
    lines = digest.splitlines()
    header = next((number for number, line in enumerate(lines) if _SIZES.match(line)), None)
    if header is None:
        raise SweepError("the digest has no header line with the numbers of machines")
    sizes = _SIZES.match(lines[header])
    assert sizes is not None
    machines = tuple(int(size) for size in sizes.group(1).split())
    figures = []
    for line in lines[header + 1 :]:
        match = _FIGURE.match(line)
        cells = _CELL.findall(match.group("cells")) if match else []
        if match and len(cells) == len(machines):
            middle, busiest = zip(*((float(first), float(second)) for first, second in cells), strict=True)
            figures.append(SweepFigure(match.group("name").strip(), machines, middle, busiest))
    if not figures:
        raise SweepError("the digest has no figures below the numbers of machines")
    return figures


def read_entry(path: Path) -> list[SweepFigure]:
    """Return the figures of a journal entry. Raises SweepError if it is not a completed sweep."""
    entry = json.loads(path.read_text())
    if entry.get("cmd") != "sweep" or not entry.get("ok"):
        raise SweepError(f"{path.name} is not a completed sweep")
    return read_table(entry["digest"])


def sweep_table(figures: list[SweepFigure], target: Target, assumed: Assumptions) -> str:
    """Return a Markdown table of the figures, the slopes of their lines and their extrapolation to the target fleet."""
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
        cells = (
            f"{format_number(middle)} / {format_number(busiest)}"
            for middle, busiest in zip(figure.middle, figure.busiest, strict=True)
        )
        at_target = line.at(machines)
        extrapolated = (
            format_estimate(Estimate(at_target.value, at_target.error), "") if at_target.value >= 0 else "falls"
        )
        rows.append((figure.name, *cells, format_estimate(line.slope_estimate, ""), extrapolated))
    return markdown_table(header, rows)
