"""The reader, fed in any pieces, and the pool's calls."""

import asyncio
import random
import socket

import pytest

from dewpin.core import model
from dewpin.net.agent import ANSWER, FRESH, NOTICE, NOTICE_MOST, PAUSE, REFUSED, WATCH, Notices, Turns
from dewpin.net.http import Malformed, Reader, answer
from dewpin.net.outbound import Pool
from dewpin.ports import AttemptRequest
from driver import Outside, read_message, reply, until


def requests(dice):
    raw, bodies = b"", []
    for _ in range(dice.randrange(1, 5)):
        body = dice.randbytes(dice.choice((0, 1, 10, 5000)))
        bodies.append(body)
        if dice.random() < 0.5:
            raw += b"POST /api HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body
            continue
        raw += b"\r\nPOST /api HTTP/1.1\r\nTransfer-Encoding: Chunked\r\n\r\n"
        while body:
            size = dice.randint(1, len(body))
            raw, body = raw + b"%X;note=1\r\n" % size + body[:size] + b"\r\n", body[size:]
        raw += b"0\r\n" + b"Trailer: x\r\n" * dice.randrange(2) + b"\r\n"
    return raw, bodies


@pytest.mark.parametrize("seed", range(30))
def test_messages_are_the_same_in_whatever_pieces_they_come(seed):
    dice = random.Random(seed)
    raw, bodies = requests(dice)
    reader, got = Reader(), []
    while raw:
        size = dice.choice((1, 2, 7, 1000))
        reader.feed(raw[:size])
        raw = raw[size:]
        while message := reader.take():
            got.append(message.body)
    assert got == bodies and not reader.held


@pytest.mark.parametrize("seed", range(30))
def test_noise_is_refused_or_waited_out_and_held_in_bounds(seed):
    dice = random.Random(seed)
    raw = bytearray(requests(dice)[0])
    for _ in range(dice.randrange(1, 20)):
        raw[dice.randrange(len(raw))] = dice.choice(b"\r\n\x00: 0aZ")
    reader = Reader(answers=dice.random() < 0.3, most_body=8000)
    try:
        for at in range(0, len(raw), 100):
            reader.feed(raw[at : at + 100])
            while reader.take():
                pass
            assert len(reader.held) < 8000 + 16384 + 100
    except Malformed as fault:
        assert 400 <= fault.status < 600


def test_an_answer_lasts_as_its_head_says():
    reader = Reader(answers=True)
    reader.feed(b"HTTP/1.1 100 Continue\r\n\r\n" + answer(200, body=b"abc") + b"HTTP/1.1 204 No\r\n\r\n")
    assert reader.take().body == b"abc" and reader.take().status == 204
    reader.feed(b"HTTP/1.1 200\r\n\r\nto the end")
    assert reader.take() is None
    message = reader.ended()
    assert message.body == b"to the end" and message.last


def test_a_connection_reset_as_the_call_comes_proves_that_nothing_ran(monkeypatch):
    monkeypatch.setattr("dewpin.net.outbound.HELD", 2.0)  # the far side has all the time

    async def scene():
        outside, heard = await Outside().open(), []
        outside.early = True
        pool = Pool(asyncio.get_running_loop(), 300.0, 15000.0)
        address = outside.servers[0].sockets[0].getsockname()
        pool.send(AttemptRequest(address, b"m", b"", b"x", 5000.0, lambda: 5000.0, heard.append))
        await until(lambda: heard)
        assert heard[0][0] == model.Outcome.DROPPED and heard[0][2] < 1900.0 and not outside.calls
        for one in (outside.agent, *outside.servers, *(c.transport for c in outside.connections)):
            one.close()

    asyncio.run(scene())


def test_a_call_that_has_not_left_is_recalled_or_unreached_and_one_out_is_left_alone():
    async def scene():
        outside, heard = await Outside().open(), {}
        outside.script = lambda call: None
        loop = asyncio.get_running_loop()
        pool = Pool(loop, 300.0, 15000.0)
        shut = socket.create_server(("127.0.0.1", 0), backlog=0)  # its queue fills, and nobody accepts
        filling = [socket.socket() for _ in range(4)]
        for one in filling:
            one.setblocking(False)
            one.connect_ex(shut.getsockname())

        def call(name, address, limit=5000.0):
            def finish(result):
                heard.setdefault(name, result)

            pool.send(AttemptRequest(address, name.encode(), b"", b"x", limit, lambda: 5000.0, finish))

        async def reset(*_):
            raise ConnectionResetError(104, "Connect call failed")

        live = outside.servers[0].sockets[0].getsockname()
        call("late", shut.getsockname())
        call("out", live)
        await until(lambda: "late" in heard)
        assert heard["late"][0] == model.Outcome.CONNECT_FAILED and heard["late"][2] >= 299.0
        call("recalled", shut.getsockname())
        await until(lambda: outside.idents() == [b"out"])
        pool.cancel_unsent(shut.getsockname())
        pool.cancel_unsent(live)
        assert heard["recalled"][0] == model.Outcome.NOT_SENT and "out" not in heard
        create, loop.create_connection = loop.create_connection, reset
        call("reset", shut.getsockname())
        await until(lambda: "reset" in heard)
        assert heard["reset"][0] == model.Outcome.DROPPED  # while it was made: no crash, and no full table
        loop.create_connection = create
        call("timed out", live, 100.0)
        await until(lambda: "timed out" in heard)
        assert heard["timed out"][0] == model.Outcome.TIMED_OUT
        outside.script = lambda call: b"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nhalf"
        call("half", live, 100.0)
        await until(lambda: "half" in heard)  # the first line counts
        assert heard["half"][0] == model.Outcome.DELIVERED and pool.resting == 0 and not pool.opening
        for one in (shut, *filling, outside.agent, *outside.servers, *(c.transport for c in outside.connections)):
            one.close()

    asyncio.run(scene())


