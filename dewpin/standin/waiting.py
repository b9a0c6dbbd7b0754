"""Polling for a condition, with a time-out."""

import time
from collections.abc import Callable
from typing import TypeVar

POLL_INTERVAL_S = 0.02

Value = TypeVar("Value")


class WaitFailed(Exception):
    """What was waited for did not come about, or not in time."""


def wait_until(probe: Callable[[], Value | None], timeout_s: float, what: str) -> Value:
    """Poll until the probe returns something true, and return it; raises WaitFailed after `timeout_s`."""
    deadline = time.monotonic() + timeout_s
    while True:
        value = probe()
        if value:
            return value
        if time.monotonic() >= deadline:
            raise WaitFailed(f"{what}: not within {timeout_s:g} s")
        time.sleep(POLL_INTERVAL_S)
