"""How a client's connection ends: bytes that come in the very moment, and what is read and taken on after it."""

import asyncio
import select
import signal
import socket
from types import SimpleNamespace

import pytest

from dewpin.daemon.graceful_stop import stop_gracefully
from dewpin.net import inbound
from dewpin.net.inbound import Door
from dewpin.net.outbound import Link
from dewpin.ports import Accepted, Deferred
from driver import play, read_message, until

HEAD = (
    b"POST /api HTTP/1.1\r\nReq-Id: %s\r\nReq-Kind: notice\r\nReq-Owner: acme\r\nX-Consignee: dest=7\r\n"
    b"Content-Length: 4\r\n\r\nbody"
)


class Taker:
    """Stands for the relay: takes everything on; `between` happens while it does."""

    is_draining = False

    def __init__(self):
        self.taken, self.between = [], lambda: None

    def submit(self, request):
        if self.is_draining:
            return Deferred(0.0)
        self.taken.append(request.message_id)
        self.between()
        return Accepted()


class Caller:
    """A client's end, which writes at once and in order, also while the loop stands still."""

    def __init__(self, at, door):
        self.socket, self.door = socket.create_connection(at), door

    async def arrive(self, clients):
        await until(lambda: len(self.door.clients) == clients)
        self.client = list(self.door.clients)[-1]
        return self

    def write(self, data):
        """Returns once the bytes wait at the door's side."""
        self.socket.sendall(data)
        watch = select.poll()
        watch.register(self.client.transport.get_extra_info("socket").fileno(), select.POLLIN)
        assert watch.poll(10000)

    async def read(self):
        """What comes until a clean end; ConnectionResetError at another one."""
        held = b""
        while data := await asyncio.wait_for(asyncio.to_thread(self.socket.recv, 65536), 10.0):
            held += data
        return held


def at_door(scene, most=8):
    async def whole():
        taker = Taker()
        door = Door(asyncio.get_running_loop(), taker)
        door.most = most
        at = await door.open("127.0.0.1", 0)
        callers = []

        async def connect():
            callers.append(Caller(at, door))
            return await callers[-1].arrive(len(callers))

        try:
            await asyncio.wait_for(scene(door, taker, connect), 30.0)
        finally:
            for one in callers:
                one.socket.close()
            door.close()

    asyncio.run(whole())


async def rested(connect, ident=b"a"):
    """A connection that was answered and rests."""
    one = await connect()
    one.write(HEAD % ident)
    await until(lambda: one.client.asked)
    assert b" 202 " in await asyncio.to_thread(one.socket.recv, 65536)
    return one


def test_small_writes_are_not_held_back_on_either_side():
    async def scene(door, taker, connect):
        one = await connect()
        loop = asyncio.get_running_loop()
        _, link = await loop.create_connection(lambda: Link(65536), *one.socket.getpeername())
        for transport in (one.client.transport, link.transport):
            held = transport.get_extra_info("socket")
            assert held.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        link.transport.abort()

    at_door(scene)


def test_a_request_that_comes_as_a_stop_closes_what_rests_is_answered():
    async def scene(door, taker, connect):
        one, other = await rested(connect), await rested(connect, b"b")
        one.write(HEAD % b"crosses")  # it waits unread
        taker.is_draining = True
        door.stop()
        answer = await one.read()
        assert answer.startswith(b"HTTP/1.1 503") and b"Connection: close" in answer
        assert await other.read() == b""
        assert taker.taken == [b"a", b"b"]

    at_door(scene)


def test_a_request_that_comes_as_resting_connections_make_room_is_answered():
    async def scene(door, taker, connect):
        door.rest = 0.0
        one, other = await rested(connect), await rested(connect, b"b")
        one.write(HEAD % b"crosses")
        assert door._make_room(2) is False and one.client in door.clients
        assert b" 202 " in await asyncio.to_thread(one.socket.recv, 65536)
        assert await other.read() == b"" and taker.taken == [b"a", b"b", b"crosses"]

    at_door(scene)


def test_a_first_request_that_comes_as_silent_connections_make_room_is_answered(monkeypatch):
    async def scene(door, taker, connect):
        one = await connect()
        one.write(HEAD % b"late")  # it waits unread
        door.most = 0
        monkeypatch.setattr(inbound, "MUTE", 0.0)
        door._make_room(1)
        assert b" 202 " in await one.read() and taker.taken == [b"late"]

    at_door(scene)


