"""A sender's watch on the agent's endpoint list: restarts, moves of the agent, invalid configurations."""

import json

from driver import address, run_scenario, wait_until


def test_watch_receives_updates_and_reconnects_when_it_breaks(tmp_path):
    async def scenario(platform, sender):
        await wait_until(lambda: platform.watch_writers)
        assert platform.list_requests == ["/api/targets?index=1&wait=1500"]
        platform.set_phase(0, "leaving")
        await wait_until(lambda: platform.list_requests[-1] == "/api/targets?index=2&wait=1500")
        for ident in range(4):
            await sender.submit(f"m{ident}")
        await wait_until(lambda: len(platform.calls) == 4)
        assert {call[3] for call in platform.calls} == {1}
        platform.members[0]["phase"], platform.revision = (
            "active",
            5,
        )  # not announced: the connection of the watch breaks
        del platform.members[1]
        platform.watch_writers.pop().transport.abort()
        await wait_until(lambda: platform.list_requests[-2:] == ["/api/targets", "/api/targets?index=5&wait=1500"])
        await sender.submit("last")
        await wait_until(lambda: b"last" in platform.message_ids())
        assert platform.calls[-1][3] == 0

    run_scenario(tmp_path, scenario, receivers=2)


def test_restart_continues_with_the_cached_list_while_the_agent_does_not_answer(tmp_path):
    async def scenario(platform, sender):
        await wait_until(lambda: platform.watch_writers)
        platform.set_phase(0, "leaving")
        await wait_until(lambda: platform.watch_writers)
        await sender.end()
        platform.watch_writers.clear()  # the watch of the process that ended
        platform.list_status = 503
        sender.config["known"] = {
            "revision": 1,
            "complete": True,
            "members": [member | {"phase": "active"} for member in platform.members],
        }
        asked = len(platform.list_requests)
        await sender.start()
        for ident in range(6):
            await sender.submit(f"m{ident}")
        await wait_until(lambda: len(platform.calls) == 6)
        assert {call[3] for call in platform.calls} == {1}
        await wait_until(lambda: len(platform.list_requests) > asked)
        platform.list_status = 200  # a rejected watch resumes at its last revision
        await wait_until(lambda: platform.watch_writers)
        assert set(platform.list_requests[asked:]) == {"/api/targets?index=2&wait=1500"}
        await sender.end()
        platform.watch_writers.clear()  # the watch of the process that ended
        platform.revision = 1  # the agent's revisions start again, which invalidates the cached list
        platform.members[0]["phase"] = "active"
        await sender.start()
        await wait_until(lambda: platform.watch_writers)
        platform.send_members(platform.watch_writers.pop(), False, [])
        await wait_until(lambda: platform.list_requests[-2:] == ["/api/targets", "/api/targets?index=1&wait=1500"])

    run_scenario(tmp_path, scenario, receivers=2)


def test_valid_reload_moves_watch_and_pending_notices_and_an_invalid_one_changes_nothing(tmp_path):
    async def scenario(platform, sender):
        await wait_until(lambda: platform.watch_writers)
        platform.script, platform.notice_status = lambda call: "reset", None  # a notice stays unacknowledged
        await sender.submit("owed", queue_class="charge")
        await wait_until(lambda: platform.notices)
        for content in ("{", "{}", json.dumps(sender.config | {"discovery": "nowhere"})):
            sender.reload(content)
            assert b"keeps the old" in await sender.process.stderr.readline()
        asked = len(platform.list_requests)
        platform.set_phase(0, "active")
        await wait_until(lambda: len(platform.list_requests) == asked + 1)  # the old watch continues
        await platform.move_agent()
        platform.notice_status, platform.revision = 204, 1  # the new agent's revisions start again
        sender.config["discovery"] = address(platform.agent)
        noticed, asked = len(platform.notices), len(platform.list_requests)
        sender.reload()
        await wait_until(lambda: platform.notices[noticed:] and sender.pending_count() == 0)
        assert platform.notices[-1] == {"message": "owed", "outcome": "given_up"}
        await wait_until(lambda: platform.list_requests[asked:] == ["/api/targets", "/api/targets?index=1&wait=1500"])
        assert (await sender.submit("m"))[0] == 202 and sender.process.returncode is None

    run_scenario(tmp_path, scenario, reads_log=False)


def test_watch_moved_before_its_first_response_learns_the_new_agents_list(tmp_path):
    async def scenario(platform, sender):
        await wait_until(lambda: platform.watch_writers)
        await platform.move_agent()
        platform.members[0]["phase"] = "leaving"
        sender.config["discovery"] = address(platform.agent)
        sender.reload()
        await wait_until(lambda: platform.watch_writers)
        for ident in range(4):
            await sender.submit(f"m{ident}")
        await wait_until(lambda: len(platform.calls) == 4)
        assert {call[3] for call in platform.calls} == {1}

    run_scenario(tmp_path, scenario, receivers=2)
