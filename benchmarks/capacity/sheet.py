"""Rows of the page: a figure at the target, its arithmetic, its bound, and the modules that implement it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from benchmarks.capacity.fit import Estimate

BOUND_MARGIN_ERRORS = 2.0
"""Minimum distance of a figure from its bound, in standard errors, for a definite verdict."""


class Verdict(Enum):
    """Result of comparing a figure with its bound."""

    WITHIN_BOUND = "inside"
    OVER_BOUND = "**beyond**"
    UNCERTAIN = "in doubt"
    NO_BOUND = ""
    NOT_MEASURED = "not measured"


@dataclass(frozen=True)
class Row:
    """One figure.

    `value`: None if a series that it needs has not been measured. `bound`: the maximum in the same unit, None if the
    target sets none. `sources`: names of the series that the value is computed from.
    """

    name: str
    arithmetic: str
    value: Estimate | None
    unit: str
    implemented_by: str
    bound: float | None = None
    sources: tuple[str, ...] = ()

    def verdict(self) -> Verdict:
        """Compare the figure with its bound, with a margin of BOUND_MARGIN_ERRORS on either side."""
        if self.value is None:
            return Verdict.NOT_MEASURED
        if self.bound is None:
            return Verdict.NO_BOUND
        margin = BOUND_MARGIN_ERRORS * self.value.error
        if self.value.value + margin <= self.bound:
            return Verdict.WITHIN_BOUND
        if self.value.value - margin > self.bound:
            return Verdict.OVER_BOUND
        return Verdict.UNCERTAIN


MIN_WITHOUT_EXPONENT = 1e-6
BYTE_UNITS = ((1e9, "GB"), (1e6, "MB"), (1e3, "kB"))


def format_number(value: float) -> str:
    """Format a number with three significant digits, from 100 on as an integer with thousands separators."""
    if value == 0:
        return "0"
    if abs(value) >= 100:
        return f"{value:,.0f}"
    text = f"{value:.3g}"
    return f"{value:.6f}".rstrip("0") if "e" in text and abs(value) >= MIN_WITHOUT_EXPONENT else text


def format_quantity(value: float, unit: str) -> str:
    """Format a number with its unit; bytes in decimal kB, MB or GB, shares as percentages."""
    if unit == "share":
        return f"{format_number(value * 100)}%"
    if unit in ("B", "B/s"):
        for unit_bytes, name in BYTE_UNITS:
            if abs(value) >= unit_bytes:
                return f"{format_number(value / unit_bytes)} {unit.replace('B', name, 1)}"
    return f"{format_number(value)} {unit}".strip()


def format_estimate(value: Estimate, unit: str) -> str:
    """Format an estimate with its standard error, if it has one."""
    if value.error == 0:
        return format_quantity(value.value, unit)
    return f"{format_quantity(value.value, unit)} ± {format_quantity(value.error, unit)}"


def markdown_table(header: tuple[str, ...], rows: Sequence[tuple[str, ...]]) -> str:
    """Return a Markdown table; vertical bars in cells are escaped."""
    table_rows = [header, tuple("---" for _ in header), *rows]
    return "\n".join(
        "| " + " | ".join(cell.replace("|", "\\|") for cell in table_row) + " |" for table_row in table_rows
    )


def rows_table(rows: list[Row]) -> str:
    """Return the Markdown table of the rows of a section."""
    cells = [
        (
            row.name,
            row.arithmetic,
            "not measured" if row.value is None else format_estimate(row.value, row.unit),
            "" if row.bound is None else f"{format_quantity(row.bound, row.unit)}: {row.verdict().value}",
            row.implemented_by,
        )
        for row in rows
    ]
    return markdown_table(("figure", "arithmetic", "at the target", "bound", "carried by"), cells)
