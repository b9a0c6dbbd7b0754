"""Parses and formats quantities: durations in milliseconds and sizes in bytes, both as floats.

A number without a unit is rejected, as "250" could mean milliseconds or seconds.
"""

import re
from typing import Any

import msgspec


class Unit(msgspec.Struct, frozen=True):
    """A kind of quantity. `factors`: units by name, as multiples of the first; `examples`: for error messages."""

    factors: dict[str, float]
    examples: str


UNITS = {
    "duration": Unit({"ms": 1.0, "s": 1000.0, "min": 60_000.0, "h": 3_600_000.0, "d": 86_400_000.0}, '"250ms" or "2s"'),
    "size": Unit(
        {"B": 1.0, "kB": 1e3, "KiB": 1024.0, "MB": 1e6, "MiB": 1024.0**2, "GB": 1e9, "GiB": 1024.0**3},
        '"64MB" or "512KiB"',
    ),
}
QUANTITY_PATTERN = re.compile(r"(\d+(?:\.\d+)?)\s*([A-Za-z]+)")


def parse_quantity(kind: str, value: Any) -> float:
    """Return a quantity in its base unit (ms, bytes). Raises ValueError with what was expected."""
    unit = UNITS[kind]
    expectation = f"expected a {kind} with its unit, as in {unit.examples}"
    if isinstance(value, bool) or not isinstance(value, (int, float, str)):
        raise ValueError(expectation)
    if not isinstance(value, str):
        raise ValueError(f"{expectation}: the unit is missing")
    match = QUANTITY_PATTERN.fullmatch(value.strip())
    if not match:
        raise ValueError(expectation)
    number, name = match.groups()
    if name not in unit.factors:
        names = ", ".join(unit.factors)
        raise ValueError(f"expected a {kind} in one of {names}, as in {unit.examples}: unknown unit {name!r}")
    return float(number) * unit.factors[name]


def format_quantity(kind: str, amount: float) -> str:
    """Return text that parses to the same amount, in the largest unit that needs at most three decimals."""
    factors = UNITS[kind].factors
    base_unit = next(iter(factors))
    for name, factor in sorted(factors.items(), key=lambda item: -item[1]):
        number = f"{amount / factor:.3f}".rstrip("0").rstrip(".")
        if amount >= factor and float(number) * factor == amount:
            return number + name
    return f"{amount:.15g}{base_unit}"
