"""The operator's TOML file as a layer."""

import os
import tomllib
from typing import Any

from . import toml_lines
from .errors import ConfigurationIssue, shorten, suggest_name
from .keys import FORMAT, KEYS, SECTIONS
from .layer import Issues, Layer, read_regular_file

MAX_BYTES = 1_048_576
END_TABLE = "end"  # the empty table that closes a complete file


def read_operator_file(path: str, issues: Issues, must_end: bool) -> tuple[Layer, bool]:
    """Return the file's layer, and whether an `[end]` table closes it.

    `must_end`: it is an error if none does, as the file before had one: this one may be written in part.
    """
    content = read_regular_file(path, MAX_BYTES, issues)
    if content is None:
        return Layer(), False
    return _OperatorFile(os.path.basename(path), issues).read(content, must_end)


def is_unfinished(path: str) -> bool:
    """Return whether the file exists and no `[end]` table closes it."""
    content = read_regular_file(path, MAX_BYTES, [])
    return content is not None and toml_lines.last_table(content.decode(errors="replace")) != END_TABLE


class _OperatorFile:
    """One reading of the file.

    Attributes:
        file: its name in messages.
        issues: to which what is wrong is added.
        line_numbers: by key path.
        newer_format_hint: for messages about unknown keys where the file is for a newer program.
    """

    def __init__(self, file: str, issues: Issues) -> None:
        self.file = file
        self.issues = issues
        self.line_numbers: dict[str, int] = {}
        self.newer_format_hint = ""

    def read(self, content: bytes, must_end: bool) -> tuple[Layer, bool]:
        text, tables = self._parse(content)
        if tables is None:
            return Layer(), False
        self.line_numbers = toml_lines.line_numbers(text)
        has_end = self._check_end(text, tables, must_end)
        self._check_format(tables.pop("format", FORMAT))
        if tables.pop(END_TABLE, None):
            self._add_issue(END_TABLE, "expected nothing in it")
        layer = Layer()
        for section, table in tables.items():
            self._read_section(layer, section, table)
        return layer, has_end

    def _add_issue(self, name: str, message: str, suggestion: str | None = None) -> None:
        issue = ConfigurationIssue(self.file, name, message, self.line_numbers.get(name), suggestion)
        self.issues.append(issue)

    def _parse(self, content: bytes) -> tuple[str, dict[str, Any] | None]:
        text = ""
        try:
            text = content.decode()
            return text, tomllib.loads(text)
        except UnicodeDecodeError as error:
            message = f"expected text in UTF-8: {error.reason} at byte {error.start}"
            self.issues.append(ConfigurationIssue(self.file, "", message))
        except tomllib.TOMLDecodeError as error:
            reason, _, place = str(error).partition(" (at ")
            number = place.partition("line ")[2].partition(",")[0]
            line = int(number) if number.isdigit() else text.count("\n") + 1
            message = f"no TOML: {reason[:1].lower()}{reason[1:]}"
            self.issues.append(ConfigurationIssue(self.file, "", message, line))
        return text, None

    def _check_end(self, text: str, tables: dict[str, Any], must_end: bool) -> bool:
        has_end = END_TABLE in tables and toml_lines.last_table(text) == END_TABLE
        if END_TABLE in tables and not has_end:
            self._add_issue(END_TABLE, "expected [end] as the last line that says anything")
        elif must_end and not has_end:
            message = "the file before ended with [end] and this one does not: it is taken for half written"
            self.issues.append(ConfigurationIssue(self.file, END_TABLE, message, text.count("\n") + 1))
        return has_end

    def _check_format(self, file_format: Any) -> None:
        if isinstance(file_format, bool) or not isinstance(file_format, int) or file_format < 1:
            self._add_issue("format", f"expected a whole number from 1 to {FORMAT}, got {shorten(file_format)}")
        elif file_format > FORMAT:
            self.newer_format_hint = f" to this program (the file says format {file_format})"
            message = (
                f"this file is written for a newer program: it is of format {file_format}, this one reads up to "
                f"{FORMAT}; nothing of it is taken"
            )
            self._add_issue("format", message)

    def _read_section(self, layer: Layer, section: str, table: Any) -> None:
        if section not in SECTIONS:
            suggestion = suggest_name(section, (*SECTIONS, *KEYS))
            self._add_issue(section, f"no such section or key is known{self.newer_format_hint}", suggestion)
            return
        if not isinstance(table, dict):
            self._add_issue(section, "expected a table")
            return
        for name, given in table.items():
            path = f"{section}.{name}"
            if path in KEYS:
                layer.add(KEYS[path], given, self.file, path, self.issues, self.line_numbers.get(path))
            else:
                self._add_issue(path, f"no such key is known{self.newer_format_hint}", suggest_name(path, KEYS))
