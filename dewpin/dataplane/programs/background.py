"""Work with a time limit, and work that goes on behind its caller."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from dewpin.dataplane.programs.program_store import StoreUnavailable

Result = TypeVar("Result")


async def in_time(work: Coroutine[Any, Any, Result], timeout_s: float) -> Result:
    """Return what `work` returns. Raises StoreUnavailable once `timeout_s` are over."""
    try:
        async with asyncio.timeout(timeout_s):
            return await work
    except TimeoutError:
        raise StoreUnavailable(f"no majority of the replicas answered within {timeout_s:.3f} s") from None


class BackgroundTasks:
    """Tasks that nobody waits for; each is kept until it ends."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Begin a task."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Give up all that runs."""
        for task in self._tasks:
            task.cancel()

    async def finished(self) -> None:
        """Return once nothing runs any more."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))
