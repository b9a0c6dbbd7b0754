"""Ownership of background tasks that no caller awaits."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any


class BackgroundTasks:
    """Holds a reference to each background task until it ends; cancels them and waits for them."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, coroutine: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Start a task for a coroutine and return it, so that the caller can cancel it."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def wait_until_done(self) -> None:
        """Wait until no task is running."""
        while self._tasks:
            await asyncio.wait(set(self._tasks))

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        self.cancel()
        await self.wait_until_done()
