"""Errors in a configuration. Each message names the location and what was expected there."""

from collections.abc import Iterable
from typing import Any

import msgspec

MAX_SHOWN_CHARACTERS = 60
MIN_SIMILARITY = 0.6  # between an unknown key and the known key that is suggested for it


class ConfigurationIssue(msgspec.Struct, frozen=True):
    """One error in a configuration.

    Attributes:
        file: name of the file, environment variable or option.
        key: name of the key in that source; empty if the issue concerns the whole file.
        message: what was expected.
        line: line number from 1, if known.
        suggestion: the known key that was probably meant.
    """

    file: str
    key: str
    message: str
    line: int | None = None
    suggestion: str | None = None

    def __str__(self) -> str:
        location = self.file if self.line is None else f"{self.file}:{self.line}"
        hint = f"; did you mean {self.suggestion}?" if self.suggestion else ""
        subject = f"{location}: {self.key}" if self.key else location
        return f"{subject}: {self.message}{hint}"


class ConfigurationError(Exception):
    """An invalid configuration; `issues` lists all of its errors."""

    def __init__(self, issues: Iterable[ConfigurationIssue]) -> None:
        self.issues = list(issues)
        super().__init__("; ".join(map(str, self.issues)))


def suggest_name(name: str, known_names: Iterable[str]) -> str | None:
    """Return the known name most similar to `name`, or None."""
    from difflib import get_close_matches

    known_names = list(known_names)
    if matches := get_close_matches(name, known_names, 1, MIN_SIMILARITY):
        return matches[0]
    last_part = name.rpartition(".")[2]  # a known key in the wrong section
    return next((known for known in known_names if known.rpartition(".")[2] == last_part), None)


def shorten(value: Any) -> str:
    """Return the representation of a rejected value, truncated to fit on one line."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[: MAX_SHOWN_CHARACTERS - 3] + "..."
