"""The platform's JSON file as a layer: this program's keys under the platform's names, in the platform's units."""

import os
from typing import Any

import msgspec

from .errors import ConfigurationIssue, shorten
from .keys import KEYS, Key
from .layer import Issues, Layer, read_regular_file
from .values import check_value

MAX_BYTES = 67_108_864  # a platform's list of receivers may be long
SECTIONS = ("limits", "stop")
BYTES_PER_MEGABYTE = 1e6
MAX_INTEGER = 1e15
SEED_MASK = 0xFFFFFFFFFFFFFFFF


def read_platform_file(path: str, issues: Issues) -> dict[str, Any]:
    """Return the file's object; empty, with an issue, where there is none."""
    file = os.path.basename(path)
    content = read_regular_file(path, MAX_BYTES, issues)
    if content is None:
        return {}
    try:
        document = msgspec.json.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        issues.append(ConfigurationIssue(file, "", f"no JSON: {error}"))
        return {}
    if not isinstance(document, dict):
        issues.append(ConfigurationIssue(file, "", f"expected a JSON object, got {shorten(document)}"))
        return {}
    return document


def platform_layer(document: dict[str, Any], file: str, issues: Issues) -> Layer:
    """Return the layer of the values that the platform sets."""
    layer = Layer()
    for section in SECTIONS:
        if not isinstance(document.get(section, {}), dict):
            issues.append(ConfigurationIssue(file, section, f"expected an object, got {shorten(document[section])}"))
            document = document | {section: {}}
    for key in KEYS.values():
        if not key.platform_name:
            continue
        section, _, name = key.platform_name.rpartition(".")
        table = document.get(section, {}) if section else document
        if name not in table or table[name] in ("", None):
            continue
        given = table[name]
        if key.path == "sender.seed" and isinstance(given, int) and not isinstance(given, bool):
            given = f"{given & SEED_MASK:x}"
        layer.add(key, given, file, key.platform_name, issues, parse=_parse_platform_value)
    return layer


def _parse_platform_value(key: Key, given: Any) -> Any:
    """Return a value of the platform's. Raises ValueError that says what was expected."""
    if key.value_type is str:
        return check_value(key, given)
    if isinstance(given, bool) or not isinstance(given, (int, float)) or given != given:
        range_text = key.range_text()
        raise ValueError(f"expected a number, {range_text}" if range_text else "expected a number")
    value: float
    if key.value_type is int:
        value = int(min(max(given, -MAX_INTEGER), MAX_INTEGER))
    else:
        value = float(given) * (BYTES_PER_MEGABYTE if key.platform_name.endswith("_mb") else 1.0)
    minimum = key.limits.ge
    if minimum and 0 < value < minimum:
        return value  # what the platform gives is all there is: a sender starts with it and does what it can
    return check_value(key, value)
