"""Upgrade: a process takes over from another one that is still serving; end-to-end over sockets."""

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
    """Starts the next process of a sender."""
    sender.told["listen"] = "%s:%d" % sender.address
    next_sender = Sender(outside, sender.folder)
    next_sender.told = sender.told
    return await next_sender.start()


def hold_responses(outside, started):
    """Makes receivers respond only after the returned event is set."""
    respond = asyncio.Event()

    async def script(call):
        started.append(call[0])
        await respond.wait()
        return reply(200)

    outside.script = script
    return respond


def test_next_process_takes_over_pending_and_in_flight_messages_and_the_old_one_ends(tmp_path):
    async def scenario(outside, sender):
        started, open_connection = [], await sender.connect()
        respond = hold_responses(outside, started)
        await sender.hand_in("a1", kind="charge", key="k", connection=open_connection)
        await sender.hand_in("a2", kind="charge", key="k", connection=open_connection)
        await until(lambda: started == [b"a1"])
        next_sender = await start_next_process(outside, sender)
        # on a connection still open at the old process, which accepts the message for the next one
        status, fields = await sender.hand_in("a3", kind="charge", key="k", connection=open_connection)
        assert status == 202 and fields[b"connection"] == b"close"
        await next_sender.hand_in("a4", kind="charge", key="k")
        assert started == [b"a1"]  # its outcome is not reported yet
        respond.set()
        await until(lambda: len(outside.calls) == 4)
        assert outside.idents() == [b"a1", b"a2", b"a3", b"a4"] and not outside.notices
        assert await asyncio.wait_for(sender.process.wait(), 10.0) == 0
        await until(lambda: not next_sender.owed())
        assert sorted(path.name for path in (tmp_path / "state").iterdir()) == ["journal", "list"]
        third = await start_next_process(outside, next_sender)  # a second upgrade
        await third.hand_in("a5")
        await until(lambda: b"a5" in outside.idents())
        assert await asyncio.wait_for(next_sender.process.wait(), 10.0) == 0
        await third.end()

    play(tmp_path, scenario)


def test_attempt_that_ended_with_an_error_is_not_taken_over_as_in_flight(tmp_path):
    async def scenario(outside, sender):
        outside.script = lambda call: reply(500)
        for at in range(4):
            await sender.hand_in(f"e{at}", kind="status")
        await until(lambda: len(outside.calls) > 1)
        next_sender = await start_next_process(outside, sender)
        assert await asyncio.wait_for(sender.process.wait(), 10.0) == 0
        outside.script = lambda call: reply(200)
        await until(lambda: not next_sender.owed(), 20.0)
        await next_sender.end()
        assert "the previous process has ended messages=0" in (await next_sender.log).decode()

    play(tmp_path, scenario)


def test_retry_after_and_detached_receivers_hold_over_an_upgrade(tmp_path):
    async def scenario(outside, sender):
        outside.script = lambda call: reply(429, b"Retry-After: 2.5")
        await sender.hand_in("w", kind="status")
        await until(lambda: outside.calls)
        replied_at = time.monotonic()
        reader, writer = await asyncio.open_connection(*sender.console)
        writer.write(b"POST /_receivers/detach?host=r%d HTTP/1.1\r\n\r\n" % (1 - outside.calls[0][3]))
        assert b" 200 " in await reader.read()
        outside.script = lambda call: reply(200)
        next_sender = await start_next_process(outside, sender)
        await next_sender.hand_in("x", kind="status")
        await until(lambda: len(outside.calls) == 3)
        assert min(call[5] for call in outside.calls[1:]) - replied_at >= 2.5
        assert len({call[3] for call in outside.calls}) == 1
        await next_sender.end()

    play(tmp_path, scenario, receivers=2)


@pytest.mark.parametrize("both", [False, True])
def test_attempts_of_a_killed_old_process_count_as_possibly_executed(tmp_path, both):
    async def scenario(outside, sender):
        started = []
        hold_responses(outside, started)
        await sender.hand_in("once", kind="charge")
        await sender.hand_in("safe", kind="status")
        await until(lambda: len(started) == 2)
        open_connection = await sender.connect()
        next_sender = await start_next_process(outside, sender)
        assert (await sender.hand_in("late", connection=open_connection))[0] == 202
        outside.script = lambda call: reply(200)
        await sender.end(signal.SIGKILL)
        if both:
            await next_sender.end(signal.SIGKILL)
            await next_sender.start()
        await until(lambda: outside.notices and {b"safe", b"late"} <= set(outside.idents()[2:]))
        assert {(notice["message"], notice["outcome"]) for notice in outside.notices} == {("once", "given_up")}
        assert outside.idents().count(b"once") == 1
        await until(lambda: not next_sender.owed())
        await next_sender.end()

    play(tmp_path, scenario)