def test_what_comes_behind_the_last_answer_neither_resets_it_nor_is_taken_on():
    async def scene(door, taker, connect):
        one = await rested(connect)
        door.part()  # each connection ends with its next answer
        taker.between = lambda: one.write(HEAD % b"behind")
        one.write(HEAD % b"last")
        answer = await one.read()
        assert answer.startswith(b"HTTP/1.1 202") and answer.count(b"HTTP/1.1") == 1
        one.socket.sendall(HEAD % b"after")  # its end was seen, and it writes nevertheless
        one.socket.close()
        await until(lambda: not door.clients)
        assert taker.taken == [b"a", b"last"] and not door.lingering

    at_door(scene)


def test_an_end_that_no_client_answers_is_waited_for_no_longer_than_a_bound():
    async def scene(door, taker, connect):
        one = await rested(connect)
        door.part()
        one.write(HEAD % b"last")
        await until(lambda: one.client.closing)
        assert one.client in door.lingering
        await until(lambda: not door.clients)  # its own end never comes
        assert not door.lingering and b" 202 " in await one.read()

    at_door(scene)


def test_connections_whose_end_is_waited_for_give_way_to_new_ones(monkeypatch):
    monkeypatch.setattr(inbound, "LINGER", 20.0)

    async def scene(door, taker, connect):
        one, other = await rested(connect), await rested(connect, b"b")
        for at in (one, other):
            at.client.end()
        assert len(door.lingering) == 2
        third = socket.create_connection(one.socket.getpeername())
        await until(lambda: one.client not in door.clients)
        assert other.client in door.lingering and len(door.clients) == 2
        third.sendall(HEAD % b"c")
        assert b" 202 " in await asyncio.to_thread(third.recv, 65536)
        third.close()

    at_door(scene, most=2)


def test_a_connection_that_only_the_system_has_accepted_is_answered_before_a_stop_ends():
    class Notices:
        """A connection comes as the stop looks whether all is done."""

        at = caller = None

        @property
        def unacknowledged(self):
            if not self.caller:
                self.caller = socket.create_connection(self.at)
                self.caller.sendall(HEAD % b"a")
            return {}

    async def scene(door, taker, connect):
        notices = Notices()
        notices.at = door.listener.getsockname()
        taker.attempts_in_flight, deployment = (
            0,
            SimpleNamespace(
                stop=SimpleNamespace(start_attempts_ms=0.0, end_ms=10000.0), sender=SimpleNamespace(name="n0")
            ),
        )
        await stop_gracefully(taker, door, notices, deployment)
        assert not door.queued()
        assert b" 503 " in await asyncio.to_thread(notices.caller.recv, 65536)
        notices.caller.close()

    at_door(scene)


@pytest.mark.parametrize("twice", [False, True])
def test_what_queued_up_while_the_sender_stood_still_is_answered_by_a_stop(tmp_path, twice):
    async def scene(outside, sender):
        sender.told["stop"] = {"sends_ms": 100.0, "ends_ms": 10000.0}
        await sender.start()
        resting = await sender.connect()
        await sender.hand_in("a", connection=resting)
        half, request = await sender.connect(), HEAD % b"c"
        half[1].write(request[:40])
        await sender.ask(b"GET /-/ready HTTP/1.1\r\n\r\n")
        sender.process.send_signal(signal.SIGSTOP)
        resting[1].write(HEAD % b"b")
        half[1].write(request[40:])
        new = [await sender.connect() for _ in range(20)]  # accepted by the system alone
        for at, one in enumerate(new):
            one[1].write(HEAD % b"n%d" % at)
        silent = await sender.connect()
        for _ in range(2 if twice else 1):
            sender.process.send_signal(signal.SIGTERM)
        sender.process.send_signal(signal.SIGCONT)
        for reader, writer in (resting, half, *new):
            message = await asyncio.wait_for(read_message(reader), 10.0)
            assert int(message[0].split()[1]) in (202, 503)
            assert await asyncio.wait_for(reader.read(), 10.0) == b""
            writer.close()
        silent[1].close()
        assert await asyncio.wait_for(sender.process.wait(), 10.0) == 0

    play(tmp_path, scene, start=False)
