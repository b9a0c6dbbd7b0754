"""Awaiting with a time limit, and tasks that continue after their caller has returned."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from dewpin.dataplane.programs.errors import StoreUnavailableError

Result = TypeVar("Result")


async def run_with_timeout(work: Coroutine[Any, Any, Result], timeout_s: float) -> Result:
    """Return what `work` returns; it is cancelled and StoreUnavailableError raised after `timeout_s`."""
    try:
        async with asyncio.timeout(timeout_s):
            return await work
    except TimeoutError:
        raise StoreUnavailableError(f"no majority of the replicas answered within {timeout_s:.3f} s") from None


class BackgroundTasks:
    """Owns tasks that no caller awaits, until each of them ends."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Start a task."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def wait_until_done(self) -> None:
        """Return once no task runs any more."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))
