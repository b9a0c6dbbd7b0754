"""An RPC server within its memory budget and its maximum of connections."""

import asyncio
import contextlib
import secrets

import pytest

from dewpin.cluster.memory_budget import STALLED_AFTER_S, MemoryBudget
from dewpin.cluster.netstring import encode
from dewpin.cluster.rpc import RpcClient, RpcError, RpcServer
from dewpin.cluster.rpc.client import MAX_QUEUED_BYTES
from dewpin.cluster.rpc.server import MAX_REPEATED_CHARACTERS

BUDGET_BYTES = 1_000_000
RAW_BYTES = 600_000
TIMEOUT_S = 10.0
RETRY_S = 0.05
SHORT_MESSAGES, SHORT_VALUES = 40, 1_000
"""Messages of 3 KB, together an eighth of the budget, whose values take three times the budget."""


async def measure(message):
    return {"type": "measured", "length": len(message.get("raw", b""))}


@contextlib.asynccontextmanager
async def served(max_connections=100):
    budget, client = MemoryBudget(BUDGET_BYTES), RpcClient()
    server = RpcServer({"measure": measure}, budget, max_connections)
    await server.start("127.0.0.1", 0)
    try:
        yield server, client, "%s:%d" % server._server.sockets[0].getsockname()[:2]
    finally:
        await client.close()
        await server.stop()


async def connect(address):
    host, _, port = address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def incomplete_request():
    return encode({"v": 1, "n": 1, "m": {"type": "measure"}, "raw": bytes(RAW_BYTES)})[:-1]


async def measured_length(client, address):
    reply = await client.call(address, {"type": "measure", "raw": bytes(RAW_BYTES)}, TIMEOUT_S)
    return reply["length"]


async def wait_until(condition):
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


def test_handled_messages_are_released():
    async def scenario():
        async with served() as (server, client, address):
            lengths = [await measured_length(client, address) for _ in range(4)]
            await wait_until(lambda: not server.budget.held_bytes)
            return lengths

    assert asyncio.run(scenario()) == [RAW_BYTES] * 4


def test_stalled_message_gives_way_to_another():
    async def scenario():
        async with served() as (server, client, address):
            reader, writer = await connect(address)
            writer.write(incomplete_request())
            await wait_until(lambda: server.budget.held_bytes >= RAW_BYTES)
            await asyncio.sleep(STALLED_AFTER_S)
            length = await measured_length(client, address)
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await reader.readexactly(1)
            writer.close()
            return length

    assert asyncio.run(scenario()) == RAW_BYTES


def test_connection_whose_message_does_not_fit_is_aborted():
    async def scenario():
        async with served() as (server, client, address):
            first, second = await connect(address), await connect(address)
            first[1].write(incomplete_request())
            await wait_until(lambda: server.budget.held_bytes >= RAW_BYTES)
            second[1].write(incomplete_request())
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await asyncio.wait_for(second[0].readexactly(1), TIMEOUT_S)
            await wait_until(lambda: len(server.connections) == 1)
            for _, writer in (first, second):
                writer.close()

    asyncio.run(scenario())


def test_silent_connection_above_the_maximum_is_aborted():
    async def scenario():
        async with served(max_connections=2) as (server, client, address):
            length = await measured_length(client, address)
            silent = [await connect(address) for _ in range(5)]
            await wait_until(lambda: len(server.connections) == 2)
            assert await measured_length(client, address) == length
            for _, writer in silent:
                writer.close()
            return client._established(address).received_chunks

    assert asyncio.run(scenario()) >= 2  # on one connection, which was not aborted


def test_error_repeats_little_of_an_unknown_type():
    async def scenario():
        async with served() as (server, _, _):
            return await server.dispatch({"type": "a" * 10_000})

    assert asyncio.run(scenario())["detail"] == "a" * MAX_REPEATED_CHARACTERS


@contextlib.asynccontextmanager
async def connected(address):
    """Provide the connection of a client."""
    client = RpcClient()
    connection = await client._connection(address)
    try:
        yield connection
    finally:
        await client.close()


def test_retries_to_a_peer_that_does_not_read_do_not_add_up():
    async def scenario():
        server = await asyncio.start_server(lambda reader, writer: writer.transport.pause_reading(), "127.0.0.1", 0)
        async with connected("%s:%d" % server.sockets[0].getsockname()[:2]) as connection:
            for _ in range(30):
                with pytest.raises(TimeoutError):
                    async with asyncio.timeout(RETRY_S):
                        await connection.call({"type": "measure", "raw": secrets.token_bytes(RAW_BYTES)})
            unsent_bytes = connection.transport.get_write_buffer_size()
        server.close()
        return unsent_bytes

    assert MAX_QUEUED_BYTES < asyncio.run(scenario()) < MAX_QUEUED_BYTES + 2 * RAW_BYTES


def test_waiting_call_goes_on_once_the_peer_reads():
    async def scenario():
        async with served() as (_, _, address), connected(address) as connection:
            connection.pause_writing()
            call = asyncio.ensure_future(connection.call({"type": "measure", "raw": bytes(RAW_BYTES)}))
            await asyncio.sleep(RETRY_S)
            was_waiting = not call.done() and not connection._pending
            connection.resume_writing()
            return was_waiting, (await call)["length"]

    assert asyncio.run(scenario()) == (True, RAW_BYTES)


def test_waiting_call_fails_with_its_connection():
    async def scenario():
        async with served() as (_, _, address), connected(address) as connection:
            connection.pause_writing()
            call = asyncio.ensure_future(connection.call({"type": "measure"}))
            await asyncio.sleep(RETRY_S)
            connection.abort()
            with pytest.raises(RpcError) as caught:
                await asyncio.wait_for(call, TIMEOUT_S)
            return caught.value.kind

    assert asyncio.run(scenario()) == "closed"


def test_encoded_request_is_not_held_while_its_reply_is_awaited():
    async def scenario():
        async with served() as (server, _, address), connected(address) as connection:
            never = asyncio.Event()
            server.handlers["measure"] = lambda message: never.wait()
            call = connection.call({"type": "measure", "raw": bytes(RAW_BYTES)})
            waiting = asyncio.ensure_future(call)
            await wait_until(lambda: connection._pending)
            held = [value for value in call.cr_frame.f_locals.values() if isinstance(value, bytes)]
            waiting.cancel()
            return held

    assert asyncio.run(scenario()) == []


def test_values_of_many_short_messages_are_charged_while_they_are_handled():
    async def scenario():
        async with served() as (server, _, address):
            server.handlers["wait"] = lambda message: asyncio.Event().wait()
            reader, writer = await connect(address)
            short = {"type": "wait", "nested": [[]] * SHORT_VALUES}
            for number in range(SHORT_MESSAGES):
                writer.write(encode({"v": 1, "n": number, "m": short}))
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                async with asyncio.timeout(TIMEOUT_S):
                    await reader.readexactly(1)
            writer.close()

    asyncio.run(scenario())
