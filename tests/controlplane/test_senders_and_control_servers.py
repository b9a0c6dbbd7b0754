"""Cluster agents of senders with control servers: the time until a configuration or a drain is in force, whichever
control server is lost."""

import asyncio
import random

import pytest
from controlplane.control_server_world import APPLY_S, DRAIN_S, Platform, World, drain, reader_of
from scripted.clock import run

from dewpin.cluster.settings import parse_settings
from dewpin.dataplane.membership.cluster_agent import ClusterAgent

SENDERS = 7
SEEDS = range(6)


class Fleet(World):
    """Three control servers and some senders; `generations` and `drained` hold the state known to each sender."""

    def __init__(self, rng):
        super().__init__()
        self.rng = rng
        self.agents = {}
        self.generations = {}
        self.drained = {}
        self.regressed_senders = []

    def sender_settings(self, number):
        return parse_settings(
            {
                "node_name": f"front-{number}",
                "serves": ["front"],
                "ip": f"10.5.0.{number}",
                "zone": "east",
                "port_range": [7380, 7395],
                "seeds": [f"10.0.0.{seed}:8144" for seed in self.seeds],
                "listen": {"front": f"10.5.0.{number}:8149", "ready": f"10.5.0.{number}:8141"},
                "bounds": {"drain_ms": 1000 * DRAIN_S, "config_apply_ms": 1000 * APPLY_S},
                "cloud": {"address": "10.8.0.1:80"},
            }
        )

    def start_sender(self, number):
        self.generations[number] = 0
        self.drained[number] = False
        agent = ClusterAgent(
            self.sender_settings(number),
            self.network.client(f"10.5.0.{number}:7381"),
            random.Random(self.rng.random()),
            lambda state: self.record_state(number, state),
            lambda directory: self.record_receivers(number, directory),
            asyncio.get_running_loop().time,
            Platform(self, f"sender {number}"),
        )
        self.network.handlers[agent.address] = agent.handlers
        self.agents[number] = agent
        agent.start()

    def record_state(self, number, state):
        generation = state["configuration"]["generation"] if state["configuration"] else 0
        if generation < self.generations[number]:
            self.regressed_senders.append(number)
        self.generations[number] = generation

    def is_ready(self, number):
        """Return whether a sender would report itself as ready, by the rule of the sender process."""
        agent = self.agents[number]
        return agent.has_control_plane_contact and agent.confirmation.is_confirmed and self.generations[number] > 0

    def restrict_to(self, number, *control):
        """Cut a sender off from all control servers and senders except these control servers."""
        own = self.agents[number].address if number in self.agents else f"10.5.0.{number}:7381"
        reachable = {self.address(one) for one in control}
        self.network.cuts |= {frozenset((own, other)) for other in self.network.handlers if other not in reachable}

    def record_receivers(self, number, directory):
        receiver = directory.receivers.get("i-1")
        self.drained[number] = receiver is not None and receiver.draining

    async def stop(self):
        for agent in self.agents.values():
            await agent.stop()
        for control_server in self.control_servers.values():
            await control_server.stop()


def play(seed, scene):
    async def run_fleet():
        rng = random.Random(seed)
        fleet = Fleet(rng)
        await fleet.begin()
        await fleet.put(1, 7, 0)
        for number in range(1, SENDERS + 1):
            fleet.start_sender(number)
        await fleet.until(lambda: set(fleet.generations.values()) == {7})
        await asyncio.sleep(4.0 + rng.random())
        try:
            result = await scene(fleet, rng)
            assert fleet.regressed_senders == []
            return result
        finally:
            await fleet.stop()

    return run(run_fleet())


async def inject_fault(fleet, trouble, number):
    """Inject a fault into one control server."""
    if trouble == "kill":
        await fleet.kill(number)
    if trouble == "freeze":
        fleet.network.down.add(fleet.address(number))
        fleet.cut_from_platform.add(number)
    if trouble == "cut_from_control_servers":
        others = [fleet.address(other) for other in (1, 2, 3) if other != number]
        fleet.network.cuts |= {frozenset((fleet.address(number), other)) for other in others}


