"""Messages: encoding, decoding, and RPC calls over loopback."""

from __future__ import annotations

import asyncio
import multiprocessing
import resource
import time
from collections.abc import Callable
from functools import partial
from multiprocessing.connection import Connection
from types import TracebackType

from benchmarks.capacity import shapes
from benchmarks.capacity.series import Effort, Series, message_series, sample
from benchmarks.capacity.timing import MICROSECONDS, free_port
from dewpin.cluster.netstring import Decoder, encode
from dewpin.cluster.rpc import Message, RpcClient, RpcServer

TEXT_BYTES = (100, 1_000, 5_000, 20_000, 50_000)
CALL_TEXT_BYTES = (100, 1_000, 5_000, 20_000)
CONCURRENT_CALLS = 16
CALL_TIMEOUT_S = 5.0
NETSTRING = "dewpin/cluster/netstring.py"
RPC = "dewpin/cluster/rpc"


def encode_cost(effort: Effort) -> Series:
    """Measure the processor time to encode a framed message, by the bytes of its text."""

    def prepare(size: int) -> Callable[[], object]:
        return partial(encode, shapes.turn(1, size))

    return message_series(
        "encode",
        "encode a message (netstring of JSON)",
        NETSTRING,
        "bytes of text",
        TEXT_BYTES,
        effort,
        prepare,
    )


def decode_cost(effort: Effort) -> Series:
    """Measure the processor time to decode a framed message, by the bytes of its text."""

    def prepare(size: int) -> Callable[[], object]:
        frame = encode(shapes.turn(1, size))
        return lambda: Decoder().feed(frame)

    return message_series(
        "decode",
        "decode a message (netstring of JSON)",
        NETSTRING,
        "bytes of text",
        TEXT_BYTES,
        effort,
        prepare,
    )


async def acknowledge(message: Message) -> Message:
    """Reply to a call immediately."""
    return {"type": "ok", "turn": message["turn"]}


def serve_calls(pipe: Connection) -> None:
    """Run a server process until the pipe is closed.

    It sends its address over the pipe, then replies to each request with its processor time.
    """

    async def serve() -> None:
        server = RpcServer({"append": acknowledge})
        port = free_port()
        await server.start("127.0.0.1", port)
        pipe.send(f"127.0.0.1:{port}")
        pipe_closed = asyncio.Event()

        def send_usage() -> None:
            try:
                pipe.recv()
                usage = resource.getrusage(resource.RUSAGE_SELF)
                pipe.send(usage.ru_utime + usage.ru_stime)
            except EOFError:
                asyncio.get_running_loop().remove_reader(pipe.fileno())
                pipe_closed.set()

        asyncio.get_running_loop().add_reader(pipe.fileno(), send_usage)
        await pipe_closed.wait()
        await server.stop()

    asyncio.run(serve())


class CallServer:
    """A server process on loopback."""

    def __init__(self) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, child_pipe = context.Pipe()
        self._process = context.Process(target=serve_calls, args=(child_pipe,))
        self._process.start()
        child_pipe.close()
        self.address: str = self._pipe.recv()

    def processor_seconds(self) -> float:
        """Return the processor seconds that the server process has used so far."""
        self._pipe.send("usage")
        return float(self._pipe.recv())

    def __enter__(self) -> CallServer:
        """Return the server; its process is stopped at the end of the block."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Stop the process and wait for it."""
        self._pipe.close()
        self._process.join()


CallCost = Callable[[CallServer, int, float], float]
"""Returns the microseconds per call, given a server, the bytes of text of a call and the seconds to call for."""


async def call_repeatedly(client: RpcClient, address: str, size: int, seconds: float) -> tuple[int, float]:
    """Call sequentially for `seconds`; return the number of calls and the elapsed seconds."""
    message = shapes.turn(1, size)
    await client.call(address, message, CALL_TIMEOUT_S)
    start_s = time.perf_counter()
    calls = 0
    while time.perf_counter() < start_s + seconds:
        await client.call(address, message, CALL_TIMEOUT_S)
        calls += 1
    return calls, time.perf_counter() - start_s


async def call_concurrently(address: str, size: int, seconds: float, callers: int) -> tuple[int, float]:
    """Call from concurrent callers on one connection; return the total number of calls and the elapsed seconds."""
    client = RpcClient()
    runs = await asyncio.gather(*(call_repeatedly(client, address, size, seconds) for _ in range(callers)))
    await client.close()
    return sum(calls for calls, _ in runs), max(elapsed_s for _, elapsed_s in runs)


def call_series(effort: Effort, name: str, title: str, y_name: str, cost: CallCost) -> Series:
    """Measure a cost of calls to a server process, by the bytes of their text."""
    with CallServer() as server:
        points = sample(CALL_TEXT_BYTES, effort, lambda size: cost(server, size, effort.seconds))
    return Series(name, title, RPC, "bytes of text", y_name, "µs", points)


def round_trip(effort: Effort) -> Series:
    """Measure the time of a call over loopback, by the bytes of its text."""

    def cost(server: CallServer, size: int, seconds: float) -> float:
        calls, elapsed_s = asyncio.run(call_concurrently(server.address, size, seconds, callers=1))
        return elapsed_s * MICROSECONDS / calls

    return call_series(effort, "round-trip", "a call and its answer over loopback, one at a time", "time a call", cost)


def call_processor_series(
    effort: Effort, name: str, subject: str, processor_seconds: Callable[[CallServer], float]
) -> Series:
    """Measure the processor time of a call in the server or the client process, by the bytes of its text."""

    def cost(server: CallServer, size: int, seconds: float) -> float:
        before = processor_seconds(server)
        calls, _ = asyncio.run(call_concurrently(server.address, size, seconds, CONCURRENT_CALLS))
        return (processor_seconds(server) - before) * MICROSECONDS / calls

    title = f"processor time of the {subject} for a call, {CONCURRENT_CALLS} at once"
    return call_series(effort, name, title, "processor time a call", cost)


def server_call_cost(effort: Effort) -> Series:
    """Measure the processor time of a call in the server process, by the bytes of its text."""
    return call_processor_series(effort, "server-call", "server", CallServer.processor_seconds)


def client_call_cost(effort: Effort) -> Series:
    """Measure the processor time of a call in the client process, by the bytes of its text."""
    return call_processor_series(effort, "client-call", "caller", lambda _: time.process_time())
