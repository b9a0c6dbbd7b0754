"""How RPC calls end: late replies, lost connections, oversized frames and peers that do not read."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from dewpin.cluster import netstring, rpc_frames
from dewpin.cluster.compression import IncomingBytes
from dewpin.cluster.netstring import Decoder, encode
from dewpin.cluster.rpc import RpcClient, RpcError, RpcServer
from dewpin.cluster.rpc import connection as rpc_connection

SHORT_S = 0.05
LONG_S = 5.0


class ScriptedServer:
    """Accepts connections and queues the requests it receives; the test sends the replies."""

    def __init__(self):
        self.calls = asyncio.Queue()
        self.ended = asyncio.Queue()
        self.address = ""
        self._server = None
        self._writers = []

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader, writer):
        self._writers.append(writer)
        incoming, decoder = IncomingBytes(), Decoder()
        try:
            while data := await reader.read(65536):
                for frame in [frame for chunk in incoming.decode(data) for frame in decoder.feed(chunk)]:
                    await self.calls.put((writer, frame["n"], frame["m"]))
        except ConnectionError:
            pass
        await self.ended.put(writer)

    async def next_call(self):
        return await asyncio.wait_for(self.calls.get(), LONG_S)

    def stop(self):
        self._server.close()
        for writer in self._writers:
            writer.close()


@asynccontextmanager
async def scripted():
    server, client = ScriptedServer(), RpcClient()
    await server.start()
    try:
        yield server, client
    finally:
        await client.close()
        server.stop()


def reply_frame(number, text):
    return encode({"v": 1, "r": number, "m": {"type": "said", "text": text}})


def start_call(client, server, text, timeout_s=LONG_S):
    return asyncio.ensure_future(client.call(server.address, {"type": "say", "text": text}, timeout_s))


def kind_of(outcome):
    return outcome.kind if isinstance(outcome, RpcError) else outcome


@pytest.mark.parametrize("how", ["timed out", "cancelled"])
def test_late_reply_to_abandoned_call_is_dropped(how):
    async def scenario():
        async with scripted() as (server, client):
            abandoned = start_call(client, server, "first", SHORT_S if how == "timed out" else LONG_S)
            writer, first, _ = await server.next_call()
            other = start_call(client, server, "other")
            _, second, _ = await server.next_call()
            writer.write(reply_frame(second, "for other"))
            assert (await other)["text"] == "for other"
            if how == "cancelled":
                abandoned.cancel()
            await asyncio.wait([abandoned])
            later = start_call(client, server, "later")
            later_writer, third, message = await server.next_call()
            writer.write(reply_frame(first, "for the abandoned call"))
            writer.write(reply_frame(first, "once more"))
            later_writer.write(reply_frame(third, "for later"))
            return message["text"], (await later)["text"], writer is later_writer, [first, second, third]

    assert asyncio.run(scenario()) == ("later", "for later", True, [1, 2, 3])


def test_replies_out_of_order_reach_their_callers():
    async def scenario():
        async with scripted() as (server, client):
            calls = [start_call(client, server, str(number)) for number in range(20)]
            requests = [await server.next_call() for _ in calls]
            for writer, number, message in reversed(requests):
                writer.write(reply_frame(number, message["text"]))
            return [(await call)["text"] for call in calls], [number for _, number, _ in requests]

    texts, numbers = asyncio.run(scenario())
    assert texts == [str(number) for number in range(20)]
    assert len(set(numbers)) == 20


@pytest.mark.parametrize("share", [0.0, 0.3, 0.99])
def test_connection_lost_within_a_reply_fails_its_calls_and_leaks_nothing(share):
    async def scenario():
        async with scripted() as (server, client):
            calls = [start_call(client, server, str(number)) for number in range(3)]
            writer, number, _ = await server.next_call()
            frame = reply_frame(number, "x" * 1000)
            writer.write(frame[: int(len(frame) * share)])
            await writer.drain()
            writer.transport.abort() if share == 0.0 else writer.close()
            outcomes = await asyncio.gather(*calls, return_exceptions=True)
            retry = start_call(client, server, "again")
            while True:
                later, number, message = await server.next_call()
                if later is not writer:
                    break
            later.write(reply_frame(number, message["text"]))
            return [kind_of(outcome) for outcome in outcomes], (await retry)["text"]

    assert asyncio.run(scenario()) == (["closed"] * 3, "again")


@pytest.mark.parametrize(
    "frame",
    [
        {"v": 1, "r": True, "m": {"type": "said"}},
        {"v": 1, "r": [1], "m": {"type": "said"}},
        {"v": 1, "r": 1, "m": "said"},
        {"v": 2, "r": 1, "m": {"type": "said"}},
        {"m": {"type": "said"}},
    ],
)
def test_invalid_reply_ends_the_connection(frame):
    async def scenario():
        async with scripted() as (server, client):
            call = start_call(client, server, "x")
            writer, _, _ = await server.next_call()
            writer.write(encode(frame))
            (outcome,) = await asyncio.gather(call, return_exceptions=True)
            return kind_of(outcome)

    assert asyncio.run(scenario()) == "closed"


@asynccontextmanager
async def served(**handlers):
    server, client = RpcServer(handlers), RpcClient()
    await server.start("127.0.0.1", 0)
    host, port = server._server.sockets[0].getsockname()
    try:
        yield server, client, f"{host}:{port}"
    finally:
        await client.close()
        await server.stop()


async def echo(message):
    return {"type": "echo", "text": message["text"]}


async def large(message):
    return {"type": "echo", "text": "x" * 2000}


async def unsendable(message):
    return {"type": "echo", "text": object()}


@pytest.mark.parametrize(
    ("message", "kind"),
    [
        ({"type": "echo", "text": "x" * 2000}, "too_large"),
        ({"type": "large"}, "too_large"),
        ({"type": "unsendable"}, "internal"),
    ],
)
def test_frame_over_the_limit_fails_only_its_call(message, kind, monkeypatch):
    monkeypatch.setattr(rpc_frames, "encode", lambda frame: netstring.encode(frame, max_bytes=1000))

    async def scenario():
        async with served(echo=echo, large=large, unsendable=unsendable) as (server, client, address):
            await client.call(address, {"type": "echo", "text": "before"}, LONG_S)
            first = set(server.connections)
            (outcome,) = await asyncio.gather(client.call(address, message, LONG_S), return_exceptions=True)
            after = await client.call(address, {"type": "echo", "text": "after"}, LONG_S)
            return kind_of(outcome), after["text"], set(server.connections) == first

    assert asyncio.run(scenario()) == (kind, "after", True)


def test_server_aborts_connection_whose_peer_does_not_read(monkeypatch):
    monkeypatch.setattr(rpc_connection, "MAX_UNSENT_BYTES", 100_000)

    async def reply_at_length(message):
        return {"type": "much", "text": "x" * 50_000}

    async def scenario():
        async with served(much=reply_at_length) as (server, _, address):
            reader, writer = await asyncio.open_connection(*address.split(":"), limit=1000)
            largest = 0
            try:
                for number in range(10_000):
                    writer.write(encode({"v": 1, "n": number, "m": {"type": "much"}}))
                    await writer.drain()
                    await asyncio.sleep(0)
                    largest = max([largest, *(transport.get_write_buffer_size() for transport in server.connections)])
                    if number and not server.connections:
                        break
            except ConnectionError:
                pass
            writer.close()
            return largest, bool(server.connections)

    largest, is_open = asyncio.run(scenario())
    assert not is_open
    assert largest <= 100_000 + 60_000


def test_client_aborts_connection_whose_peer_does_not_read(monkeypatch):
    monkeypatch.setattr(rpc_connection, "MAX_UNSENT_BYTES", 100_000)

    async def scenario():
        released = asyncio.Event()

        async def never_read(reader, writer):
            await released.wait()
            writer.close()

        server = await asyncio.start_server(never_read, "127.0.0.1", 0, limit=1000)
        host, port = server.sockets[0].getsockname()
        client = RpcClient()
        calls = []
        for _ in range(2000):
            message = {"type": "much", "text": "x" * 50_000}
            calls.append(asyncio.ensure_future(client.call(f"{host}:{port}", message, LONG_S)))
            await asyncio.sleep(0)
            if calls[0].done():
                break
        while not calls[0].done():
            await asyncio.sleep(0)
        connection = client._established(f"{host}:{port}")
        released.set()
        for call in calls:
            call.cancel()
        outcomes = await asyncio.gather(*calls, return_exceptions=True)
        await client.close()
        server.close()
        return kind_of(outcomes[0]), connection is None or connection.transport is None

    assert asyncio.run(scenario()) == ("closed", True)
