"""A sender's watch on the agent's endpoint list: restarts, moves of the agent, invalid configurations."""

import json

from driver import address, play, until


def test_watch_receives_updates_and_reconnects_when_it_breaks(tmp_path):
    async def scenario(outside, sender):
        await until(lambda: outside.watching)
        assert outside.asked == ["/api/targets?index=1&wait=1500"]
        outside.change(0, "leaving")
        await until(lambda: outside.asked[-1] == "/api/targets?index=2&wait=1500")
        for ident in range(4):
            await sender.hand_in(f"m{ident}")
        await until(lambda: len(outside.calls) == 4)
        assert {call[3] for call in outside.calls} == {1}
        outside.members[0]["phase"], outside.revision = "active", 5  # not announced: the connection of the watch breaks
        del outside.members[1]
        outside.watching.pop().transport.abort()
        await until(lambda: outside.asked[-2:] == ["/api/targets", "/api/targets?index=5&wait=1500"])
        await sender.hand_in("last")
        await until(lambda: b"last" in outside.idents())
        assert outside.calls[-1][3] == 0

    play(tmp_path, scenario, receivers=2)


def test_restart_continues_with_the_cached_list_while_the_agent_does_not_answer(tmp_path):
    async def scenario(outside, sender):
        await until(lambda: outside.watching)
        outside.change(0, "leaving")
        await until(lambda: outside.watching)
        await sender.end()
        outside.watching.clear()  # the watch of the process that ended
        outside.list_status = 503
        sender.told["known"] = {
            "revision": 1,
            "complete": True,
            "members": [member | {"phase": "active"} for member in outside.members],
        }
        asked = len(outside.asked)
        await sender.start()
        for ident in range(6):
            await sender.hand_in(f"m{ident}")
        await until(lambda: len(outside.calls) == 6)
        assert {call[3] for call in outside.calls} == {1}
        await until(lambda: len(outside.asked) > asked)
        outside.list_status = 200  # a rejected watch resumes at its last revision
        await until(lambda: outside.watching)
        assert set(outside.asked[asked:]) == {"/api/targets?index=2&wait=1500"}
        await sender.end()
        outside.watching.clear()  # the watch of the process that ended
        outside.revision = 1  # the agent's revisions start again, which invalidates the cached list
        outside.members[0]["phase"] = "active"
        await sender.start()
        await until(lambda: outside.watching)
        outside.tell(outside.watching.pop(), False, [])
        await until(lambda: outside.asked[-2:] == ["/api/targets", "/api/targets?index=1&wait=1500"])

    play(tmp_path, scenario, receivers=2)


def test_valid_reload_moves_watch_and_pending_notices_and_an_invalid_one_changes_nothing(tmp_path):
    async def scenario(outside, sender):
        await until(lambda: outside.watching)
        outside.script, outside.notice_status = lambda call: "reset", None  # a notice stays unacknowledged
        await sender.hand_in("owed", kind="charge")
        await until(lambda: outside.notices)
        for content in ("{", "{}", json.dumps(sender.told | {"discovery": "nowhere"})):
            sender.reload(content)
            assert b"keeps the old" in await sender.process.stderr.readline()
        asked = len(outside.asked)
        outside.change(0, "active")
        await until(lambda: len(outside.asked) == asked + 1)  # the old watch continues
        await outside.move_agent()
        outside.notice_status, outside.revision = 204, 1  # the new agent's revisions start again
        sender.told["discovery"] = address(outside.agent)
        noticed, asked = len(outside.notices), len(outside.asked)
        sender.reload()
        await until(lambda: outside.notices[noticed:] and sender.owed() == 0)
        assert outside.notices[-1] == {"message": "owed", "outcome": "given_up"}
        await until(lambda: outside.asked[asked:] == ["/api/targets", "/api/targets?index=1&wait=1500"])
        assert (await sender.hand_in("m"))[0] == 202 and sender.process.returncode is None

    play(tmp_path, scenario, log=False)


def test_watch_moved_before_its_first_response_learns_the_new_agents_list(tmp_path):
    async def scenario(outside, sender):
        await until(lambda: outside.watching)
        await outside.move_agent()
        outside.members[0]["phase"] = "leaving"
        sender.told["discovery"] = address(outside.agent)
        sender.reload()
        await until(lambda: outside.watching)
        for ident in range(4):
            await sender.hand_in(f"m{ident}")
        await until(lambda: len(outside.calls) == 4)
        assert {call[3] for call in outside.calls} == {1}

    play(tmp_path, scenario, receivers=2)
