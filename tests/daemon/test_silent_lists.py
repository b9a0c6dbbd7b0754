"""Requests for the endpoint list that fail or get no response: each one is retried in time."""

import time

from driver import address, run_scenario, wait_until


async def assert_only_second_receiver_is_used(platform, sender):
    """Checks that new messages are sent to the second of two receivers only, because the first one is draining."""
    earlier_calls = len(platform.calls)
    for ident in range(4):
        await sender.submit(f"m{earlier_calls}-{ident}")
    await wait_until(lambda: len(platform.calls) == earlier_calls + 4)
    assert {call[3] for call in platform.calls[earlier_calls:]} == {1}


def test_watch_without_a_response_in_its_first_second_is_reopened(tmp_path):
    async def scenario(platform, sender):
        platform.ignores_watches = True
        await sender.start()
        await wait_until(lambda: platform.watch_writers)
        silent_since = time.monotonic()
        platform.watch_writers.clear()
        platform.members[0]["phase"], platform.revision = "leaving", 2
        await wait_until(lambda: "/api/targets" in platform.list_requests, 6.0)
        assert time.monotonic() < silent_since + 6.0
        await wait_until(lambda: platform.watch_writers)  # the list was received
        await assert_only_second_receiver_is_used(platform, sender)

    run_scenario(tmp_path, scenario, receivers=2, start=False)


def test_watch_that_becomes_silent_later_is_reopened(tmp_path):
    async def scenario(platform, sender):
        asked = 0
        for _ in range(2):  # two responses with updates
            await wait_until(lambda: len(platform.watch_writers) and len(platform.list_requests) > asked)
            asked = len(platform.list_requests)
            platform.set_phase(1, "active")
        await wait_until(lambda: platform.watch_writers)
        platform.ignores_watches = True
        silent_since = time.monotonic()
        platform.watch_writers.clear()
        platform.members[0]["phase"], platform.revision = "leaving", 9
        await wait_until(lambda: "/api/targets" in platform.list_requests, 6.0)
        assert time.monotonic() < silent_since + 6.0
        await wait_until(lambda: platform.watch_writers)
        await assert_only_second_receiver_is_used(platform, sender)

    run_scenario(tmp_path, scenario, receivers=2)


def test_list_call_rejected_repeatedly_is_retried_in_time(tmp_path):
    async def scenario(platform, sender):
        platform.list_status = 503
        sender.config["settings"]["FleetSize"] = 300
        await sender.start()
        await wait_until(lambda: len(platform.list_requests) == 3, 15.0)
        platform.members[0]["phase"], platform.revision = "leaving", 2
        platform.list_status = 200
        available_since = time.monotonic()
        await wait_until(lambda: platform.watch_writers, 6.0)
        assert time.monotonic() < available_since + 6.0
        platform.send_members(platform.watch_writers.pop(), False, [platform.members[0]])
        await wait_until(lambda: platform.watch_writers)
        await assert_only_second_receiver_is_used(platform, sender)

    run_scenario(tmp_path, scenario, receivers=2, start=False)


def test_new_agent_of_a_reload_is_asked_at_once_while_the_old_one_is_silent(tmp_path):
    async def scenario(platform, sender):
        sender.config["settings"]["FleetSize"] = 300
        await sender.start()
        platform.ignores_watches = True
        await wait_until(lambda: platform.watch_writers)
        await platform.move_agent()
        platform.ignores_watches = False
        platform.members[0]["phase"], platform.revision = "leaving", 1
        sender.config["discovery"] = address(platform.agent)
        reloaded_at = time.monotonic()
        sender.reload()
        await wait_until(lambda: platform.watch_writers, 4.0)
        assert time.monotonic() < reloaded_at + 4.0  # the new list has to apply 4 s after the signal
        await assert_only_second_receiver_is_used(platform, sender)

    run_scenario(tmp_path, scenario, receivers=2, start=False)
