"""Resource limits of a sender: messages, connections, memory, and clients that retry too soon."""

import asyncio
import re
import signal
import time

from driver import run_scenario, wait_until


def test_accepted_id_is_rejected_as_duplicate_even_after_its_end_or_a_kill(tmp_path):
    async def scenario(platform, sender):
        assert (await sender.submit("m"))[0] == 202
        assert (await sender.submit("m"))[0] == 409
        await wait_until(lambda: platform.message_ids() and sender.pending_count() == 0)
        assert (await sender.submit("m"))[0] == 409
        await sender.end()
        await sender.start()
        assert (await sender.submit("m"))[0] == 409
        assert (await sender.submit("n"))[0] == 202
        await wait_until(lambda: platform.message_ids() == [b"m", b"n"])

    run_scenario(tmp_path, scenario)


def test_client_that_retries_at_once_after_rejections_is_slowed_down(tmp_path):
    async def scenario(platform, sender):
        connection, started_at, responses = await sender.connect(), time.monotonic(), 0
        while time.monotonic() < started_at + 1.0:
            assert (await sender.submit("m", queue_class="unheard-of", connection=connection))[0] == 400
            responses += 1
        assert 3 < responses < 10
        for at in range(20):
            assert (await sender.submit(f"n{at}"))[0] == 202

    run_scenario(tmp_path, scenario)


def test_full_sender_rejects_messages_with_retry_after(tmp_path):
    async def scenario(platform, sender):
        sender.config["settings"]["Allowed"]["MaxOpen"] = 3
        sender.config["settings"]["FamilyInfo"]["CallSlots"] = 1
        await sender.start()
        platform.script = lambda call: None
        answers = [await sender.submit(f"m{at}", queue_class="charge", ordering_key="k") for at in range(4)]
        assert [answer[0] for answer in answers] == [202, 202, 202, 503]
        assert 0.0 < float(answers[3][1][b"retry-after"]) <= 2.0

    run_scenario(tmp_path, scenario, start=False)


def test_connections_over_the_limit_replace_idle_ones_or_get_503(tmp_path):
    async def scenario(platform, sender):
        first = await sender.connect()
        await sender.exchange(b"GET /-/ready HTTP/1.1\r\n\r\n", first)
        busy, tasks = [], []
        while not any(task.done() for task in tasks):  # incomplete requests
            busy.append(await sender.connect())
            busy[-1][1].write(b"POST /api HTTP/1.1\r\n")
            tasks.append(asyncio.create_task(busy[-1][0].read()))
            await asyncio.sleep(0.01)
        assert b" 503 " in tasks[-1].result() and 4 < len(tasks) < 128
        busy[0][1].write(b"\r\n")  # accepted connections continue
        assert b" 400 " in await asyncio.wait_for(tasks[0], 5.0)
        assert await asyncio.wait_for(first[0].read(), 5.0) == b""  # idle, closed to make room
        flood = [await sender.connect() for _ in range(500)]
        for reader, writer in flood:  # idle connections are closed in time
            assert not (await asyncio.wait_for(reader.read(), 5.0)).startswith(b"HTTP/1.1 2")
            writer.close()
        assert (await sender.submit("m"))[0] == 202
        await wait_until(lambda: b"m" in platform.message_ids())
        await sender.end(signal.SIGTERM)
        log = (await sender.log).decode()
        assert not any(name in log for name in ("fault", "internal_error", "request.failed", "control.failed"))

    run_scenario(tmp_path, scenario, sockets=128)


def test_idle_connections_do_not_block_clients(tmp_path):
    async def scenario(platform, sender):
        idle = [await sender.connect() for _ in range(300)]  # more than the limit
        connected_at = time.monotonic()
        await wait_until(lambda: time.monotonic() > connected_at + 0.6)
        for at in range(20):
            assert (await sender.submit(f"m{at}"))[0] == 202
        for _, writer in idle:
            writer.close()

    run_scenario(tmp_path, scenario, sockets=256)


def test_responses_close_their_connections_while_many_are_open(tmp_path):
    async def scenario(platform, sender):
        connections, closed = [], 0
        for at in range(60):  # each sends one request and stays connected
            connections.append(await sender.connect())
            status, fields = await sender.submit(f"m{at}", connection=connections[-1])
            assert status == 202
            closed += fields.get(b"connection") == b"close"
        assert 30 < closed < 60 and (await sender.submit("first", connection=connections[0]))[0] == 202

    run_scenario(tmp_path, scenario, sockets=128)


def test_message_is_not_accepted_after_its_client_gave_up_during_a_stall(tmp_path):
    async def scenario(platform, sender):
        sender.process.send_signal(signal.SIGSTOP)
        reader, writer = await sender.connect()
        writer.write(
            b"POST /api HTTP/1.1\r\nReq-Id: m\r\nReq-Kind: notice\r\nReq-Owner: acme\r\nX-Consignee: dest=7\r\n\r\n"
        )
        writer.close()
        await writer.wait_closed()
        sender.process.send_signal(signal.SIGCONT)
        assert (await sender.submit("n"))[0] == 202
        await wait_until(lambda: b"n" in platform.message_ids())
        assert platform.message_ids() == [b"n"] and sender.pending_count() <= 1

    run_scenario(tmp_path, scenario)


def test_many_concurrent_messages_are_delivered_within_the_limits(tmp_path):
    async def scenario(platform, sender):
        async def client(number):
            connection = await sender.connect()
            for at in range(10):
                answer = await sender.submit(f"{number}-{at}", queue_class="status", connection=connection)
                assert answer[0] == 202
            connection[1].close()

        await asyncio.gather(*(client(number) for number in range(12)))
        await wait_until(lambda: len(set(platform.message_ids())) == 120, 30.0)
        assert len(platform.calls) == 120 and len(platform.connections) <= 8

    run_scenario(tmp_path, scenario)


def test_memory_stays_constant_over_many_messages(tmp_path):
    async def scenario(platform, sender):
        def resident_kb():
            return int(re.search(r"RssAnon:\s+(\d+)", open(f"/proc/{sender.process.pid}/status").read())[1])

        samples = []
        for batch in range(4):
            for at in range(700):
                assert (await sender.submit(f"m{batch}-{at}", deadline_s=0.8, body=b"x" * 2000))[0] == 202
            samples.append(resident_kb())
        assert samples[3] - samples[1] < 1500, samples

    run_scenario(tmp_path, scenario, memory_mb=64)


def test_incomplete_bodies_are_buffered_within_a_limit(tmp_path):
    async def scenario(platform, sender):
        plain = b"POST /api HTTP/1.1\r\nContent-Length: 65536\r\n\r\n"
        chunked = b"POST /api HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nea60\r\n"
        busy, responses = [], []
        for at in range(400):
            busy.append(await sender.connect())
            busy[-1][1].write((plain, chunked)[at % 2] + b"x" * 60000 + b"\r\n")
            responses.append(asyncio.create_task(busy[-1][0].read()))
        await wait_until(lambda: sum(task.done() for task in responses) > 50)
        assert all(b" 503 " in task.result() for task in responses if task.done())
        assert (await sender.submit("m"))[0] == 202
        await wait_until(lambda: b"m" in platform.message_ids())
        status = open(f"/proc/{sender.process.pid}/status").read()
        assert int(re.search(r"VmHWM:\s+(\d+)", status)[1]) < 64000

    run_scenario(tmp_path, scenario, memory_mb=64)
