"""A simulated machine: a process whose work can be killed and paused, and which lives by its own clock."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import ContextVar, copy_context
from typing import Any, Protocol

CURRENT_MACHINE: "ContextVar[Machine | None]" = ContextVar("machine", default=None)
"""The machine whose work runs now; None: work of the experiment itself or of the network."""


class MachineLoop(Protocol):
    """What a machine needs of the event loop that runs its work."""

    def create_task(self, coro: Any) -> "asyncio.Task[Any]":
        """Start a task."""

    def record(self, *words: Any) -> None:
        """Record an event of the run."""

    def run_soon(self, calls: Any) -> None:
        """Run calls that were held."""


class Machine:
    """A simulated process.

    Attributes:
        loop: the event loop that runs its work.
        name: for the record of the run.
        clock_rate: seconds of its monotonic clock in one of the simulated time's.
        alive: it was not killed.
        paused: its work is held until it is resumed.
        held_calls: what fell due in a pause, in its order.
        on_killed: called when it is killed, for what the operating system would give back.
        context: the context that its work runs in.
    """

    def __init__(self, loop: MachineLoop, name: str, clock_rate: float = 1.0) -> None:
        self.loop = loop
        self.name = name
        self.clock_rate = clock_rate
        self.alive = True
        self.paused = False
        self.held_calls: deque[asyncio.TimerHandle] = deque()
        self.on_killed: list[Callable[[], None]] = []
        self.context = copy_context()
        self.context.run(CURRENT_MACHINE.set, self)

    def start(self, work: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        """Run a coroutine as this machine's."""
        return self.context.run(self.loop.create_task, work)

    def call(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Call a function as this machine's, at once."""
        return self.context.run(function, *arguments)

    def kill(self) -> None:
        """Do as SIGKILL does: nothing of it runs any more, not even what is in a `finally`."""
        if self.alive:
            self.loop.record("kill", self.name)
            self.alive = False
            self.held_calls.clear()
            on_killed, self.on_killed = self.on_killed, []
            for function in on_killed:
                function()

    def pause(self) -> None:
        """Do as SIGSTOP does."""
        self.loop.record("pause", self.name)
        self.paused = True

    def resume(self) -> None:
        """Do as SIGCONT does: what fell due in the pause runs now, in its order."""
        self.loop.record("resume", self.name)
        self.paused = False
        held_calls, self.held_calls = self.held_calls, deque()
        self.loop.run_soon(held_calls)
