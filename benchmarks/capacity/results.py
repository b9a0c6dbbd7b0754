"""The measured series, kept beside the code, so that the page can be written again without measuring."""

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

    load: processes that ran or waited on the machine, the mean of the last minute.
    """

    when: str
    revision: str
    cores: int
    python: str
    sqlite: str
    load: float

    def describe(self) -> str:
        """One phrase for the page."""
        machine = f"load {self.load:.0f} on {self.cores} cores, Python {self.python}, SQLite {self.sqlite}"
        return f"{self.when}, text {self.revision}, {machine}"


@dataclass(frozen=True)
class Results:
    """Series by name, each with the run that gave it."""

    series: dict[str, Series]
    runs: dict[str, Run]

    def with_series(self, series: Series, run: Run) -> Results:
        """These results with one series replaced."""
        return Results({**self.series, series.name: series}, {**self.runs, series.name: run})


def this_run(root: Path) -> Run:
    """The run that is under way in this process."""
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
    """Results from a file; none when there is no such file."""
    if not path.exists():
        return Results({}, {})
    held: dict[str, Any] = json.loads(path.read_text())
    series = {name: Series.from_json(one["series"]) for name, one in held.items()}
    runs = {name: Run(**one["run"]) for name, one in held.items()}
    return Results(series, runs)


def save(results: Results, path: Path) -> None:
    """Write results to a file, one series a paragraph."""
    held = {
        name: {"run": vars(results.runs[name]), "series": series.to_json()}
        for name, series in sorted(results.series.items())
    }
    path.write_text(json.dumps(held, indent=1) + "\n")
