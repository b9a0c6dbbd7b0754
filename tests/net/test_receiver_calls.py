"""Calls over real connections to a receiver that responds, resets or closes at a given byte of the request."""

import asyncio
import socket
import struct
import threading

import pytest

from dewpin.core.model import Outcome
from dewpin.net import call as call_module
from dewpin.net.call import Call
from dewpin.net.connection import Connection
from dewpin.net.connection_pool import ConnectionPool
from dewpin.ports import AttemptRequest
from driver import reply, wait_until

OK = reply(200)


class ScriptedReceiver:
    """A receiver whose connections a test reads and writes step by step."""

    def __init__(self):
        self.server = socket.create_server(("127.0.0.1", 0))
        self.server.setblocking(False)
        self.address = (*self.server.getsockname(), b"r")
        self.loop = asyncio.get_running_loop()
        self.connections = []

    async def accept(self):
        self.connections.append((await self.loop.sock_accept(self.server))[0])
        return self.connections[-1]

    async def read(self, accepted, end):
        """Return the received bytes once they end with `end`."""
        received = b""
        while not received.endswith(end):
            received += (await self.loop.sock_recv(accepted, 65536)) or b"closed" + end
        return received

    def reset(self, accepted):
        accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        accepted.close()

    def close(self):
        for open_socket in (self.server, *self.connections):
            open_socket.close()


def run_scenario(scenario):
    async def run():
        receiver, pool = ScriptedReceiver(), ConnectionPool(asyncio.get_running_loop(), 1000.0, 15000.0)
        results = []

        def call(timeout_ms=5000.0, body=b"body"):
            pool.send(AttemptRequest(receiver.address, b"m", b"", body, timeout_ms, lambda: 5000.0, results.append))

        try:
            await asyncio.wait_for(scenario(receiver, pool, call, results), 30.0)
        finally:
            pool.close()
            receiver.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    "sent, outcome",
    [
        (b"HTTP/1.1 200 O", Outcome.RESET),
        (b"HTTP/1.1 200 OK\r", Outcome.RESET),
        (b"HTTP/1.1 200", Outcome.RESET),
        (b"HTTP/1.1 200 OK\r\n", Outcome.DELIVERED),
        (b"HTTP/1.1 200\r\n", Outcome.DELIVERED),
        (b"HTTP/1.1 20\r\n\r\nHTTP/1.1 200 OK\r\nx", Outcome.ERROR),
    ],
)
def test_only_a_complete_status_line_proves_that_a_call_was_delivered(sent, outcome):
    async def scenario(receiver, pool, call, results):
        call()
        accepted = await receiver.accept()
        await receiver.read(accepted, b"body")
        await receiver.loop.sock_sendall(accepted, sent)
        accepted.shutdown(socket.SHUT_WR)
        await wait_until(lambda: results)
        assert results[0].outcome == outcome and not pool.idle_count

    run_scenario(scenario)


@pytest.mark.parametrize("stray", [OK, reply(500), reply(410), b"HTTP/1.1 200 O", b"\x00noise\r\n\r\n"])
def test_bytes_left_over_from_an_earlier_response_are_not_a_response_to_the_next_call(monkeypatch, stray):
    async def scenario(receiver, pool, call, results):
        call()
        accepted = await receiver.accept()
        await receiver.read(accepted, b"body")
        await receiver.loop.sock_sendall(accepted, OK)
        await wait_until(lambda: results and pool.idle_count)
        monkeypatch.setattr(call_module, "LAST_BYTE_HOLD_SECONDS", 3.0)  # long enough for the receiver to respond
        call(body=b"next")
        await receiver.read(accepted, b"nex")
        await receiver.loop.sock_sendall(accepted, stray)
        await wait_until(lambda: len(results) == 2)
        assert results[1].outcome == Outcome.DROPPED and results[1].duration_ms < 4900.0
        assert not results[1].is_withdrawn and not pool.idle_count
        assert not await asyncio.wait_for(receiver.read(accepted, b"closed"), 5.0) == b"t"  # last byte was not sent

    run_scenario(scenario)


