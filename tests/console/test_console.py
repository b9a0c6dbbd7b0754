"""The operators' console: responses of the request handler without I/O, and of a running sender."""

import asyncio
import json
import signal

import pytest

from dewpin.console import calls
from driver import read_message, reply, run_scenario, wait_until


class StubSender:
    """Sender with a single receiver, `a b`."""

    def is_ready(self):
        return True

    def metrics(self):
        return calls.SenderMetrics(
            endings={b"notice": {"relayed": 3, "deferred": 2, "bounced": 1}},
            sent=4,
            pending=5,
            listed_receivers=7,
            avoided_receivers=6,
        )

    def detach(self, receiver_id):
        return calls.ReceiverChange.DONE if receiver_id == b"a b" else calls.ReceiverChange.UNKNOWN_RECEIVER

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
def test_each_request_gets_its_status(line, status):
    assert calls.respond((*line.split(b" "), b"HTTP/1.1"), StubSender()).status == status


def test_metrics_have_the_documented_names():
    assert json.loads(calls.respond((b"GET", b"/_vars", b"HTTP/1.1"), StubSender()).body) == {
        "replies": {"notice": {"success": 3, "overload": 2, "error": 1}},
        "concurrent": 5,
        "dispatches": 4,
        "targets": 7,
        "targets_disabled": 6,
    }


async def call(sender, line):
    """Sends one request to the console; returns (status, body)."""
    reader, writer = await asyncio.open_connection(*sender.console)
    writer.write(line + b" HTTP/1.1\r\n\r\n")
    message = await asyncio.wait_for(read_message(reader), 5.0)
    assert await reader.read() == b""  # one request per connection
    writer.close()
    return int(message[0].split()[1]), message[2]


async def read_metrics(sender):
    return json.loads((await call(sender, b"GET /_vars"))[1])


def test_metrics_count_endings_of_messages_while_idle_connections_are_open(tmp_path):
    async def scenario(platform, sender):
        idle = [await asyncio.open_connection(*sender.console) for _ in range(30)]
        assert (await call(sender, b"GET /_ready"))[0] == 200
        await sender.submit("good")
        await wait_until(lambda: platform.calls)
        platform.script = lambda call: "reset"
        await sender.submit("broken", queue_class="charge")
        await wait_until(lambda: len(platform.notices) == 1)
        platform.script = lambda call: reply(429, b"Retry-After: 5")
        await sender.submit("told", queue_class="status", deadline_s=0.4)
        await wait_until(lambda: len(platform.notices) == 2)
        assert (await sender.submit("good"))[0] == 409  # an id that was already accepted
        metrics = await read_metrics(sender)
        assert metrics["replies"]["notice"] == {"success": 1, "overload": 0, "error": 1}
        assert metrics["replies"]["charge"] == {"success": 0, "overload": 0, "error": 1}
        assert metrics["replies"]["status"] == {"success": 0, "overload": 1, "error": 0}
        assert metrics["dispatches"] == len(platform.calls) and metrics["targets"] == 2
        platform.script = lambda call: None
        await sender.submit("held", queue_class="status")
        assert (await read_metrics(sender))["concurrent"] == 1
        for _, writer in idle:
            writer.close()

    run_scenario(tmp_path, scenario, receivers=2)


def test_detached_receiver_gets_nothing_until_attached_despite_list_changes_and_a_kill(tmp_path):
    async def scenario(platform, sender):
        def used_receivers():
            return {call[3] for call in platform.calls}

        async def submit_messages(count):
            platform.calls.clear()
            for number in range(count):
                ident = f"m{len(platform.watch_writers)}-{id(used_receivers)}-{number}-{platform.revision}-{count}"
                await sender.submit(ident)  # wait for this id: an earlier call may be repeated after a kill
                await wait_until(lambda ident=ident: ident.encode() in platform.message_ids())

        assert (await call(sender, b"POST /_receivers/detach?host=r9"))[0] == 404
        for _ in range(2):  # the request is idempotent
            assert (await call(sender, b"POST /_receivers/detach?host=r0"))[0] == 200
        assert (await read_metrics(sender))["targets_disabled"] == 1
        await submit_messages(6)
        assert used_receivers() == {1}
        await wait_until(lambda: platform.watch_writers)
        platform.set_phase(0, "leaving")
        await wait_until(lambda: platform.watch_writers)
        platform.set_phase(0, "active")  # a list update does not attach it
        await wait_until(lambda: platform.watch_writers)
        await submit_messages(7)
        assert used_receivers() == {1}
        await sender.end(signal.SIGKILL)
        await sender.start()
        await submit_messages(8)
        assert used_receivers() == {1}
        assert (await call(sender, b"POST /_receivers/attach?host=r0"))[0] == 200
        assert (await call(sender, b"POST /_receivers/attach?host=r0"))[0] == 200
        assert (await call(sender, b"POST /_receivers/detach?host=r1"))[0] == 200
        await submit_messages(9)
        assert used_receivers() == {0}
        assert (await call(sender, b"POST /_receivers/attach?host=r1"))[0] == 200
        assert (await read_metrics(sender))["targets_disabled"] == 0

    run_scenario(tmp_path, scenario, receivers=2)