TROUBLES = ["none", "kill", "freeze", "cut_from_control_servers"]


@pytest.mark.parametrize("trouble", TROUBLES)
@pytest.mark.parametrize("seed", SEEDS)
def test_configuration_is_in_force_at_all_senders_within_bound(seed, trouble):
    """The control server that acknowledged it is lost right after; it may continue in isolation with its state."""

    async def scene(fleet, rng):
        number = rng.choice([1, 2, 3])
        await fleet.put(number, 8, 7)
        await inject_fault(fleet, trouble, number)
        return await fleet.until(lambda: set(fleet.generations.values()) == {8})

    assert play(seed, scene) < APPLY_S


@pytest.mark.parametrize("trouble", ["kill", "freeze", "cut_from_control_servers"])
@pytest.mark.parametrize("seed", SEEDS)
def test_configuration_is_in_force_within_bound_while_control_server_is_down(seed, trouble):
    async def scene(fleet, rng):
        number = rng.choice([1, 2, 3])
        await inject_fault(fleet, trouble, number)
        await asyncio.sleep(6.0)
        await fleet.put(1 + number % 3, 8, 7)
        return await fleet.until(lambda: set(fleet.generations.values()) == {8})

    assert play(seed, scene) < APPLY_S


@pytest.mark.parametrize("trouble", TROUBLES)
@pytest.mark.parametrize("seed", SEEDS)
def test_drain_is_known_at_all_senders_within_bound(seed, trouble):
    """The control server that reads the list is lost just before the list shows the drain."""

    async def scene(fleet, rng):
        await inject_fault(fleet, trouble, reader_of(fleet))
        drain(fleet)
        return await fleet.until(lambda: all(fleet.drained.values()))

    assert play(seed, scene) < 0.85 * DRAIN_S


@pytest.mark.parametrize("seed", SEEDS)
def test_drain_is_known_at_senders_while_all_control_servers_are_down(seed):
    async def scene(fleet, rng):
        await fleet.kill(1, 2, 3)
        drain(fleet)
        return await fleet.until(lambda: all(fleet.drained.values()))

    assert play(seed, scene) < 0.85 * DRAIN_S


def test_senders_read_no_platform_list_while_control_servers_do():
    async def scene(fleet, rng):
        fleet.readings.clear()
        await asyncio.sleep(20.0)
        return {host for _, host in fleet.readings} - {1, 2, 3}

    assert play(1, scene) == set()


def test_new_sender_beside_partitioned_control_server_has_current_state_within_bound():
    async def scene(fleet, rng):
        await inject_fault(fleet, "cut_from_control_servers", 1)
        await fleet.put(2, 8, 7)
        await asyncio.sleep(6.0)
        fleet.start_sender(SENDERS + 1)
        return await fleet.until(lambda: fleet.generations[SENDERS + 1] == 8)

    assert play(3, scene) < APPLY_S


CUT_S = 20.0
NEW_SENDER = SENDERS + 1


async def sample(fleet, seconds, probe):
    """Return the results of `probe`, sampled every 20 ms of simulated time."""
    samples = []
    for _ in range(int(seconds / 0.02)):
        await asyncio.sleep(0.02)
        samples.append(probe())
    return samples


@pytest.mark.parametrize("seed", SEEDS)
def test_new_sender_with_only_isolated_control_server_is_not_ready(seed):
    async def scene(fleet, rng):
        number = rng.choice([1, 2, 3])
        await inject_fault(fleet, "cut_from_control_servers", number)
        fleet.restrict_to(NEW_SENDER, number)
        if rng.random() < 0.5:
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            fleet.start_sender(NEW_SENDER)
            await fleet.put(1 + number % 3, 8, 7)
        else:
            await fleet.put(1 + number % 3, 8, 7)
            await asyncio.sleep(rng.uniform(0.0, 2.0))
            fleet.start_sender(NEW_SENDER)
        samples = await sample(fleet, CUT_S, lambda: (fleet.is_ready(NEW_SENDER), fleet.generations[NEW_SENDER]))
        assert not any(ready and generation != 8 for ready, generation in samples)
        assert not any(ready for ready, _ in samples)
        own = fleet.agents[NEW_SENDER].address
        fleet.network.cuts -= {frozenset((own, fleet.address(other))) for other in (1, 2, 3)}
        elapsed_s = await fleet.until(lambda: fleet.is_ready(NEW_SENDER))
        assert fleet.generations[NEW_SENDER] == 8
        return elapsed_s

    assert play(seed, scene) < APPLY_S


