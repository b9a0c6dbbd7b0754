"""One call each, on a real connection, to a receiver that acts at a given byte of it."""

import asyncio
import socket
import struct
import threading

import pytest

from dewpin.core import model
from dewpin.net import outbound
from dewpin.net.outbound import Pool
from dewpin.ports import AttemptRequest
from driver import reply, until

OK = reply(200)


class Far:
    """A receiver's end of one connection after another, in the hand of a test."""

    def __init__(self):
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.setblocking(False)
        self.address = (*self.server.getsockname(), b"r")
        self.loop = asyncio.get_running_loop()
        self.connections = []

    async def accept(self):
        self.connections.append((await self.loop.sock_accept(self.server))[0])
        return self.connections[-1]

    async def read(self, one, end):
        """Reads until the bytes that came end so."""
        held = b""
        while not held.endswith(end):
            held += (await self.loop.sock_recv(one, 65536)) or b"closed" + end
        return held

    def reset(self, one):
        one.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        one.close()

    def close(self):
        for one in (self.server, *self.connections):
            one.close()


def play(scene):
    async def whole():
        far, pool = Far(), Pool(asyncio.get_running_loop(), 1000.0, 15000.0)
        heard = []

        def call(limit=5000.0, body=b"body"):
            pool.send(AttemptRequest(far.address, b"m", b"", body, limit, lambda: 5000.0, heard.append))

        try:
            await asyncio.wait_for(scene(far, pool, call, heard), 30.0)
        finally:
            pool.close()
            far.close()

    asyncio.run(whole())


@pytest.mark.parametrize(
    "sent, outcome",
    [
        (b"HTTP/1.1 200 O", model.Outcome.RESET),
        (b"HTTP/1.1 200 OK\r", model.Outcome.RESET),
        (b"HTTP/1.1 200", model.Outcome.RESET),
        (b"HTTP/1.1 200 OK\r\n", model.Outcome.DELIVERED),
        (b"HTTP/1.1 200\r\n", model.Outcome.DELIVERED),
        (b"HTTP/1.1 20\r\n\r\nHTTP/1.1 200 OK\r\nx", model.Outcome.ERROR),
    ],
)
def test_only_a_whole_first_line_says_that_a_call_was_delivered(sent, outcome):
    async def scene(far, pool, call, heard):
        call()
        one = await far.accept()
        await far.read(one, b"body")
        await far.loop.sock_sendall(one, sent)
        one.shutdown(socket.SHUT_WR)
        await until(lambda: heard)
        assert heard[0][0] == outcome and not pool.resting

    play(scene)


@pytest.mark.parametrize("stray", [OK, reply(500), reply(410), b"HTTP/1.1 200 O", b"\x00noise\r\n\r\n"])
def test_what_an_earlier_answer_left_behind_is_no_answer_to_the_next_call(monkeypatch, stray):
    async def scene(far, pool, call, heard):
        call()
        one = await far.accept()
        await far.read(one, b"body")
        await far.loop.sock_sendall(one, OK)
        await until(lambda: heard and pool.resting)
        monkeypatch.setattr(outbound, "HELD", 3.0)  # the far side has all the time
        call(body=b"next")
        await far.read(one, b"nex")
        await far.loop.sock_sendall(one, stray)
        await until(lambda: len(heard) == 2)
        assert heard[1][0] == model.Outcome.DROPPED and heard[1][2] < 4900.0 and not heard[1][4] and not pool.resting
        assert not await asyncio.wait_for(far.read(one, b"closed"), 5.0) == b"t"  # its last byte never left

    play(scene)


