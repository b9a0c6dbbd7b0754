"""Tasks that no caller awaits, and their owner."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Owns tasks that no caller awaits, until each of them ends."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task and return it, so that the caller can cancel it."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def wait_until_done(self) -> None:
        """Return once no task runs any more."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def stop(self) -> None:
        """Cancel all tasks and return once each of them has ended."""
        self.cancel()
        await self.wait_until_done()
