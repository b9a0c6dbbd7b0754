"""Parsing and validation of a configuration from a request body; all faults are reported at once."""

import json
from typing import Any, cast

from ..validation import Fault, InvalidInputError, JsonObject, check_shape, expected, value_or
from .building import DEFAULT_RETAIN_S, build_configuration
from .model import Configuration
from .rules import check_rules
from .schema import RawConfiguration


class InvalidConfigurationError(InvalidInputError):
    """A configuration was rejected; contains every fault."""

    summary = "invalid configuration"


def parse_configuration(body: bytes) -> Configuration:
    """Parse and validate a configuration. Raises InvalidConfigurationError with every fault."""
    raw = read_object(body)
    faults = check_shape(raw, RawConfiguration)
    faults += check_rules(raw, faults)
    if faults:
        raise InvalidConfigurationError(faults)
    return build_configuration(cast(RawConfiguration, raw), raw)


def longest_retain_s(body: str) -> float:
    """Return the longest `retain_s` of all routes of a validated body; 0 if there are no routes."""
    routes = cast(RawConfiguration, json.loads(body))["routes"]
    return max((float(value_or(route.get("retain_s"), DEFAULT_RETAIN_S)) for route in routes), default=0.0)


def read_object(body: bytes) -> JsonObject:
    """Parse a body that is one JSON object. Raises InvalidConfigurationError if it is not one."""
    try:
        value = json.loads(body, parse_constant=_reject_constant, object_pairs_hook=_unique_fields)
    except RecursionError:
        raise InvalidConfigurationError([Fault("", "is not readable: nested too deeply")]) from None
    except ValueError as error:
        raise InvalidConfigurationError([Fault("", f"is not readable: {error}")]) from None
    if not isinstance(value, dict):
        raise InvalidConfigurationError([expected("an object", value, "")])
    return value


def _reject_constant(name: str) -> float:
    raise ValueError(f"{name} is not a JSON number")


def _unique_fields(pairs: list[tuple[str, Any]]) -> JsonObject:
    """Build an object. Raises ValueError for duplicate fields, since they could not be read back unchanged."""
    built = dict(pairs)
    if len(built) < len(pairs):
        names = [name for name, _ in pairs]
        duplicates = sorted({name for name in names if names.count(name) > 1})
        raise ValueError(f"fields given twice in one object: {', '.join(duplicates)}")
    return built
