"""The cost of an RPC call in iterations of the event loop, each of which polls all sockets."""

import asyncio

from dewpin.cluster.rpc import RpcClient, RpcServer

CALLS = 50
MAX_ITERATIONS_PER_CALL = 5
"""Client writes, server reads, server replies, client reads, caller resumes."""


async def echo(message):
    return message


async def count_loop_iterations():
    loop = asyncio.get_running_loop()
    server, client = RpcServer({"echo": echo}), RpcClient()
    await server.start("127.0.0.1", 0)
    address = "127.0.0.1:%d" % server._server.sockets[0].getsockname()[1]
    message = {"type": "echo"}
    await client.call(address, message, 10.0)
    select, iterations = loop._selector.select, 0

    def counting_select(timeout):
        nonlocal iterations
        iterations += 1
        return select(timeout)

    loop._selector.select = counting_select
    for _ in range(CALLS):
        await client.call(address, message, 10.0)
    loop._selector.select = select
    await client.close()
    await server.stop()
    return iterations


def test_call_takes_a_bounded_number_of_loop_iterations():
    assert asyncio.run(count_loop_iterations()) <= MAX_ITERATIONS_PER_CALL * CALLS
