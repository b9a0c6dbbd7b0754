"""What a faulty process can send in place of a reply: its connection ends, and the calls on it fail at once."""

import asyncio
import contextlib

import pytest

from dewpin.cluster.memory_budget import MemoryBudget
from dewpin.cluster.netstring import encode
from dewpin.cluster.rpc import RpcClient, RpcError

BUDGET_BYTES = 4_000_000
TIMEOUT_S = 30.0
BLOCK_BYTES = 65_536
REPLY = encode({"v": 1, "r": 1, "m": {"type": "done"}})


@contextlib.asynccontextmanager
async def faulty_server(first, block, has_ended=None):
    """Serve a process that answers the first request of a connection with `first`, then `block` without end.

    The event `has_ended` is set once the caller has closed a connection.
    """

    async def respond(reader, writer):
        await reader.read(BLOCK_BYTES)
        with contextlib.suppress(ConnectionError):
            writer.write(first)
            while block and not writer.transport.is_closing():
                writer.write(block)
                await writer.drain()
        writer.close()
        if has_ended is not None:
            has_ended.set()

    server = await asyncio.start_server(respond, "127.0.0.1", 0)
    try:
        yield "%s:%d" % server.sockets[0].getsockname()[:2]
    finally:
        server.close()


def call_faulty(first, block):
    """Return the kind of the error of a call, and what stays charged after it."""

    async def scenario():
        budget = MemoryBudget(BUDGET_BYTES)
        client = RpcClient(budget)
        async with faulty_server(first, block) as address:
            with pytest.raises(RpcError) as raised:
                await client.call(address, {"type": "work"}, TIMEOUT_S)
            await asyncio.sleep(0)
            await client.close()
        return raised.value.kind, budget.held_bytes

    return asyncio.run(scenario())


ENDLESS = {
    "length": (b"", b"1" * BLOCK_BYTES),
    "huge_length": (b"99999999999:", b"a" * BLOCK_BYTES),
    "replies_without_a_call": (b"", encode({"v": 1, "r": 7, "m": {}}) * 1_000),
    "replies_sent_again": (b"", REPLY * 1_000),
    "long_replies_without_a_call": (b"", encode({"v": 1, "r": 7, "m": {"text": "a" * 3_000_000}})),
    "reply_over_the_budget": (b"30000000:", b"a" * BLOCK_BYTES),
    "very_many_values": (encode({"v": 1, "r": 1, "m": {"values": [[]] * 1_000_000}}), b""),
}


CALLS_THAT_GET_A_REPLY = frozenset({"replies_sent_again"})


@pytest.mark.parametrize("form", sorted(ENDLESS.keys() - CALLS_THAT_GET_A_REPLY))
def test_call_fails_before_its_timeout(form):
    kind, held_bytes = call_faulty(*ENDLESS[form])
    assert kind == "closed"
    assert held_bytes == 0


def test_late_reply_to_a_call_that_timed_out_is_ignored():
    async def scenario():
        proceed = asyncio.Event()

        async def respond(reader, writer):
            await reader.read(BLOCK_BYTES)
            writer.write(REPLY[:1])
            await proceed.wait()
            await reader.read(BLOCK_BYTES)
            writer.write(REPLY[1:] + encode({"v": 1, "r": 2, "m": {"type": "done"}}))

        server = await asyncio.start_server(respond, "127.0.0.1", 0)
        address = "%s:%d" % server.sockets[0].getsockname()[:2]
        client = RpcClient(MemoryBudget(BUDGET_BYTES))
        with pytest.raises(RpcError, match="timeout"):
            await client.call(address, {"type": "work"}, 0.3)
        proceed.set()
        reply = await client.call(address, {"type": "work"}, TIMEOUT_S)
        await client.close()
        server.close()
        return reply

    assert asyncio.run(scenario()) == {"type": "done"}


def test_connection_ends_if_a_reply_is_sent_again_without_end():
    async def scenario():
        has_ended = asyncio.Event()
        client = RpcClient(MemoryBudget(BUDGET_BYTES))
        async with faulty_server(*ENDLESS["replies_sent_again"], has_ended) as address:
            await client.call(address, {"type": "work"}, TIMEOUT_S)
            async with asyncio.timeout(TIMEOUT_S):
                await has_ended.wait()
            await client.close()

    asyncio.run(scenario())
