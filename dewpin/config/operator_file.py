"""Reads the operator's TOML file as a layer."""

import os
import tomllib
from typing import Any

from . import toml_lines
from .errors import ConfigurationIssue, shorten, suggest_name
from .keys import FORMAT_VERSION, KEYS, SECTIONS
from .layer import Issues, Layer, read_regular_file

MAX_BYTES = 1_048_576
END_TABLE = "end"  # an empty table that marks the end of a complete file


def read_operator_file(path: str, issues: Issues, requires_end: bool) -> tuple[Layer, bool]:
    """Return the layer of the file, and whether the file ends with an `[end]` table.

    With `requires_end`, a file without `[end]` is an error: the previous file had one, so this one may be only partly
    written.
    """
    content = read_regular_file(path, MAX_BYTES, issues)
    if content is None:
        return Layer(), False
    return _OperatorFileReader(os.path.basename(path), issues).read(content, requires_end)


def is_unfinished(path: str) -> bool:
    """Return whether the file exists and does not end with an `[end]` table."""
    content = read_regular_file(path, MAX_BYTES, [])
    return content is not None and toml_lines.last_table(content.decode(errors="replace")) != END_TABLE


class _OperatorFileReader:
    """Reads one operator file.

    Attributes:
        file_name: name of the file in messages.
        issues: list to which issues are appended.
        line_numbers: line number from 1 by key path.
        newer_format_hint: suffix for messages about unknown keys if the file is for a newer program.
    """

    def __init__(self, file_name: str, issues: Issues) -> None:
        self.file_name = file_name
        self.issues = issues
        self.line_numbers: dict[str, int] = {}
        self.newer_format_hint = ""

    def read(self, content: bytes, requires_end: bool) -> tuple[Layer, bool]:
        text, tables = self._parse(content)
        if tables is None:
            return Layer(), False
        self.line_numbers = toml_lines.line_numbers(text)
        has_end = self._check_end(text, tables, requires_end)
        self._check_format(tables.pop("format", FORMAT_VERSION))
        if tables.pop(END_TABLE, None):
            self._add_issue(END_TABLE, "expected an empty table")
        layer = Layer()
        for section, table in tables.items():
            self._read_section(layer, section, table)
        return layer, has_end

    def _add_issue(self, name: str, message: str, suggestion: str | None = None) -> None:
        issue = ConfigurationIssue(self.file_name, name, message, self.line_numbers.get(name), suggestion)
        self.issues.append(issue)

    def _parse(self, content: bytes) -> tuple[str, dict[str, Any] | None]:
        text = ""
        try:
            text = content.decode()
            return text, tomllib.loads(text)
        except UnicodeDecodeError as error:
            message = f"expected text in UTF-8: {error.reason} at byte {error.start}"
            self.issues.append(ConfigurationIssue(self.file_name, "", message))
        except tomllib.TOMLDecodeError as error:
            reason, _, location = str(error).partition(" (at ")
            line_text = location.partition("line ")[2].partition(",")[0]
            line = int(line_text) if line_text.isdigit() else text.count("\n") + 1
            message = f"invalid TOML: {reason[:1].lower()}{reason[1:]}"
            self.issues.append(ConfigurationIssue(self.file_name, "", message, line))
        return text, None

    def _check_end(self, text: str, tables: dict[str, Any], requires_end: bool) -> bool:
        has_end = END_TABLE in tables and toml_lines.last_table(text) == END_TABLE
        if END_TABLE in tables and not has_end:
            self._add_issue(END_TABLE, "expected [end] as the last line other than comments")
        elif requires_end and not has_end:
            message = "the previous file ended with [end] and this one does not; it is considered incomplete"
            self.issues.append(ConfigurationIssue(self.file_name, END_TABLE, message, text.count("\n") + 1))
        return has_end

    def _check_format(self, file_format: Any) -> None:
        if isinstance(file_format, bool) or not isinstance(file_format, int) or file_format < 1:
            self._add_issue("format", f"expected a whole number from 1 to {FORMAT_VERSION}, got {shorten(file_format)}")
        elif file_format > FORMAT_VERSION:
            self.newer_format_hint = f" for this program (the file has format {file_format})"
            message = (
                f"this file requires a newer program: it has format {file_format}, this program supports up to "
                f"{FORMAT_VERSION}; the file is ignored"
            )
            self._add_issue("format", message)

    def _read_section(self, layer: Layer, section: str, table: Any) -> None:
        if section not in SECTIONS:
            suggestion = suggest_name(section, (*SECTIONS, *KEYS))
            self._add_issue(section, f"unknown section or key{self.newer_format_hint}", suggestion)
            return
        if not isinstance(table, dict):
            self._add_issue(section, "expected a table")
            return
        for name, value in table.items():
            path = f"{section}.{name}"
            if path in KEYS:
                layer.add(KEYS[path], value, self.file_name, path, self.issues, self.line_numbers.get(path))
            else:
                self._add_issue(path, f"unknown key{self.newer_format_hint}", suggest_name(path, KEYS))