@pytest.mark.parametrize(
    "early, outcome, told",
    [
        (reply(429, b"Retry-After: 0.7"), model.Outcome.REJECTED, 700.0),
        (reply(503), model.Outcome.REJECTED, 0.0),
        (OK, model.Outcome.DROPPED, 0.0),
    ],
)
def test_an_answer_that_waits_unread_when_the_last_byte_is_due_is_read_first(monkeypatch, early, outcome, told):
    async def scene(far, pool, call, heard):
        arrived, written = threading.Event(), threading.Event()

        def receiver():
            one = socket.create_connection(relay.getsockname())
            arrived.wait(10.0)
            one.sendall(early)
            written.set()

        # the connection's far end is a thread's, so that it goes on while the loop stands still
        relay = socket.create_server(("127.0.0.1", 0))
        thread = threading.Thread(target=receiver)
        thread.start()
        near, _ = relay.accept()
        transport, link = await far.loop.create_connection(lambda: outbound.Link(65536, 0.25), sock=near)
        pool.rest(far.address, link)
        monkeypatch.setattr(outbound, "HELD", 0.05)

        def between():  # in the loop's turn in which the last byte is due, after it has looked for news
            arrived.set()
            written.wait(10.0)
            assert link.heard_from()

        call()
        far.loop.call_at(link.held.when() - 0.0001, between)
        while far.loop.time() < link.held.when() - 0.002:  # both timers are due in one turn
            await asyncio.sleep(0)
        blocked = link.held.when() + 0.002
        while far.loop.time() < blocked:
            pass
        await until(lambda: heard)
        assert heard[0][:2] == (outcome, told)
        thread.join()
        relay.close()

    play(scene)


def test_an_interim_answer_in_pieces_starts_no_clock_for_the_answer(monkeypatch):
    async def scene(far, pool, call, heard):
        monkeypatch.setattr(outbound, "WHOLE", 0.05)
        call()
        one = await far.accept()
        await far.read(one, b"body")
        await far.loop.sock_sendall(one, b"HTTP/1.1 103 Early")
        await until(lambda: links[-1].reader.begun() is not None)
        await far.loop.sock_sendall(one, b" Hints\r\n\r\n")
        await until(lambda: links[-1].reader.begun() is None)
        began_at = far.loop.time()
        await until(lambda: far.loop.time() > began_at + 0.2)
        assert not heard
        await far.loop.sock_sendall(one, OK)
        await until(lambda: heard)
        assert heard[0][0] == model.Outcome.DELIVERED

    links = []
    make = outbound.Link.connection_made
    monkeypatch.setattr(
        outbound.Link, "connection_made", lambda link, transport: (links.append(link), make(link, transport))[1]
    )
    play(scene)


def test_a_time_out_does_not_overtake_an_answer_that_has_come():
    async def scene(far, pool, call, heard):
        call(limit=200.0)
        one = await far.accept()
        await far.read(one, b"body")
        due = far.loop.time() + 0.2  # the call's limit is due before that

        def between():  # in the loop's turn in which the time-out is due, after it has looked for news
            one.setblocking(True)
            one.sendall(OK)
            assert links[-1].heard_from()

        far.loop.call_at(limits[-1].when() - 0.0001, between)
        while far.loop.time() < limits[-1].when() - 0.002:
            await asyncio.sleep(0)
        while far.loop.time() < due + 0.002:
            pass
        await until(lambda: heard)
        assert heard[0][0] == model.Outcome.DELIVERED

    limits, links = [], []
    make, made = outbound.Call.__init__, outbound.Link.connection_made

    def watched(self, *rest):
        make(self, *rest)
        limits.append(self.limit)

    patch = pytest.MonkeyPatch()
    patch.setattr(outbound.Call, "__init__", watched)
    patch.setattr(
        outbound.Link, "connection_made", lambda link, transport: (links.append(link), made(link, transport))[1]
    )
    try:
        play(scene)
    finally:
        patch.undo()


def test_a_pool_that_keeps_none_gives_each_connection_back():
    async def scene(far, pool, call, heard):
        pool.most_idle = 0
        call()
        one = await far.accept()
        await far.read(one, b"body")
        await far.loop.sock_sendall(one, OK)
        await until(lambda: heard)
        assert not pool.resting and await asyncio.wait_for(far.loop.sock_recv(one, 1), 5.0) == b""

    play(scene)
