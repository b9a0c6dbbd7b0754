"""The simulated event loop: order, kills, pauses, clocks, and digests that do not depend on hash seeds."""

import asyncio
import gc
import os
import subprocess
import sys
import time
from contextvars import Context

import pytest

from dewpin.lab.event_loop import SimulatedEventLoop, StalledError
from dewpin.lab.machine import Machine


def test_time_jumps_to_the_next_timer_and_timers_run_in_order():
    loop, calls, started_at = SimulatedEventLoop(), [], time.monotonic()

    async def work():
        for delay, name in ((3600.0, "d"), (0.5, "b"), (0.5, "c"), (0.0, "a")):
            asyncio.get_running_loop().call_later(delay, lambda name=name: calls.append((loop.time(), name)))
        await asyncio.sleep(3601.0)
        async with asyncio.timeout(10.0):
            await asyncio.wait_for(asyncio.sleep(5.0, "x"), 6.0)
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(asyncio.Event().wait(), 2.0)
        return loop.time()

    assert loop.run(work(), 1e6) == 3608.0
    assert calls == [(0.0, "a"), (0.5, "b"), (0.5, "c"), (3600.0, "d")] and time.monotonic() - started_at < 5.0


def test_killed_machine_runs_no_more_code_and_other_machines_continue():
    loop, events = SimulatedEventLoop(), []

    async def tick(name):
        try:
            while True:
                await asyncio.sleep(1.0)
                events.append((loop.now, name))
        finally:
            events.append("never")

    async def work():
        one, two = Machine(loop, "one"), Machine(loop, "two")
        cleanup_times = []
        one.on_killed.append(lambda: cleanup_times.append(loop.now))
        one.start(tick("one"))
        two.start(tick("two"))
        await asyncio.sleep(2.5)
        one.kill()
        one.kill()
        await asyncio.sleep(2.0)
        two.pause()
        await asyncio.sleep(3.0)
        assert events[-1] == (4.0, "two")
        two.resume()
        await asyncio.sleep(0.6)
        assert cleanup_times == [2.5]
        return list(events)

    assert loop.run(work()) == [
        (1.0, "one"),
        (1.0, "two"),
        (2.0, "one"),
        (2.0, "two"),
        (3.0, "two"),
        (4.0, "two"),
        (7.5, "two"),
    ]
    assert not loop.errors


def test_each_machine_has_its_own_clock():
    loop, woken_at = SimulatedEventLoop(), {}

    async def sleep(machine):
        await asyncio.sleep(10.0)
        woken_at[machine.name] = loop.now, round(asyncio.get_running_loop().time(), 6)

    async def work():
        for name, rate in (("fast", 1.25), ("slow", 0.5), ("true", 1.0)):
            machine = Machine(loop, name, rate)
            machine.start(sleep(machine))
        await asyncio.sleep(30.0)

    loop.run(work())
    assert woken_at == {"fast": (8.0, 10.0), "slow": (20.0, 10.0), "true": (10.0, 10.0)}


def test_run_without_pending_calls_raises_stalled_error_with_the_last_events():
    loop = SimulatedEventLoop()

    async def work():
        loop.record("the", "last")
        await asyncio.Event().wait()

    with pytest.raises(TimeoutError):
        loop.run(work(), 5.0)
    with pytest.raises(StalledError, match="the last"):
        loop.run_until_complete(work())


DIGEST = """
import asyncio
from dewpin.lab.event_loop import SimulatedEventLoop
from dewpin.lab.machine import Machine
loop = SimulatedEventLoop({seed})
async def record_numbers(name):
    for number in range(200):
        await asyncio.sleep(loop.random.random())
        loop.record(name, number, sorted({{name, "x", "y"}}))
async def work():
    machines = [Machine(loop, "m%d" % number) for number in range(5)]
    tasks = [machine.start(record_numbers(machine.name)) for machine in machines]
    await asyncio.sleep(30.0)
    machines[2].kill()
    await asyncio.wait([task for task in tasks if task is not tasks[2]])
loop.run(work())
print(loop.digest())
"""


def test_seed_reproduces_a_run_in_a_process_with_another_hash_seed():
    def digest(seed, hash_seed):
        return subprocess.run(
            [sys.executable, "-c", DIGEST.format(seed=seed)],
            capture_output=True,
            text=True,
            check=True,
            env=dict(os.environ, PYTHONHASHSEED=hash_seed),
        ).stdout

    assert digest(1, "0") == digest(1, "12345") != digest(2, "0")


def test_code_that_waits_for_a_machine_does_not_run_on_it():
    """An empty context is falsy, so `context or copy_context()` used the machine's context instead."""
    loop, resumed_at = SimulatedEventLoop(), []

    async def work():
        await asyncio.sleep(1.0)

    async def watch():
        machine = Machine(loop, "one")
        await asyncio.wait({machine.start(work())}, timeout=5.0)
        machine.pause()
        await asyncio.sleep(1.0)
        resumed_at.append(loop.time())

    Context().run(loop.run, watch(), 10.0)
    assert resumed_at == [2.0]


def test_timer_that_fell_due_during_a_pause_can_still_be_cancelled():
    """A call held during a pause ran although an earlier held call had cancelled it."""
    loop, calls = SimulatedEventLoop(), []
    machine = Machine(loop, "one")

    def set_timers():
        timer = loop.call_later(2.0, calls.append, "late")
        loop.call_later(1.0, timer.cancel)

    async def watch():
        machine.call(set_timers)
        machine.pause()
        await asyncio.sleep(5.0)
        machine.resume()
        await asyncio.sleep(1.0)

    loop.run(watch(), 10.0)
    assert calls == []


def test_cancelled_timers_are_removed_and_the_others_keep_their_order():
    """Without the removal, cancelled timers (such as the time-out of a finished call) would stay until they are due."""
    loop, calls = SimulatedEventLoop(), []

    async def work():
        timers = [loop.call_later(100.0 + number % 7, calls.append, number) for number in range(1000)]
        for number, timer in enumerate(timers):
            if number % 4:
                timer.cancel()
        await asyncio.sleep(1.0)
        assert len(loop._timers) < 500
        await asyncio.sleep(200.0)

    loop.run(work(), 1000.0)
    assert calls == sorted(range(0, 1000, 4), key=lambda number: (number % 7, number))
    assert not loop._timers and loop._cancelled_timers == 0


def test_garbage_collection_runs_no_code_of_a_killed_machine():
    """A task referenced only by its own future was closed by garbage collection at any time during the run, and its
    `finally` block ran outside any machine."""
    loop, events = SimulatedEventLoop(), []

    async def wait_forever():
        future = asyncio.get_running_loop().create_future()
        future.itself = future
        try:
            await future
        finally:
            events.append("closed")

    async def serve():
        asyncio.ensure_future(wait_forever())

    async def watch():
        machine = Machine(loop, "one")
        machine.start(serve())
        await asyncio.sleep(1.0)
        machine.kill()
        del machine
        gc.collect()
        await asyncio.sleep(1.0)
        return list(events)

    assert loop.run(watch(), 10.0) == []