def test_upgrade_under_load_loses_no_message_and_no_connection(tmp_path):
    async def scenario(outside, sender):
        accepted, received, stop = [], set(), asyncio.Event()

        async def script(call):
            received.add(call[0].decode())
            await asyncio.sleep(0.02)
            return reply(200)

        outside.script = script

        async def client(number):
            connection = None
            while not stop.is_set():
                ident = f"c{number}-{len(accepted)}"
                connection = connection or await sender.connect()
                status, fields = await sender.hand_in(ident, connection=connection)
                assert status == 202
                accepted.append(ident.encode())
                await until(lambda: ident in received)
                if fields.get(b"connection") == b"close":
                    connection[1].close()
                    connection = None

        clients = [asyncio.create_task(client(number)) for number in range(6)]
        await until(lambda: len(accepted) > 50)
        next_sender = await start_next_process(outside, sender)
        sender.process.send_signal(signal.SIGTERM)
        await sender.process.wait()
        count = len(accepted)
        await until(lambda: len(accepted) > count + 50)
        stop.set()
        await asyncio.gather(*clients)  # no connection was refused or reset
        await until(lambda: not next_sender.owed(), 20.0)
        assert sorted(outside.idents()) == sorted(accepted) and not outside.notices
        await next_sender.end()

    play(tmp_path, scenario, receivers=3)


def test_old_process_is_unaffected_when_the_next_one_dies_waiting_for_the_folder(tmp_path):
    async def scenario(outside, sender):
        (tmp_path / "state" / "next").write_bytes(b"")  # left by a killed process
        for at in range(3):
            await sender.hand_in(f"m{at}")
            await until(lambda: len(outside.calls) > at)
        assert sender.process.returncode is None
        assert json.loads((tmp_path / "config.json").read_text())["name"] == "n0"
        next_sender = await start_next_process(outside, sender)
        await next_sender.end()

    play(tmp_path, scenario)


def test_checking_for_a_claim_does_not_make_it_fail(tmp_path):
    async def scenario():
        folder_lock = FolderLock.acquire(tmp_path)
        (tmp_path / "next").touch()
        with open(tmp_path / "next") as checked_file:
            fcntl.flock(checked_file, fcntl.LOCK_SH)
            claim = upgrade.TakeoverClaim(str(tmp_path))
            entering = asyncio.create_task(claim.enter())
            await until(lambda: claim.file >= 0)
            await asyncio.sleep(0)
        upgrade.hand_over_folder(str(tmp_path), {"out": [1]})
        assert await entering == (None, {"out": [1]})
        claim.drop()
        folder_lock.release()

    asyncio.run(scenario())


def test_old_process_is_unaffected_when_writing_the_hand_over_fails(tmp_path):
    async def scenario(outside, sender):
        (tmp_path / "state" / "handed.new").mkdir()
        with open(tmp_path / "state" / "next", "w") as claim:
            before = (tmp_path / "state").stat().st_mtime_ns
            fcntl.flock(claim, fcntl.LOCK_EX)
            # a hand-over log was created and removed
            await until(lambda: (tmp_path / "state").stat().st_mtime_ns > before)
            await sender.hand_in("m")
            await until(lambda: outside.calls)
        assert sender.process.returncode is None
        assert await sender.end(signal.SIGTERM) == 0
        assert "internal_error: upgrade" in (await sender.log).decode()

    play(tmp_path, scenario)


def test_reload_after_the_hand_over_restarts_nothing(tmp_path):
    async def scenario(outside, sender):
        outside.script = lambda call: None  # a call in flight keeps the old process running
        await sender.hand_in("m")
        await until(lambda: outside.calls)
        next_sender = await start_next_process(outside, sender)
        sender.reload()
        assert await asyncio.wait_for(sender.process.wait(), 10.0) == 0
        log = (await sender.log).decode()
        assert "takeover.handed_over" in log and "configuration.reloaded" not in log
        await next_sender.end()

    play(tmp_path, scenario)
