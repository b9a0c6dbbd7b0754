"""What clients and faults do next: steps at planned times, each run as a task."""

import asyncio
import heapq
from collections.abc import Awaitable, Callable
from typing import Any

from .load_clock import LoadClock

Step = Callable[..., Awaitable[None]]


class Timeline:
    """Planned steps.

    Attributes:
        planned_count: how many steps were planned so far.
        errors: of steps that failed; the test goes on to its end, and is reported as failed.
    """

    def __init__(self, clock: LoadClock) -> None:
        self.planned_count = 0
        self.errors: list[str] = []
        self._clock = clock
        self._steps: list[tuple[float, int, Step, tuple[Any, ...]]] = []  # a heap, by time, then by order
        self._tasks: set[asyncio.Task[None]] = set()

    def plan(self, at_ms: float, step: Step, *arguments: Any) -> None:
        """Plan a step."""
        self.planned_count += 1
        heapq.heappush(self._steps, (at_ms, self.planned_count, step, arguments))

    def has_steps(self) -> bool:
        """Return whether steps are planned that have not begun."""
        return bool(self._steps)

    def add_task(self, task: "asyncio.Task[None]") -> None:
        """Have a task cancelled with the steps at the end."""
        self._tasks.add(task)

    async def run_until(self, end_ms: float) -> None:
        """Begin the steps that fall due until then."""
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
