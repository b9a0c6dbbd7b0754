"""One load test: starts the senders, runs clients and fault injection, ends all processes, and evaluates the result.

It owns the processes and the folder of the test. All processes are ended even if the test fails.
"""

import asyncio
import json
import os
import random
import resource
import signal
from pathlib import Path
from typing import Any

from .clients import Clients
from .environment import Environment
from .errors import DescriptorLimitError
from .fault_injector import FaultInjector
from .load_clock import LoadClock
from .metrics import ReceiverOrigin, collect_metrics
from .records import SenderEvent
from .result_collector import ResultCollector
from .scenario import FaultKind, Scenario
from .sender_process import SenderProcess
from .timeline import Timeline

LAG_CHECK_SECONDS = 0.02  # interval of the checks for lag of the test itself
END_CHECK_MS = 100.0
END_SLACK_MS = 2000.0  # after the end of the last message's lifetime
SPARE_DESCRIPTORS = 2000  # besides those of listening sockets


class LoadTest:
    """A load test.

    Attributes:
        senders: the senders under test.
    """

    def __init__(self, scenario: Scenario, folder: Path) -> None:
        count = scenario.senders.count
        self.senders = [SenderProcess(number, scenario, folder / f"n{number}") for number in range(count)]
        self._scenario = scenario
        self._collector = ResultCollector(scenario)
        self._clock = LoadClock()
        self._timeline = Timeline(self._clock)
        self._start_slots = asyncio.Semaphore(os.cpu_count() or 1)  # hundreds of concurrent starts would delay the test
        random_source = random.Random(scenario.seed + 1)
        self._clients = Clients(scenario, self._collector, self._clock, self._timeline, self.senders, random_source)
        self._environment = Environment(
            scenario, self._collector, self._clock, self._clients.handle_delivery, self._clients.handle_notice
        )
        self._fault_injector = FaultInjector(
            scenario,
            self._environment,
            self._collector,
            self._clock,
            self.senders,
            self._start_sender,
            random_source,
        )

    async def run(self) -> dict[str, Any]:
        """Run the whole test; return metrics and violations. All processes are ended when it returns or raises.

        Raises OSError, or RuntimeError if a sender does not start or a scheduled step failed.
        """
        try:
            await self._environment.open()
            await asyncio.gather(*(self._start_sender(sender) for sender in self.senders))
            await self._run_load()
            end_ms = self._clock.now_ms()
        finally:
            await self._end_all()
        self._collector.check_end(end_ms)
        if self._timeline.errors:
            raise RuntimeError("; ".join(self._timeline.errors))
        return self._result()

    async def _run_load(self) -> None:
        """Run clients and fault injection, then wait until all messages have ended or should have."""
        self._clock.start()
        self._timeline.add_task(asyncio.get_running_loop().create_task(self._record_lags()))
        self._clients.schedule_submissions()
        for fault in self._scenario.faults:
            self._timeline.schedule(fault.at_seconds * 1000.0, self._fault_injector.inject, fault)
        await self._timeline.run_until(self._scenario.load.seconds * 1000.0)
        submissions = self._collector.submissions.values()
        deadline_ms = max((submission.expires_at_ms for submission in submissions), default=0.0)
        deadline_ms += END_SLACK_MS + self._scenario.slack_ms
        while self._clock.now_ms() < deadline_ms and self._has_pending_work():
            await self._timeline.run_until(min(deadline_ms, self._clock.now_ms() + END_CHECK_MS))

    def _has_pending_work(self) -> bool:
        return self._collector.has_pending_submissions() or self._timeline.has_pending_steps()

    async def _record_lags(self) -> None:
        """Record lags of the test itself: what it observes during a lag may have happened earlier."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + LAG_CHECK_SECONDS
            await asyncio.sleep(LAG_CHECK_SECONDS)
            self._collector.record_lag(self._clock.now_ms(), (loop.time() - due_at) * 1000.0)

    async def _start_sender(self, sender: SenderProcess) -> None:
        agents = self._environment.agents
        agent_address = agents.agents[sender.number].port.address
        known_list = agents.initial_list(sender.number)
        async with self._start_slots:
            await asyncio.to_thread(sender.start, known_list, agent_address)
            await sender.wait_until_ready()
        self._collector.record_sender_event(sender.number, self._clock.now_ms(), SenderEvent.READY)
        sender.is_listed = True

    async def _end_all(self) -> None:
        self._timeline.cancel()
        for sender in self.senders:  # by process id, and only processes of this test
            sender.send_signal(signal.SIGKILL)
        for sender in self.senders:
            if sender.process:
                await asyncio.to_thread(sender.process.wait)
        self._environment.close()

    def _result(self) -> dict[str, Any]:
        receivers = {
            receiver.name: ReceiverOrigin(receiver.destination, receiver.since_ms)
            for receiver in self._environment.receivers.receivers
        }
        checker = self._collector.checker
        return {
            "scenario": self._scenario.name,
            "senders": self._scenario.senders.count,
            "seed": self._scenario.seed,
            "figures": collect_metrics(self._collector, receivers, self._scenario.load.lifetime_ms),
            "breaks": [violation.to_json() for violation in checker.violations],
            "unsure": [violation.to_json() for violation in checker.uncertain_violations],
        }


def reserve_descriptors(scenario: Scenario) -> None:
    """Raise the limit on open file descriptors to what the listening sockets of all receivers need.

    Raises DescriptorLimitError, with the required number, if that is not permitted.
    """
    joining_receivers = sum(max(1, round(fault.times)) for fault in scenario.faults if fault.kind == FaultKind.JOIN)
    senders, receivers = scenario.senders, scenario.receivers
    groups = -(-senders.count // senders.senders_per_address)
    listening_count = groups * receivers.destinations * (receivers.receivers_per_destination + joining_receivers)
    needed = listening_count + 2 * senders.count + SPARE_DESCRIPTORS
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft >= needed:
        return
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (needed, max(hard, needed)))
    except (ValueError, OSError):
        raise DescriptorLimitError(
            f"{needed} file descriptors are needed but only {hard} are allowed: reduce senders or receivers, "
            f"increase senders.to_an_address, or raise the limit (ulimit -n)"
        ) from None


async def run_load_test(scenario: Scenario, folder: Path) -> dict[str, Any]:
    """Run a scenario in a folder; return its result, which is also written to `result.json` there.

    Raises OSError, RuntimeError.
    """
    reserve_descriptors(scenario)
    folder.mkdir(parents=True, exist_ok=True)
    result = await LoadTest(scenario, folder).run()
    (folder / "result.json").write_text(json.dumps(result, indent=1))
    return result
