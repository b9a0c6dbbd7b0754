"""An event loop in simulated time.

Time passes only when nothing is left to do at the present instant, and then jumps to the next timer. The loop opens no
socket and reads no clock. It owns the time, the order of everything that happens, the random source and the digest of a
run.
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

KEPT_EVENTS = 40  # for the message of a failure
MIN_SWEEP = 100  # cancelled timers and finished tasks are swept out above so many, once they are half of all


class StalledError(Exception):
    """Nothing will ever happen again, and something still waits."""


class ScheduledCall(asyncio.TimerHandle):
    """A call that is due, at once or at a time, with the machine whose work it is."""

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
        # What asyncio's own sets, but for its look at the debugging mode: this is the busiest place of a run.
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
        now: the simulated time in seconds; `time` gives it by the clock of the machine that asks.
        random: the random source of the run.
        last_events: the latest of what was recorded.
        errors: of callbacks, which asyncio's loop would only log.
    """

    def __init__(self, seed: int = 0, start_time: float = 0.0) -> None:
        super().__init__()
        self.now = start_time
        self.random = random.Random(seed)
        self.last_events = deque[str](maxlen=KEPT_EVENTS)
        self.errors: list[str] = []
        self._ready = deque[ScheduledCall]()
        self._timers: list[tuple[float, int, ScheduledCall]] = []  # a heap; of two due at once the first set runs first
        self._timer_count = 0
        self._cancelled_timers = 0
        self._started_tasks: list[asyncio.Task[Any]] = []  # kept, so that a killed machine's are never closed
        self._sweep_tasks_at = MIN_SWEEP
        self._hash = xxhash.xxh3_128()
        self.set_exception_handler(
            lambda _, context: self.errors.append(f"{context['message']}: {context.get('exception')!r}")
        )

    # -- the record of a run ------------------------------------------------------------------------------------------

    def record(self, *words: Any) -> None:
        """Record an event: part of the digest, and of the message if the run fails."""
        line = f"{self.now:.6f} " + " ".join(map(str, words))
        self._hash.update(line.encode())
        self.last_events.append(line)

    def digest(self) -> str:
        """Return a digest of all events: equal for runs with the same events at the same times in the same order."""
        return self._hash.hexdigest()

    # -- scheduling ---------------------------------------------------------------------------------------------------

    def time(self) -> float:
        """Return the time by the clock of the machine that asks."""
        machine = CURRENT_MACHINE.get()
        return self.now if machine is None else self.now * machine.clock_rate

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., Any], *arguments: Any, context: Context | None = None
    ) -> Any:
        """Part of asyncio's loop; `when` is by the clock of the machine whose work it is."""
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
        if len(self._started_tasks) > self._sweep_tasks_at:
            self._started_tasks = [started for started in self._started_tasks if not started.done()]
            self._sweep_tasks_at = 2 * len(self._started_tasks) + MIN_SWEEP
        return task

    def run_soon(self, calls: Iterable[ScheduledCall]) -> None:
        """Run calls that fell due in a pause, in their order, except those that are cancelled before."""
        self._ready.extend(calls)

    def run(self, work: Coroutine[Any, Any, Any], timeout_seconds: float = 3600.0) -> Any:
        """Run the experiment's own coroutine to its end and return its result.

        Raises StalledError, or TimeoutError after so many simulated seconds.
        """

        async def run_with_timeout() -> Any:
            async with asyncio.timeout(timeout_seconds):
                return await work

        asyncio.set_event_loop(self)
        try:
            return self.run_until_complete(run_with_timeout())
        finally:
            asyncio.set_event_loop(None)

    @staticmethod
    def _owner(context: Context | None) -> tuple[Machine | None, Context]:
        context = copy_context() if context is None else context  # an empty context is false, and is meant
        return context.get(CURRENT_MACHINE), context

    # -- what BaseEventLoop asks of its kinds -------------------------------------------------------------------------

    def _run_once(self) -> None:
        """Run what is due now; where that is nothing, the time jumps to the next timer first."""
        timers, ready = self._timers, self._ready
        self._drop_cancelled()
        if not ready and not self._stopping:  # type: ignore[attr-defined]
            if not timers:
                raise StalledError("nothing will ever happen again; last: " + "; ".join(self.last_events))
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
        if MIN_SWEEP < len(timers) < 2 * self._cancelled_timers:
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
