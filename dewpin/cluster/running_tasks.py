"""Bookkeeping of the sets that hold references to running tasks."""

from __future__ import annotations

import asyncio


def forget_current_task(tasks: set[asyncio.Task[None]]) -> None:
    """Remove the current task from a set; must be the last thing that the task does.

    A done callback would do the same but take an extra iteration of the event loop, which polls all sockets and costs
    as much as handling a small message.
    """
    task = asyncio.current_task()
    if task is not None:
        tasks.discard(task)
