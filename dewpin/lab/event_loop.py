"""An event loop in simulated time.

Time advances only when nothing is due, and then jumps to the next timer. The loop opens no socket and reads no clock.
It owns the time, the order of all events, the random source and the digest of a run.
"""

import asyncio
import random
from collections import deque
from collections.abc import Callable, Coroutine, Iterable
from contextvars import Context, copy_context
from heapq import heapify, heappop, heappush
from typing import Any

import xxhash

from .machine import CURRENT_MACHINE, Machine

MAX_LAST_EVENTS = 40  # shown in the message of a StalledError
# Cancelled timers are removed if there are more than this many timers and more than half of them are cancelled.
# Finished tasks are removed once the number of tasks exceeds twice that after the last removal by more than this.
MIN_CLEANUP_SIZE = 100


class StalledError(Exception):
    """No call and no timer is pending, but the run has not ended."""


class ScheduledCall(asyncio.TimerHandle):
    """A call that is due immediately or at a given time, with the machine that scheduled it."""

    __slots__ = ("_machine",)

    def __init__(
        self,
        loop: "SimulatedEventLoop",
        when: float,
        callback: Callable[..., Any],
        arguments: tuple[Any, ...],
        machine: Machine | None,
        context: Context,
    ) -> None:
        # Sets what asyncio.TimerHandle sets, without its check of the debug mode: this is the hot path of a run.
        self._loop, self._when, self._callback, self._args = loop, when, callback, arguments
        self._machine, self._context = machine, context
        self._cancelled = self._scheduled = False
        self._repr = self._source_traceback = None

    def _run(self) -> None:
        machine = self._machine
        if machine is not None and (machine.paused or not machine.alive):
            if machine.alive:
                machine.held_calls.append(self)
            return
        try:
            self._context.run(self._callback, *self._args)
        except (SystemExit, KeyboardInterrupt):
            raise
        except BaseException as error:
            self._loop.call_exception_handler(
                {"message": f"Exception in callback {self!r}", "exception": error, "handle": self}
            )


