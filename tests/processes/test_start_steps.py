"""Steps of a start: repeated while their failure can pass, and interrupted by a stop signal."""

import asyncio
import signal

import pytest
from tier_log import recorded_events

from dewpin.cluster.process import start_steps
from dewpin.cluster.process.start_steps import LOG_PERIOD_S, MAX_DELAY_S, StartInterruptedError, StartSteps


class Signals:
    """Signals without a process; waiting advances the clock. After `stop_after` waits SIGTERM is received."""

    def __init__(self, stop_after=None):
        self.now_s, self.waits, self.stop_after = 0.0, [], stop_after

    @property
    def stop_signal(self):
        return signal.SIGTERM if self.stop_after is not None and len(self.waits) >= self.stop_after else None

    def wait(self, timeout_s):
        self.waits.append(timeout_s)
        self.now_s += timeout_s


def failing(count, error=None):
    """Return an attempt that fails `count` times."""
    remaining = [error or OSError("in use")] * count

    def attempt():
        if remaining:
            raise remaining.pop()
        return "result"

    return attempt


@pytest.fixture
def logged(monkeypatch):
    return recorded_events(monkeypatch, start_steps)


def test_step_is_repeated_until_it_succeeds(logged):
    signals = Signals()
    steps = StartSteps(signals, lambda: signals.now_s)
    assert steps.run("address", failing(30)) == "result"
    assert signals.waits == sorted(signals.waits) and max(signals.waits) == MAX_DELAY_S
    assert steps.current == "" and steps.durations_ms == {"address": pytest.approx(sum(signals.waits) * 1000, abs=0.1)}
    assert [event for event, _ in logged] == ["start_waits"] * len(logged)
    assert 2 <= len(logged) <= 1 + sum(signals.waits) / LOG_PERIOD_S
    assert logged[0][1] == {"step": "address", "why": "in use", "attempts": 1, "waited_s": 0.0}


def test_failure_that_cannot_pass_is_raised(logged):
    steps = StartSteps(Signals())
    with pytest.raises(ValueError):
        steps.run("address", failing(1, ValueError()))
    assert steps.current == "address" and logged == []


def test_stop_signal_interrupts_a_step_that_waits(logged):
    signals = Signals(stop_after=3)
    with pytest.raises(StartInterruptedError):
        StartSteps(signals, lambda: signals.now_s).run("address", failing(10))
    assert len(signals.waits) == 3


@pytest.mark.parametrize("failures, error, expected", [(2, None, "result"), (1, ValueError(), ValueError)])
def test_asynchronous_step(logged, monkeypatch, failures, error, expected):
    monkeypatch.setattr(start_steps, "FIRST_DELAY_S", 0.0)
    attempt = failing(failures, error)

    async def attempt_async():
        return attempt()

    operation = StartSteps(Signals()).run_async("address", attempt_async)
    if expected == "result":
        assert asyncio.run(operation) == expected and len(logged) == 1
    else:
        with pytest.raises(expected):
            asyncio.run(operation)


def test_stop_signal_interrupts_an_asynchronous_step(logged):
    async def attempt():
        raise AssertionError("must not be called")

    with pytest.raises(StartInterruptedError):
        asyncio.run(StartSteps(Signals(stop_after=0)).run_async("address", attempt))
