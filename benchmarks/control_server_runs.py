"""Shared code of the benchmarks that run control servers in simulated time."""

from __future__ import annotations

import json
import random
from collections.abc import Callable
from typing import Any, TypeVar

PROPOSAL_TIMEOUT_S = 0.85
OPERATOR_PAUSE_S = 0.2
"""Delay before the operator retries a change that was not acknowledged."""

Value = TypeVar("Value")


def configuration_body(size: int, generation: int) -> bytes:
    """Return the body of a configuration of about `size` bytes."""
    return json.dumps({"generation": generation, "filling": "x" * max(size - 40, 0)}).encode()


def realistic_body(size: int, generation: int) -> bytes:
    """Return the body of a configuration of about `size` bytes that consists of routes with random names."""
    rng = random.Random(generation)
    routes = [_route(rng) for _ in range(max(1, size // len(json.dumps(_route(rng)))))]
    return json.dumps({"generation": generation, "routes": routes}).encode()


def _route(rng: random.Random) -> dict[str, Any]:
    def name() -> str:
        return f"{rng.getrandbits(40):010x}"

    split = [{"backend": name(), "weight": rng.randint(1, 99)} for _ in range(2)]
    return {
        "name": f"r-{name()}",
        "hostname": f"{name()}.example",
        "path_prefix": f"/{name()}/",
        "kind": rng.choice(("stream", "idempotent", "non_idempotent")),
        "timeout_ms": rng.randint(1000, 4000),
        "target_ms": rng.randint(100, 500),
        "priority": rng.randint(0, 9),
        "split": split,
        "retries": rng.randint(0, 2),
        "retained": rng.random() < 0.5,
        "retain_s": 60.0,
        "sticky": True,
        "resumable": True,
        "gap_aim_ms": 200,
    }


def parse_list(text: str, parse: Callable[[str], Value]) -> list[Value]:
    """Return the parsed values of a comma-separated option."""
    return [parse(part) for part in text.split(",")]
