"""An event loop in simulated time, and the machines whose work it runs.

It owns the time, the order of everything that happens, the dice and the digest of a run. Time passes only when nothing
is left to do at the present instant, and then jumps to the next timer. It opens no socket and reads no clock.
"""
import asyncio
import random
from collections import deque
from collections.abc import Callable, Coroutine, Iterable
from contextvars import Context, ContextVar, copy_context
from heapq import heapify, heappop, heappush
from typing import Any

import xxhash

LAST = 40               # events kept for the message of a failure
LEAST_TO_SWEEP = 100    # cancelled timers, and tasks that are done, are swept out above so many, once half of all


class Stalled(Exception):
    """Nothing will ever happen again, and somebody still waits."""


class Machine:
    """A simulated process: what runs with it can be killed, paused, and lives by its own clock.

    `rate`: seconds of its monotonic clock in one of the laboratory's; `wall_step`: ms that its wall clock is off."""

    def __init__(self, loop: "SimLoop", name: str, rate: float = 1.0) -> None:
        self.loop, self.name, self.rate, self.wall_step = loop, name, rate, 0.0
        self.alive, self.paused = True, False
        self.held: deque[_Handle] = deque()
        self.ends: list[Callable[[], None]] = []    # told at its death: what the system would give back
        self.context = copy_context()
        self.context.run(MACHINE.set, self)

    def start(self, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        """Runs a coroutine as this machine's."""
        return self.context.run(self.loop.create_task, work)

    def call(self, work: Callable[..., Any], *given: Any) -> Any:
        """Calls a function as this machine's, at once."""
        return self.context.run(work, *given)

    def kill(self) -> None:
        """As SIGKILL: nothing of it runs any more, not even what stands in a `finally`."""
        if self.alive:
            self.loop.note("kill", self.name)
            self.alive = False
            self.held.clear()
            ends, self.ends = self.ends, []
            for end in ends:
                end()

    def pause(self) -> None:
        """As SIGSTOP."""
        self.loop.note("pause", self.name)
        self.paused = True

    def resume(self) -> None:
        """As SIGCONT: what fell due meanwhile runs now, in its order."""
        self.loop.note("resume", self.name)
        self.paused = False
        held, self.held = self.held, deque()
        self.loop.run_soon(held)


class _Handle(asyncio.TimerHandle):
    """A call that is due, at once or at a time, with the machine whose work it is."""
    __slots__ = ("_machine",)

    def __init__(self, loop: "SimLoop", when: float, callback: Callable[..., Any], given: tuple[Any, ...],
                 machine: Machine | None, context: Context) -> None:
        # what asyncio's own sets, but for its look at the debugging mode: this is the busiest place of a run
        self._loop, self._when, self._callback, self._args = loop, when, callback, given
        self._machine, self._context = machine, context
        self._cancelled = self._scheduled = False
        self._repr = self._source_traceback = None

    def _run(self) -> None:
        machine = self._machine
        if machine is not None and (machine.paused or not machine.alive):
            if machine.alive:
                machine.held.append(self)
            return
        try:
            self._context.run(self._callback, *self._args)
        except (SystemExit, KeyboardInterrupt):
            raise
        except BaseException as error:
            self._loop.call_exception_handler({
                "message": f"Exception in callback {self!r}", "exception": error, "handle": self})


MACHINE: ContextVar[Machine | None] = ContextVar("machine", default=None)


class SimLoop(asyncio.BaseEventLoop):
    def __init__(self, seed: int = 0, began: float = 0.0) -> None:
        super().__init__()
        self.now, self.dice, self.count = began, random.Random(seed), 0
        self._ready = deque[_Handle]()
        self._timers: list[tuple[float, int, _Handle]] = []     # a heap; of two due at once the first set runs first
        self._cancelled_timers = 0
        self._begun: list[asyncio.Task[Any]] = []   # kept, so that a dead machine's are never closed
        self._sweep_begun_at = LEAST_TO_SWEEP
        self._hash, self.last = xxhash.xxh3_128(), deque[str](maxlen=LAST)
        self.faults: list[str] = []     # of callbacks, which the loop would only log
        self.set_exception_handler(lambda _, context: self.faults.append(
            f"{context['message']}: {context.get('exception')!r}"))

    # -- what is told of a run --------------------------------------------------------------------------------

    def note(self, *words: Any) -> None:
        """Something that happened: part of the digest, and of the message if the run fails."""
        line = f"{self.now:.6f} " + " ".join(map(str, words))
        self._hash.update(line.encode())
        self.last.append(line)

    def digest(self) -> str:
        """The same for two runs in which the same things happened at the same times in the same order."""
        return self._hash.hexdigest()

    # -- time -------------------------------------------------------------------------------------------------

    def time(self) -> float:
        machine = MACHINE.get()
        return self.now if machine is None else self.now * machine.rate

    def call_at(self, when: float, callback: Callable[..., Any], *given: Any,   # type: ignore[override]
                context: Context | None = None) -> Any:
        machine, context = self._owner(context)
        whole = when if machine is None else when / machine.rate
        self.count += 1
        timer = _Handle(self, whole, callback, given, machine, context)
        timer._scheduled = True
        heappush(self._timers, (whole, self.count, timer))
        return timer

    def call_soon(self, callback: Callable[..., Any], *given: Any,              # type: ignore[override]
                  context: Context | None = None) -> Any:
        self._check_closed()            # type: ignore[attr-defined]
        handle = _Handle(self, self.now, callback, given, *self._owner(context))
        self._ready.append(handle)
        return handle

    def create_task(self, coro: Any, **options: Any) -> "asyncio.Task[Any]":
        task: asyncio.Task[Any] = super().create_task(coro, **options)
        self._begun.append(task)
        if len(self._begun) > self._sweep_begun_at:
            self._begun = [one for one in self._begun if not one.done()]
            self._sweep_begun_at = 2 * len(self._begun) + LEAST_TO_SWEEP
        return task

    def run_soon(self, handles: Iterable[_Handle]) -> None:
        """Runs calls that fell due in a pause, in their order, but those that something takes back before."""
        self._ready.extend(handles)

    def call_soon_threadsafe(self, callback: Callable[..., Any], *given: Any,   # type: ignore[override]
                             context: Context | None = None) -> Any:
        return self.call_soon(callback, *given, context=context)    # there is one thread

    @staticmethod
    def _owner(context: Context | None) -> tuple[Machine | None, Context]:
        context = copy_context() if context is None else context      # an empty one is false, and is meant
        return context.get(MACHINE), context

    def _run_once(self) -> None:
        """Runs what is due now; where that is nothing, the time jumps to the next timer first."""
        timers, ready = self._timers, self._ready
        self._drop_cancelled()
        if not ready and not self._stopping:        # type: ignore[attr-defined]
            if not timers:
                raise Stalled("nothing will ever happen again; last: " + "; ".join(self.last))
            self.now = max(self.now, timers[0][0])
        until = self.now + self._clock_resolution   # type: ignore[attr-defined]
        while timers and timers[0][0] < until:
            timer = heappop(timers)[2]
            timer._scheduled = False
            ready.append(timer)
        for _ in range(len(ready)):
            handle = ready.popleft()
            if not handle._cancelled:
                handle._run()

    def _drop_cancelled(self) -> None:
        timers = self._timers
        while timers and timers[0][2]._cancelled:
            heappop(timers)[2]._scheduled = False
            self._cancelled_timers -= 1
        if LEAST_TO_SWEEP < len(timers) < 2 * self._cancelled_timers:
            timers[:] = [timer for timer in timers if not timer[2]._cancelled]
            heapify(timers)
            self._cancelled_timers = 0

    def _timer_handle_cancelled(self, handle: _Handle) -> None:
        if handle._scheduled:
            self._cancelled_timers += 1

    # -- what BaseEventLoop asks of its kinds -----------------------------------------------------------------

    def _process_events(self, event_list: Any) -> None:
        pass

    def _write_to_self(self) -> None:
        pass

    def run(self, work: Coroutine[Any, Any, Any], seconds: float = 3600.0) -> Any:
        """Runs the experiment's own coroutine to its end; Stalled, or TimeoutError after so many simulated seconds."""
        async def whole() -> Any:
            async with asyncio.timeout(seconds):
                return await work
        asyncio.set_event_loop(self)
        try:
            return self.run_until_complete(whole())
        finally:
            asyncio.set_event_loop(None)
