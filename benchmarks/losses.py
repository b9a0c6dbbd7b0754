"""What each played day lost, by cause: a table of the journal's entries.

    .venv/bin/python benchmarks/losses.py 3512c4d4 5689c56a

A day's worth is the weighted sum of its parts less its prices. A part loses its weight times what it lacks of 1; a
price is a loss as it stands. Losses below half a thousandth are left out. It reads nothing but `journal/`, and judges
nothing.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import click

JOURNAL = Path(__file__).resolve().parent.parent / "journal"
LEAST_LOSS = 0.0005


@dataclass(frozen=True, slots=True)
class Loss:
    """Worth that a day lost by one cause."""

    cause: str
    worth: float


@dataclass(frozen=True, slots=True)
class PlayedDay:
    """A day of a journal entry. `losses`: the greatest first."""

    entry: str
    site: str
    name: str
    score: float
    worth: float
    losses: tuple[Loss, ...]


def losses_of(day: dict[str, Any]) -> tuple[Loss, ...]:
    """Return what a day of an entry lost, the greatest first."""
    parts = [Loss(name, weight * (1.0 - value)) for name, weight, value in day["parts"]]
    prices = [Loss(name, price) for name, _, price in day["prices"]]
    worth_telling = [loss for loss in (*parts, *prices) if loss.worth >= LEAST_LOSS]
    return tuple(sorted(worth_telling, key=lambda loss: -loss.worth))


def played_days(entry: dict[str, Any]) -> list[PlayedDay]:
    """Return the days of a journal entry that were played to their end, in its order."""
    return [
        PlayedDay(entry["id"], entry["site"], day["name"], day["score"], day["G"], losses_of(day))
        for day in entry["days"]
        if day["fault"] is None
    ]


def table(days: Iterable[PlayedDay]) -> str:
    """Return a Markdown table of days: one row each, the causes in one column."""
    rows = ["| entry | site | day | score | worth | lost by |", "| --- | --- | --- | --- | --- | --- |"]
    for day in days:
        told = ", ".join(f"{loss.cause} {loss.worth:.3f}" for loss in day.losses)
        rows.append(f"| {day.entry} | {day.site} | {day.name} | {day.score:.2f} | {day.worth:.3f} | {told} |")
    return "\n".join(rows)


def read_entry(folder: Path, entry_id: str) -> dict[str, Any]:
    """Return a journal entry by its id. Raises click.ClickException where there is none."""
    for file in folder.glob(f"*-{entry_id}.json"):
        entry: dict[str, Any] = json.loads(file.read_text())
        return entry
    raise click.ClickException(f"no entry {entry_id} in {folder}")


@click.command()
@click.argument("entries", nargs=-1, required=True)
@click.option("--journal", type=click.Path(path_type=Path), default=JOURNAL, help="The folder of the entries.")
def main(entries: Sequence[str], journal: Path) -> None:
    """Print what the days of journal ENTRIES lost, by cause."""
    click.echo(table(day for entry_id in entries for day in played_days(read_entry(journal, entry_id))))


if __name__ == "__main__":
    main()
