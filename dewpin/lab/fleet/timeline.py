"""A schedule of the steps of clients and faults; each step is run as a task at its time."""

import asyncio
import heapq
from collections.abc import Awaitable, Callable
from typing import Any

from .load_clock import LoadClock

Step = Callable[..., Awaitable[None]]


class Timeline:
    """The scheduled steps.

    Attributes:
        scheduled_count: number of steps scheduled so far.
        errors: messages of failed steps; the test runs to its end and is then reported as failed.
    """

    def __init__(self, clock: LoadClock) -> None:
        self.scheduled_count = 0
        self.errors: list[str] = []
        self._clock = clock
        self._steps: list[tuple[float, int, Step, tuple[Any, ...]]] = []  # a heap, by time, then by order of scheduling
        self._tasks: set[asyncio.Task[None]] = set()

    def schedule(self, at_ms: float, step: Step, *arguments: Any) -> None:
        """Schedule a step at a time in ms."""
        self.scheduled_count += 1
        heapq.heappush(self._steps, (at_ms, self.scheduled_count, step, arguments))

    def has_pending_steps(self) -> bool:
        """Return whether any step has not been started yet."""
        return bool(self._steps)

    def add_task(self, task: "asyncio.Task[None]") -> None:
        """Add a task that `cancel` cancels together with the steps."""
        self._tasks.add(task)

    async def run_until(self, end_ms: float) -> None:
        """Start all steps that are due until `end_ms`, and return at that time."""
        while True:
            now_ms = self._clock.now_ms()
            while self._steps and self._steps[0][0] <= now_ms:
                _, _, step, arguments = heapq.heappop(self._steps)
                task = asyncio.get_running_loop().create_task(self._run_step(step, arguments))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            if now_ms >= end_ms:
                return
            next_ms = min(self._steps[0][0], end_ms) if self._steps else end_ms
            await asyncio.sleep(max(0.0, next_ms - now_ms) / 1000.0)

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self._tasks:
            task.cancel()

    async def _run_step(self, step: Step, arguments: tuple[Any, ...]) -> None:
        try:
            await step(*arguments)
        except (OSError, RuntimeError) as error:
            self.errors.append(str(error))
