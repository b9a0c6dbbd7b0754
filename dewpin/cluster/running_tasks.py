"""Sets that keep tasks alive while they run."""

from __future__ import annotations

import asyncio


def forget_current_task(tasks: set[asyncio.Task[None]]) -> None:
    """Remove the running task from a set; to be the last thing that the task does.

    A done callback would do the same in an iteration of the event loop of its own, with a poll of all sockets: as
    costly as a whole small message.
    """
    task = asyncio.current_task()
    if task is not None:
        tasks.discard(task)
