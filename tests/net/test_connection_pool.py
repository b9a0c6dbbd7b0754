"""Calls of the pool whose connection is reset, or is established late or never."""

import asyncio
import socket

from dewpin.core.model import Outcome
from dewpin.net.connection_pool import ConnectionPool
from dewpin.ports import AttemptRequest
from driver import Platform, wait_until


def test_connection_reset_before_the_last_byte_proves_that_nothing_was_executed(monkeypatch):
    monkeypatch.setattr("dewpin.net.call.LAST_BYTE_HOLD_SECONDS", 2.0)  # long enough for the receiver to reset it

    async def scenario():
        platform, results = await Platform().open(), []
        platform.resets_early = True
        pool = ConnectionPool(asyncio.get_running_loop(), 300.0, 15000.0)
        address = platform.servers[0].sockets[0].getsockname()
        pool.send(AttemptRequest(address, b"m", b"", b"x", 5000.0, lambda: 5000.0, results.append))
        await wait_until(lambda: results)
        assert results[0].outcome == Outcome.DROPPED and results[0].duration_ms < 1900.0 and not platform.calls
        for server in (platform.agent, *platform.servers, *(c.transport for c in platform.connections)):
            server.close()

    asyncio.run(scenario())


def test_connecting_call_can_be_cancelled_or_time_out_and_a_sent_call_is_not_affected():
    async def scenario():
        platform, results = await Platform().open(), {}
        platform.script = lambda call: None
        loop = asyncio.get_running_loop()
        pool = ConnectionPool(loop, 300.0, 15000.0)
        full_server = socket.create_server(("127.0.0.1", 0), backlog=0)  # never accepts, and its queue is full
        fillers = [socket.socket() for _ in range(4)]
        for filler in fillers:
            filler.setblocking(False)
            filler.connect_ex(full_server.getsockname())

        def call(name, address, timeout_ms=5000.0):
            def finish(result):
                results.setdefault(name, result)

            pool.send(AttemptRequest(address, name.encode(), b"", b"x", timeout_ms, lambda: 5000.0, finish))

        async def reset(*_):
            raise ConnectionResetError(104, "Connect call failed")

        full, live = full_server.getsockname(), platform.servers[0].sockets[0].getsockname()
        call("late", full)
        call("out", live)
        await wait_until(lambda: "late" in results)
        assert results["late"].outcome == Outcome.CONNECT_FAILED and results["late"].duration_ms >= 299.0
        call("cancelled", full)
        await wait_until(lambda: platform.message_ids() == [b"out"])
        pool.cancel_unsent(full)
        pool.cancel_unsent(live)
        assert results["cancelled"].outcome == Outcome.NOT_SENT and "out" not in results
        create, loop.create_connection = loop.create_connection, reset
        call("reset", full)
        await wait_until(lambda: "reset" in results)
        assert results["reset"].outcome == Outcome.DROPPED  # reset while connecting: not crashed, queue not full
        loop.create_connection = create
        call("timed out", live, 100.0)
        await wait_until(lambda: "timed out" in results)
        assert results["timed out"].outcome == Outcome.TIMED_OUT
        platform.script = lambda call: b"HTTP/1.1 200 x\r\nContent-Length: 9\r\n\r\nhalf"
        call("half", live, 100.0)
        await wait_until(lambda: "half" in results)  # the status line is sufficient
        assert results["half"].outcome == Outcome.DELIVERED and pool.idle_count == 0 and not pool.connecting_calls
        for opened in (
            full_server,
            *fillers,
            platform.agent,
            *platform.servers,
            *(c.transport for c in platform.connections),
        ):
            opened.close()

    asyncio.run(scenario())
