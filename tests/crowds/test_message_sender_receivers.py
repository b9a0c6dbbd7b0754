"""Receivers and an agent of the message sender that send bytes without end, or nothing, until their caller closes."""

import asyncio
import gc
import os

import pytest
from crowds.process_monitor import ProcessMonitor
from crowds.test_message_sender import BYTES_PER_MB, MAX_DESCRIPTORS, MEMORY_MB, can_submit_ordinary_message

from dewpin.standin.endless_response import EndlessForm, endless_response
from driver import run_scenario, wait_until

pytestmark = pytest.mark.crowd

MESSAGES = 24
FAULT_S = 3.0
DELIVERY_TIMEOUT_S = 30.0
FAULTY, SOUND = 0, 1
REASONS = {200: "OK", 500: "Internal Server Error"}


async def send_without_end(writer, form, status):
    """Send the response of a form until the sender closes the connection; a silent one sends nothing."""
    response = endless_response(form)
    if not response.block:
        return
    parts = response.parts(f"HTTP/1.1 {status} {REASONS[status]}\r\n".encode(), b"")
    try:
        while not writer.transport.is_closing():
            writer.write(next(parts))
            await writer.drain()
    except ConnectionError:
        pass


async def submit_messages(sender):
    connection = await sender.connect()
    for _ in range(MESSAGES):
        message = await sender.submit(f"m-{os.urandom(8).hex()}", queue_class="status", connection=connection)
        assert message is not None and message[0] in (202, 503)
    connection[1].close()


def run_and_check(tmp_path, receivers, scenario):
    """Run a scenario beside a monitor of the sender's process, and check the process."""
    results = []

    async def run(platform, sender):
        with ProcessMonitor(sender.process.pid, [sender.address[1]]) as monitor:
            await scenario(platform, sender)
            results.extend((monitor, sender.process.returncode is None and monitor.is_alive))

    run_scenario(tmp_path, run, receivers, memory_mb=MEMORY_MB, sockets=MAX_DESCRIPTORS)
    gc.collect()  # streams that the stand-in platform left open must not be collected while a failure is reported
    monitor, is_alive = results
    print(monitor)
    assert is_alive
    assert monitor.peak_bytes <= MEMORY_MB * BYTES_PER_MB, str(monitor)
    assert monitor.peak_descriptors <= MAX_DESCRIPTORS, str(monitor)


@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize("form", EndlessForm, ids=lambda form: form.value)
def test_one_of_two_receivers_responds_without_end(tmp_path, form, status):
    async def scenario(platform, sender):
        is_repaired = False

        async def respond(call):
            if call[3] == FAULTY and not is_repaired:
                return await send_without_end(call[4], form, status)
            return b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"

        platform.script = respond
        await submit_messages(sender)
        await asyncio.sleep(FAULT_S)
        assert await can_submit_ordinary_message(sender)
        await wait_until(lambda: any(call[3] == SOUND for call in platform.calls), DELIVERY_TIMEOUT_S)
        is_repaired = True
        assert await can_submit_ordinary_message(sender)
        await wait_until(lambda: sender.pending_count() == 0, DELIVERY_TIMEOUT_S)

    run_and_check(tmp_path, 2, scenario)


async def replace_agent(platform, respond):
    """Let another agent serve the address of the platform's agent, whose connections are aborted."""
    host, port = platform.agent.sockets[0].getsockname()[:2]
    platform.agent.close()
    for writer in platform.watch_writers:
        writer.transport.abort()
    platform.agent = await asyncio.start_server(respond, host, port)


@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize("form", EndlessForm, ids=lambda form: form.value)
def test_agent_responds_without_end(tmp_path, form, status):
    """The endpoint list that the sender has stays in use."""

    async def scenario(platform, sender):
        async def respond(reader, writer):
            await reader.read(1)
            await send_without_end(writer, form, status)

        await replace_agent(platform, respond)
        await submit_messages(sender)
        await asyncio.sleep(FAULT_S)
        assert await can_submit_ordinary_message(sender)
        await wait_until(lambda: sender.pending_count() == 0, DELIVERY_TIMEOUT_S)

    run_and_check(tmp_path, 1, scenario)


MANY_VALUES = b'{"revision": 9, "complete": true, "members": [' + b"[]," * 2_500_000 + b"[]]}"


def test_agent_sends_lists_of_very_many_values(tmp_path):
    async def scenario(platform, sender):
        async def respond(reader, writer):
            while await reader.read(1024):
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(MANY_VALUES) + MANY_VALUES)
                await writer.drain()

        await replace_agent(platform, respond)
        await asyncio.sleep(FAULT_S)
        assert await can_submit_ordinary_message(sender)

    run_and_check(tmp_path, 1, scenario)
