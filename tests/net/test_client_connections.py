"""Closing of clients' connections: requests that arrive at the same moment must be answered or not be accepted."""

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
from driver import read_message, run_scenario, wait_until

REQUEST = (
    b"POST /api HTTP/1.1\r\nReq-Id: %s\r\nReq-Kind: notice\r\nReq-Owner: acme\r\nX-Consignee: dest=7\r\n"
    b"Content-Length: 4\r\n\r\nbody"
)


class AcceptingRelay:
    """A relay that accepts every message and calls `on_accept` meanwhile."""

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
    """A client with a blocking socket, which can write while the event loop is blocked."""

    def __init__(self, address, server):
        self.socket, self.server = socket.create_connection(address), server

    async def wait_until_accepted(self, connection_count):
        await wait_until(lambda: len(self.server.clients) == connection_count)
        self.server_side = list(self.server.clients)[-1]
        return self

    def write(self, data):
        """Return once the bytes are pending at the server's socket."""
        self.socket.sendall(data)
        poller = select.poll()
        poller.register(self.server_side.transport.get_extra_info("socket").fileno(), select.POLLIN)
        assert poller.poll(10000)

    async def read(self):
        """Return the bytes until the end of the stream. Raises ConnectionResetError if the connection is reset."""
        received = b""
        while data := await asyncio.wait_for(asyncio.to_thread(self.socket.recv, 65536), 10.0):
            received += data
        return received


def run_with_server(scenario, max_connections=8):
    async def run():
        relay = AcceptingRelay()
        server = HttpServer(asyncio.get_running_loop(), relay)
        server.limits.max_connections = max_connections
        address = await server.open("127.0.0.1", 0)
        clients = []

        async def connect():
            clients.append(Client(address, server))
            return await clients[-1].wait_until_accepted(len(clients))

        try:
            await asyncio.wait_for(scenario(server, relay, connect), 30.0)
        finally:
            for client in clients:
                client.socket.close()
            server.close()

    asyncio.run(run())


async def connect_idle_client(connect, message_id=b"a"):
    """Return a client that has received a response and whose connection is idle."""
    client = await connect()
    client.write(REQUEST % message_id)
    await wait_until(lambda: client.server_side.has_sent_request)
    assert b" 202 " in await asyncio.to_thread(client.socket.recv, 65536)
    return client


def test_small_writes_are_not_delayed_on_either_side():
    async def scenario(server, relay, connect):
        client = await connect()
        loop = asyncio.get_running_loop()
        _, connection = await loop.create_connection(lambda: Connection(65536), *client.socket.getpeername())
        for transport in (client.server_side.transport, connection.transport):
            tcp_socket = transport.get_extra_info("socket")
            assert tcp_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        connection.transport.abort()

    run_with_server(scenario)


def test_request_that_arrives_while_a_stop_closes_idle_connections_is_answered():
    async def scenario(server, relay, connect):
        client, other_client = await connect_idle_client(connect), await connect_idle_client(connect, b"b")
        client.write(REQUEST % b"crosses")  # stays unread until after the stop
        relay.is_draining = True
        server.stop()
        response = await client.read()
        assert response.startswith(b"HTTP/1.1 503") and b"Connection: close" in response
        assert await other_client.read() == b""
        assert relay.accepted == [b"a", b"b"]

    run_with_server(scenario)


def test_request_that_arrives_during_eviction_of_idle_connections_is_answered():
    async def scenario(server, relay, connect):
        server.limits.min_idle_seconds = 0.0
        client, other_client = await connect_idle_client(connect), await connect_idle_client(connect, b"b")
        client.write(REQUEST % b"crosses")
        assert server.connections.evict(2) is False and client.server_side in server.clients
        assert b" 202 " in await asyncio.to_thread(client.socket.recv, 65536)
        assert await other_client.read() == b"" and relay.accepted == [b"a", b"b", b"crosses"]

    run_with_server(scenario)


def test_first_request_that_arrives_during_eviction_of_silent_connections_is_answered(monkeypatch):
    async def scenario(server, relay, connect):
        client = await connect()
        client.write(REQUEST % b"late")  # stays unread until after the eviction
        server.limits.max_connections = 0
        monkeypatch.setattr(connection_table, "MIN_SILENT_SECONDS", 0.0)
        server.connections.evict(1)
        assert b" 202 " in await client.read() and relay.accepted == [b"late"]

    run_with_server(scenario)


