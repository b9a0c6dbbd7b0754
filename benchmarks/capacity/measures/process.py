"""Costs of a process: memory of threads and connections, and events relayed by many threads."""

from __future__ import annotations

import asyncio
import multiprocessing
import socket
import statistics
import threading
import time
from collections import deque
from dataclasses import dataclass
from functools import cache
from multiprocessing.connection import Connection

from benchmarks.capacity.series import Effort, Series, memory_series
from benchmarks.capacity.timing import MICROSECONDS, in_fresh_process, resident_bytes
from dewpin.dataplane.routing.event_relay import EventRelay
from dewpin.dataplane.upstream.receiver_connection import ReceiverConnection
from dewpin.dataplane.upstream.response_body import framing_of
from dewpin.dataplane.upstream.response_stream import ResponseStream

RELAY_MODULES = "dewpin/dataplane/routing/event_relay.py, response_stream.py, event_splitter.py"
THREADS = (50, 100, 200, 400)
CONNECTIONS = (50, 100, 200, 400)
STREAMS = (10, 40, 80, 120)
EVENT_GAP_S = 0.077
WARM_UP_GAPS = 2
MAX_STREAM_S = 3600.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENT_END = b"\n\n"
EVENT = b'id: 17\ndata: {"choices":[{"index":0,"delta":{"content":" token"}}]}\n\n'
STACK_BYTES = 256 * 1024


def resident_of_threads(count: int) -> float:
    """Return the resident bytes that `count` waiting threads add; to be run in a separate process."""
    threading.stack_size(STACK_BYTES)
    release = threading.Event()
    before = resident_bytes()
    threads = [threading.Thread(target=release.wait) for _ in range(count)]
    for thread in threads:
        thread.start()
    after = resident_bytes()
    release.set()
    for thread in threads:
        thread.join()
    return float(after - before)


def thread_memory(effort: Effort) -> Series:
    """Measure the memory of waiting threads."""
    return memory_series(
        "thread-memory",
        f"memory of waiting threads (stacks of {STACK_BYTES // 1024} KiB)",
        "Python itself",
        "threads",
        THREADS,
        effort,
        resident_of_threads,
    )


