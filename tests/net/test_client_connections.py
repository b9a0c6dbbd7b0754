"""How a client's connection ends: bytes that arrive in the very moment, and what is read and accepted after it."""

import asyncio
import select
import signal
import socket
from types import SimpleNamespace

import pytest

from dewpin.daemon.graceful_stop import stop_gracefully
from dewpin.net import connection_table
from dewpin.net.connection import Connection
from dewpin.net.server import HttpServer
from dewpin.ports import Accepted, Deferred
from driver import play, read_message, until

HEAD = (
    b"POST /api HTTP/1.1\r\nReq-Id: %s\r\nReq-Kind: notice\r\nReq-Owner: acme\r\nX-Consignee: dest=7\r\n"
    b"Content-Length: 4\r\n\r\nbody"
)


class AcceptingRelay:
    """Stands for the relay: accepts everything; `on_accept` is called while it does."""

    is_draining = False

    def __init__(self):
        self.accepted, self.on_accept = [], lambda: None

    def submit(self, request):
        if self.is_draining:
            return Deferred(0.0)
        self.accepted.append(request.message_id)
        self.on_accept()
        return Accepted()


class Client:
    """A client's end, which writes at once and in order, also while the loop stands still."""

    def __init__(self, at, server):
        self.socket, self.server = socket.create_connection(at), server

    async def wait_until_accepted(self, connection_count):
        await until(lambda: len(self.server.clients) == connection_count)
        self.server_side = list(self.server.clients)[-1]
        return self

    def write(self, data):
        """Return once the bytes wait at the server's side."""
        self.socket.sendall(data)
        watch = select.poll()
        watch.register(self.server_side.transport.get_extra_info("socket").fileno(), select.POLLIN)
        assert watch.poll(10000)

    async def read(self):
        """Return what arrives until a clean end; ConnectionResetError at another one."""
        held = b""
        while data := await asyncio.wait_for(asyncio.to_thread(self.socket.recv, 65536), 10.0):
            held += data
        return held


def play_at_server(scene, max_connections=8):
    async def whole():
        relay = AcceptingRelay()
        server = HttpServer(asyncio.get_running_loop(), relay)
        server.limits.max_connections = max_connections
        at = await server.open("127.0.0.1", 0)
        clients = []

        async def connect():
            clients.append(Client(at, server))
            return await clients[-1].wait_until_accepted(len(clients))

        try:
            await asyncio.wait_for(scene(server, relay, connect), 30.0)
        finally:
            for client in clients:
                client.socket.close()
            server.close()

    asyncio.run(whole())


async def answered_connection(connect, ident=b"a"):
    """A connection that was answered and is idle."""
    one = await connect()
    one.write(HEAD % ident)
    await until(lambda: one.server_side.has_sent_request)
    assert b" 202 " in await asyncio.to_thread(one.socket.recv, 65536)
    return one


def test_small_writes_are_not_delayed_on_either_side():
    async def scene(server, relay, connect):
        one = await connect()
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(lambda: Connection(65536), *one.socket.getpeername())
        for transport in (one.server_side.transport, connection.transport):
            held = transport.get_extra_info("socket")
            assert held.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        connection.transport.abort()

    play_at_server(scene)


def test_a_request_that_arrives_as_a_stop_ends_idle_connections_is_answered():
    async def scene(server, relay, connect):
        one, other = await answered_connection(connect), await answered_connection(connect, b"b")
        one.write(HEAD % b"crosses")  # it waits unread
        relay.is_draining = True
        server.stop()
        answer = await one.read()
        assert answer.startswith(b"HTTP/1.1 503") and b"Connection: close" in answer
        assert await other.read() == b""
        assert relay.accepted == [b"a", b"b"]

    play_at_server(scene)


def test_a_request_that_arrives_as_idle_connections_make_room_is_answered():
    async def scene(server, relay, connect):
        server.limits.min_idle_seconds = 0.0
        one, other = await answered_connection(connect), await answered_connection(connect, b"b")
        one.write(HEAD % b"crosses")
        assert server.connections.make_room(2) is False and one.server_side in server.clients
        assert b" 202 " in await asyncio.to_thread(one.socket.recv, 65536)
        assert await other.read() == b"" and relay.accepted == [b"a", b"b", b"crosses"]

    play_at_server(scene)


def test_a_first_request_that_arrives_as_silent_connections_make_room_is_answered(monkeypatch):
    async def scene(server, relay, connect):
        one = await connect()
        one.write(HEAD % b"late")  # it waits unread
        server.limits.max_connections = 0
        monkeypatch.setattr(connection_table, "SILENT_SECONDS", 0.0)
        server.connections.make_room(1)
        assert b" 202 " in await one.read() and relay.accepted == [b"late"]

    play_at_server(scene)


