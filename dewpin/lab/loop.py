"""An event loop in simulated time, and the machines whose work it runs.

It owns the time, the order of everything that happens, the dice and the digest of a run. Time passes only when nothing
is left to do at the present instant, and then jumps to the next timer. It opens no socket and reads no clock.
"""
import asyncio
import random
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar, copy_context
from heapq import heappush
from typing import Any

import xxhash

LAST = 40               # events kept for the message of a failure


class Stalled(Exception):
    """Nothing will ever happen again, and somebody still waits."""


class Machine:
    """A simulated process: what runs with it can be killed, paused, and lives by its own clock.

    `rate`: seconds of its monotonic clock in one of the laboratory's; `wall_step`: ms that its wall clock is off."""

    def __init__(self, loop: "SimLoop", name: str, rate: float = 1.0) -> None:
        self.loop, self.name, self.rate, self.wall_step = loop, name, rate, 0.0
        self.alive, self.paused = True, False
        self.held: deque[tuple[asyncio.Handle, Callable[..., Any], tuple[Any, ...], Context]] = deque()
        self.tasks: list[asyncio.Task[Any]] = []    # kept, so that a dead one's are not closed while the run goes on
        self.ends: list[Callable[[], None]] = []    # told at its death: what the system would give back
        self.context = copy_context()
        self.context.run(MACHINE.set, self)

    def start(self, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        """Runs a coroutine as this machine's."""
        task: asyncio.Task[Any] = self.context.run(self.loop.create_task, work)
        self.tasks.append(task)
        return task

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
        for handle, callback, given, context in held:
            self.loop.call_soon(_unless_cancelled, handle, callback, given, context=context)


def _unless_cancelled(handle: asyncio.Handle, callback: Callable[..., Any], given: tuple[Any, ...]) -> None:
    """Runs what fell due in a pause, unless something that ran after the pause took it back."""
    if not handle.cancelled():
        callback(*given)


class _Timer(asyncio.TimerHandle):
    """Of two that are due at one instant the one that was set first runs first; asyncio's own promise nothing."""
    count = 0

    def __lt__(self, other: Any) -> bool:
        return (self._when, self.count) < (other._when, other.count)    # type: ignore[attr-defined]


MACHINE: ContextVar[Machine | None] = ContextVar("machine", default=None)


class SimLoop(asyncio.BaseEventLoop):
    def __init__(self, seed: int = 0, began: float = 0.0) -> None:
        super().__init__()
        self.now, self.dice, self.count = began, random.Random(seed), 0
        self._selector = _Jump(self)
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
        machine = (copy_context() if context is None else context).get(MACHINE)
        whole = when if machine is None else when / machine.rate
        self.count += 1
        timer = _Timer(whole, self._run_owned, (), self, Context())
        timer._args = (timer, callback, given, *self._owner(context))
        timer.count = self.count
        heappush(self._scheduled, timer)        # type: ignore[attr-defined]
        timer._scheduled = True                 # type: ignore[attr-defined]
        return timer

    def call_soon(self, callback: Callable[..., Any], *given: Any,              # type: ignore[override]
                  context: Context | None = None) -> Any:
        handle = super().call_soon(self._run_owned, context=Context())     # type: ignore[arg-type]
        handle._args = (handle, callback, given, *self._owner(context))
        return handle

    def call_soon_threadsafe(self, callback: Callable[..., Any], *given: Any,   # type: ignore[override]
                             context: Context | None = None) -> Any:
        return self.call_soon(callback, *given, context=context)    # there is one thread

    @staticmethod
    def _owner(context: Context | None) -> tuple[Machine | None, Context]:
        context = copy_context() if context is None else context      # an empty one is false, and is meant
        return context.get(MACHINE), context

    def _run_owned(self, handle: asyncio.Handle, callback: Callable[..., Any], given: tuple[Any, ...],
                   machine: Machine | None, context: Context) -> None:
        if machine is not None and not machine.alive:
            return
        if machine is not None and machine.paused:
            machine.held.append((handle, callback, given, context))
            return
        context.run(callback, *given)

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


class _Jump:
    """Stands where a selector does: instead of waiting, the time jumps."""

    def __init__(self, loop: SimLoop) -> None:
        self.loop = loop

    def select(self, timeout: float | None) -> list[Any]:
        if timeout is None:
            raise Stalled("nothing will ever happen again; last: " + "; ".join(self.loop.last))
        if timeout > 0.0:
            self.loop.now = max(self.loop.now, self.loop._scheduled[0]._when)   # type: ignore[attr-defined]
        return []

    def close(self) -> None:
        pass
