"""One layer of a configuration: the values from one source, and the origin of each."""

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
        value: Any,
        file: str,
        name: str,
        issues: Issues,
        line: int | None = None,
        parse: Callable[[Key, Any], Any] = parse_value,
    ) -> bool:
        """Parse and store a value, or add an issue; return whether the value was stored.

        `file`: name of the source; `name`: name of the key in that source.
        """
        try:
            self.values[key.path] = parse(key, value)
        except ValueError as error:
            shown_value = "a value" if key.is_secret else shorten(value)
            issues.append(ConfigurationIssue(file, name, f"{error}, got {shown_value}", line))
            return False
        self.origins[key.path] = f"{file}:{line}" if line else f"{file} {name}".strip()
        return True


def read_regular_file(path: str, max_bytes: int, issues: Issues) -> bytes | None:
    """Return the content of a file, or add an issue and return None.

    Pipes and devices are rejected, as reading them could block.
    """
    file_name = os.path.basename(path)
    try:
        with open(os.open(path, os.O_RDONLY | os.O_NONBLOCK), "rb") as opened:
            if not stat.S_ISREG(os.fstat(opened.fileno()).st_mode):
                issues.append(ConfigurationIssue(file_name, "", f"{path}: expected a regular file"))
                return None
            content = opened.read(max_bytes + 1)
    except OSError as error:
        issues.append(ConfigurationIssue(file_name, "", f"{path}: {error.strerror}"))
        return None
    if len(content) > max_bytes:
        issues.append(ConfigurationIssue(file_name, "", f"{path}: expected at most {max_bytes} bytes"))
        return None
    return content
