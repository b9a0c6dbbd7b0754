"""Upgrade: a process takes over from another one that is still serving; end-to-end over sockets."""

import asyncio
import fcntl
import json
import signal
import time

import pytest

from dewpin.daemon import upgrade
from dewpin.spool.folder_lock import FolderLock
from driver import Sender, reply, run_scenario, wait_until


async def start_next_process(platform, sender):
    """Starts the next process of a sender."""
    sender.config["listen"] = "%s:%d" % sender.address
    next_sender = Sender(platform, sender.folder)
    next_sender.config = sender.config
    return await next_sender.start()


def hold_responses(platform, started):
    """Makes receivers respond only after the returned event is set."""
    respond = asyncio.Event()

    async def script(call):
        started.append(call[0])
        await respond.wait()
        return reply(200)

    platform.script = script
    return respond


def test_next_process_takes_over_pending_and_in_flight_messages_and_the_old_one_ends(tmp_path):
    async def scenario(platform, sender):
        started, open_connection = [], await sender.connect()
        respond = hold_responses(platform, started)
        await sender.submit("a1", queue_class="charge", ordering_key="k", connection=open_connection)
        await sender.submit("a2", queue_class="charge", ordering_key="k", connection=open_connection)
        await wait_until(lambda: started == [b"a1"])
        next_sender = await start_next_process(platform, sender)
        # on a connection still open at the old process, which accepts the message for the next one
        status, fields = await sender.submit("a3", queue_class="charge", ordering_key="k", connection=open_connection)
        assert status == 202 and fields[b"connection"] == b"close"
        await next_sender.submit("a4", queue_class="charge", ordering_key="k")
        assert started == [b"a1"]  # its outcome is not reported yet
        respond.set()
        await wait_until(lambda: len(platform.calls) == 4)
        assert platform.message_ids() == [b"a1", b"a2", b"a3", b"a4"] and not platform.notices
        assert await asyncio.wait_for(sender.process.wait(), 10.0) == 0
        await wait_until(lambda: not next_sender.pending_count())
        assert sorted(path.name for path in (tmp_path / "state").iterdir()) == ["journal", "list"]
        third = await start_next_process(platform, next_sender)  # a second upgrade
        await third.submit("a5")
        await wait_until(lambda: b"a5" in platform.message_ids())
        assert await asyncio.wait_for(next_sender.process.wait(), 10.0) == 0
        await third.end()

    run_scenario(tmp_path, scenario)


def test_attempt_that_ended_with_an_error_is_not_taken_over_as_in_flight(tmp_path):
    async def scenario(platform, sender):
        platform.script = lambda call: reply(500)
        for at in range(4):
            await sender.submit(f"e{at}", queue_class="status")
        await wait_until(lambda: len(platform.calls) > 1)
        next_sender = await start_next_process(platform, sender)
        assert await asyncio.wait_for(sender.process.wait(), 10.0) == 0
        platform.script = lambda call: reply(200)
        await wait_until(lambda: not next_sender.pending_count(), 20.0)
        await next_sender.end()
        assert "the previous process has ended messages=0" in (await next_sender.log).decode()

    run_scenario(tmp_path, scenario)


def test_retry_after_and_detached_receivers_hold_over_an_upgrade(tmp_path):
    async def scenario(platform, sender):
        platform.script = lambda call: reply(429, b"Retry-After: 2.5")
        await sender.submit("w", queue_class="status")
        await wait_until(lambda: platform.calls)
        replied_at = time.monotonic()
        reader, writer = await asyncio.open_connection(*sender.console)
        writer.write(b"POST /_receivers/detach?host=r%d HTTP/1.1\r\n\r\n" % (1 - platform.calls[0][3]))
        assert b" 200 " in await reader.read()
        platform.script = lambda call: reply(200)
        next_sender = await start_next_process(platform, sender)
        await next_sender.submit("x", queue_class="status")
        await wait_until(lambda: len(platform.calls) == 3)
        assert min(call[5] for call in platform.calls[1:]) - replied_at >= 2.5
        assert len({call[3] for call in platform.calls}) == 1
        await next_sender.end()

    run_scenario(tmp_path, scenario, receivers=2)


