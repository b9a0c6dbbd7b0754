"""Upgrade: a process takes over from another that still serves, over sockets."""

import asyncio
import fcntl
import json
import signal
import time

import pytest

from dewpin.daemon import upgrade
from dewpin.spool.folder_lock import FolderLock
from driver import Sender, play, reply, until


async def start_next_process(outside, sender):
    """Starts the next process of the same sender."""
    sender.told["listen"] = "%s:%d" % sender.address
    again = Sender(outside, sender.folder)
    again.told = sender.told
    return await again.start()


def hold_responses(outside, started):
    """Receivers that answer once they are told to."""
    go = asyncio.Event()

    async def script(call):
        started.append(call[0])
        await go.wait()
        return reply(200)

    outside.script = script
    return go


def test_next_process_takes_over_pending_and_in_flight_messages_and_the_old_one_ends(tmp_path):
    async def scene(outside, sender):
        started, held = [], await sender.connect()
        go = hold_responses(outside, started)
        await sender.hand_in("a1", kind="charge", key="k", connection=held)
        await sender.hand_in("a2", kind="charge", key="k", connection=held)
        await until(lambda: started == [b"a1"])
        again = await start_next_process(outside, sender)
        # on a connection that stood open at the old process: taken on there, for the next one
        status, fields = await sender.hand_in("a3", kind="charge", key="k", connection=held)
        assert status == 202 and fields[b"connection"] == b"close"
        await again.hand_in("a4", kind="charge", key="k")
        assert started == [b"a1"]  # its outcome is not told yet
        go.set()
        await until(lambda: len(outside.calls) == 4)
        assert outside.idents() == [b"a1", b"a2", b"a3", b"a4"] and not outside.notices
        assert await asyncio.wait_for(sender.process.wait(), 10.0) == 0
        await until(lambda: not again.owed())
        assert sorted(path.name for path in (tmp_path / "state").iterdir()) == ["journal", "list"]
        third = await start_next_process(outside, again)  # and once more
        await third.hand_in("a5")
        await until(lambda: b"a5" in outside.idents())
        assert await asyncio.wait_for(again.process.wait(), 10.0) == 0
        await third.end()

    play(tmp_path, scene)


def test_attempt_that_ended_with_an_error_is_not_taken_over_as_in_flight(tmp_path):
    async def scene(outside, sender):
        outside.script = lambda call: reply(500)
        for at in range(4):
            await sender.hand_in(f"e{at}", kind="status")
        await until(lambda: len(outside.calls) > 1)
        again = await start_next_process(outside, sender)
        assert await asyncio.wait_for(sender.process.wait(), 10.0) == 0
        outside.script = lambda call: reply(200)
        await until(lambda: not again.owed(), 20.0)
        await again.end()
        assert "the previous process has ended messages=0" in (await again.log).decode()

    play(tmp_path, scene)


def test_retry_after_and_detached_receivers_hold_over_an_upgrade(tmp_path):
    async def scene(outside, sender):
        outside.script = lambda call: reply(429, b"Retry-After: 2.5")
        await sender.hand_in("w", kind="status")
        await until(lambda: outside.calls)
        told_at = time.monotonic()
        reader, writer = await asyncio.open_connection(*sender.console)
        writer.write(b"POST /_receivers/detach?host=r%d HTTP/1.1\r\n\r\n" % (1 - outside.calls[0][3]))
        assert b" 200 " in await reader.read()
        outside.script = lambda call: reply(200)
        again = await start_next_process(outside, sender)
        await again.hand_in("x", kind="status")
        await until(lambda: len(outside.calls) == 3)
        assert min(call[5] for call in outside.calls[1:]) - told_at >= 2.5
        assert len({call[3] for call in outside.calls}) == 1
        await again.end()

    play(tmp_path, scene, receivers=2)


@pytest.mark.parametrize("both", [False, True])
def test_attempts_of_a_killed_old_process_may_have_been_executed(tmp_path, both):
    async def scene(outside, sender):
        started = []
        hold_responses(outside, started)
        await sender.hand_in("once", kind="charge")
        await sender.hand_in("safe", kind="status")
        await until(lambda: len(started) == 2)
        held = await sender.connect()
        again = await start_next_process(outside, sender)
        assert (await sender.hand_in("late", connection=held))[0] == 202
        outside.script = lambda call: reply(200)
        await sender.end(signal.SIGKILL)
        if both:
            await again.end(signal.SIGKILL)
            await again.start()
        await until(lambda: outside.notices and {b"safe", b"late"} <= set(outside.idents()[2:]))
        assert {(one["message"], one["outcome"]) for one in outside.notices} == {("once", "given_up")}
        assert outside.idents().count(b"once") == 1
        await until(lambda: not again.owed())
        await again.end()

    play(tmp_path, scene)