@pytest.mark.parametrize(
    "early, outcome, retry_after_ms",
    [
        (reply(429, b"Retry-After: 0.7"), Outcome.REJECTED, 700.0),
        (reply(503), Outcome.REJECTED, 0.0),
        (OK, Outcome.DROPPED, 0.0),
    ],
)
def test_response_that_is_unread_when_the_last_byte_is_due_is_read_first(monkeypatch, early, outcome, retry_after_ms):
    async def scenario(receiver, pool, call, results):
        arrived, written = threading.Event(), threading.Event()

        def respond():
            sending = socket.create_connection(server.getsockname())
            arrived.wait(10.0)
            sending.sendall(early)
            written.set()

        # the remote side of the connection runs in a thread, so that it continues while the loop is blocked
        server = socket.create_server(("127.0.0.1", 0))
        thread = threading.Thread(target=respond)
        thread.start()
        local_socket, _ = server.accept()
        transport, connection = await receiver.loop.create_connection(
            lambda: Connection(65536, 0.25), sock=local_socket
        )
        pool.keep_idle(receiver.address, connection)
        monkeypatch.setattr(call_module, "LAST_BYTE_HOLD_SECONDS", 0.05)

        def before_timers():  # runs when the last byte is due, after the loop has polled its sockets
            arrived.set()
            written.wait(10.0)
            assert connection.has_pending_input()

        call()
        receiver.loop.call_at(connection._last_byte_timer.when() - 0.0001, before_timers)
        while receiver.loop.time() < connection._last_byte_timer.when() - 0.002:  # both timers run in one iteration
            await asyncio.sleep(0)
        blocked_until = connection._last_byte_timer.when() + 0.002
        while receiver.loop.time() < blocked_until:
            pass
        await wait_until(lambda: results)
        assert (results[0].outcome, results[0].retry_after_ms) == (outcome, retry_after_ms)
        thread.join()
        server.close()

    run_scenario(scenario)


def test_fragmented_interim_response_does_not_start_the_response_timeout(monkeypatch):
    async def scenario(receiver, pool, call, results):
        monkeypatch.setattr(call_module, "RESPONSE_TIMEOUT_SECONDS", 0.05)
        call()
        accepted = await receiver.accept()
        await receiver.read(accepted, b"body")
        await receiver.loop.sock_sendall(accepted, b"HTTP/1.1 103 Early")
        await wait_until(lambda: connections[-1].parser.has_partial_message)
        await receiver.loop.sock_sendall(accepted, b" Hints\r\n\r\n")
        await wait_until(lambda: not connections[-1].parser.has_partial_message)
        interim_ended_at = receiver.loop.time()
        await wait_until(lambda: receiver.loop.time() > interim_ended_at + 0.2)
        assert not results
        await receiver.loop.sock_sendall(accepted, OK)
        await wait_until(lambda: results)
        assert results[0].outcome == Outcome.DELIVERED

    connections = []
    connection_made = Connection.connection_made
    monkeypatch.setattr(
        Connection,
        "connection_made",
        lambda connection, transport: (connections.append(connection), connection_made(connection, transport))[1],
    )
    run_scenario(scenario)


def test_timeout_does_not_overtake_a_response_that_has_arrived():
    async def scenario(receiver, pool, call, results):
        call(timeout_ms=200.0)
        accepted = await receiver.accept()
        await receiver.read(accepted, b"body")
        due = receiver.loop.time() + 0.2  # the time-out of the call is due before this

        def before_timers():  # runs when the time-out is due, after the loop has polled its sockets
            accepted.setblocking(True)
            accepted.sendall(OK)
            assert connections[-1].has_pending_input()

        receiver.loop.call_at(timers[-1].when() - 0.0001, before_timers)
        while receiver.loop.time() < timers[-1].when() - 0.002:
            await asyncio.sleep(0)
        while receiver.loop.time() < due + 0.002:
            pass
        await wait_until(lambda: results)
        assert results[0].outcome == Outcome.DELIVERED

    timers, connections = [], []
    original_start, connection_made = Call.start, Connection.connection_made

    def recording_start(call):
        original_start(call)
        timers.append(call._timer)

    patch = pytest.MonkeyPatch()
    patch.setattr(Call, "start", recording_start)
    patch.setattr(
        Connection,
        "connection_made",
        lambda connection, transport: (connections.append(connection), connection_made(connection, transport))[1],
    )
    try:
        run_scenario(scenario)
    finally:
        patch.undo()


def test_pool_without_idle_connections_closes_each_connection():
    async def scenario(receiver, pool, call, results):
        pool.max_idle = 0
        call()
        accepted = await receiver.accept()
        await receiver.read(accepted, b"body")
        await receiver.loop.sock_sendall(accepted, OK)
        await wait_until(lambda: results)
        assert not pool.idle_count and await asyncio.wait_for(receiver.loop.sock_recv(accepted, 1), 5.0) == b""

    run_scenario(scenario)
