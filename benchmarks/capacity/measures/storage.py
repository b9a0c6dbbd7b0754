"""The database of a store: group commits of turns and ledger replicas, history reads, index scans of a copy."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar

from benchmarks.capacity.series import Effort, Series, sample
from benchmarks.capacity.timing import MICROSECONDS
from dewpin.cluster.netstring import Decoder, encode
from dewpin.cluster.store_messages import HistoryPage, TurnRecord
from dewpin.cluster.store_view import Member, StoreView
from dewpin.consensus import Ballot
from dewpin.controlplane.storage import DATABASE_NAME, Storage
from dewpin.controlplane.store import ledger_replica, turn_table

TURN_MODULES = "dewpin/controlplane/storage/storage.py, turn_table.py"
LEDGER_MODULES = "dewpin/controlplane/storage/storage.py, ledger_replica.py"
HISTORY_MODULES = "dewpin/cluster/store_messages.py, netstring.py"

RECORD_BYTES = 5_000
RETAIN_MS = 3_600_000
WRITERS = (1, 3, 10, 30, 100)
WRITER_SECONDS_FACTOR = 2
CONCURRENT_WRITERS = 32
RECORD_SIZES = (500, 5_000, 20_000, 50_000)
ROWS = (500, 1_000, 2_000, 4_000)
HISTORY_TURNS = (1, 10, 30, 100)
HISTORY_BYTES = (10_000, 100_000, 500_000, 1_000_000, 2_000_000)
INDEX_ROWS = (100, 200, 300, 400)
INDEX_PROGRAMS = 100
VIEW_MEMBERS = 27
REPLICAS = 3
UNLIMITED_BYTES = 1 << 30
OPEN_RESERVATIONS = (0, 2, 5, 10)

R = TypeVar("R")
WriteOne = Callable[[int, int], Awaitable[object]]
"""Writes a record, given the writer's number and the number of records that it has written before."""
WriterFactory = Callable[[Storage], WriteOne]


