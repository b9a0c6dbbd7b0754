"""Writes settings files (TOML) for processes of the tier."""

import json
from collections.abc import Mapping, Sequence
from pathlib import Path

SettingsValue = str | bool | int | float | Sequence[str] | Sequence[int]
SettingsTable = Mapping[str, SettingsValue]


def render_settings(fields: SettingsTable, tables: Mapping[str, SettingsTable]) -> str:
    """Return the text of the file; JSON strings, numbers, booleans and arrays are valid TOML."""
    lines = [_line(name, value) for name, value in fields.items()]
    for title, table in tables.items():
        lines += [f"[{title}]", *(_line(name, value) for name, value in table.items())]
    return "\n".join(lines) + "\n"


def write_settings(path: Path, fields: SettingsTable, tables: Mapping[str, SettingsTable]) -> None:
    """Write a settings file."""
    path.write_text(render_settings(fields, tables), encoding="utf-8")


def _line(name: str, value: SettingsValue) -> str:
    return f"{name} = {json.dumps(value)}"
