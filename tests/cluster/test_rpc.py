"""RPC calls over loopback: replies, errors, unresponsive peers and closed connections."""

import asyncio

import pytest

from dewpin.cluster.netstring import encode
from dewpin.cluster.rpc import RpcClient, RpcError, RpcServer
from dewpin.cluster.rpc import server as rpc_server
from dewpin.cluster.rpc.client import ClientConnection
from dewpin.cluster.rpc_frames import PROTOCOL_VERSION

SHORT_S = 0.05
LONG_S = 5.0


async def echo(message):
    return {"type": "echo", "text": message["text"]}


async def reject(message):
    raise RpcError("stale_epoch", "another one", {"type": "ignored", "view": 7})


async def fail(message):
    raise ZeroDivisionError("a fault of the handler")


class Loopback:
    """An RpcServer on a free port and a client; the handler of `hold` replies once `released` is set."""

    def __init__(self):
        self.released = asyncio.Event()
        self.server = RpcServer({"echo": echo, "reject": reject, "fail": fail, "hold": self.hold})
        self.client = RpcClient()
        self.address = ""

    async def hold(self, message):
        await self.released.wait()
        return {"type": "held"}

    async def __aenter__(self):
        await self.server.start("127.0.0.1", 0)
        host, port = self.server._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *_):
        await self.client.close()
        await self.server.stop()

    async def call(self, kind, timeout_s=LONG_S, **fields):
        return await self.client.call(self.address, {"type": kind, **fields}, timeout_s)


def kind_of(caught):
    return caught.value.kind


def test_call_returns_its_reply():
    async def scenario():
        async with Loopback() as loopback:
            return await loopback.call("echo", text="é")

    assert asyncio.run(scenario()) == {"type": "echo", "text": "é"}


def test_concurrent_calls_share_one_connection():
    async def scenario():
        async with Loopback() as loopback:
            held_call = asyncio.ensure_future(loopback.call("hold"))
            replies = await asyncio.gather(*(loopback.call("echo", text=str(number)) for number in range(200)))
            connections = len(loopback.server.connections)
            loopback.released.set()
            return [reply["text"] for reply in replies], connections, await held_call

    texts, connections, held = asyncio.run(scenario())
    assert texts == [str(number) for number in range(200)]
    assert connections == 1 and held == {"type": "held"}


def test_error_reply_raises_rpc_error_with_kind_and_fields():
    async def scenario():
        async with Loopback() as loopback:
            with pytest.raises(RpcError) as caught:
                await loopback.call("reject")
            return caught

    caught = asyncio.run(scenario())
    assert (kind_of(caught), caught.value.detail, caught.value.message["view"]) == ("stale_epoch", "another one", 7)


def test_rpc_error_of_nested_call_is_forwarded_to_the_caller():
    async def scenario():
        async with Loopback() as loopback:

            async def forward(message):
                return await loopback.call("reject")

            loopback.server.handlers["forward"] = forward
            with pytest.raises(RpcError) as caught:
                await loopback.call("forward", timeout_s=1.0)
            return caught

    caught = asyncio.run(scenario())
    assert (kind_of(caught), caught.value.detail, caught.value.message["view"]) == ("stale_epoch", "another one", 7)


@pytest.mark.parametrize(("message_type", "kind"), [("fail", "internal"), ("nothing", "unknown_type")])
def test_failing_or_missing_handler_is_an_error_and_keeps_the_connection(message_type, kind):
    async def scenario():
        async with Loopback() as loopback:
            with pytest.raises(RpcError) as caught:
                await loopback.call(message_type)
            await loopback.call("echo", text="still here")
            return kind_of(caught), len(loopback.server.connections)

    assert asyncio.run(scenario()) == (kind, 1)


def test_refused_connection_is_an_error():
    async def scenario():
        async with Loopback() as loopback:
            await loopback.server.stop()
            with pytest.raises(RpcError) as caught:
                await loopback.call("echo", text="x")
            return kind_of(caught)

    assert asyncio.run(scenario()) in {"connect", "closed"}


def test_unresponsive_peer_is_dropped_and_next_call_reconnects():
    async def scenario():
        async with Loopback() as loopback:
            await loopback.call("echo", text="x")
            initial = set(loopback.server.connections)
            with pytest.raises(RpcError) as caught:
                await loopback.call("hold", SHORT_S)
            await loopback.call("echo", text="x")
            return kind_of(caught), initial & set(loopback.server.connections)

    assert asyncio.run(scenario()) == ("timeout", set())


def test_time_out_of_one_call_keeps_a_connection_that_serves_others():
    async def scenario():
        async with Loopback() as loopback:
            await loopback.call("echo", text="x")
            initial = set(loopback.server.connections)
            timed_out_call = asyncio.ensure_future(loopback.call("hold", SHORT_S))
            await loopback.call("echo", text="x")
            with pytest.raises(RpcError) as caught:
                await timed_out_call
            loopback.released.set()
            reply = await loopback.call("echo", text="after")
            return kind_of(caught), initial == set(loopback.server.connections), reply["text"]

    assert asyncio.run(scenario()) == ("timeout", True, "after")


def test_lost_connection_fails_all_its_calls():
    async def scenario():
        async with Loopback() as loopback:
            calls = [asyncio.ensure_future(loopback.call("hold")) for _ in range(3)]
            await loopback.call("echo", text="x")
            for transport in loopback.server.connections:
                transport.abort()
            results = await asyncio.gather(*calls, return_exceptions=True)
            reconnected = await loopback.call("echo", text="again")
            return [result.kind for result in results], reconnected["text"]

    assert asyncio.run(scenario()) == (["closed"] * 3, "again")


