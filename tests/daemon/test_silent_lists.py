"""Failed calls for the list: each is retried before its updates count as known."""

import time

from driver import address, play, until


async def only_the_second(outside, sender):
    """The first of two receivers drains: mails handed in now go to the second alone."""
    began = len(outside.calls)
    for ident in range(4):
        await sender.hand_in(f"m{began}-{ident}")
    await until(lambda: len(outside.calls) == began + 4)
    assert {call[3] for call in outside.calls[began:]} == {1}


def test_watch_silent_in_its_first_second_is_reopened(tmp_path):
    async def scene(outside, sender):
        outside.silent = True
        await sender.start()
        await until(lambda: outside.watching)
        silent = time.monotonic()
        outside.watching.clear()
        outside.members[0]["phase"], outside.revision = "leaving", 2
        await until(lambda: "/api/targets" in outside.asked, 6.0)
        assert time.monotonic() < silent + 6.0
        await until(lambda: outside.watching)  # the list was taken in
        await only_the_second(outside, sender)

    play(tmp_path, scene, receivers=2, start=False)


def test_watch_silent_later_on_is_reopened(tmp_path):
    async def scene(outside, sender):
        asked = 0
        for _ in range(2):  # it was answered twice, with news
            await until(lambda: len(outside.watching) and len(outside.asked) > asked)
            asked = len(outside.asked)
            outside.change(1, "active")
        await until(lambda: outside.watching)
        outside.silent = True
        silent = time.monotonic()
        outside.watching.clear()
        outside.members[0]["phase"], outside.revision = "leaving", 9
        await until(lambda: "/api/targets" in outside.asked, 6.0)
        assert time.monotonic() < silent + 6.0
        await until(lambda: outside.watching)
        await only_the_second(outside, sender)

    play(tmp_path, scene, receivers=2)


def test_list_call_rejected_repeatedly_is_retried_in_time(tmp_path):
    async def scene(outside, sender):
        outside.list_status = 503
        sender.told["settings"]["FleetSize"] = 300
        await sender.start()
        await until(lambda: len(outside.asked) == 3, 15.0)
        outside.members[0]["phase"], outside.revision = "leaving", 2
        outside.list_status = 200
        reached = time.monotonic()
        await until(lambda: outside.watching, 6.0)
        assert time.monotonic() < reached + 6.0
        outside.tell(outside.watching.pop(), False, [outside.members[0]])
        await until(lambda: outside.watching)
        await only_the_second(outside, sender)

    play(tmp_path, scene, receivers=2, start=False)


def test_new_agent_of_a_reload_is_asked_at_once_while_the_old_one_is_silent(tmp_path):
    async def scene(outside, sender):
        sender.told["settings"]["FleetSize"] = 300
        await sender.start()
        outside.silent = True
        await until(lambda: outside.watching)
        await outside.move_agent()
        outside.silent = False
        outside.members[0]["phase"], outside.revision = "leaving", 1
        sender.told["discovery"] = address(outside.agent)
        sent = time.monotonic()
        sender.reload()
        await until(lambda: outside.watching, 4.0)
        assert time.monotonic() < sent + 4.0  # it counts 4 s after the signal
        await only_the_second(outside, sender)

    play(tmp_path, scene, receivers=2, start=False)