def test_upgrade_under_load_loses_no_message_and_no_connection(tmp_path):
    async def scene(outside, sender):
        taken, came, stop = [], set(), asyncio.Event()

        async def script(call):
            came.add(call[0].decode())
            await asyncio.sleep(0.02)
            return reply(200)

        outside.script = script

        async def client(number):
            connection = None
            while not stop.is_set():
                ident = f"c{number}-{len(taken)}"
                connection = connection or await sender.connect()
                status, fields = await sender.hand_in(ident, connection=connection)
                assert status == 202
                taken.append(ident.encode())
                await until(lambda: ident in came)
                if fields.get(b"connection") == b"close":
                    connection[1].close()
                    connection = None

        clients = [asyncio.create_task(client(number)) for number in range(6)]
        await until(lambda: len(taken) > 50)
        again = await start_next_process(outside, sender)
        sender.process.send_signal(signal.SIGTERM)
        await sender.process.wait()
        count = len(taken)
        await until(lambda: len(taken) > count + 50)
        stop.set()
        await asyncio.gather(*clients)  # none was refused or reset
        await until(lambda: not again.owed(), 20.0)
        assert sorted(outside.idents()) == sorted(taken) and not outside.notices
        await again.end()

    play(tmp_path, scene, receivers=3)


def test_old_process_is_unaffected_when_the_next_one_dies_waiting_for_the_folder(tmp_path):
    async def scene(outside, sender):
        (tmp_path / "state" / "next").write_bytes(b"")  # what a killed one leaves
        for at in range(3):
            await sender.hand_in(f"m{at}")
            await until(lambda: len(outside.calls) > at)
        assert sender.process.returncode is None
        assert json.loads((tmp_path / "config.json").read_text())["name"] == "n0"
        again = await start_next_process(outside, sender)
        await again.end()

    play(tmp_path, scene)


def test_checking_for_a_claim_does_not_make_it_fail(tmp_path):
    async def scene():
        mark = FolderLock.acquire(tmp_path)
        (tmp_path / "next").touch()
        with open(tmp_path / "next") as looking:
            fcntl.flock(looking, fcntl.LOCK_SH)
            claim = upgrade.TakeoverClaim(str(tmp_path))
            entering = asyncio.create_task(claim.enter())
            await until(lambda: claim.file >= 0)
            await asyncio.sleep(0)
        upgrade.hand_over_folder(str(tmp_path), {"out": [1]})
        assert await entering == (None, {"out": [1]})
        claim.drop()
        mark.release()

    asyncio.run(scene())


def test_old_process_is_unaffected_when_the_folder_refuses_the_hand_over(tmp_path):
    async def scene(outside, sender):
        (tmp_path / "state" / "handed.new").mkdir()
        with open(tmp_path / "state" / "next", "w") as claim:
            before = (tmp_path / "state").stat().st_mtime_ns
            fcntl.flock(claim, fcntl.LOCK_EX)
            await until(lambda: (tmp_path / "state").stat().st_mtime_ns > before)  # a tail came and went
            await sender.hand_in("m")
            await until(lambda: outside.calls)
        assert sender.process.returncode is None
        assert await sender.end(signal.SIGTERM) == 0
        assert "internal_error: upgrade" in (await sender.log).decode()

    play(tmp_path, scene)


def test_reload_after_the_hand_over_restarts_nothing(tmp_path):
    async def scene(outside, sender):
        outside.script = lambda call: None  # a call that stays out keeps the old process
        await sender.hand_in("m")
        await until(lambda: outside.calls)
        again = await start_next_process(outside, sender)
        sender.reload()
        assert await asyncio.wait_for(sender.process.wait(), 10.0) == 0
        log = (await sender.log).decode()
        assert "takeover.handed_over" in log and "configuration.reloaded" not in log
        await again.end()

    play(tmp_path, scene)
