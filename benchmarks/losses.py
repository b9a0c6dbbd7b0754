"""Prints the score losses of simulated days by cause, as a table of journal entries.

    .venv/bin/python benchmarks/losses.py 3512c4d4 5689c56a

The worth of a day is the weighted sum of its parts minus its prices. The loss by a part is its weight times its
difference to 1; the loss by a price is the price itself. Losses below 0.0005 are omitted. Reads only `journal/`; does
not check the results against limits.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

JOURNAL = Path(__file__).resolve().parent.parent / "journal"
MIN_LOSS = 0.0005


@dataclass(frozen=True, slots=True)
class Loss:
    """The part of a day's worth that was lost by one cause."""

    cause: str
    worth: float


@dataclass(frozen=True, slots=True)
class CompletedDay:
    """A simulated day of a journal entry. `losses`: largest first."""

    entry: str
    site: str
    name: str
    score: float
    worth: float
    losses: tuple[Loss, ...]


def losses_of(day: dict[str, Any]) -> tuple[Loss, ...]:
    """Return the losses of a day of a journal entry, largest first."""
    parts = [Loss(name, weight * (1.0 - value)) for name, weight, value in day["parts"]]
    prices = [Loss(name, price) for name, _, price in day["prices"]]
    significant = [loss for loss in (*parts, *prices) if loss.worth >= MIN_LOSS]
    return tuple(sorted(significant, key=lambda loss: -loss.worth))


def completed_days(entry: dict[str, Any]) -> list[CompletedDay]:
    """Return the completed days of a journal entry, in its order."""
    return [
        CompletedDay(entry["id"], entry["site"], day["name"], day["score"], day["G"], losses_of(day))
        for day in entry["days"]
        if day["fault"] is None
    ]


def table(days: Iterable[CompletedDay]) -> str:
    """Return a Markdown table with a row for each day, and all causes in one column."""
    rows = ["| entry | site | day | score | worth | lost by |", "| --- | --- | --- | --- | --- | --- |"]
    for day in days:
        causes = ", ".join(f"{loss.cause} {loss.worth:.3f}" for loss in day.losses)
        rows.append(f"| {day.entry} | {day.site} | {day.name} | {day.score:.2f} | {day.worth:.3f} | {causes} |")
    return "\n".join(rows)


def read_entry(folder: Path, entry_id: str) -> dict[str, Any]:
    """Return the journal entry with an id. Raises click.ClickException if there is none."""
    for file in folder.glob(f"*-{entry_id}.json"):
        entry: dict[str, Any] = json.loads(file.read_text())
        return entry
    raise click.ClickException(f"no entry {entry_id} in {folder}")


@click.command()
@click.argument("entries", nargs=-1, required=True)
@click.option("--journal", type=click.Path(path_type=Path), default=JOURNAL, help="Folder of the journal entries.")
def main(entries: Sequence[str], journal: Path) -> None:
    """Print the losses of the days of journal ENTRIES, by cause."""
    click.echo(table(day for entry_id in entries for day in completed_days(read_entry(journal, entry_id))))


if __name__ == "__main__":
    main()
