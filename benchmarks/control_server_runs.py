"""What the measurements with control servers in simulated time share."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TypeVar

PROPOSAL_TIMEOUT_S = 0.85
OPERATOR_PAUSE_S = 0.2
"""Pause of the operator before the next attempt."""

Value = TypeVar("Value")


def configuration_body(size: int, generation: int) -> bytes:
    """Return the body of a configuration of about so many bytes."""
    return json.dumps({"generation": generation, "filling": "x" * max(size - 40, 0)}).encode()


def parse_list(text: str, parse: Callable[[str], Value]) -> list[Value]:
    """Return the values of a comma-separated option."""
    return [parse(part) for part in text.split(",")]