def test_bytes_after_the_last_request_neither_reset_the_connection_nor_are_accepted():
    async def scenario(server, relay, connect):
        client = await connect_idle_client(connect)
        server.drain()  # closes each connection after its next response
        relay.on_accept = lambda: client.write(REQUEST % b"behind")
        client.write(REQUEST % b"last")
        response = await client.read()
        assert response.startswith(b"HTTP/1.1 202") and response.count(b"HTTP/1.1") == 1
        client.socket.sendall(REQUEST % b"after")  # the client writes although the server has closed its side
        client.socket.close()
        await wait_until(lambda: not server.clients)
        assert relay.accepted == [b"a", b"last"] and not server.connections.lingering

    run_with_server(scenario)


def test_lingering_close_ends_if_the_client_never_closes_its_side():
    async def scenario(server, relay, connect):
        client = await connect_idle_client(connect)
        server.drain()
        client.write(REQUEST % b"last")
        await wait_until(lambda: client.server_side.is_closing)
        assert client.server_side in server.connections.lingering
        await wait_until(lambda: not server.clients)  # the client does not close its side
        assert not server.connections.lingering and b" 202 " in await client.read()

    run_with_server(scenario)


def test_lingering_connections_are_closed_in_favour_of_new_ones(monkeypatch):
    monkeypatch.setattr(connection_table, "LINGER_SECONDS", 20.0)

    async def scenario(server, relay, connect):
        client, other_client = await connect_idle_client(connect), await connect_idle_client(connect, b"b")
        for closing in (client, other_client):
            closing.server_side.close_gracefully()
        assert len(server.connections.lingering) == 2
        new_socket = socket.create_connection(client.socket.getpeername())
        await wait_until(lambda: client.server_side not in server.clients)
        assert other_client.server_side in server.connections.lingering and len(server.clients) == 2
        new_socket.sendall(REQUEST % b"c")
        assert b" 202 " in await asyncio.to_thread(new_socket.recv, 65536)
        new_socket.close()

    run_with_server(scenario, max_connections=2)


def test_connection_in_the_accept_queue_is_answered_before_a_stop_ends():
    class Notices:
        """Opens a connection with a request when the stop checks whether it is complete."""

        address = client_socket = None

        @property
        def unacknowledged(self):
            if not self.client_socket:
                self.client_socket = socket.create_connection(self.address)
                self.client_socket.sendall(REQUEST % b"a")
            return {}

    async def scenario(server, relay, connect):
        notices = Notices()
        notices.address = server.listener.getsockname()
        relay.attempts_in_flight, deployment = (
            0,
            SimpleNamespace(
                stop=SimpleNamespace(start_attempts_ms=0.0, end_ms=10000.0), sender=SimpleNamespace(name="n0")
            ),
        )
        await stop_gracefully(relay, server, notices, deployment)
        assert not server.has_queued_connections()
        assert b" 503 " in await asyncio.to_thread(notices.client_socket.recv, 65536)
        notices.client_socket.close()

    run_with_server(scenario)


@pytest.mark.parametrize("twice", [False, True])
def test_requests_queued_while_the_sender_was_suspended_are_answered_during_a_stop(tmp_path, twice):
    async def scenario(platform, sender):
        sender.config["stop"] = {"sends_ms": 100.0, "ends_ms": 10000.0}
        await sender.start()
        idle = await sender.connect()
        await sender.submit("a", connection=idle)
        partial, request = await sender.connect(), REQUEST % b"c"
        partial[1].write(request[:40])
        await sender.exchange(b"GET /-/ready HTTP/1.1\r\n\r\n")
        sender.process.send_signal(signal.SIGSTOP)
        idle[1].write(REQUEST % b"b")
        partial[1].write(request[40:])
        new = [await sender.connect() for _ in range(20)]  # accepted by the kernel only
        for number, connection in enumerate(new):
            connection[1].write(REQUEST % b"n%d" % number)
        silent = await sender.connect()
        for _ in range(2 if twice else 1):
            sender.process.send_signal(signal.SIGTERM)
        sender.process.send_signal(signal.SIGCONT)
        for reader, writer in (idle, partial, *new):
            message = await asyncio.wait_for(read_message(reader), 10.0)
            assert int(message[0].split()[1]) in (202, 503)
            assert await asyncio.wait_for(reader.read(), 10.0) == b""
            writer.close()
        silent[1].close()
        assert await asyncio.wait_for(sender.process.wait(), 10.0) == 0

    run_scenario(tmp_path, scenario, start=False)
