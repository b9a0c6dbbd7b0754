"""A process by itself: memory of threads and connections, and events passed on by many threads."""

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

RELAY = "dewpin/dataplane/routing/event_relay.py, response_stream.py, event_splitter.py"
THREADS = (50, 100, 200, 400)
CONNECTIONS = (50, 100, 200, 400)
STREAMS = (10, 40, 80, 120)
EVENT_GAP_S = 0.077
WARM_UP_GAPS = 2
LONGEST_STREAM_S = 3600.0
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENT_END = b"\n\n"
EVENT = b'id: 17\ndata: {"choices":[{"index":0,"delta":{"content":" token"}}]}\n\n'
STACK_BYTES = 256 * 1024


def resident_of_threads(count: int) -> float:
    """Resident bytes added by threads that wait; run in a process of its own."""
    threading.stack_size(STACK_BYTES)
    go = threading.Event()
    before = resident_bytes()
    threads = [threading.Thread(target=go.wait) for _ in range(count)]
    for thread in threads:
        thread.start()
    after = resident_bytes()
    go.set()
    for thread in threads:
        thread.join()
    return float(after - before)


def thread_memory(effort: Effort) -> Series:
    """Memory of waiting threads."""
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
    """Resident bytes added by idle asyncio connections, both ends; run in a process of its own."""

    async def hold() -> float:
        ends: list[asyncio.StreamWriter] = []
        accepted = asyncio.Event()

        def keep(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            ends.append(writer)
            if len(ends) == count:
                accepted.set()

        server = await asyncio.start_server(keep, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        before = resident_bytes()
        opened = [await asyncio.open_connection("127.0.0.1", port) for _ in range(count)]
        await accepted.wait()
        after = resident_bytes()
        for _, writer in opened:
            writer.close()
        for writer in ends:
            writer.close()
        server.close()
        return float(after - before)

    return asyncio.run(hold())


def connection_memory(effort: Effort) -> Series:
    """Memory of idle asyncio connections, both ends in one process."""
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
    """The two connections of a stream: source to inward, outward to sink."""

    source: socket.socket
    inward: socket.socket
    outward: socket.socket
    sink: socket.socket


def pass_on(source: socket.socket, sink: socket.socket) -> None:
    """Pass a receiver's events on until its body ends, as a sender's request thread does."""
    connection = ReceiverConnection("receiver.example", 80, time.monotonic)
    connection.use(source)
    connection.begin_call("1", time.monotonic() + LONGEST_STREAM_S, None)
    connection.request("POST", "/", preload_content=False, decode_content=False)
    response = connection.getresponse()
    framing = framing_of("POST", response.status, response.headers.getlist)
    stream = ResponseStream(connection, response, framing, lambda *_: None)
    relay = EventRelay(stream, None, None, lambda: LONGEST_STREAM_S, lambda ended: None)
    with source, sink:
        for part in relay:
            sink.sendall(chunk(part))


def chunk(part: bytes) -> bytes:
    """A part of a body in chunks; the empty one ends it."""
    return b"%x\r\n%b\r\n" % (len(part), part)


def relay_process(streams: list[Stream], pipe: Connection) -> None:
    """Pass the events of all streams on by a thread each; asked twice, tell the processor time used so far."""
    for stream in streams:
        stream.source.close()
        stream.sink.close()
    threading.stack_size(STACK_BYTES)
    threads = [threading.Thread(target=pass_on, args=(stream.inward, stream.outward)) for stream in streams]
    for thread in threads:
        thread.start()
    for _ in ("begin", "end"):
        pipe.recv()
        pipe.send(time.process_time())
    for thread in threads:
        thread.join()


def relay_streams(count: int, seconds: float) -> tuple[float, float]:
    """Pass the events of so many streams on, by a thread each in one process.

    Returns that process's processor microseconds of an event, and the 95th percentile of the events' delay in
    milliseconds. Run in a process of its own, without threads, since it forks.
    """
    streams = [Stream(*socket.socketpair(), *socket.socketpair()) for _ in range(count)]
    context = multiprocessing.get_context("fork")
    pipe, theirs = context.Pipe()
    relay = context.Process(target=relay_process, args=(streams, theirs))
    relay.start()
    for stream in streams:
        stream.inward.close()
        stream.outward.close()
    for stream in streams:
        stream.source.send(HEAD)
    asyncio.run(drive(streams, time.perf_counter() + WARM_UP_GAPS * EVENT_GAP_S))
    before = processor_seconds(pipe)
    delays = asyncio.run(drive(streams, time.perf_counter() + seconds))
    used = processor_seconds(pipe) - before
    for stream in streams:
        stream.source.send(chunk(b""))
    relay.join()
    for stream in streams:
        stream.source.close()
        stream.sink.close()
    return used * MICROSECONDS / len(delays), statistics.quantiles(delays, n=20)[-1] * 1000


def processor_seconds(pipe: Connection) -> float:
    """What the relaying process answers."""
    pipe.send("usage")
    return float(pipe.recv())


async def drive(streams: list[Stream], end: float) -> list[float]:
    """Send each stream's events at their pace; return how long each took to come out again, in seconds."""
    loop = asyncio.get_running_loop()
    started = time.perf_counter()
    under_way: list[deque[float]] = [deque() for _ in streams]
    delays: list[float] = []
    all_out = asyncio.Event()

    def came(index: int) -> None:
        for _ in range(streams[index].sink.recv(65536).count(EVENT_END)):
            delays.append(time.perf_counter() - under_way[index].popleft())
        if not any(under_way):
            all_out.set()

    async def send_all(index: int) -> None:
        due = started + EVENT_GAP_S * index / len(streams)
        while due < end:
            await asyncio.sleep(max(0.0, due - time.perf_counter()))
            under_way[index].append(time.perf_counter())
            streams[index].source.send(chunk(EVENT))
            due += EVENT_GAP_S

    for index, stream in enumerate(streams):
        loop.add_reader(stream.sink.fileno(), came, index)
    await asyncio.gather(*(send_all(index) for index in range(len(streams))))
    all_out.clear()
    if any(under_way):
        await all_out.wait()
    for stream in streams:
        loop.remove_reader(stream.sink.fileno())
    return delays


STREAM_SECONDS_FACTOR = 6


@cache
def relay_runs(effort: Effort) -> tuple[tuple[float, float, float], ...]:
    """Streams, processor time of an event and its delay, kept for both series of this process."""
    seconds = effort.seconds * STREAM_SECONDS_FACTOR
    return tuple(
        (float(streams), *in_fresh_process(relay_streams, streams, seconds))
        for _ in range(effort.repeats)
        for streams in STREAMS
    )


def event_cost(effort: Effort) -> Series:
    """Processor time of an event passed on by one of many threads."""
    return Series(
        "event-cost",
        "processor time of a stream's event in the process that passes it on by a thread for each stream",
        RELAY,
        "streams at once",
        "processor time an event",
        "µs",
        tuple((streams, cost) for streams, cost, _ in relay_runs(effort)),
    )


def event_delay(effort: Effort) -> Series:
    """Delay of an event passed on by one of many threads."""
    return Series(
        "event-delay",
        "delay of a stream's event through a relaying thread, 95th percentile",
        RELAY,
        "streams at once",
        "delay",
        "ms",
        tuple((streams, delay) for streams, _, delay in relay_runs(effort)),
    )
