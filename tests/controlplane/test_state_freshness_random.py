"""Random partitions, freezes, crashes and slow disks: no process treats an outdated state as current."""

import asyncio
import random

import pytest
from controlplane.control_server_world import APPLY_S
from controlplane.test_senders_and_control_servers import Fleet
from scripted.clock import run

from dewpin.controlplane.control_server import max_state_age_s
from dewpin.controlplane.register.change_errors import ChangeRejectedError
from dewpin.controlplane.register.proposer import RegisterUnavailableError

SEEDS = range(10)
DURATION_S = 40.0
SENDERS = 4
CHECK_INTERVAL_S = 0.02


class Observer:
    """Records acknowledged changes with their times and compares them with the state each process treats as current."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.acknowledged = [(float("-inf"), 0)]
        self.started_s = {}
        self.ready = {}
        self.max_age_s = max_state_age_s(fleet.settings(1, False).bounds)
        self.checks = {"control": 0, "sender": 0}

    def newest_before(self, at_s):
        return max(generation for acknowledged_s, generation in self.acknowledged if acknowledged_s <= at_s)

    def check_states(self):
        now_s = asyncio.get_running_loop().time()
        for number, control_server in self.fleet.control_servers.items():
            if number in self.fleet.frozen_s:
                continue
            assert self.fleet.generation(number) >= self.newest_before(now_s - control_server.freshness.age_s())
            if control_server.freshness.is_current():
                self.checks["control"] += 1
                assert self.fleet.generation(number) >= self.newest_before(now_s - self.max_age_s)
        for number, agent in self.fleet.agents.items():
            assert self.fleet.generations[number] >= self.newest_before(now_s - agent.confirmation.age_s(now_s))
            if agent.is_state_current():
                self.checks["sender"] += 1
                assert self.fleet.generations[number] >= self.newest_before(now_s - APPLY_S)
            if self.fleet.is_ready(number) and self.ready.get(number) is not agent:
                self.ready[number] = agent
                assert self.fleet.generations[number] >= self.newest_before(self.started_s[number])


class Scenario:
    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.generation = self.base = 0

    async def play(self):
        self.fleet = fleet = Fleet(self.rng)
        await fleet.begin()
        self.observer = Observer(fleet)
        self.clock = asyncio.get_running_loop().time
        for number in range(1, SENDERS + 1):
            self.start_sender(number)
        tasks = [asyncio.ensure_future(task()) for task in (self.make_changes, self.check_periodically)]
        until_s = self.clock() + DURATION_S
        while self.clock() < until_s:
            await self.inject_fault()
            for task in tasks:
                if task.done():
                    await task
        for task in tasks:
            task.cancel()
        await fleet.until(lambda: all(self.is_up_to_date(number) for number in fleet.agents), 6.0)
        assert fleet.regressed_senders == []
        await fleet.stop()
        return self.observer

    def is_up_to_date(self, number):
        agent = self.fleet.agents[number]
        newest = max(generation for _, generation in self.observer.acknowledged)
        return self.fleet.is_ready(number) and agent.is_state_current() and self.fleet.generations[number] >= newest

    def start_sender(self, number):
        for task in self.fleet.agents[number]._tasks if number in self.fleet.agents else ():
            task.cancel()
        self.observer.started_s[number] = self.clock()
        self.fleet.start_sender(number)

    async def check_periodically(self):
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self.observer.check_states()

    async def make_changes(self):
        while True:
            await asyncio.sleep(self.rng.uniform(0.05, 1.5))
            await self.put(self.rng.choice([1, 2, 3]))

    async def put(self, number):
        self.generation += 1
        generation = self.generation
        try:
            await self.fleet.put(number, generation, self.base)
        except RegisterUnavailableError:
            return
        except ChangeRejectedError:
            self.base = self.fleet.newest()["configuration"]["generation"]
            self.generation = max(self.generation, self.base)
            return
        self.base = generation
        self.observer.acknowledged.append((self.clock(), generation))

    async def inject_fault(self):
        fleet, rng = self.fleet, self.rng
        number = rng.choice([1, 2, 3])
        fault_duration_s = rng.choice([0.3, 1.0, 3.0, 8.0])
        kind = rng.choice(
            ["cut", "in", "out", "freeze", "kill", "kill_all", "slow", "isolated_pair", "restart_senders", "after_ack"]
        )
        if kind == "cut":
            others = [fleet.address(other) for other in (1, 2, 3) if other != number]
            fleet.network.cuts |= {frozenset((fleet.address(number), other)) for other in others}
        if kind in {"in", "out"}:
            cut = fleet.network.cut_inwards if kind == "in" else fleet.network.cut_one_way
            cut(fleet.address(number))
        if kind == "freeze":
            fleet.freeze(number)
        if kind == "after_ack":  # no other process knows yet that the change was chosen
            await self.put(number)
            self.observer.check_states()
        if kind in {"kill", "kill_all", "after_ack"}:
            numbers = (1, 2, 3) if kind == "kill_all" else (number,)
            await fleet.kill(*numbers)
            await asyncio.sleep(min(fault_duration_s, 1.0))
            for other in numbers:
                await fleet.start(other)
        if kind == "slow":
            fleet.disks[number].delay_s = rng.uniform(0.0, 0.3)
        if kind == "isolated_pair":  # isolates a control server together with a sender that can reach no other
            fleet.network.cut(fleet.address(number), fleet.agents[1].address)
            self.start_sender(1)
        if kind == "restart_senders":
            for other in fleet.agents:
                self.start_sender(other)
        await asyncio.sleep(fault_duration_s)
        if kind == "freeze":
            fleet.thaw(number)
        fleet.network.restore_links()
        fleet.disks[number].delay_s = 0.0
        await asyncio.sleep(rng.uniform(0.0, 3.0))


@pytest.mark.parametrize("seed", SEEDS)
def test_no_process_counts_old_configuration_as_current(seed):
    observer = run(Scenario(seed).play())
    assert len(observer.acknowledged) > 5
    assert min(observer.checks.values()) > 1000
