"""What is wrong with a configuration, in sentences that name the place and the remedy."""

from collections.abc import Iterable
from typing import Any

import msgspec

MAX_SHOWN_CHARACTERS = 60
MIN_SIMILARITY = 0.6  # of a key to what was probably meant


class ConfigurationIssue(msgspec.Struct, frozen=True):
    """One error in a configuration.

    Attributes:
        file: name of the file, variable or option.
        key: the key in question, as it is named there; empty for the file as a whole.
        message: what was expected.
        line: of the file, from 1, where it is known.
        suggestion: the existing key that was probably meant.
    """

    file: str
    key: str
    message: str
    line: int | None = None
    suggestion: str | None = None

    def __str__(self) -> str:
        place = self.file if self.line is None else f"{self.file}:{self.line}"
        hint = f"; did you mean {self.suggestion}?" if self.suggestion else ""
        subject = f"{place}: {self.key}" if self.key else place
        return f"{subject}: {self.message}{hint}"


class ConfigurationError(Exception):
    """An invalid configuration; `issues` holds all that is wrong with it, in the order of the layers."""

    def __init__(self, issues: Iterable[ConfigurationIssue]) -> None:
        self.issues = list(issues)
        super().__init__("; ".join(map(str, self.issues)))


def suggest_name(name: str, known_names: Iterable[str]) -> str | None:
    """Return the known name that was probably meant, or None."""
    from difflib import get_close_matches

    known_names = list(known_names)
    if matches := get_close_matches(name, known_names, 1, MIN_SIMILARITY):
        return matches[0]
    last_part = name.rpartition(".")[2]  # the right key in the wrong section
    return next((known for known in known_names if known.rpartition(".")[2] == last_part), None)


def shorten(value: Any) -> str:
    """Return a rejected value, short enough for one line."""
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARACTERS else text[: MAX_SHOWN_CHARACTERS - 3] + "..."
