"""Rows of the page: a figure at the target, its arithmetic, its bound, and what carries it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from benchmarks.capacity.fit import Estimate

ERRORS_OF_DOUBT = 2.0
"""Standard errors by which a figure must clear its bound to be called inside or beyond."""


class Verdict(Enum):
    """How a figure stands to its bound."""

    INSIDE = "inside"
    BEYOND = "**beyond**"
    IN_DOUBT = "in doubt"
    NO_BOUND = ""
    NOT_MEASURED = "not measured"


@dataclass(frozen=True)
class Row:
    """One figure.

    value: None when no run gave what it needs; most: the bound in the same unit, None where the list sets none;
    sources: names of the series that the value rests on.
    """

    what: str
    arithmetic: str
    value: Estimate | None
    unit: str
    carried_by: str
    most: float | None = None
    sources: tuple[str, ...] = ()

    def verdict(self) -> Verdict:
        """The figure against its bound, with ERRORS_OF_DOUBT on either side."""
        if self.value is None:
            return Verdict.NOT_MEASURED
        if self.most is None:
            return Verdict.NO_BOUND
        doubt = ERRORS_OF_DOUBT * self.value.error
        if self.value.value + doubt <= self.most:
            return Verdict.INSIDE
        if self.value.value - doubt > self.most:
            return Verdict.BEYOND
        return Verdict.IN_DOUBT


SMALLEST_WRITTEN_OUT = 1e-6
BYTE_STEPS = ((1e9, "GB"), (1e6, "MB"), (1e3, "kB"))


def plain(value: float) -> str:
    """A number with three significant digits, whole from 100 on, thousands apart."""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    text = f"{value:.3g}"
    return f"{value:.6f}".rstrip("0") if "e" in text and abs(value) >= SMALLEST_WRITTEN_OUT else text


def quantity(value: float, unit: str) -> str:
    """A number with its unit; bytes in kB, MB or GB of a thousand each; shares in hundredths."""
    if unit == "share":
        return f"{plain(value * 100)}%"
    if unit in ("B", "B/s"):
        for step, name in BYTE_STEPS:
            if abs(value) >= step:
                return f"{plain(value / step)} {unit.replace('B', name, 1)}"
    return f"{plain(value)} {unit}".strip()


def estimate(value: Estimate, unit: str) -> str:
    """An estimate with its standard error, where there is one."""
    if value.error == 0:
        return quantity(value.value, unit)
    return f"{quantity(value.value, unit)} ± {quantity(value.error, unit)}"


def markdown_table(header: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> str:
    """A table of Markdown; bars inside cells are escaped."""
    lines = [header, tuple("---" for _ in header), *rows]
    return "\n".join("| " + " | ".join(cell.replace("|", "\\|") for cell in line) + " |" for line in lines)


def sheet_table(rows: list[Row]) -> str:
    """The rows of one part of the page."""
    cells = [
        (
            row.what,
            row.arithmetic,
            "not measured" if row.value is None else estimate(row.value, row.unit),
            "" if row.most is None else f"{quantity(row.most, row.unit)}: {row.verdict().value}",
            row.carried_by,
        )
        for row in rows
    ]
    return markdown_table(("figure", "arithmetic", "at the target", "bound", "carried by"), cells)
