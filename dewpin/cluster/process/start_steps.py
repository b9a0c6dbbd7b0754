"""The steps of a start. A step that fails for a reason that can pass is repeated until it succeeds.

The process would be started again after an exit, and meet the same reason: an address or a database that its
predecessor or another process still uses, a disk that is full, slow or not mounted yet.
"""

import asyncio
import time
from collections.abc import Awaitable, Callable
from typing import TypeVar

from ..logs import Event, log_event
from .signals import ProcessSignals

FIRST_DELAY_S = 0.1
MAX_DELAY_S = 1.0
LOG_PERIOD_S = 5.0
"""Interval between two log lines of a step that still fails."""

Result = TypeVar("Result")
MayPass = Callable[[Exception], bool]


class StartInterruptedError(Exception):
    """A stop signal was received during the start."""


def is_os_error(error: Exception) -> bool:
    """Return whether the system refused an operation."""
    return isinstance(error, OSError)


class StartSteps:
    """Runs the steps of a start and records their durations.

    `current`: the step in progress; empty between steps.
    `durations_ms`: durations of the completed steps.
    """

    def __init__(self, signals: ProcessSignals, clock: Callable[[], float] = time.monotonic) -> None:
        self.current = ""
        self.durations_ms: dict[str, float] = {}
        self._signals = signals
        self._clock = clock

    def run(self, name: str, attempt: Callable[[], Result], may_pass: MayPass = is_os_error) -> Result:
        """Run a step on the main thread; return its result.

        Raises StartInterruptedError, and exceptions of the step for which `may_pass` is false.
        """
        step = _Step(name, self._clock)
        self.current = name
        while True:
            self.check_stop_signal()
            try:
                result = attempt()
            except Exception as error:
                if not may_pass(error):
                    raise
                self._signals.wait(step.record_failure(error))
                continue
            self._record(step)
            return result

    async def run_async(
        self, name: str, attempt: Callable[[], Awaitable[Result]], may_pass: MayPass = is_os_error
    ) -> Result:
        """Run a step on an event loop; as `run`."""
        step = _Step(name, self._clock)
        self.current = name
        while True:
            self.check_stop_signal()
            try:
                result = await attempt()
            except Exception as error:
                if not may_pass(error):
                    raise
                await asyncio.sleep(step.record_failure(error))
                continue
            self._record(step)
            return result

    def check_stop_signal(self) -> None:
        """Raise StartInterruptedError if a stop signal was received."""
        if self._signals.stop_signal is not None:
            raise StartInterruptedError

    def _record(self, step: "_Step") -> None:
        self.durations_ms[step.name] = round(step.elapsed_s() * 1000, 1)
        self.current = ""


class _Step:
    """The attempts of one step."""

    def __init__(self, name: str, clock: Callable[[], float]) -> None:
        self.name = name
        self._clock = clock
        self._started_s = clock()
        self._logged_s: float | None = None
        self._delay_s = FIRST_DELAY_S
        self._attempts = 0

    def elapsed_s(self) -> float:
        """Return the time since the first attempt began."""
        return self._clock() - self._started_s

    def record_failure(self, error: Exception) -> float:
        """Log the failure, at most once per LOG_PERIOD_S; return the delay until the next attempt."""
        self._attempts += 1
        now_s = self._clock()
        if self._logged_s is None or now_s - self._logged_s >= LOG_PERIOD_S:
            self._logged_s = now_s
            log_event(
                Event.START_WAITS,
                step=self.name,
                why=str(error),
                attempts=self._attempts,
                waited_s=round(self.elapsed_s(), 3),
            )
        delay_s, self._delay_s = self._delay_s, min(2 * self._delay_s, MAX_DELAY_S)
        return delay_s
