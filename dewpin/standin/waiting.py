"""Waiting for facts, with a bound."""

import time
from collections.abc import Callable
from typing import TypeVar

LOOK_EVERY_S = 0.02

Fact = TypeVar("Fact")


class NeverHappened(Exception):
    """What was waited for did not become true in time."""


def wait_until(look: Callable[[], Fact | None], timeout_s: float, what: str) -> Fact:
    """Look until there is something true to return; raises NeverHappened after `timeout_s`."""
    ends_at = time.monotonic() + timeout_s
    while True:
        fact = look()
        if fact:
            return fact
        if time.monotonic() >= ends_at:
            raise NeverHappened(f"{what}: not within {timeout_s:g} s")
        time.sleep(LOOK_EVERY_S)
