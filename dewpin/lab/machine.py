"""A simulated machine: a process that can be killed and paused, with a clock of its own."""

import asyncio
from collections import deque
from collections.abc import Callable, Coroutine
from contextvars import ContextVar, copy_context
from typing import Any, Protocol

CURRENT_MACHINE: "ContextVar[Machine | None]" = ContextVar("machine", default=None)
"""The machine whose code runs now; None: code of the test itself or of the network."""


class MachineLoop(Protocol):
    """The interface of the event loop that a machine uses."""

    def create_task(self, coro: Any) -> "asyncio.Task[Any]":
        """Start a task."""

    def record(self, *fields: Any) -> None:
        """Record an event of the run."""

    def run_soon(self, calls: Any) -> None:
        """Run calls that fell due during a pause."""


class Machine:
    """A simulated process.

    Attributes:
        loop: the event loop that runs it.
        name: its name in recorded events.
        clock_rate: seconds that its monotonic clock advances in one second of simulated time.
        alive: whether it has not been killed.
        paused: whether its calls are held until it is resumed.
        held_calls: calls that fell due during a pause, in order.
        on_killed: functions called when it is killed, to release what the operating system would release.
        context: the context that its code runs in.
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

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> "asyncio.Task[Any]":
        """Run a coroutine on this machine."""
        return self.context.run(self.loop.create_task, coroutine)

    def call(self, function: Callable[..., Any], *arguments: Any) -> Any:
        """Call a function on this machine, at once."""
        return self.context.run(function, *arguments)

    def kill(self) -> None:
        """Simulate SIGKILL: none of its code runs any more, not even a `finally` block."""
        if self.alive:
            self.loop.record("kill", self.name)
            self.alive = False
            self.held_calls.clear()
            on_killed, self.on_killed = self.on_killed, []
            for function in on_killed:
                function()

    def pause(self) -> None:
        """Simulate SIGSTOP."""
        self.loop.record("pause", self.name)
        self.paused = True

    def resume(self) -> None:
        """Simulate SIGCONT: calls that fell due during the pause run now, in order."""
        self.loop.record("resume", self.name)
        self.paused = False
        held_calls, self.held_calls = self.held_calls, deque()
        self.loop.run_soon(held_calls)
