"""Generates the sections of docs/CAPACITY.md."""

from __future__ import annotations

from dataclasses import fields

from benchmarks.capacity.context import Context
from benchmarks.capacity.coverage import coverage_table
from benchmarks.capacity.fit import Estimate
from benchmarks.capacity.results import Results
from benchmarks.capacity.roles import control, failures, sender, store
from benchmarks.capacity.sheet import Row, format_estimate, format_number, markdown_table, rows_table
from benchmarks.capacity.sweep import SweepFigure, sweep_table
from benchmarks.capacity.target import ASSUMED, TARGET


def measured_table(results: Results) -> str:
    """Return a table of all series with their lines, ranges and runs."""
    cells = []
    for name, series in sorted(results.series.items()):
        line = series.line()
        xs = [x for x, _ in series.points]
        cells.append(
            (
                f"`{name}`",
                series.title,
                series.subject if series.subject.count("/") == 0 else f"`{series.subject}`",
                f"{format_estimate(Estimate(line.intercept, line.at(0).error), series.y_unit)}",
                f"{format_estimate(line.slope_estimate, series.y_unit)} / {series.x_name}",
                f"{format_number(min(xs))} to {format_number(max(xs))}, {line.count} points",
                results.runs[name].describe(),
            )
        )
    header = ("series", "what", "measured on", "at 0", "slope", "range", "run")
    return markdown_table(header, cells)


def points_table(results: Results) -> str:
    """Return a table of the mean of each series at each x."""
    cells = []
    for name, series in sorted(results.series.items()):
        by_x: dict[float, list[float]] = {}
        for x, y in series.points:
            by_x.setdefault(x, []).append(y)
        means = (f"{format_number(x)}: {format_number(sum(ys) / len(ys))}" for x, ys in sorted(by_x.items()))
        cells.append((f"`{name}`", f"{series.y_name} ({series.y_unit}) by {series.x_name}", "; ".join(means)))
    return markdown_table(("series", "mean of", "points"), cells)


def assumptions_table() -> str:
    """Return a table of the assumptions."""
    cells = [
        (field.name.replace("_", " "), format_number(float(getattr(ASSUMED, field.name)))) for field in fields(ASSUMED)
    ]
    return markdown_table(("assumed", "value"), cells)


def sections(results: Results, sweep: list[SweepFigure]) -> dict[str, str]:
    """Return the text of all generated sections by name."""
    context = Context(TARGET, ASSUMED, results)
    parts: dict[str, list[Row]] = {
        "sender-traffic": sender.traffic_rows(context),
        "sender-bytes": sender.bytes_rows(context),
        "sender-processor": sender.processor_rows(context),
        "sender-programs": sender.program_rows(context),
        "store-state": store.state_rows(context),
        "store-load": store.load_rows(context),
        "store-hello": store.heartbeat_rows(context),
        "control-leases": control.lease_rows(context),
        "control-state": control.state_rows(context),
        "control-list": control.list_rows(context),
        "failures-senders": failures.sender_rows(context),
        "failures-stores": failures.store_rows(context),
        "failures-places": failures.location_rows(context),
    }
    all_rows = [row for rows in parts.values() for row in rows]
    return {
        "coverage": coverage_table(TARGET, all_rows),
        "assumptions": assumptions_table(),
        **{name: rows_table(rows) for name, rows in parts.items()},
        "measured": measured_table(results),
        "points": points_table(results),
        "sweep": sweep_table(sweep, TARGET, ASSUMED),
    }
