"""Facts on standard output: a table at a terminal, plain columns when piped, JSON when asked.

Tables are drawn by rich where it is installed.
"""

import sys
from collections.abc import Sequence
from typing import Any

import click

BYTE_UNITS = ("B", "kB", "MB")
BYTE_UNIT_FACTOR = 1000.0


def print_json(value: Any) -> None:
    """Print facts as indented JSON."""
    import msgspec

    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_facts(facts: dict[str, Any], as_json: bool = False) -> None:
    """Print a map of names to values."""
    if as_json:
        print_json(facts)
    else:
        print_table(("", ""), list(facts.items()))


def print_table(columns: Sequence[str], rows: Sequence[Sequence[Any]], title: str | None = None) -> None:
    """Print rows of values under columns; values are printed as text."""
    texts = [tuple("" if value is None else str(value) for value in row) for row in rows]
    if sys.stdout.isatty() and _print_rich_table(columns, texts, title):
        return
    if title:
        click.echo(title)
    if any(columns):
        texts = [tuple(columns), *texts]
    widths = [max((len(row[column]) for row in texts), default=0) for column in range(len(columns))]
    for row in texts:
        click.echo("  ".join(text.ljust(width) for text, width in zip(row, widths, strict=True)).rstrip())


def _print_rich_table(columns: Sequence[str], rows: Sequence[Sequence[str]], title: str | None) -> bool:
    """Print a table with rich; False where the extra dewpin[tables] is not installed."""
    try:
        from rich.console import Console
        from rich.table import Table
        from rich.text import Text
    except ImportError:
        return False
    table = Table(title=title, show_header=any(columns), title_justify="left")
    for name in columns:
        table.add_column(name, overflow="fold")
    for row in rows:
        table.add_row(*map(Text, row))  # as it is: brackets in an id are no markup
    Console().print(table)
    return True


def format_size(size_bytes: float) -> str:
    """Return a number of bytes for people."""
    for unit in BYTE_UNITS:
        if size_bytes < BYTE_UNIT_FACTOR:
            return f"{size_bytes:.3g} {unit}"
        size_bytes /= BYTE_UNIT_FACTOR
    return f"{size_bytes:.3g} GB"
