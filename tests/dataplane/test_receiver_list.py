"""The cluster agent's receiver list: copies from control servers and direct reads of the platform's list."""

import asyncio
import dataclasses

from dataplane.agent_world import DRAIN_S, receiver, run_with_agent, settings

from dewpin.cluster.receivers import ReceiverDirectory


def test_list_is_read_at_the_new_address_of_the_platform():
    async def scenario(harness):
        changed = settings()
        cloud = dataclasses.replace(changed.cloud, address="10.8.0.2:80")
        harness.agent.apply_settings(dataclasses.replace(changed, cloud=cloud))
        for server in harness.control_servers:
            server.up = False
        await harness.wait_until(lambda: harness.direct_reads)
        return harness.direct_reads[0][1]

    assert run_with_agent(scenario) == "10.8.0.2:80"


def test_draining_receiver_is_known_in_time_without_control_servers():
    async def scenario(harness):
        await asyncio.sleep(1.0)
        for server in harness.control_servers:
            server.up = False
        harness.platform_list = [receiver(draining=True)]
        return await harness.wait_until(lambda: harness.draining_flags[-1] == [True])

    assert run_with_agent(scenario) < 0.9 * DRAIN_S


def test_draining_receiver_is_known_in_time_despite_stale_lists_of_control_servers():
    async def scenario(harness):
        await asyncio.sleep(1.0)
        for server in harness.control_servers:
            server.read_s = harness.now_s
        harness.platform_list = [receiver(draining=True)]
        return await harness.wait_until(lambda: harness.draining_flags[-1] == [True])

    assert run_with_agent(scenario) < 0.9 * DRAIN_S


def test_age_of_a_list_of_another_version_is_ignored():
    """A control server with an older directory keeps reading the platform's list, but its updates do not bring the
    removals that the sender lacks, so the age of its list must not count."""

    async def scenario(harness):
        for server in harness.control_servers:
            server.read(receiver(), receiver(receiver_id="i-2"), reader="z")
        await harness.wait_until(lambda: harness.draining_flags[-1] == [False, False])
        for server in harness.control_servers:
            server.directory = ReceiverDirectory()
            server.directory.apply_listing([receiver()], "a")
        await asyncio.sleep(DRAIN_S)
        return harness.agent.receiver_list_age_s(), len(harness.direct_reads)

    age_s, read_count = run_with_agent(scenario)
    assert read_count >= 1 and age_s < DRAIN_S


def test_children_get_the_age_of_the_shared_list_only():
    async def scenario(harness):
        await asyncio.sleep(1.0)
        for server in harness.control_servers:
            server.read_s = harness.now_s
        await asyncio.sleep(5.0)
        version = {"state_version": 1, "receivers_version": harness.agent.directory.version}
        update = await harness.agent.handlers["relay.watch"]({"type": "relay.watch", "wait": True, **version})
        return update["list_age_s"], harness.agent.receiver_list_age_s()

    shared_s, own_s = run_with_agent(scenario)
    assert shared_s > 5.0
    assert own_s < DRAIN_S


def test_own_readings_of_many_senders_respect_the_rate_limit_of_the_platform():
    async def scenario(harness):
        for server in harness.control_servers:
            server.up = False
        await asyncio.sleep(20.0)
        return len(harness.direct_reads)

    assert run_with_agent(scenario, rate_per_s=2.0) <= 20.0 * 0.5 * 2.0 / 4 + 1


def test_unavailable_platform_is_asked_again():
    async def scenario(harness):
        for server in harness.control_servers:
            server.up = False
        harness.is_platform_down = True
        await asyncio.sleep(6.0)
        harness.is_platform_down = False
        harness.platform_list = [receiver(draining=True)]
        await harness.wait_until(lambda: harness.draining_flags[-1] == [True])
        return len(harness.direct_reads)

    assert 3 <= run_with_agent(scenario) <= 9