async def send_raw(address, data):
    """Sends bytes to a server; returns what it sends until it closes the connection."""
    reader, writer = await asyncio.open_connection(*address.split(":"))
    writer.write(data)
    try:
        return await asyncio.wait_for(reader.read(), LONG_S)
    except ConnectionError:
        return b""
    finally:
        writer.close()


@pytest.mark.parametrize(
    "data",
    [
        b"GET / HTTP/1.1\r\n\r\n",
        encode({"v": 2, "n": 1, "m": {"type": "echo"}}),
        encode({"v": 1, "n": "1", "m": {"type": "echo"}}),
        encode({"v": 1, "n": 1, "m": ["echo"]}),
    ],
)
def test_server_closes_connection_with_invalid_frames(data):
    async def scenario():
        async with Loopback() as loopback:
            return await send_raw(loopback.address, data)

    assert asyncio.run(scenario()) == b""


def test_server_closes_connection_with_too_many_pending_requests(monkeypatch):
    monkeypatch.setattr(rpc_server, "MAX_PENDING_REQUESTS", 3)

    async def scenario():
        async with Loopback() as loopback:
            calls = b"".join(encode({"v": 1, "n": number, "m": {"type": "hold"}}) for number in range(4))
            return await send_raw(loopback.address, calls)

    assert asyncio.run(scenario()) == b""


def test_client_drops_peer_with_invalid_replies():
    async def scenario():
        server = await asyncio.start_server(lambda reader, writer: send_invalid_reply(writer), "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client = RpcClient()
        try:
            with pytest.raises(RpcError) as caught:
                await client.call(f"{host}:{port}", {"type": "echo"}, LONG_S)
            return kind_of(caught)
        finally:
            await client.close()
            server.close()

    def send_invalid_reply(writer):
        writer.write(b"HTTP/1.1 400 Bad Request\r\n\r\n")

    assert asyncio.run(scenario()) == "closed"


class EndedTransport(asyncio.Transport):
    """A transport that closes with the first write: `is_closing` is true at once, while the event loop reports the
    connection as lost only in a later iteration."""

    def __init__(self):
        super().__init__()
        self.written = 0

    def write(self, data):
        self.written += 1

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high=None, low=None):
        pass

    def is_closing(self):
        return self.written > 0


def test_replies_are_not_written_to_a_closing_connection():
    async def scenario():
        released = asyncio.Event()

        async def hold(message):
            await released.wait()
            return {"type": "held"}

        connection, transport = rpc_server.ServerConnection(RpcServer({"hold": hold})), EndedTransport()
        connection.connection_made(transport)
        for number in range(10):
            connection.data_received(encode({"v": PROTOCOL_VERSION, "n": number, "m": {"type": "hold"}}))
        released.set()
        await asyncio.gather(*connection._tasks)
        return transport.written

    assert asyncio.run(scenario()) == 1


def test_call_on_closing_connection_fails_at_once():
    async def scenario():
        connection, transport = ClientConnection(is_compressed=True), EndedTransport()
        connection.connection_made(transport)
        transport.written = 1
        with pytest.raises(RpcError) as caught:
            await asyncio.wait_for(connection.call({"type": "echo"}), SHORT_S)
        return kind_of(caught), transport.written

    assert asyncio.run(scenario()) == ("closed", 1)


def test_uncompressed_client_gets_uncompressed_replies():
    async def scenario():
        async with Loopback() as loopback:
            reader, writer = await asyncio.open_connection(*loopback.address.split(":"))
            writer.write(encode({"v": 1, "n": 1, "m": {"type": "echo", "text": "x"}}))
            reply = await asyncio.wait_for(reader.readuntil(b","), LONG_S)
            writer.close()
            return reply

    assert asyncio.run(scenario())[:1].isdigit()


class PlainServer:
    """A server of an earlier release, which closes connections that do not start with a netstring."""

    def __init__(self):
        self.first_bytes = []
        self.address = ""
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    async def _serve(self, reader, writer):
        data = await reader.read(65536)
        self.first_bytes.append(data[:1])
        if data[:1].isdigit():
            writer.write(encode({"v": 1, "r": 1, "m": {"type": "echo", "text": "plain"}}))
            await reader.read()
        writer.transport.abort()

    def stop(self):
        self._server.close()


def test_peer_that_rejects_compression_gets_uncompressed_requests():
    async def scenario():
        server, client = PlainServer(), RpcClient()
        await server.start()
        with pytest.raises(RpcError):
            await client.call(server.address, {"type": "echo"}, LONG_S)
        reply = await client.call(server.address, {"type": "echo"}, LONG_S)
        await client.close()
        server.stop()
        return reply["text"], [first_byte.isdigit() for first_byte in server.first_bytes]

    assert asyncio.run(scenario()) == ("plain", [False, True])


def test_peer_that_replied_once_stays_compressed_after_reconnect():
    async def scenario():
        async with Loopback() as loopback:
            await loopback.call("echo", text="x")
            for transport in list(loopback.server.connections):
                transport.abort()
            await asyncio.sleep(SHORT_S)
            await loopback.call("echo", text="x")
            return loopback.client._uncompressed_until_s

    assert asyncio.run(scenario()) == {}
