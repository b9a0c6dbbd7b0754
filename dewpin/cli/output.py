"""Prints results to standard output: tables on a terminal, plain columns when piped, JSON on request.

Tables are rendered by rich if it is installed.
"""

import sys
from collections.abc import Sequence
from typing import Any

import click

BYTE_UNITS = ("B", "kB", "MB")
BYTE_UNIT_FACTOR = 1000.0


def print_json(value: Any) -> None:
    """Print a value as indented JSON."""
    import msgspec

    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_values(values: dict[str, Any], as_json: bool = False) -> None:
    """Print named values, one per line or as JSON."""
    if as_json:
        print_json(values)
    else:
        print_table(("", ""), list(values.items()))


def print_table(columns: Sequence[str], rows: Sequence[Sequence[Any]], title: str | None = None) -> None:
    """Print rows of values under column headers."""
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
    """Print a table with rich; return False if the extra dewpin[tables] is not installed."""
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
        table.add_row(*map(Text, row))  # without markup, as ids may contain brackets
    Console().print(table)
    return True


def format_size(size_bytes: float) -> str:
    """Return a size in a human-readable unit."""
    for unit in BYTE_UNITS:
        if size_bytes < BYTE_UNIT_FACTOR:
            return f"{size_bytes:.3g} {unit}"
        size_bytes /= BYTE_UNIT_FACTOR
    return f"{size_bytes:.3g} GB"
