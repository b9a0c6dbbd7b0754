"""Checks of single values against their keys."""

from typing import Any

import msgspec

from . import units
from .keys import Key

MAX_PORT = 65535


def parse_value(key: Key, given: Any) -> Any:
    """Return a given value as the key holds it. Raises ValueError that says what was expected."""
    if key.unit in units.UNITS:
        given = units.parse_quantity(key.unit, given)
    return check_value(key, given)


def check_value(key: Key, given: Any) -> Any:
    """Return a value that is in the key's base unit already, if it is of the key's type and in its range.

    Raises ValueError that says what was expected.
    """
    if key.unit == "address" and (given or key.default):  # an address that may be empty turns something off
        parse_address(given)
    if isinstance(given, str) and not given.isprintable():  # a NUL in a path would end the process
        raise ValueError("expected text without control characters")
    try:
        return msgspec.convert(given, key.annotation, strict=True)
    except msgspec.ValidationError as error:
        kind = "word" if key.choices else key.kind_name
        article = "an" if kind[0] in "aeiou" else "a"
        range_text = key.range_text()
        raise ValueError(f"expected {article} {kind}" + (f", {range_text}" if range_text else "")) from error


def parse_address(text: Any) -> tuple[str, int]:
    """Return (host, port) of "host:port" or "[host]:port". Raises ValueError that says what was expected."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not colon or not host or not (port.isascii() and port.isdigit()) or not 0 <= int(port) <= MAX_PORT:
        raise ValueError("expected host:port")
    return host.strip("[]"), int(port)
