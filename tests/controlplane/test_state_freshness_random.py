"""Processes under random cuts, freezes, kills and slow disks: nobody takes an old state for the current one."""

import asyncio
import random

import pytest
from controlplane.control_server_world import APPLY_S
from controlplane.test_senders_and_control_servers import Fleet
from scripted.clock import run

from dewpin.controlplane.control_server import max_state_age_s
from dewpin.controlplane.register.proposer import RegisterUnavailableError
from dewpin.controlplane.register.system_state import ChangeRejectedError

SEEDS = range(10)
SCENE_S = 40.0
SENDERS = 4
LOOK_S = 0.02


class Observer:
    """Knows what was acknowledged and when, and compares it with what each process holds for current."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.acknowledged = [(float("-inf"), 0)]
        self.started_s = {}
        self.ready = {}
        self.bound_s = max_state_age_s(fleet.settings(1, False).bounds)
        self.looks = {"control": 0, "sender": 0}

    def newest_before(self, at_s):
        return max(generation for acknowledged_s, generation in self.acknowledged if acknowledged_s <= at_s)

    def look(self):
        now_s = asyncio.get_running_loop().time()
        for number, control_server in self.fleet.control_servers.items():
            if number in self.fleet.frozen_s:
                continue
            assert self.fleet.generation(number) >= self.newest_before(now_s - control_server.freshness.age_s())
            if control_server.freshness.is_current():
                self.looks["control"] += 1
                assert self.fleet.generation(number) >= self.newest_before(now_s - self.bound_s)
        for number, agent in self.fleet.agents.items():
            assert self.fleet.generations[number] >= self.newest_before(now_s - agent.confirmation.age_s(now_s))
            if agent.is_state_current():
                self.looks["sender"] += 1
                assert self.fleet.generations[number] >= self.newest_before(now_s - APPLY_S)
            if self.fleet.is_ready(number) and self.ready.get(number) is not agent:
                self.ready[number] = agent
                assert self.fleet.generations[number] >= self.newest_before(self.started_s[number])


class Scene:
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
        works = [asyncio.ensure_future(work()) for work in (self.operate, self.watch)]
        until_s = self.clock() + SCENE_S
        while self.clock() < until_s:
            await self.trouble()
            for work in works:
                if work.done():
                    await work
        for work in works:
            work.cancel()
        await fleet.until(lambda: all(self.is_well(number) for number in fleet.agents), 6.0)
        assert fleet.regressed_senders == []
        await fleet.stop()
        return self.observer

    def is_well(self, number):
        agent = self.fleet.agents[number]
        newest = max(generation for _, generation in self.observer.acknowledged)
        return self.fleet.is_ready(number) and agent.is_state_current() and self.fleet.generations[number] >= newest

    def start_sender(self, number):
        for task in self.fleet.agents[number]._tasks if number in self.fleet.agents else ():
            task.cancel()
        self.observer.started_s[number] = self.clock()
        self.fleet.start_sender(number)

    async def watch(self):
        while True:
            await asyncio.sleep(LOOK_S)
            self.observer.look()

    async def operate(self):
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

    async def trouble(self):
        fleet, rng = self.fleet, self.rng
        number = rng.choice([1, 2, 3])
        length_s = rng.choice([0.3, 1.0, 3.0, 8.0])
        kind = rng.choice(["cut", "in", "out", "freeze", "kill", "herd", "slow", "island", "senders", "after_ack"])
        if kind == "cut":
            others = [fleet.address(one) for one in (1, 2, 3) if one != number]
            fleet.network.cuts |= {frozenset((fleet.address(number), other)) for other in others}
        if kind in {"in", "out"}:
            cut = fleet.network.cut_inwards if kind == "in" else fleet.network.cut_one_way
            cut(fleet.address(number))
        if kind == "freeze":
            fleet.freeze(number)
        if kind == "after_ack":  # nobody else has heard that the change is chosen
            await self.put(number)
            self.observer.look()
        if kind in {"kill", "herd", "after_ack"}:
            numbers = (1, 2, 3) if kind == "herd" else (number,)
            await fleet.kill(*numbers)
            await asyncio.sleep(min(length_s, 1.0))
            for one in numbers:
                await fleet.start(one)
        if kind == "slow":
            fleet.disks[number].delay_s = rng.uniform(0.0, 0.3)
        if kind == "island":  # a control process, and a sender that reaches no other
            fleet.network.cut(fleet.address(number), fleet.agents[1].address)
            self.start_sender(1)
        if kind == "senders":
            for one in fleet.agents:
                self.start_sender(one)
        await asyncio.sleep(length_s)
        if kind == "freeze":
            fleet.thaw(number)
        fleet.network.join()
        fleet.disks[number].delay_s = 0.0
        await asyncio.sleep(rng.uniform(0.0, 3.0))


@pytest.mark.parametrize("seed", SEEDS)
def test_no_process_counts_old_configuration_as_current(seed):
    observer = run(Scene(seed).play())
    assert len(observer.acknowledged) > 5
    assert min(observer.looks.values()) > 1000