def resident_of_connections(count: int) -> float:
    """Return the resident bytes that idle asyncio connections add, both ends; to be run in a separate process."""

    async def measure() -> float:
        accepted_writers: list[asyncio.StreamWriter] = []
        accepted = asyncio.Event()

        def on_accept(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            accepted_writers.append(writer)
            if len(accepted_writers) == count:
                accepted.set()

        server = await asyncio.start_server(on_accept, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        before = resident_bytes()
        clients = [await asyncio.open_connection("127.0.0.1", port) for _ in range(count)]
        await accepted.wait()
        after = resident_bytes()
        for _, writer in clients:
            writer.close()
        for writer in accepted_writers:
            writer.close()
        server.close()
        return float(after - before)

    return asyncio.run(measure())


def connection_memory(effort: Effort) -> Series:
    """Measure the memory of idle asyncio connections, with both ends in the process."""
    return memory_series(
        "connection-memory",
        "memory of idle asyncio connections, both ends",
        "Python itself",
        "connections",
        CONNECTIONS,
        effort,
        resident_of_connections,
    )


@dataclass(frozen=True)
class Stream:
    """The two connections of a relayed stream: from `source` to `relay_input`, from `relay_output` to `sink`."""

    source: socket.socket
    relay_input: socket.socket
    relay_output: socket.socket
    sink: socket.socket


def relay_events(source: socket.socket, sink: socket.socket) -> None:
    """Relay the events of a response until its body ends, as the request thread of a sender does."""
    connection = ReceiverConnection("receiver.example", 80, time.monotonic)
    connection.use(source)
    connection.begin_call("1", time.monotonic() + MAX_STREAM_S, None)
    connection.request("POST", "/", preload_content=False, decode_content=False)
    response = connection.getresponse()
    framing = framing_of("POST", response.status, response.headers.getlist)
    stream = ResponseStream(connection, response, framing, lambda *_: None)
    relay = EventRelay(stream, None, None, lambda: MAX_STREAM_S, lambda ended: None)
    with source, sink:
        for part in relay:
            sink.sendall(chunk(part))


def chunk(part: bytes) -> bytes:
    """Encode a chunk of a body; an empty chunk ends the body."""
    return b"%x\r\n%b\r\n" % (len(part), part)


def relay_process(streams: list[Stream], pipe: Connection) -> None:
    """Relay all streams, with a thread for each; reply to two requests on the pipe with the processor time used."""
    for stream in streams:
        stream.source.close()
        stream.sink.close()
    threading.stack_size(STACK_BYTES)
    threads = [
        threading.Thread(target=relay_events, args=(stream.relay_input, stream.relay_output)) for stream in streams
    ]
    for thread in threads:
        thread.start()
    for _ in ("begin", "end"):
        pipe.recv()
        pipe.send(time.process_time())
    for thread in threads:
        thread.join()


def relay_streams(count: int, seconds: float) -> tuple[float, float]:
    """Relay `count` streams in one process, with a thread for each.

    Returns the processor microseconds of that process per event, and the 95th percentile of the delay of events in
    milliseconds. To be run in a separate process without other threads, because it forks.
    """
    streams = [Stream(*socket.socketpair(), *socket.socketpair()) for _ in range(count)]
    context = multiprocessing.get_context("fork")
    pipe, child_pipe = context.Pipe()
    relay = context.Process(target=relay_process, args=(streams, child_pipe))
    relay.start()
    for stream in streams:
        stream.relay_input.close()
        stream.relay_output.close()
    for stream in streams:
        stream.source.send(HEAD)
    asyncio.run(send_events(streams, time.perf_counter() + WARM_UP_GAPS * EVENT_GAP_S))
    before = processor_seconds(pipe)
    delays = asyncio.run(send_events(streams, time.perf_counter() + seconds))
    used_s = processor_seconds(pipe) - before
    for stream in streams:
        stream.source.send(chunk(b""))
    relay.join()
    for stream in streams:
        stream.source.close()
        stream.sink.close()
    return used_s * MICROSECONDS / len(delays), statistics.quantiles(delays, n=20)[-1] * 1000


def processor_seconds(pipe: Connection) -> float:
    """Return the processor seconds that the relaying process has used so far."""
    pipe.send("usage")
    return float(pipe.recv())


async def send_events(streams: list[Stream], end_s: float) -> list[float]:
    """Send events on all streams at the rate of EVENT_GAP_S until `end_s`; return their delays in seconds."""
    loop = asyncio.get_running_loop()
    start_s = time.perf_counter()
    sent_at: list[deque[float]] = [deque() for _ in streams]
    delays: list[float] = []
    all_received = asyncio.Event()

    def on_readable(index: int) -> None:
        for _ in range(streams[index].sink.recv(65536).count(EVENT_END)):
            delays.append(time.perf_counter() - sent_at[index].popleft())
        if not any(sent_at):
            all_received.set()

    async def send_all(index: int) -> None:
        due_s = start_s + EVENT_GAP_S * index / len(streams)
        while due_s < end_s:
            await asyncio.sleep(max(0.0, due_s - time.perf_counter()))
            sent_at[index].append(time.perf_counter())
            streams[index].source.send(chunk(EVENT))
            due_s += EVENT_GAP_S

    for index, stream in enumerate(streams):
        loop.add_reader(stream.sink.fileno(), on_readable, index)
    await asyncio.gather(*(send_all(index) for index in range(len(streams))))
    all_received.clear()
    if any(sent_at):
        await all_received.wait()
    for stream in streams:
        loop.remove_reader(stream.sink.fileno())
    return delays


STREAM_SECONDS_FACTOR = 6


@cache
def relay_runs(effort: Effort) -> tuple[tuple[float, float, float], ...]:
    """Return streams, processor time per event and delay of each run; cached because two series use it."""
    seconds = effort.seconds * STREAM_SECONDS_FACTOR
    return tuple(
        (float(streams), *in_fresh_process(relay_streams, streams, seconds))
        for _ in range(effort.repeats)
        for streams in STREAMS
    )


def event_cost(effort: Effort) -> Series:
    """Measure the processor time per event of a relay with a thread for each stream."""
    return Series(
        "event-cost",
        "processor time of a stream's event in the process that passes it on by a thread for each stream",
        RELAY_MODULES,
        "streams at once",
        "processor time an event",
        "µs",
        tuple((streams, cost) for streams, cost, _ in relay_runs(effort)),
    )


def event_delay(effort: Effort) -> Series:
    """Measure the delay of events through a relay with a thread for each stream."""
    return Series(
        "event-delay",
        "delay of a stream's event through a relaying thread, 95th percentile",
        RELAY_MODULES,
        "streams at once",
        "delay",
        "ms",
        tuple((streams, delay) for streams, _, delay in relay_runs(effort)),
    )