@pytest.mark.parametrize("both", [False, True])
def test_attempts_of_a_killed_old_process_count_as_possibly_executed(tmp_path, both):
    async def scenario(platform, sender):
        started = []
        hold_responses(platform, started)
        await sender.submit("once", queue_class="charge")
        await sender.submit("safe", queue_class="status")
        await wait_until(lambda: len(started) == 2)
        open_connection = await sender.connect()
        next_sender = await start_next_process(platform, sender)
        assert (await sender.submit("late", connection=open_connection))[0] == 202
        platform.script = lambda call: reply(200)
        await sender.end(signal.SIGKILL)
        if both:
            await next_sender.end(signal.SIGKILL)
            await next_sender.start()
        await wait_until(lambda: platform.notices and {b"safe", b"late"} <= set(platform.message_ids()[2:]))
        assert {(notice["message"], notice["outcome"]) for notice in platform.notices} == {("once", "given_up")}
        assert platform.message_ids().count(b"once") == 1
        await wait_until(lambda: not next_sender.pending_count())
        await next_sender.end()

    run_scenario(tmp_path, scenario)


def test_upgrade_under_load_loses_no_message_and_no_connection(tmp_path):
    async def scenario(platform, sender):
        accepted, received, stop = [], set(), asyncio.Event()

        async def script(call):
            received.add(call[0].decode())
            await asyncio.sleep(0.02)
            return reply(200)

        platform.script = script

        async def client(number):
            connection = None
            while not stop.is_set():
                ident = f"c{number}-{len(accepted)}"
                connection = connection or await sender.connect()
                status, fields = await sender.submit(ident, connection=connection)
                assert status == 202
                accepted.append(ident.encode())
                await wait_until(lambda: ident in received)
                if fields.get(b"connection") == b"close":
                    connection[1].close()
                    connection = None

        clients = [asyncio.create_task(client(number)) for number in range(6)]
        await wait_until(lambda: len(accepted) > 50)
        next_sender = await start_next_process(platform, sender)
        sender.process.send_signal(signal.SIGTERM)
        await sender.process.wait()
        count = len(accepted)
        await wait_until(lambda: len(accepted) > count + 50)
        stop.set()
        await asyncio.gather(*clients)  # no connection was refused or reset
        await wait_until(lambda: not next_sender.pending_count(), 20.0)
        assert sorted(platform.message_ids()) == sorted(accepted) and not platform.notices
        await next_sender.end()

    run_scenario(tmp_path, scenario, receivers=3)


def test_old_process_is_unaffected_when_the_next_one_dies_waiting_for_the_folder(tmp_path):
    async def scenario(platform, sender):
        (tmp_path / "state" / "next").write_bytes(b"")  # left by a killed process
        for at in range(3):
            await sender.submit(f"m{at}")
            await wait_until(lambda: len(platform.calls) > at)
        assert sender.process.returncode is None
        assert json.loads((tmp_path / "config.json").read_text())["name"] == "n0"
        next_sender = await start_next_process(platform, sender)
        await next_sender.end()

    run_scenario(tmp_path, scenario)


def test_checking_for_a_claim_does_not_make_it_fail(tmp_path):
    async def scenario():
        folder_lock = FolderLock.acquire(tmp_path)
        (tmp_path / "next").touch()
        with open(tmp_path / "next") as checked_file:
            fcntl.flock(checked_file, fcntl.LOCK_SH)
            claim = upgrade.TakeoverClaim(str(tmp_path))
            entering = asyncio.create_task(claim.enter())
            await wait_until(lambda: claim.file >= 0)
            await asyncio.sleep(0)
        upgrade.hand_over_folder(str(tmp_path), {"out": [1]})
        assert await entering == (None, {"out": [1]})
        claim.drop()
        folder_lock.release()

    asyncio.run(scenario())


def test_old_process_is_unaffected_when_writing_the_hand_over_fails(tmp_path):
    async def scenario(platform, sender):
        (tmp_path / "state" / "handed.new").mkdir()
        with open(tmp_path / "state" / "next", "w") as claim:
            before = (tmp_path / "state").stat().st_mtime_ns
            fcntl.flock(claim, fcntl.LOCK_EX)
            # a hand-over log was created and removed
            await wait_until(lambda: (tmp_path / "state").stat().st_mtime_ns > before)
            await sender.submit("m")
            await wait_until(lambda: platform.calls)
        assert sender.process.returncode is None
        assert await sender.end(signal.SIGTERM) == 0
        assert "internal_error: upgrade" in (await sender.log).decode()

    run_scenario(tmp_path, scenario)


def test_reload_after_the_hand_over_restarts_nothing(tmp_path):
    async def scenario(platform, sender):
        platform.script = lambda call: None  # a call in flight keeps the old process running
        await sender.submit("m")
        await wait_until(lambda: platform.calls)
        next_sender = await start_next_process(platform, sender)
        sender.reload()
        assert await asyncio.wait_for(sender.process.wait(), 10.0) == 0
        log = (await sender.log).decode()
        assert "takeover.handed_over" in log and "configuration.reloaded" not in log
        await next_sender.end()

    run_scenario(tmp_path, scenario)
