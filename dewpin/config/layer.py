"""One layer of a configuration: the values that one source gives, and where exactly they came from."""

import os
import stat
from collections.abc import Callable
from typing import Any

import msgspec

from .errors import ConfigurationIssue, shorten
from .keys import Key
from .values import parse_value

Issues = list[ConfigurationIssue]


class Layer(msgspec.Struct):
    """Values and their origins, both by key path."""

    values: dict[str, Any] = msgspec.field(default_factory=dict)
    origins: dict[str, str] = msgspec.field(default_factory=dict)

    def add(
        self,
        key: Key,
        given: Any,
        file: str,
        name: str,
        issues: Issues,
        line: int | None = None,
        parse: Callable[[Key, Any], Any] = parse_value,
    ) -> bool:
        """Take a given value, or add an issue; return whether it was taken.

        `file`: the source's name; `name`: the key's name there.
        """
        try:
            self.values[key.path] = parse(key, given)
        except ValueError as error:
            shown = "a value" if key.is_secret else shorten(given)
            issues.append(ConfigurationIssue(file, name, f"{error}, got {shown}", line))
            return False
        self.origins[key.path] = f"{file}:{line}" if line else f"{file} {name}".strip()
        return True


def read_regular_file(path: str, max_bytes: int, issues: Issues) -> bytes | None:
    """Return a file's content, or None with an issue. A pipe or device, which would block, is rejected."""
    file = os.path.basename(path)
    try:
        with open(os.open(path, os.O_RDONLY | os.O_NONBLOCK), "rb") as opened:
            if not stat.S_ISREG(os.fstat(opened.fileno()).st_mode):
                issues.append(ConfigurationIssue(file, "", f"{path}: expected a regular file"))
                return None
            content = opened.read(max_bytes + 1)
    except OSError as error:
        issues.append(ConfigurationIssue(file, "", f"{path}: {error.strerror}"))
        return None
    if len(content) > max_bytes:
        issues.append(ConfigurationIssue(file, "", f"{path}: expected {max_bytes} bytes at most"))
        return None
    return content
