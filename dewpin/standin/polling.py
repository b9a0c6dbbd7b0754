"""Waiting for a condition by polling, with a time-out."""

import time
from collections.abc import Callable
from typing import TypeVar

from .errors import ConditionNotMetError

POLL_INTERVAL_S = 0.02

Value = TypeVar("Value")


def wait_until(probe: Callable[[], Value | None], timeout_s: float, description: str) -> Value:
    """Call the probe until it returns a truthy value, and return that value.

    Raises ConditionNotMetError, with the description, after `timeout_s`.
    """
    deadline = time.monotonic() + timeout_s
    while True:
        value = probe()
        if value:
            return value
        if time.monotonic() >= deadline:
            raise ConditionNotMetError(f"{description}: not met within {timeout_s:g} s")
        time.sleep(POLL_INTERVAL_S)
