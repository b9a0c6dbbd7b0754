"""Facts on standard output: a table at a terminal, plain columns when piped, JSON when asked.

It owns these three forms and nothing of what is shown. Tables are drawn by rich where it is installed.
"""
import sys
from collections.abc import Sequence
from typing import Any

import click


def as_json(held: Any) -> None:
    """Facts as indented JSON."""
    import msgspec
    click.echo(msgspec.json.format(msgspec.json.encode(held), indent=2).decode())


def facts(held: dict[str, Any], json: bool = False) -> None:
    """A map of names to values."""
    if json:
        return as_json(held)
    table(("", ""), list(held.items()))


def table(columns: Sequence[str], rows: Sequence[Sequence[Any]], title: str | None = None) -> None:
    """Rows of values under columns; values are told as text."""
    rows = [tuple("" if value is None else str(value) for value in row) for row in rows]
    if sys.stdout.isatty() and (rich := _rich(columns, rows, title)):
        return rich
    if title:
        click.echo(title)
    if any(columns):
        rows = [tuple(columns), *rows]
    widths = [max((len(row[at]) for row in rows), default=0) for at in range(len(columns))]
    for row in rows:
        click.echo("  ".join(value.ljust(width) for value, width in zip(row, widths, strict=True)).rstrip())
    return None


def _rich(columns: Sequence[str], rows: Sequence[Sequence[Any]], title: str | None) -> Any:
    try:
        from rich.console import Console
        from rich.table import Table
        from rich.text import Text
    except ImportError:         # the extra dewpin[tables] is not installed: plain columns do
        return None
    drawn = Table(title=title, show_header=any(columns), title_justify="left")
    for name in columns:
        drawn.add_column(name, overflow="fold")
    for row in rows:
        drawn.add_row(*map(Text, row))      # as it is: brackets in an id are no markup
    Console().print(drawn)
    return drawn


def size(amount: float) -> str:
    """Bytes for people."""
    for unit in ("B", "kB", "MB"):
        if amount < 1000.0:
            return f"{amount:.3g} {unit}"
        amount /= 1000.0
    return f"{amount:.3g} GB"
