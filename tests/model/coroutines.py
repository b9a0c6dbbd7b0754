"""Runs coroutines of real objects without an event loop: the model decides when each one continues."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Coroutine, Generator
from typing import Any


def run_to_completion(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Return the result of a coroutine that never waits."""
    try:
        coroutine.send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError("it waits")


def resume(coroutine: Coroutine[Any, Any, Any], failure: BaseException | None = None) -> None:
    """Run a coroutine until it waits again; a failure is raised where it waits.

    Raises StopIteration when the coroutine returns, and whatever it raises itself.
    """
    if failure is None:
        coroutine.send(None)
    else:
        coroutine.throw(failure)


class Suspension(Awaitable[None]):
    """Suspends the coroutine that awaits it until the model resumes it."""

    def __await__(self) -> Generator[None, None, None]:
        yield


class ZeroBackoff(random.Random):
    """Makes every back-off between two ballots zero: the model's steps are the time."""

    def random(self) -> float:
        """Half a unit below zero, so that delays of 0.5 + random() units vanish."""
        return -0.5
