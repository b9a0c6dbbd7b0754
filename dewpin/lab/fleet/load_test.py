"""One load test: starts the senders, plays clients and faults, ends all that it started, and judges the result.

It owns the processes, by their ids, and the folder of the test. Whatever happens, none of the processes outlives it.
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

LAG_CHECK_SECONDS = 0.02  # between two looks at how late the test itself is
END_CHECK_MS = 100.0
END_SLACK_MS = 2000.0  # after the last message's lifetime
SPARE_DESCRIPTORS = 2000  # beside the listening ones


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
        self._concurrent_starts = asyncio.Semaphore(os.cpu_count() or 1)  # hundreds at once would make the test late
        random_source = random.Random(scenario.seed + 1)
        self._clients = Clients(scenario, self._collector, self._clock, self._timeline, self.senders, random_source)
        self._environment = Environment(
            scenario, self._collector, self._clock, self._clients.take_delivery, self._clients.take_notice
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

    async def play(self) -> dict[str, Any]:
        """Play it whole; return metrics and broken rules. All processes are ended when it returns or raises.

        Raises OSError, or RuntimeError where a sender does not start.
        """
        try:
            await self._environment.open()
            await asyncio.gather(*(self._start_sender(sender) for sender in self.senders))
            await self._play_load()
            end_ms = self._clock.now_ms()
        finally:
            await self._end()
        self._collector.judge(end_ms)
        if self._timeline.errors:
            raise RuntimeError("; ".join(self._timeline.errors))
        return self._result()

    async def _play_load(self) -> None:
        """Play clients and faults, and wait for the ends of all messages as long as they may take."""
        self._clock.start()
        self._timeline.add_task(asyncio.get_running_loop().create_task(self._watch_lag()))
        self._clients.plan_arrivals()
        for fault in self._scenario.faults:
            self._timeline.plan(fault.at_seconds * 1000.0, self._fault_injector.inject, fault)
        await self._timeline.run_until(self._scenario.load.seconds * 1000.0)
        submissions = self._collector.submissions.values()
        last_ms = max((submission.expires_at_ms for submission in submissions), default=0.0)
        last_ms += END_SLACK_MS + self._scenario.slack_ms
        while self._clock.now_ms() < last_ms and self._has_work():
            await self._timeline.run_until(min(last_ms, self._clock.now_ms() + END_CHECK_MS))

    def _has_work(self) -> bool:
        return self._collector.has_pending_submissions() or self._timeline.has_steps()

    async def _watch_lag(self) -> None:
        """Record how late the test itself is: what it sees then may have happened before."""
        loop = asyncio.get_running_loop()
        while True:
            due_at = loop.time() + LAG_CHECK_SECONDS
            await asyncio.sleep(LAG_CHECK_SECONDS)
            self._collector.record_lag(self._clock.now_ms(), (loop.time() - due_at) * 1000.0)

    async def _start_sender(self, sender: SenderProcess) -> None:
        agents = self._environment.agents
        agent_address = agents.agents[sender.number].port.address
        known_list = agents.initial_list(sender.number)
        async with self._concurrent_starts:
            await asyncio.to_thread(sender.start, known_list, agent_address)
            await sender.wait_until_ready()
        self._collector.record_life(sender.number, self._clock.now_ms(), SenderEvent.READY)
        sender.is_listed = True

    async def _end(self) -> None:
        self._timeline.cancel()
        for sender in self.senders:  # by their ids, and only our own
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
    """Raise the limit of descriptors to what the listening sockets at all receivers need.

    Raises DescriptorLimitError, with the number, where that is not allowed.
    """
    joins = sum(max(1, round(fault.times)) for fault in scenario.faults if fault.kind == FaultKind.JOIN)
    senders, receivers = scenario.senders, scenario.receivers
    groups = -(-senders.count // senders.senders_per_address)
    listening = groups * receivers.destinations * (receivers.receivers_per_destination + joins)
    wanted = listening + 2 * senders.count + SPARE_DESCRIPTORS
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft >= wanted:
        return
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, max(hard, wanted)))
    except (ValueError, OSError):
        raise DescriptorLimitError(
            f"{wanted} descriptors are needed and {hard} allowed: fewer senders or receivers, "
            f"more senders.to_an_address, or a higher limit (ulimit -n)"
        ) from None


async def play(scenario: Scenario, folder: Path) -> dict[str, Any]:
    """Play a scenario in a folder; return its result, which is in `result.json` there, too.

    Raises OSError, RuntimeError.
    """
    reserve_descriptors(scenario)
    folder.mkdir(parents=True, exist_ok=True)
    result = await LoadTest(scenario, folder).play()
    (folder / "result.json").write_text(json.dumps(result, indent=1))
    return result
