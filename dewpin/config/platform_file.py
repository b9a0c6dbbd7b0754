"""Reads the platform's JSON file as a layer, translating the platform's names and units of keys."""

import os
from typing import Any

import msgspec

from .errors import ConfigurationIssue, shorten
from .keys import KEYS, Key
from .layer import Issues, Layer, read_regular_file
from .values import check_value

MAX_BYTES = 67_108_864  # the platform's receiver list may be long
PLATFORM_SECTIONS = ("limits", "stop")
BYTES_PER_MEGABYTE = 1e6
MAX_INTEGER = 1e15
SEED_MASK = 0xFFFFFFFFFFFFFFFF


def read_platform_file(path: str, issues: Issues) -> dict[str, Any]:
    """Return the JSON object in the file, or add an issue and return an empty one."""
    file_name = os.path.basename(path)
    content = read_regular_file(path, MAX_BYTES, issues)
    if content is None:
        return {}
    try:
        document = msgspec.json.decode(content)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        issues.append(ConfigurationIssue(file_name, "", f"invalid JSON: {error}"))
        return {}
    if not isinstance(document, dict):
        issues.append(ConfigurationIssue(file_name, "", f"expected a JSON object, got {shorten(document)}"))
        return {}
    return document


def platform_layer(document: dict[str, Any], file: str, issues: Issues) -> Layer:
    """Return the layer of the values in the platform's file."""
    layer = Layer()
    for section in PLATFORM_SECTIONS:
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
        value = table[name]
        if key.path == "sender.seed" and isinstance(value, int) and not isinstance(value, bool):
            value = f"{value & SEED_MASK:x}"
        layer.add(key, value, file, key.platform_name, issues, parse=_parse_platform_value)
    return layer


def _parse_platform_value(key: Key, raw_value: Any) -> Any:
    """Return a value from the platform's file in the unit of its key. Raises ValueError with what was expected."""
    if key.value_type is str:
        return check_value(key, raw_value)
    if isinstance(raw_value, bool) or not isinstance(raw_value, (int, float)) or raw_value != raw_value:
        range_text = key.range_text()
        raise ValueError(f"expected a number, {range_text}" if range_text else "expected a number")
    value: float
    if key.value_type is int:
        value = int(min(max(raw_value, -MAX_INTEGER), MAX_INTEGER))
    else:
        value = float(raw_value) * (BYTES_PER_MEGABYTE if key.platform_name.endswith("_mb") else 1.0)
    minimum = key.limits.ge
    if minimum and 0 < value < minimum:
        return value  # the platform provides no more than this; the sender starts with reduced capacity
    return check_value(key, value)