class SimulatedEventLoop(asyncio.BaseEventLoop):
    """The event loop.

    Attributes:
        now: the simulated time in seconds; `time` returns it by the clock of the calling machine.
        random: the random source of the run.
        last_events: the latest recorded events.
        errors: exceptions of callbacks, which asyncio's loop would only log.
    """

    def __init__(self, seed: int = 0, start_time: float = 0.0) -> None:
        super().__init__()
        self.now = start_time
        self.random = random.Random(seed)
        self.last_events = deque[str](maxlen=MAX_LAST_EVENTS)
        self.errors: list[str] = []
        self._ready = deque[ScheduledCall]()
        self._timers: list[tuple[float, int, ScheduledCall]] = []  # a heap, by due time, then by order of creation
        self._timer_count = 0
        self._cancelled_timers = 0
        self._started_tasks: list[asyncio.Task[Any]] = []  # keeps tasks of killed machines from garbage collection
        self._task_cleanup_size = MIN_CLEANUP_SIZE
        self._hash = xxhash.xxh3_128()
        self.set_exception_handler(
            lambda _, context: self.errors.append(f"{context['message']}: {context.get('exception')!r}")
        )

    # -- event record -------------------------------------------------------------------------------------------------

    def record(self, *fields: Any) -> None:
        """Record an event: part of the digest, and of the message of a StalledError."""
        line = f"{self.now:.6f} " + " ".join(map(str, fields))
        self._hash.update(line.encode())
        self.last_events.append(line)

    def digest(self) -> str:
        """Return a digest of all events, equal for runs with the same events at the same times in the same order."""
        return self._hash.hexdigest()

    # -- scheduling ---------------------------------------------------------------------------------------------------

    def time(self) -> float:
        """Return the time in seconds by the clock of the calling machine."""
        machine = CURRENT_MACHINE.get()
        return self.now if machine is None else self.now * machine.clock_rate

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., Any], *arguments: Any, context: Context | None = None
    ) -> Any:
        """Part of asyncio's loop; `when` is by the clock of the calling machine."""
        machine, context = self._owner(context)
        due = when if machine is None else when / machine.clock_rate
        self._timer_count += 1
        timer = ScheduledCall(self, due, callback, arguments, machine, context)
        timer._scheduled = True
        heappush(self._timers, (due, self._timer_count, timer))
        return timer

    def call_soon(  # type: ignore[override]
        self, callback: Callable[..., Any], *arguments: Any, context: Context | None = None
    ) -> Any:
        """Part of asyncio's loop."""
        self._check_closed()  # type: ignore[attr-defined]
        call = ScheduledCall(self, self.now, callback, arguments, *self._owner(context))
        self._ready.append(call)
        return call

    def call_soon_threadsafe(  # type: ignore[override]
        self, callback: Callable[..., Any], *arguments: Any, context: Context | None = None
    ) -> Any:
        """Part of asyncio's loop; there is one thread."""
        return self.call_soon(callback, *arguments, context=context)

    def create_task(self, coro: Any, **options: Any) -> "asyncio.Task[Any]":
        """Part of asyncio's loop."""
        task: asyncio.Task[Any] = super().create_task(coro, **options)
        self._started_tasks.append(task)
        if len(self._started_tasks) > self._task_cleanup_size:
            self._started_tasks = [started for started in self._started_tasks if not started.done()]
            self._task_cleanup_size = 2 * len(self._started_tasks) + MIN_CLEANUP_SIZE
        return task

    def run_soon(self, calls: Iterable[ScheduledCall]) -> None:
        """Run calls that fell due during a pause, in order, except those that are cancelled before they run."""
        self._ready.extend(calls)

    def run(self, coroutine: Coroutine[Any, Any, Any], timeout_seconds: float = 3600.0) -> Any:
        """Run a coroutine that belongs to no machine to its end and return its result.

        Raises StalledError, or TimeoutError after `timeout_seconds` of simulated time.
        """

        async def run_with_timeout() -> Any:
            async with asyncio.timeout(timeout_seconds):
                return await coroutine

        asyncio.set_event_loop(self)
        try:
            return self.run_until_complete(run_with_timeout())
        finally:
            asyncio.set_event_loop(None)

    @staticmethod
    def _owner(context: Context | None) -> tuple[Machine | None, Context]:
        context = copy_context() if context is None else context  # an empty context is falsy but must be used
        return context.get(CURRENT_MACHINE), context

    # -- overrides of BaseEventLoop -----------------------------------------------------------------------------------

    def _run_once(self) -> None:
        """Run what is due now; if nothing is, advance the time to the next timer first."""
        timers, ready = self._timers, self._ready
        self._drop_cancelled()
        if not ready and not self._stopping:  # type: ignore[attr-defined]
            if not timers:
                raise StalledError("no call or timer is pending; last events: " + "; ".join(self.last_events))
            self.now = max(self.now, timers[0][0])
        until = self.now + self._clock_resolution  # type: ignore[attr-defined]
        while timers and timers[0][0] < until:
            timer = heappop(timers)[2]
            timer._scheduled = False
            ready.append(timer)
        for _ in range(len(ready)):
            call = ready.popleft()
            if not call._cancelled:
                call._run()

    def _drop_cancelled(self) -> None:
        timers = self._timers
        while timers and timers[0][2]._cancelled:
            heappop(timers)[2]._scheduled = False
            self._cancelled_timers -= 1
        if MIN_CLEANUP_SIZE < len(timers) < 2 * self._cancelled_timers:
            timers[:] = [timer for timer in timers if not timer[2]._cancelled]
            heapify(timers)
            self._cancelled_timers = 0

    def _timer_handle_cancelled(self, handle: ScheduledCall) -> None:
        if handle._scheduled:
            self._cancelled_timers += 1

    def _process_events(self, event_list: Any) -> None:
        pass

    def _write_to_self(self) -> None:
        pass
