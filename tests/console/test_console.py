"""The operators' console: each call's answer, free of I/O and against the program itself."""

import asyncio
import json
import signal

import pytest

from dewpin.console import calls
from driver import play, read_message, reply, until


class Asked:
    """Stands for a sender: knows one receiver."""

    def ready(self):
        return True

    def figures(self):
        return {
            "ends": {b"notice": {"relayed": 3, "deferred": 2, "bounced": 1}},
            "sent": 4,
            "owed": 5,
            "listed": 7,
            "avoided": 6,
        }

    def detach(self, ident):
        return 200 if ident == b"a b" else 404

    attach = detach


@pytest.mark.parametrize(
    "line, status",
    [
        (b"GET /_ready", 200),
        (b"POST /_ready", 405),
        (b"GET /", 404),
        (b"GET /_vars?x", 200),
        (b"POST /_receivers/detach?host=a%20b", 200),
        (b"POST /_receivers/attach?x=1&host=a+b", 200),
        (b"POST /_receivers/detach?host=c", 404),
        (b"POST /_receivers/detach", 400),
        (b"GET /_receivers/detach?host=c", 405),
        (b"POST /_receivers/attach?host=a+b&host=c", 400),
        (b"POST /_receivers/attach?host=a%2", 400),
        (b"POST /_receivers/attach?host=" + b"x" * 300, 400),
    ],
)
def test_a_call_and_its_status(line, status):
    assert calls.answer((*line.split(b" "), b"HTTP/1.1"), Asked())[0] == status


def test_the_figures_have_the_pages_names():
    assert json.loads(calls.answer((b"GET", b"/_vars", b"HTTP/1.1"), Asked())[2]) == {
        "replies": {"notice": {"success": 3, "overload": 2, "error": 1}},
        "concurrent": 5,
        "dispatches": 4,
        "targets": 7,
        "targets_disabled": 6,
    }


async def call(sender, line):
    """(status, body) of one call at the console."""
    reader, writer = await asyncio.open_connection(*sender.console)
    writer.write(line + b" HTTP/1.1\r\n\r\n")
    message = await asyncio.wait_for(read_message(reader), 5.0)
    assert await reader.read() == b""  # one call to a connection
    writer.close()
    return int(message[0].split()[1]), message[2]


async def figures(sender):
    return json.loads((await call(sender, b"GET /_vars"))[1])


def test_figures_count_what_became_of_mails_and_silent_callers_hold_nobody_up(tmp_path):
    async def scene(outside, sender):
        silent = [await asyncio.open_connection(*sender.console) for _ in range(30)]
        assert (await call(sender, b"GET /_ready"))[0] == 200
        await sender.hand_in("good")
        await until(lambda: outside.calls)
        outside.script = lambda call: "reset"
        await sender.hand_in("broken", kind="charge")
        await until(lambda: len(outside.notices) == 1)
        outside.script = lambda call: reply(429, b"Retry-After: 5")
        await sender.hand_in("told", kind="status", left=0.4)
        await until(lambda: len(outside.notices) == 2)
        assert (await sender.hand_in("good"))[0] == 409  # an id that was taken on
        found = await figures(sender)
        assert found["replies"]["notice"] == {"success": 1, "overload": 0, "error": 1}
        assert found["replies"]["charge"] == {"success": 0, "overload": 0, "error": 1}
        assert found["replies"]["status"] == {"success": 0, "overload": 1, "error": 0}
        assert found["dispatches"] == len(outside.calls) and found["targets"] == 2
        outside.script = lambda call: None
        await sender.hand_in("held", kind="status")
        assert (await figures(sender))["concurrent"] == 1
        for _, writer in silent:
            writer.close()

    play(tmp_path, scene, receivers=2)


def test_a_detached_receiver_gets_nothing_until_it_is_put_back_whatever_the_list_says_and_over_a_kill(tmp_path):
    async def scene(outside, sender):
        def reached():
            return {call[3] for call in outside.calls}

        async def hand_in(count):
            outside.calls.clear()
            for number in range(count):
                ident = f"m{len(outside.watching)}-{id(reached)}-{number}-{outside.revision}-{count}"
                await sender.hand_in(ident)  # its own call: one of before a kill may come again beside it
                await until(lambda ident=ident: ident.encode() in outside.idents())

        assert (await call(sender, b"POST /_receivers/detach?host=r9"))[0] == 404
        for _ in range(2):  # calls out may be repeated
            assert (await call(sender, b"POST /_receivers/detach?host=r0"))[0] == 200
        assert (await figures(sender))["targets_disabled"] == 1
        await hand_in(6)
        assert reached() == {1}
        await until(lambda: outside.watching)
        outside.change(0, "leaving")
        await until(lambda: outside.watching)
        outside.change(0, "active")  # the list has no say
        await until(lambda: outside.watching)
        await hand_in(7)
        assert reached() == {1}
        await sender.end(signal.SIGKILL)
        await sender.start()
        await hand_in(8)
        assert reached() == {1}
        assert (await call(sender, b"POST /_receivers/attach?host=r0"))[0] == 200
        assert (await call(sender, b"POST /_receivers/attach?host=r0"))[0] == 200
        assert (await call(sender, b"POST /_receivers/detach?host=r1"))[0] == 200
        await hand_in(9)
        assert reached() == {0}
        assert (await call(sender, b"POST /_receivers/attach?host=r1"))[0] == 200
        assert (await figures(sender))["targets_disabled"] == 0

    play(tmp_path, scene, receivers=2)
