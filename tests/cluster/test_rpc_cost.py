"""What a call between processes costs: the turns of the event loop, each of which looks at all sockets."""

import asyncio

from dewpin.cluster.rpc import RpcClient, RpcServer

CALLS = 50
MOST_TURNS_OF_A_CALL = 5
"""The caller writes; the other side reads, answers; the caller reads, goes on."""


async def echo(message):
    return message


async def turns_of_calls():
    loop = asyncio.get_running_loop()
    server, client = RpcServer({"echo": echo}), RpcClient()
    await server.start("127.0.0.1", 0)
    address = "127.0.0.1:%d" % server._server.sockets[0].getsockname()[1]
    message = {"type": "echo"}
    await client.call(address, message, 10.0)
    select, turns = loop._selector.select, 0

    def counted(timeout):
        nonlocal turns
        turns += 1
        return select(timeout)

    loop._selector.select = counted
    for _ in range(CALLS):
        await client.call(address, message, 10.0)
    loop._selector.select = select
    await client.close()
    await server.stop()
    return turns


def test_call_takes_a_bounded_number_of_loop_iterations():
    assert asyncio.run(turns_of_calls()) <= MOST_TURNS_OF_A_CALL * CALLS
