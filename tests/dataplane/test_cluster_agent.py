"""The cluster agent with scripted control servers and relay parents, in simulated time."""

import asyncio

import pytest
from dataplane.agent_world import (
    APPLY_S,
    IDLE_PERIOD_S,
    AgentHarness,
    Source,
    control_server_address,
    receiver,
    run_with_agent,
    settings,
)
from scripted.clock import run


def test_started_agent_has_contact_state_and_receivers():
    async def scenario(harness):
        return harness.agent.has_control_plane_contact, harness.states, harness.draining_flags

    assert run_with_agent(scenario) == (True, [1], [[False]])


def test_sender_count_is_reported_on_change_but_not_for_a_newly_started_control_server():
    async def scenario(harness):
        await asyncio.sleep(5.0)
        harness.control_server(2).senders = 1
        await asyncio.sleep(5.0)
        for server in harness.control_servers:
            server.senders = 6
        await asyncio.sleep(5.0)
        for server in harness.control_servers:
            server.senders = 5
        await asyncio.sleep(5.0)
        return harness.sender_counts

    assert run_with_agent(scenario) == [4, 6, 5]


def test_idle_agent_renews_five_times_per_apply_time_and_watches_once_a_second():
    async def scenario(harness):
        await asyncio.sleep(1.0)
        started_s = harness.now_s
        await asyncio.sleep(IDLE_PERIOD_S)
        return (
            harness.count_calls("lease.renew", started_s),
            harness.count_calls("relay.watch", started_s),
            harness.direct_reads,
        )

    renewals, watches, direct_reads = run_with_agent(scenario)
    assert renewals <= 1.1 * IDLE_PERIOD_S / (APPLY_S / 5)
    assert watches <= 1.1 * IDLE_PERIOD_S
    assert direct_reads == []


def test_change_is_pushed_at_once():
    async def scenario(harness):
        await asyncio.sleep(1.0)
        for server in harness.control_servers:
            server.set_version(2)
        return await harness.wait_until(lambda: harness.states[-1] == 2)

    assert run_with_agent(scenario) < 0.05


@pytest.mark.parametrize("knows", [1, 2, 3])
def test_change_known_to_one_control_server_is_in_force_in_time(knows):
    async def scenario(harness):
        await asyncio.sleep(1.0)
        harness.control_server(knows).set_version(2)
        return await harness.wait_until(lambda: harness.states[-1] == 2)

    assert run_with_agent(scenario) < APPLY_S / 1.5


@pytest.mark.parametrize("fault", ["up", "frozen"])
@pytest.mark.parametrize("lost", [1, 2, 3])
def test_change_is_in_force_in_time_while_one_control_server_is_lost_and_one_is_stale(lost, fault):
    async def scenario(harness):
        await asyncio.sleep(1.0)
        setattr(harness.control_server(lost), fault, fault == "frozen")
        harness.control_server(1 + lost % 3).set_version(2)
        return await harness.wait_until(lambda: harness.states[-1] == 2)

    assert run_with_agent(scenario) < APPLY_S


def test_unresponsive_parent_delays_a_change_no_longer_than_the_renewals():
    async def scenario(harness):
        parent = harness.add_parent()
        await asyncio.sleep(1.0)
        parent.frozen = True
        for server in harness.control_servers:
            server.set_version(2)
        return await harness.wait_until(lambda: harness.states[-1] == 2)

    assert run_with_agent(scenario) < APPLY_S / 2


def test_parent_without_updates_does_not_delay_a_change():
    """Different control servers may make two senders each other's parent. Neither then gets updates from its parent, so
    the renewals have to reveal what both lack."""

    async def scenario(harness):
        harness.add_parent()
        await asyncio.sleep(1.0)
        for server in harness.control_servers:
            server.set_version(2)
            server.read(receiver(draining=True))
        return await harness.wait_until(lambda: harness.states[-1] == 2 and harness.draining_flags[-1] == [True])

    assert run_with_agent(scenario) < APPLY_S / 2