@pytest.mark.parametrize("fleet, grace", [(2, 1000.0), (3, 2000.0), (30, 2000.0), (300, 2000.0), (300, 500.0)])
def test_whatever_becomes_of_a_call_for_the_list_the_next_answer_comes_before_the_news_count_as_told(fleet, grace):
    for pushed in (True, False):
        for seed in range(20):
            turns = Turns(fleet, grace, seed, pushed)
            first = turns.first(True), turns.first(False)
            assert not pushed or first == (0.0, 0.0)  # what its agent has counts at once
            broken, refused = [turns.broken() for _ in range(20)], [turns.refused() for _ in range(20)]
            assert max(broken) <= PAUSE and max(refused) <= REFUSED and max(first) <= REFUSED
            silent = WATCH + ANSWER + max(broken)  # from a watch that is never answered to the next call
            again = ANSWER + max(broken)  # and if that one is not answered either
            assert silent + again < FRESH and max(refused) + again < FRESH and max(first) + again < FRESH


@pytest.mark.parametrize("fleet, least", [(40, 2.5), (300, 2.5), (2, 0.0)])
def test_a_fleet_s_calls_for_the_list_are_spread(fleet, least):
    turns = [Turns(fleet, 2000.0, seed, pushed=False) for seed in range(fleet)]
    for new, most in ((True, 3.0), (False, 0.9)):
        first = sorted(one.first(new) for one in turns)
        assert first[-1] <= min(most, 0.1 * fleet)
        assert first[-1] - first[0] >= (least if new else least / 4.0)
        busiest = max(sum(at <= one < at + 0.1 for one in first) for at in first)
        assert busiest <= 3 + 3 * fleet * 0.1 / most
    waits = [[one.refused() for _ in range(12)] for one in turns]
    assert all(max(one) <= 3.0 for one in waits) and len({one[0] for one in waits}) == fleet
    last = [one[-1] for one in waits]
    # calls a second of them all, refused for long: within what discovery takes of one call from each in 2 s
    assert sum(1.0 / wait for wait in last) < max(2.0, fleet / 2.0)
    turns[0].heard()
    assert turns[0].refused() <= min(3.0, 0.1 * fleet)


def test_a_notice_on_a_connection_that_fell_silent_is_told_again_on_another_inside_the_platform_s_slack(monkeypatch):
    pauses, limits = [], []

    async def scene():
        heard, told = [], []

        async def agent(reader, writer):
            while message := await read_message(reader):
                heard.append(message[2])
                if len(heard) > 3:
                    writer.write(reply(204))

        server = await asyncio.start_server(agent, "127.0.0.1", 0)
        notices = Notices(server.sockets[0].getsockname())
        ask, sleep = notices.channel.ask, asyncio.sleep

        def asked(request, limit, connect):
            limits.append((limit, connect))
            return ask(request, limit, connect)

        def slept(seconds):
            pauses.append(seconds)
            return sleep(seconds)

        monkeypatch.setattr(notices.channel, "ask", asked)
        monkeypatch.setattr("dewpin.net.agent.asyncio.sleep", slept)
        notices.publish(b"m", False, 0.0, lambda: told.append(b"m"))
        while not told:
            await sleep(0.005)
        assert len(set(heard)) == 1 and not notices.unacknowledged
        notices.publish(b"n", False, 0.0, lambda: told.append(b"n"))
        while len(told) < 2:
            await sleep(0.005)
        notices.channel.stop()
        server.close()

    asyncio.run(scene())
    assert limits[0] == limits[-1] == (NOTICE, NOTICE)  # the next one begins anew
    # a connection that comes up late, an answer that never comes, and the pause behind it
    assert sum(limits[0]) + pauses[0] < 0.3
    assert [limit for limit, _ in limits[:4]] == [min(NOTICE * 2.0**at, NOTICE_MOST) for at in range(4)]
    assert all(limit / 8.0 <= pause <= 3.0 * limit / 8.0 for (limit, _), pause in zip(limits, pauses, strict=False))