def test_what_follows_the_last_response_neither_resets_it_nor_is_accepted():
    async def scene(server, relay, connect):
        one = await answered_connection(connect)
        server.drain()  # each connection ends with its next answer
        relay.on_accept = lambda: one.write(HEAD % b"behind")
        one.write(HEAD % b"last")
        answer = await one.read()
        assert answer.startswith(b"HTTP/1.1 202") and answer.count(b"HTTP/1.1") == 1
        one.socket.sendall(HEAD % b"after")  # its end was seen, and it writes nevertheless
        one.socket.close()
        await until(lambda: not server.clients)
        assert relay.accepted == [b"a", b"last"] and not server.connections.lingering

    play_at_server(scene)


def test_a_lingering_close_is_bounded_where_the_client_never_ends_its_side():
    async def scene(server, relay, connect):
        one = await answered_connection(connect)
        server.drain()
        one.write(HEAD % b"last")
        await until(lambda: one.server_side.is_closing)
        assert one.server_side in server.connections.lingering
        await until(lambda: not server.clients)  # its own end never comes
        assert not server.connections.lingering and b" 202 " in await one.read()

    play_at_server(scene)


def test_lingering_connections_give_way_to_new_ones(monkeypatch):
    monkeypatch.setattr(connection_table, "LINGER_SECONDS", 20.0)

    async def scene(server, relay, connect):
        one, other = await answered_connection(connect), await answered_connection(connect, b"b")
        for at in (one, other):
            at.server_side.end()
        assert len(server.connections.lingering) == 2
        third = socket.create_connection(one.socket.getpeername())
        await until(lambda: one.server_side not in server.clients)
        assert other.server_side in server.connections.lingering and len(server.clients) == 2
        third.sendall(HEAD % b"c")
        assert b" 202 " in await asyncio.to_thread(third.recv, 65536)
        third.close()

    play_at_server(scene, max_connections=2)


def test_a_connection_that_only_the_kernel_has_accepted_is_answered_before_a_stop_ends():
    class Notices:
        """A connection comes as the stop looks whether all is done."""

        at = caller = None

        @property
        def unacknowledged(self):
            if not self.caller:
                self.caller = socket.create_connection(self.at)
                self.caller.sendall(HEAD % b"a")
            return {}

    async def scene(server, relay, connect):
        notices = Notices()
        notices.at = server.listener.getsockname()
        relay.attempts_in_flight, deployment = (
            0,
            SimpleNamespace(
                stop=SimpleNamespace(start_attempts_ms=0.0, end_ms=10000.0), sender=SimpleNamespace(name="n0")
            ),
        )
        await stop_gracefully(relay, server, notices, deployment)
        assert not server.has_queued_connections()
        assert b" 503 " in await asyncio.to_thread(notices.caller.recv, 65536)
        notices.caller.close()

    play_at_server(scene)


@pytest.mark.parametrize("twice", [False, True])
def test_what_queued_up_while_the_sender_was_suspended_is_answered_by_a_stop(tmp_path, twice):
    async def scene(outside, sender):
        sender.told["stop"] = {"sends_ms": 100.0, "ends_ms": 10000.0}
        await sender.start()
        idle = await sender.connect()
        await sender.hand_in("a", connection=idle)
        half, request = await sender.connect(), HEAD % b"c"
        half[1].write(request[:40])
        await sender.ask(b"GET /-/ready HTTP/1.1\r\n\r\n")
        sender.process.send_signal(signal.SIGSTOP)
        idle[1].write(HEAD % b"b")
        half[1].write(request[40:])
        new = [await sender.connect() for _ in range(20)]  # accepted by the kernel alone
        for at, one in enumerate(new):
            one[1].write(HEAD % b"n%d" % at)
        silent = await sender.connect()
        for _ in range(2 if twice else 1):
            sender.process.send_signal(signal.SIGTERM)
        sender.process.send_signal(signal.SIGCONT)
        for reader, writer in (idle, half, *new):
            message = await asyncio.wait_for(read_message(reader), 10.0)
            assert int(message[0].split()[1]) in (202, 503)
            assert await asyncio.wait_for(reader.read(), 10.0) == b""
            writer.close()
        silent[1].close()
        assert await asyncio.wait_for(sender.process.wait(), 10.0) == 0

    play(tmp_path, scene, start=False)