def turn(program: str, number: int, size: int) -> TurnRecord:
    """Return a turn with bodies of `size` bytes in total, which continues the previous turn."""
    previous = f"{program}{number - 1:08x}" if number else None
    return TurnRecord(f"{program}{number:08x}", program, previous, RETAIN_MS, b"x" * (size // 2), b"y" * (size // 2))


def with_storage(work: Callable[[Storage], Coroutine[Any, Any, R]]) -> R:
    """Run `work` with a new database in a temporary folder and return its result."""
    with tempfile.TemporaryDirectory() as folder:
        storage = Storage(folder)
        try:
            return asyncio.run(work(storage))
        finally:
            storage.close()


async def commit_turns(storage: Storage, records: list[TurnRecord]) -> None:
    """Commit turns in one transaction."""
    now_ms = int(time.time() * 1000)
    await storage.transact(lambda connection: turn_table.put(connection, records, now_ms, 0))


async def write_concurrently(writers: int, seconds: float, write: WriteOne) -> tuple[int, float, float]:
    """Run concurrent writers, each of which waits for its record to be committed before the next one.

    Returns the total number of records, the elapsed seconds and the processor seconds of the process.
    """
    end_s = time.perf_counter() + seconds
    counts = [0] * writers

    async def write_repeatedly(index: int) -> None:
        while time.perf_counter() < end_s:
            await write(index, counts[index])
            counts[index] += 1

    start_s, processor_start_s = time.perf_counter(), time.process_time()
    await asyncio.gather(*(write_repeatedly(index) for index in range(writers)))
    return sum(counts), time.perf_counter() - start_s, time.process_time() - processor_start_s


def turn_writer(size: int) -> WriterFactory:
    """Return a factory of writers of turns of `size` bytes."""

    def create_writer(storage: Storage) -> WriteOne:
        async def write(writer: int, number: int) -> None:
            await commit_turns(storage, [turn(f"{writer:06x}", number, size)])

        return write

    return create_writer


def ledger_writer(value_of: Callable[[int], dict[str, Any]]) -> WriterFactory:
    """Return a factory of writers of ledger accepts; `value_of` returns the value of a writer's n-th accept."""

    def create_writer(storage: Storage) -> WriteOne:
        async def write(writer: int, number: int) -> None:
            program, ballot, value = f"{writer:06x}", Ballot(number + 1, "sender"), value_of(number)
            await storage.transact(
                lambda connection: ledger_replica.accept(connection, program, ballot, value, None, number)
            )

        return write

    return create_writer


def round_time_us(writers: int, effort: Effort, create_writer: WriterFactory) -> float:
    """Return the mean microseconds until each of the concurrent writers has committed one record."""

    async def run(storage: Storage) -> float:
        seconds = effort.seconds * WRITER_SECONDS_FACTOR
        records, elapsed_s, _ = await write_concurrently(writers, seconds, create_writer(storage))
        return writers * elapsed_s * MICROSECONDS / records

    return with_storage(run)


def processor_us_per_record(effort: Effort, create_writer: WriterFactory) -> float:
    """Return the processor microseconds per record with CONCURRENT_WRITERS writers."""

    async def run(storage: Storage) -> float:
        records, _, processor_s = await write_concurrently(CONCURRENT_WRITERS, effort.seconds, create_writer(storage))
        return processor_s * MICROSECONDS / records

    return with_storage(run)


async def processor_us_per_read(seconds: float, read: Callable[[], Awaitable[object]]) -> float:
    """Return the mean processor microseconds of a read, which is repeated for `seconds`."""
    end_s = time.perf_counter() + seconds
    reads = 0
    processor_start_s = time.process_time()
    while time.perf_counter() < end_s:
        await read()
        reads += 1
    return (time.process_time() - processor_start_s) * MICROSECONDS / reads


def turn_commit(effort: Effort) -> Series:
    """Measure the time until each concurrent writer has committed a turn; the slope is the minimum time per turn."""
    return Series(
        "turn-commit",
        f"one turn of {RECORD_BYTES} bytes for each writer, committed and synced",
        TURN_MODULES,
        "writers waiting at once",
        "time a round",
        "µs",
        sample(WRITERS, effort, lambda writers: round_time_us(writers, effort, turn_writer(RECORD_BYTES))),
    )


def ledger_commit(effort: Effort) -> Series:
    """Measure the time until each concurrent writer has committed an accept of its ledger."""
    create_writer = ledger_writer(lambda number: {"spent": number, "open": {f"{number:016x}": 325}})
    return Series(
        "ledger-commit",
        "one accept of a ledger for each writer, committed and synced",
        LEDGER_MODULES,
        "writers waiting at once",
        "time a round",
        "µs",
        sample(WRITERS, effort, lambda writers: round_time_us(writers, effort, create_writer)),
    )


def turn_cost(effort: Effort) -> Series:
    """Measure the processor time of a turn with CONCURRENT_WRITERS writers, by its size."""
    return Series(
        "turn-cost",
        f"processor time of a turn written, {CONCURRENT_WRITERS} writers waiting",
        TURN_MODULES,
        "bytes of the turn",
        "processor time a turn",
        "µs",
        sample(RECORD_SIZES, effort, lambda size: processor_us_per_record(effort, turn_writer(size))),
    )


def ledger_cost(effort: Effort) -> Series:
    """Measure the processor time of a ledger accept, by the open reservations in the ledger."""

    def measure_at(reservations: int) -> float:
        value = {"spent": 1000, "open": {f"{number:016x}": 325 for number in range(reservations)}}
        return processor_us_per_record(effort, ledger_writer(lambda _: value))

    return Series(
        "ledger-cost",
        f"processor time of a ledger's accept, {CONCURRENT_WRITERS} writers waiting",
        LEDGER_MODULES,
        "open reservations",
        "processor time an accept",
        "µs",
        sample(OPEN_RESERVATIONS, effort, measure_at),
    )


def disk_bytes(effort: Effort) -> Series:
    """Measure the bytes of the database file, by the number of stored turns of RECORD_BYTES."""

    def measure_at(rows: int) -> float:
        with tempfile.TemporaryDirectory() as folder:
            storage = Storage(folder)
            asyncio.run(
                commit_turns(storage, [turn(f"{index % 50:06x}", index // 50, RECORD_BYTES) for index in range(rows)])
            )
            storage.close()
            return float((Path(folder) / DATABASE_NAME).stat().st_size)

    return Series(
        "disk",
        f"bytes of the store's file with turns of {RECORD_BYTES} bytes",
        TURN_MODULES,
        "turns",
        "bytes on disk",
        "B",
        sample(ROWS, effort, measure_at),
    )


def history_read(effort: Effort) -> Series:
    """Measure a store's processor time to read a history and encode the reply, by the turns of the history."""

    def measure_at(turns: int) -> float:
        async def run(storage: Storage) -> float:
            await commit_turns(storage, [turn("a" * 6, number, RECORD_BYTES) for number in range(turns)])
            last = turn("a" * 6, turns - 1, 0).turn

            async def read() -> None:
                page = await storage.transact(
                    lambda connection: turn_table.read_history(
                        connection, "a" * 6, last, UNLIMITED_BYTES, charge=lambda size_bytes: None
                    )
                )
                encode(page.to_json())

            return await processor_us_per_read(effort.seconds, read)

        return with_storage(run)

    return Series(
        "chain-read",
        f"a store's processor time for a chain of turns of {RECORD_BYTES} bytes, read and made an answer",
        "dewpin/controlplane/store/turn_table.py, dewpin/cluster/store_messages.py",
        "turns in the chain",
        "processor time a chain",
        "µs",
        sample(HISTORY_TURNS, effort, measure_at),
    )


def history_decode(effort: Effort) -> Series:
    """Processor time of a sender to decode a reply with a conversation history, by its bytes."""
    turns = 100

    def measure_at(size: int) -> float:
        links = tuple(turn("a" * 6, number, size // turns) for number in range(turns))
        frame = encode(HistoryPage(links, None, False, frozenset()).to_json())

        async def read() -> None:
            page = HistoryPage.from_json(Decoder().feed(frame)[0])
            b"".join(turn.input + turn.output for turn in reversed(page.turns))

        return asyncio.run(processor_us_per_read(effort.seconds, read))

    return Series(
        "chain-take",
        f"a sender's processor time for a chain's answer of {turns} turns, decoded and joined",
        HISTORY_MODULES,
        "bytes of text",
        "processor time a chain",
        "µs",
        sample(HISTORY_BYTES, effort, measure_at),
    )


def text_growth(_: Effort) -> Series:
    """Measure the encoded bytes of 10,000 bytes of text, by the non-ASCII bytes among them."""
    text_bytes = 10_000

    def measure_at(non_ascii_bytes: int) -> float:
        record = TurnRecord(
            "t", "p", None, RETAIN_MS, b"\xc3" * non_ascii_bytes + b"x" * (text_bytes - non_ascii_bytes), b""
        )
        return float(len(encode(record.to_json())))

    return Series(
        "text-growth",
        f"bytes of a message with {text_bytes} bytes of text",
        HISTORY_MODULES,
        "bytes that are not ASCII",
        "bytes on the wire",
        "B",
        sample((0, 1_000, 5_000, 10_000), Effort(0, 1), measure_at),
    )


def index_scan(effort: Effort) -> Series:
    """Measure a source's processor time to read and filter a page of its index for a syncing store, by its rows."""
    members = tuple(Member(f"{number:016x}", f"10.0.0.{number}:7380") for number in range(VIEW_MEMBERS))

    def measure_at(rows: int) -> float:
        view = StoreView(2, members, members[1:])

        async def run(storage: Storage) -> float:
            await commit_turns(
                storage, [turn(f"{index % INDEX_PROGRAMS:06x}", index // INDEX_PROGRAMS, 50) for index in range(rows)]
            )

            async def read() -> None:
                page = await storage.transact(
                    lambda connection: turn_table.read_index_page(connection, ("", ""), rows, 0)
                )
                for entry in page:
                    view.next_replicas(entry.program, REPLICAS)

            return await processor_us_per_read(effort.seconds, read)

        return with_storage(run)

    return Series(
        "index-scan",
        f"a page of the index read and filtered for a copy, {VIEW_MEMBERS} stores",
        "dewpin/controlplane/store/turn_table.py, dewpin/cluster/store_view.py",
        "rows of the page",
        "processor time a page",
        "µs",
        sample(INDEX_ROWS, effort, measure_at),
    )