def test_stale_control_server_does_not_revert_the_state():
    async def scenario(harness):
        harness.control_server(2).set_version(5)
        await harness.wait_until(lambda: harness.states[-1] == 5)
        await asyncio.sleep(5.0)
        return harness.states

    states = run_with_agent(scenario)
    assert states == sorted(set(states))


def test_sender_started_next_to_a_stale_control_server_has_the_newest_state_in_time():
    async def scenario(harness):
        return await harness.wait_until(lambda: harness.states[-1] == 9)

    async def run_agent():
        harness = AgentHarness()
        for number in (2, 3):
            harness.control_server(number).set_version(9)
        harness.control_server(1).listed_control_servers = [control_server_address(1)]
        harness.agent.start()
        await harness.wait_until(lambda: harness.states)
        took_s = await scenario(harness)
        await harness.agent.stop()
        return took_s

    assert run(run_agent()) < APPLY_S


def test_partitioned_control_server_does_not_make_the_sender_forget_the_others():
    """The seeds are down, so the sender knows the remaining control servers only from earlier grants."""

    async def scenario(harness):
        await harness.wait_until(
            lambda: {4, 5} <= {int(address.split(".")[3].split(":")[0]) for _, address, _ in harness.calls}
        )
        for number in (1, 2, 3):
            harness.control_server(number).up = number == 3
        harness.control_server(3).listed_control_servers = [control_server_address(3)]
        await asyncio.sleep(8.0)
        harness.control_server(4).set_version(2)
        harness.control_server(5).set_version(2)
        return await harness.wait_until(lambda: harness.states[-1] == 2)

    assert run_with_agent(scenario, control_servers=5) < APPLY_S


def test_new_seeds_are_asked_after_a_change_of_settings():
    async def scenario(harness):
        for number in (1, 2, 3):
            harness.control_server(number).up = False
        harness.sources[control_server_address(7)] = Source(harness, control_server_address(7))
        harness.sources[control_server_address(7)].set_version(2)
        harness.agent.apply_settings(settings(seeds=(7,)))
        return await harness.wait_until(lambda: harness.states[-1] == 2)

    assert run_with_agent(scenario) < APPLY_S


def test_failing_control_servers_are_asked_with_a_delay():
    async def scenario(harness):
        for server in harness.control_servers:
            server.up = False
        started_s = harness.now_s
        await asyncio.sleep(10.0)
        return harness.count_calls("lease.renew", started_s)

    assert run_with_agent(scenario) <= 10.0 / (APPLY_S / 5 / 8)


def test_update_is_relayed_to_children_at_once():
    async def scenario(harness):
        await asyncio.sleep(1.0)
        version = {"state_version": 1, "receivers_version": harness.agent.directory.version}
        child = asyncio.ensure_future(harness.agent.handlers["relay.watch"]({"wait": True, **version}))
        await asyncio.sleep(0.01)
        for server in harness.control_servers:
            server.set_version(2)
        started_s = harness.now_s
        update = await child
        return update["state"]["version"], harness.now_s - started_s

    version, took_s = run_with_agent(scenario)
    assert version == 2 and took_s < 0.05


def test_failing_callback_does_not_end_the_agent():
    async def scenario(harness):
        def fail(state):
            harness.on_state = lambda state: harness.states.append(state["version"])
            raise ZeroDivisionError("a fault of the callback")

        harness.on_state = fail
        for server in harness.control_servers:
            server.set_version(2)
        await asyncio.sleep(2.0)
        for server in harness.control_servers:
            server.set_version(3)
        return await harness.wait_until(lambda: harness.states[-1] == 3)

    assert run_with_agent(scenario) < APPLY_S


def test_stop_releases_the_lease_at_all_control_servers():
    async def scenario(harness):
        await asyncio.sleep(2.0)
        await harness.agent.stop()
        return {address for _, address, kind in harness.calls if kind == "lease.release"}

    assert run_with_agent(scenario) == {control_server_address(number) for number in (1, 2, 3)}
