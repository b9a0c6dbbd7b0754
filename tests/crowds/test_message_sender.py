"""Crowds at the ports of the message sender."""

import asyncio
import gc
import itertools
import os

import pytest
from crowds import behaviours
from crowds.behaviours import CRLF, PIECE_BYTES
from crowds.crowd import Crowd
from crowds.process_monitor import ProcessMonitor

from driver import run_scenario

pytestmark = pytest.mark.crowd

MEMORY_MB = 96
MAX_DESCRIPTORS = 600
BYTES_PER_MB = 1_000_000
CLIENTS = 500
MAX_BODY_BYTES = 65_536
CROWD_S = 6.0
ORDINARY_TIMEOUT_S = 60.0
RETRY_DELAY_S = 0.2
BODY = bytes(MAX_BODY_BYTES)
SUBMIT = b"POST /api HTTP/1.1\r\nReq-Id: %b\r\nReq-Kind: notice\r\nReq-Owner: acme\r\nX-Consignee: dest=7\r\n"
CHUNKED = SUBMIT % b"crowd" + b"Transfer-Encoding: chunked\r\n\r\n"


def chunks(size):
    return CHUNKED + behaviours.chunked(BODY, itertools.repeat(size))


REQUESTS = {
    "one_byte_short": lambda: behaviours.incomplete(SUBMIT % b"crowd" + b"Content-Length: 65536\r\n\r\n" + BODY[:-1]),
    "chunks_short": lambda: behaviours.incomplete(chunks(4096)),
    "one_byte_chunks": lambda: behaviours.incomplete(chunks(1)),
    "two_byte_chunks": lambda: behaviours.incomplete(chunks(2)),
    "chunks_past_the_limit": lambda: behaviours.endless(CHUNKED, behaviours.chunked(BODY, itertools.repeat(8192))),
    "announced_past_the_limit": lambda: behaviours.endless(
        SUBMIT % b"crowd" + b"Content-Length: 9999999\r\n\r\n", BODY
    ),
    "empty_lines": lambda: behaviours.endless(b"", CRLF * (PIECE_BYTES // 2)),
    "trailers": lambda: behaviours.endless(CHUNKED + b"0\r\n", b"a: b\r\n" * (PIECE_BYTES // 6)),
    "chunk_extensions": lambda: behaviours.endless(CHUNKED, b"1;%b\r\nx\r\n" % (b"a" * 4_000)),
    "long_chunk_size": lambda: behaviours.endless(CHUNKED, b"0" * PIECE_BYTES),
    "sent_ahead": lambda: behaviours.endless(b"", b"GET /-/ready HTTP/1.1\r\n\r\n" * 2_000),
    "long_head": lambda: behaviours.incomplete(SUBMIT % b"crowd" + b"Padding: " + b"a" * 15_000),
    "silent": lambda: behaviours.incomplete(b""),
}


async def can_submit_ordinary_message(sender):
    """Submit a message, again and again as a client does, until it is accepted; return whether it was, in time."""
    ends_s = asyncio.get_running_loop().time() + ORDINARY_TIMEOUT_S
    while True:
        answer = await _try_to_submit(sender)
        if answer is not None and answer[0] == 202:
            return True
        if asyncio.get_running_loop().time() >= ends_s:
            return False
        await asyncio.sleep(RETRY_DELAY_S)


async def _try_to_submit(sender):
    """Return the status and the fields of the response; None without one."""
    try:
        connection = await sender.connect()
    except OSError:
        return None
    try:
        return await sender.submit(f"ordinary-{os.urandom(8).hex()}", connection=connection)
    except (OSError, TimeoutError):
        return None
    finally:
        connection[1].close()


def play(tmp_path, port_of, behaviour, client_count):
    """Let a crowd use a port of a sender; check its process and that ordinary messages are accepted."""
    results = []

    async def scenario(platform, sender):
        host, port = port_of(sender)
        with ProcessMonitor(sender.process.pid, [port]) as monitor:
            with Crowd(f"{host}:{port}", client_count, behaviour) as crowd:
                await asyncio.sleep(CROWD_S)
                was_accepted_beside_crowd = await can_submit_ordinary_message(sender)
            was_accepted_afterwards = await can_submit_ordinary_message(sender)
            is_alive = sender.process.returncode is None and monitor.is_alive
        print(f"{monitor}; answers to the crowd: {dict(crowd.answers)}")
        results.extend((monitor, is_alive, was_accepted_beside_crowd, was_accepted_afterwards))

    run_scenario(tmp_path, scenario, memory_mb=MEMORY_MB, sockets=MAX_DESCRIPTORS)
    gc.collect()  # streams that the stand-in platform left open must not be collected while a failure is reported
    monitor, is_alive, was_accepted_beside_crowd, was_accepted_afterwards = results
    assert is_alive
    assert monitor.peak_bytes <= MEMORY_MB * BYTES_PER_MB, str(monitor)
    assert monitor.peak_descriptors <= MAX_DESCRIPTORS, str(monitor)
    assert was_accepted_beside_crowd and was_accepted_afterwards, f"no message was accepted in {ORDINARY_TIMEOUT_S:g} s"


@pytest.mark.parametrize("name", REQUESTS)
def test_crowd_of_clients(tmp_path, name):
    play(tmp_path, lambda sender: sender.address, REQUESTS[name](), CLIENTS)


@pytest.mark.parametrize("name", ["silent", "long_head", "empty_lines"])
def test_crowd_at_the_console(tmp_path, name):
    play(tmp_path, lambda sender: sender.console, REQUESTS[name](), CLIENTS)
