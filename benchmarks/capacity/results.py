"""Stored results, from which the page can be written without measuring again."""

from __future__ import annotations

import datetime
import json
import os
import platform
import sqlite3
import subprocess
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.capacity.series import Series


@dataclass(frozen=True)
class Run:
    """Where and when a series was measured.

    `when`: UTC. `revision`: of the source tree. `load`: one-minute load average of the machine.
    """

    when: str
    revision: str
    cores: int
    python: str
    sqlite: str
    load: float

    def describe(self) -> str:
        """Return a one-line description for the page."""
        machine = f"load {self.load:.0f} on {self.cores} cores, Python {self.python}, SQLite {self.sqlite}"
        return f"{self.when}, text {self.revision}, {machine}"


@dataclass(frozen=True)
class Results:
    """Series by name, each with the run that measured it."""

    series: dict[str, Series]
    runs: dict[str, Run]

    def with_series(self, series: Series, run: Run) -> Results:
        """Return these results with one series added or replaced."""
        return Results({**self.series, series.name: series}, {**self.runs, series.name: run})


def current_run(root: Path) -> Run:
    """Return the description of the run of this process."""
    revision = subprocess.run(
        ["git", "describe", "--always", "--dirty"], cwd=root, capture_output=True, text=True, check=False
    ).stdout.strip()
    when = datetime.datetime.now(datetime.UTC).strftime("%Y-%m-%d %H:%M UTC")
    return Run(
        when,
        revision or "unknown",
        os.cpu_count() or 0,
        platform.python_version(),
        sqlite3.sqlite_version,
        round(os.getloadavg()[0], 1),
    )


def load(path: Path) -> Results:
    """Load results from a file; empty if it does not exist."""
    if not path.exists():
        return Results({}, {})
    records: dict[str, Any] = json.loads(path.read_text())
    series = {name: Series.from_json(record["series"]) for name, record in records.items()}
    runs = {name: Run(**record["run"]) for name, record in records.items()}
    return Results(series, runs)


def save(results: Results, path: Path) -> None:
    """Write results to a file as JSON, sorted by series."""
    records = {
        name: {"run": vars(results.runs[name]), "series": series.to_json()}
        for name, series in sorted(results.series.items())
    }
    path.write_text(json.dumps(records, indent=1) + "\n")
