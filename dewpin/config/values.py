"""Parses and validates single values against their keys."""

from typing import Any

import msgspec

from . import units
from .keys import Key

MAX_PORT = 65535


def parse_value(key: Key, value: Any) -> Any:
    """Return a value in the type and base unit of its key. Raises ValueError with what was expected."""
    if key.unit in units.UNITS:
        value = units.parse_quantity(key.unit, value)
    return check_value(key, value)


def check_value(key: Key, value: Any) -> Any:
    """Return a value, already in the base unit of its key, after validating its type and range.

    Raises ValueError with what was expected.
    """
    if key.unit == "address" and (value or key.default):  # keys with an empty default address are optional
        parse_address(value)
    if isinstance(value, str) and not value.isprintable():  # a NUL character in a path would terminate the process
        raise ValueError("expected text without control characters")
    try:
        return msgspec.convert(value, key.annotation, strict=True)
    except msgspec.ValidationError as error:
        kind = "value" if key.choices else key.kind_name
        article = "an" if kind[0] in "aeiou" else "a"
        range_text = key.range_text()
        raise ValueError(f"expected {article} {kind}" + (f", {range_text}" if range_text else "")) from error


def parse_address(text: Any) -> tuple[str, int]:
    """Return (host, port) from "host:port" or "[host]:port". Raises ValueError with what was expected."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not host or not (port.isascii() and port.isdigit()) or not 0 <= int(port) <= MAX_PORT:
        raise ValueError("expected host:port")
    return host.strip("[]"), int(port)
