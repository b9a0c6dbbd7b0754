"""When the cluster agent considers its state confirmed, and the age that it assigns to a receiver list."""

import asyncio

from dataplane.agent_world import APPLY_S, AgentHarness, control_server_address, receiver, run_with_agent
from scripted.clock import run

from dewpin.cluster.relay_service import WATCH_HEARTBEAT_S


def test_copy_replaces_own_reading_together_with_its_age():
    async def scenario(harness):
        await asyncio.sleep(1.0)
        for server in harness.control_servers:
            server.up = False
        harness.is_platform_down = False
        await harness.wait_until(lambda: harness.direct_reads)
        read_s = harness.now_s - 1.5
        harness.is_platform_down = True
        for server in harness.control_servers:
            server.read_s = read_s
            server.read(receiver(), receiver(receiver_id="i-2"))
            server.up = True
        await harness.wait_until(lambda: len(harness.draining_flags[-1]) == 2)
        return harness.agent.receiver_list_age_s() - (harness.now_s - read_s)

    assert run_with_agent(scenario) >= -1e-6


def test_received_age_counts_from_the_time_of_the_request():
    async def scenario(harness):
        await asyncio.sleep(1.0)
        for server in harness.control_servers:
            server.latency_s = 0.3
        await asyncio.sleep(3.0)
        ages_s = []
        for _ in range(300):
            await asyncio.sleep(0.01)
            ages_s.append(harness.agent.receiver_list_age_s())
        return min(ages_s)

    assert run_with_agent(scenario) >= 0.1 + 0.3


async def is_confirmed_soon(harness):
    """Start the agent; return whether a majority has confirmed its state three seconds after it received one."""
    harness.agent.start()
    await harness.wait_until(lambda: harness.states)
    await asyncio.sleep(3.0)
    is_confirmed = harness.agent.confirmation.is_confirmed
    await harness.agent.stop()
    return is_confirmed


def test_state_older_than_the_granted_version_is_not_confirmed():
    async def run_agent():
        harness = AgentHarness()
        for server in harness.control_servers:
            server.granted_version, server.update_age_s = 9, 60.0
        return await is_confirmed_soon(harness)

    assert run(run_agent()) is False


def test_control_server_without_majority_is_not_overloaded_and_is_used_again_at_once():
    """With the other control servers down, all senders depend on this one and must not ask it much more often than in
    normal operation."""

    async def scenario(harness):
        await asyncio.sleep(1.0)
        for number in (1, 2):
            harness.control_server(number).up = False
        harness.control_server(3).refuses = True
        started_s = harness.now_s
        await asyncio.sleep(20.0)
        request_count = sum(
            1 for at_s, address, _ in harness.calls if address == control_server_address(3) and at_s >= started_s
        )
        assert harness.agent.has_control_plane_contact
        harness.control_server(3).refuses = False
        harness.control_server(3).set_version(2)
        return request_count / 20.0, await harness.wait_until(lambda: harness.states[-1] == 2)

    requests_per_s, took_s = run_with_agent(scenario)
    assert requests_per_s <= 1.5 * (5 / APPLY_S + 1.0 / WATCH_HEARTBEAT_S)
    assert took_s < APPLY_S / 2


def test_update_without_an_age_confirms_nothing():
    """Earlier releases send updates without an age."""

    async def run_agent():
        harness = AgentHarness()
        parent = harness.add_parent()
        parent.update_age_s = None
        for server in harness.control_servers:
            server.refuses = True
        harness.agent.knowledge.sources.set_parents([parent.address])
        return await is_confirmed_soon(harness)

    assert run(run_agent()) is False