@pytest.mark.parametrize("seed", SEEDS)
def test_new_sender_is_ready_at_once_while_one_control_server_is_isolated(seed):
    async def scene(fleet, rng):
        number = rng.choice([1, 2, 3])
        await inject_fault(fleet, "cut_from_control_servers", number)
        await fleet.put(1 + number % 3, 8, 7)
        await asyncio.sleep(rng.uniform(0.0, 4.0))
        fleet.start_sender(NEW_SENDER)
        elapsed_s = await fleet.until(lambda: fleet.is_ready(NEW_SENDER))
        assert fleet.generations[NEW_SENDER] == 8
        return elapsed_s

    assert play(seed, scene) < 0.75


def test_sender_left_with_isolated_control_server_serves_and_answers_no_404():
    async def scene(fleet, rng):
        await inject_fault(fleet, "cut_from_control_servers", 3)
        fleet.restrict_to(1, 3)
        agent = fleet.agents[1]
        await fleet.until(lambda: not agent.is_state_current())
        await fleet.put(1, 8, 7)
        samples = await sample(fleet, CUT_S, lambda: (fleet.is_ready(1), agent.is_state_current()))
        assert samples == [(True, False)] * len(samples)
        fleet.network.restore_links()
        return await fleet.until(lambda: agent.is_state_current() and fleet.generations[1] == 8)

    assert play(2, scene) < APPLY_S


def test_sender_state_is_current_in_normal_operation():
    async def scene(fleet, rng):
        return await sample(fleet, 30.0, lambda: all(agent.is_state_current() for agent in fleet.agents.values()))

    assert all(play(4, scene))


def test_sender_state_age_counts_from_request_to_majority():
    """The age includes the round trips from the sender to a control server and from there to a majority."""
    latency_s = 0.05

    async def scene(fleet, rng):
        fleet.network.latency_s = latency_s
        await asyncio.sleep(3.0)
        now_s = asyncio.get_running_loop().time
        samples = await sample(
            fleet, 10.0, lambda: min(agent.confirmation.age_s(now_s()) for agent in fleet.agents.values())
        )
        return min(samples)

    assert play(6, scene) >= 4 * latency_s - 1e-6


def test_sender_with_unconfirmed_state_relays_nothing():
    """A child abandons a sender that is cut off, and a new sender that reaches only that one never becomes ready."""

    async def scene(fleet, rng):
        fleet.restrict_to(1)
        parent = fleet.agents[1]
        await asyncio.sleep(3.0)
        fleet.start_sender(NEW_SENDER)
        child = fleet.agents[NEW_SENDER]
        fleet.restrict_to(NEW_SENDER)
        fleet.network.cuts -= {frozenset((child.address, parent.address))}
        child.knowledge.sources.set_parents([parent.address])
        samples = await sample(fleet, 5.0, lambda: child.confirmation.is_confirmed)
        return any(samples), child.knowledge.system_state.complete

    assert play(5, scene) == (False, None)


@pytest.mark.parametrize("seed", SEEDS)
def test_all_senders_are_ready_soon_after_simultaneous_restart(seed):
    async def scene(fleet, rng):
        fleet.readings.clear()
        for agent in fleet.agents.values():
            for task in agent._tasks:
                task.cancel()
        await fleet.kill(1, 2, 3)
        await asyncio.sleep(1.0)
        for number in (1, 2, 3):
            await fleet.start(number)
        for number in list(fleet.agents):
            fleet.start_sender(number)
        return await fleet.until(lambda: all(fleet.is_ready(number) for number in fleet.agents))

    assert play(seed, scene) < 1.0
