"""Runs coroutines of real objects without an event loop: the model decides when each one resumes."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Coroutine, Generator
from typing import Any


def run_to_completion(coroutine: Coroutine[Any, Any, Any]) -> Any:
    """Return the result of a coroutine that never suspends."""
    try:
        coroutine.send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError("the coroutine suspended")


def resume(coroutine: Coroutine[Any, Any, Any], failure: BaseException | None = None) -> None:
    """Run a coroutine until it suspends again; `failure` is raised at its suspension point.

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
    """Makes every back-off between two ballots zero, as a model has no time."""

    def random(self) -> float:
        """Return -0.5, so that delays of 0.5 + random() units are zero."""
        return -0.5
