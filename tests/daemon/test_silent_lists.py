"""Requests for the endpoint list that fail or get no response: each one is retried in time."""

import time

from driver import address, play, until


async def assert_only_second_receiver_is_used(outside, sender):
    """Checks that new messages are sent to the second of two receivers only, because the first one is draining."""
    earlier_calls = len(outside.calls)
    for ident in range(4):
        await sender.hand_in(f"m{earlier_calls}-{ident}")
    await until(lambda: len(outside.calls) == earlier_calls + 4)
    assert {call[3] for call in outside.calls[earlier_calls:]} == {1}


def test_watch_without_a_response_in_its_first_second_is_reopened(tmp_path):
    async def scenario(outside, sender):
        outside.silent = True
        await sender.start()
        await until(lambda: outside.watching)
        silent_since = time.monotonic()
        outside.watching.clear()
        outside.members[0]["phase"], outside.revision = "leaving", 2
        await until(lambda: "/api/targets" in outside.asked, 6.0)
        assert time.monotonic() < silent_since + 6.0
        await until(lambda: outside.watching)  # the list was received
        await assert_only_second_receiver_is_used(outside, sender)

    play(tmp_path, scenario, receivers=2, start=False)


def test_watch_that_becomes_silent_later_is_reopened(tmp_path):
    async def scenario(outside, sender):
        asked = 0
        for _ in range(2):  # two responses with updates
            await until(lambda: len(outside.watching) and len(outside.asked) > asked)
            asked = len(outside.asked)
            outside.change(1, "active")
        await until(lambda: outside.watching)
        outside.silent = True
        silent_since = time.monotonic()
        outside.watching.clear()
        outside.members[0]["phase"], outside.revision = "leaving", 9
        await until(lambda: "/api/targets" in outside.asked, 6.0)
        assert time.monotonic() < silent_since + 6.0
        await until(lambda: outside.watching)
        await assert_only_second_receiver_is_used(outside, sender)

    play(tmp_path, scenario, receivers=2)


def test_list_call_rejected_repeatedly_is_retried_in_time(tmp_path):
    async def scenario(outside, sender):
        outside.list_status = 503
        sender.told["settings"]["FleetSize"] = 300
        await sender.start()
        await until(lambda: len(outside.asked) == 3, 15.0)
        outside.members[0]["phase"], outside.revision = "leaving", 2
        outside.list_status = 200
        available_since = time.monotonic()
        await until(lambda: outside.watching, 6.0)
        assert time.monotonic() < available_since + 6.0
        outside.tell(outside.watching.pop(), False, [outside.members[0]])
        await until(lambda: outside.watching)
        await assert_only_second_receiver_is_used(outside, sender)

    play(tmp_path, scenario, receivers=2, start=False)


def test_new_agent_of_a_reload_is_asked_at_once_while_the_old_one_is_silent(tmp_path):
    async def scenario(outside, sender):
        sender.told["settings"]["FleetSize"] = 300
        await sender.start()
        outside.silent = True
        await until(lambda: outside.watching)
        await outside.move_agent()
        outside.silent = False
        outside.members[0]["phase"], outside.revision = "leaving", 1
        sender.told["discovery"] = address(outside.agent)
        reloaded_at = time.monotonic()
        sender.reload()
        await until(lambda: outside.watching, 4.0)
        assert time.monotonic() < reloaded_at + 4.0  # the new list has to apply 4 s after the signal
        await assert_only_second_receiver_is_used(outside, sender)

    play(tmp_path, scenario, receivers=2, start=False)
