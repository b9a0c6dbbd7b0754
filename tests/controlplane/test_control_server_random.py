"""Control servers under random kills, wipes, partitions, slow disks and configuration changes: acknowledged changes
persist, and only one change is accepted per base version."""

import asyncio
import random

import pytest
from controlplane.control_server_world import World
from scripted.clock import run

from dewpin.controlplane.register.change_errors import ChangeRejectedError
from dewpin.controlplane.register.change_history import changes_in_state
from dewpin.controlplane.register.proposer import RegisterUnavailableError
from dewpin.controlplane.register.system_state import accepted_change_count, configuration_digest, put_configuration

SEEDS = range(8)
SCENE_S = 30.0
OPERATORS = 3


class Operators:
    """Operators that send changes to random control servers, based on the last acknowledged one, and resend a change
    that got no answer."""

    def __init__(self, world, rng):
        self.world = world
        self.rng = rng
        self.generation = 0
        self.acknowledged = []
        self.rejected = []

    async def send_changes(self, until_s):
        while asyncio.get_running_loop().time() < until_s:
            await asyncio.sleep(self.rng.uniform(0.05, 0.6))
            self.generation += self.rng.choice([1, 1, 2, 5])
            generation = self.generation
            await self.send(generation, self.base(), b'{"order": %d}' % self.rng.getrandbits(30), until_s)

    def base(self):
        return self.acknowledged[-1][0] if self.acknowledged else 0

    async def send(self, generation, base, body, until_s):
        change = put_configuration(body, generation, base)
        while asyncio.get_running_loop().time() < until_s:
            control_server = self.world.control_servers[self.rng.choice(sorted(self.world.control_servers))]
            if not self.world.is_up(control_server):
                await asyncio.sleep(0.05)
                continue
            try:
                state = await control_server.register.propose(change, 0.85)
            except RegisterUnavailableError:
                await asyncio.sleep(self.rng.uniform(0.0, 0.2))
                continue
            except ChangeRejectedError:
                self.rejected.append([generation, configuration_digest(body, base)])
                return
            self.acknowledged.append((generation, base, configuration_digest(body, base)))
            assert [generation, configuration_digest(body, base)] in state["accepted"]
            return


class RandomWorld(World):
    """Random faults in sequence; the system recovers from each before the next, as it tolerates one failed machine."""

    def is_up(self, control_server):
        return control_server.address not in self.network.down

    async def inject_fault(self, rng):
        number = rng.choice([1, 2, 3])
        kind = rng.choice(["kill", "wipe", "cut", "freeze", "herd", "slow", "full"])
        if kind in {"kill", "wipe"}:
            await self.kill(number)
            await asyncio.sleep(rng.uniform(0.1, 3.0))
            await self.start(number, wiped=kind == "wipe")
        if kind == "cut":
            self.network.cut(self.address(number))
            await asyncio.sleep(rng.uniform(0.1, 4.0))
            self.network.restore_links()
        if kind == "freeze":
            self.network.down.add(self.address(number))
            await asyncio.sleep(rng.uniform(0.1, 4.0))
            self.network.down.discard(self.address(number))
        if kind == "herd":
            await self.kill(1, 2, 3)
            await asyncio.sleep(rng.uniform(0.0, 1.0))
            for restarted in rng.sample([1, 2, 3], 3):
                await self.start(restarted)
        if kind == "slow":
            self.disks[number].delay_s = rng.uniform(0.0, 0.1)
        if kind == "full":
            self.disks[number].fails = True
            await asyncio.sleep(rng.uniform(0.1, 2.0))
            self.disks[number].fails = False
        await self.until(lambda: self.is_whole(1, 2, 3), 8.0)


@pytest.mark.parametrize("seed", SEEDS)
def test_acknowledged_changes_persist_and_one_change_wins_each_version(seed):
    async def scene():
        rng = random.Random(seed)
        world = RandomWorld()
        await world.begin()
        now_s = asyncio.get_running_loop().time
        until_s = now_s() + SCENE_S
        operators = Operators(world, rng)
        operator_tasks = [asyncio.ensure_future(operators.send_changes(until_s)) for _ in range(OPERATORS)]
        while now_s() < until_s:
            await world.inject_fault(rng)
        await asyncio.gather(*operator_tasks)
        state = await world.control_servers[1].register.propose(lambda present: present, 5.0)
        await asyncio.sleep(2.0)
        histories = [
            await world.disks[number].query("SELECT number, generation, digest FROM orders ORDER BY number")
            for number in (1, 2, 3)
        ]
        for control_server in world.control_servers.values():
            await control_server.stop()
        return operators, state, histories

    operators, state, histories = run(scene())
    newest = [(change.number, change.generation, change.digest) for change in changes_in_state(state)]
    complete_histories = [sorted({*history, *newest}) for history in histories]
    changes = [[generation, digest] for _, generation, digest in complete_histories[0]]
    assert [number for number, _, _ in complete_histories[0]] == list(range(1, accepted_change_count(state) + 1))
    assert complete_histories[0] == complete_histories[1] == complete_histories[2], (
        "a member that was wiped or down has fetched the changes that it missed"
    )
    assert changes[-len(newest) :] == state["accepted"]
    generations = [generation for generation, _ in changes]
    assert generations == sorted(set(generations))
    assert [state["configuration"]["generation"], state["configuration"]["digest"]] == changes[-1]
    assert all([generation, digest] in changes for generation, _, digest in operators.acknowledged)
    assert not [change for change in operators.rejected if change in changes]
    bases = {base for _, base, _ in operators.acknowledged}
    assert len(bases) == len(operators.acknowledged), "two changes with the same base version were acknowledged"
    assert len(operators.acknowledged) > 5
