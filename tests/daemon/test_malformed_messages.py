"""Malformed, truncated and oversized requests and responses, and the sender's reactions."""

import time

import pytest

from driver import read_message, reply, run_scenario, wait_until


@pytest.mark.parametrize(
    "raw, status",
    [
        (b"NONSENSE\r\n\r\n", 400),
        (b"GET / HTTP/2.0\r\n\r\n", 505),
        (b"GET / HTTP/1.1\r\nBad name: x\r\n\r\n", 400),
        (b"POST /api HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", 413),
        (b"GET /%s HTTP/1.1\r\n" % (b"x" * 17000), 431),
        (b"POST /api HTTP/1.1\r\nContent-Length: x\r\n\r\n", 400),
        (b"POST /api HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
        (b"POST /api HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501),
        (b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", 400),
        (b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1ffff\r\n", 413),
    ],
)
def test_malformed_request_is_rejected_and_its_connection_closed(tmp_path, raw, status):
    async def scenario(platform, sender):
        reader, writer = await sender.connect()
        writer.write(raw)
        message = await read_message(reader)
        assert int(message[0].split()[1]) == status and message[1][b"connection"] == b"close"
        assert await reader.read() == b""

    run_scenario(tmp_path, scenario)


def test_well_formed_but_invalid_requests_are_answered_and_the_connection_stays_open(tmp_path):
    async def scenario(platform, sender):
        connection = await sender.connect()
        assert (await sender.exchange(b"GET /nowhere HTTP/1.1\r\n\r\n", connection))[0] == 404
        assert (await sender.exchange(b"GET /api HTTP/1.1\r\n\r\n", connection))[0] == 405
        assert (await sender.exchange(b"POST /api HTTP/1.1\r\nReq-Id: a\r\nContent-Length: 0\r\n\r\n", connection))[
            0
        ] == 400
        assert (await sender.submit("a", queue_class="unheard-of", connection=connection))[0] == 400
        assert (await sender.submit("a", deadline_s=-1, connection=connection))[0] == 400
        assert (await sender.submit("good", connection=connection))[0] == 202
        await wait_until(lambda: platform.message_ids() == [b"good"])

    run_scenario(tmp_path, scenario)


OK = reply(200)
MALFORMED_ERRORS = [
    b"\x00\xff noise",
    b"HTTP/1.1 99\r\n\r\n",
    b"HTTP/1.1 500 x\r\nno header\r\n\r\n",
    b"HTTP/1.1 429 x\r\nRetry-After: 9\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 100000,
    b"HTTP/1.1 503 x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"HTTP/1.1 503 x\r\nX-Line-Busy: 1\r\n",
    b"HTTP/1.1 429 x\r\nContent-Length: 9\r\n\r\nhalf",
    b"HTTP/1.1 503 x\r\nx: " + b"y" * 99999,
]
MALFORMED_SUCCESSES = [
    b"HTTP/1.1 200 x\r\n",
    b"HTTP/1.1 200 x\r\nno header\r\n\r\n",
    b"HTTP/1.1 200 x\r\nx: " + b"y" * 99999,
    b"HTTP/1.1 200 x\r\nContent-Length: 3000000000\r\n\r\n",
    b"HTTP/1.1 200 x\r\nContent-Length: -3\r\n\r\n",
    b"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nhalf",
    b"HTTP/1.1 100 x\r\n\r\n" + OK,
    OK + OK,
    OK + b"\x00\xff",
    b"HTTP/1.1 200 x\r\nSrv-Load: x0=\x00,\r\nContent-Length: 0\r\n\r\n",
]


def test_malformed_response_may_have_executed_and_a_200_status_line_counts_as_delivered(tmp_path):
    async def scenario(platform, sender):
        platform.script = lambda call: (
            (MALFORMED_ERRORS + MALFORMED_SUCCESSES)[int(call[0][1:])] if call[0][:1] == b"m" else OK
        )
        for at in range(len(MALFORMED_ERRORS + MALFORMED_SUCCESSES)):
            for ident in (f"good{at}", f"m{at}"):
                started_at = time.monotonic()
                assert (await sender.submit(ident, queue_class="charge"))[0] == 202
                await wait_until(lambda: ident.encode() in platform.message_ids() and sender.pending_count() == 0)
                assert time.monotonic() - started_at < 1.4  # none takes until its time-out
        assert {notice["message"] for notice in platform.notices} == {f"m{at}" for at in range(len(MALFORMED_ERRORS))}
        assert {notice["outcome"] for notice in platform.notices} == {"given_up"}

    run_scenario(tmp_path, scenario)


HEAD = (
    b"POST /api HTTP/1.1\r\nReq-Id: bad\r\nReq-Kind: notice\r\nReq-Owner: acme\r\nX-Consignee: dest=7\r\n"
    b"Idempotency-Key: t\r\n"
)


@pytest.mark.parametrize(
    "raw",
    [
        HEAD + b"Content-Length: 1\r\n\r\nxGET / HTTP/1.1\r\n\r\n",  # longer than its Content-Length
        (HEAD + b"\r\n") * 300,
        HEAD + b"Content-Length: 2\r\n\r\nx",
        b"",
        HEAD,
        b"POST",
        HEAD + b"Content-Length: -1\r\n\r\n",
        HEAD + b"Content-Length: 60000000\r\n\r\n" + b"x" * 6000000,
        HEAD + b"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + HEAD + b"\r\n",
        HEAD.replace(b"dest=7", b"dest=8") + b"\r\n",
        HEAD.replace(b"dest=7", b"dest=x") + b"\r\n",
        HEAD + b"Req-Deadline: soon\r\n\r\n",
        HEAD + b"Req-Deadline: nan\r\n\r\n",
        HEAD + b"Req-Deadline: 1_0\r\n\r\n",
        HEAD + b"Req-Id: again\r\n\r\n",
        HEAD.replace(b"t\r", b"\xff\r") + b"\r\n",
        HEAD + b"x: " + b"y" * 9000000,
    ],
)
def test_misbehaving_client_gets_an_error_or_close_in_time_and_nothing_is_forwarded(tmp_path, raw):
    async def scenario(platform, sender):
        started_at, (reader, writer) = time.monotonic(), await sender.connect()
        other_connection = await sender.connect()
        assert (await sender.submit("a", connection=other_connection))[0] == 202
        writer.write(raw)
        try:
            received = await reader.read(1000)
        except ConnectionError:
            received = b""
        assert received == b"" or received.startswith((b"HTTP/1.1 4", b"HTTP/1.1 5"))
        assert time.monotonic() - started_at < 2.9
        assert (await sender.submit("b", connection=other_connection))[0] == 202
        # messages without a key are unordered: on two connections they may arrive in either order
        await wait_until(lambda: sorted(platform.message_ids()) == [b"a", b"b"] and sender.pending_count() == 0)

    run_scenario(tmp_path, scenario)
