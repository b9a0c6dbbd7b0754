"""The stores' file: turns and ledger replicas written in groups, chains read, the index scanned for a copy."""

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

TURNS = "dewpin/controlplane/storage/storage.py, turn_table.py"
LEDGERS = "dewpin/controlplane/storage/storage.py, ledger_replica.py"
HISTORY_MESSAGE = "dewpin/cluster/store_messages.py, netstring.py"

RECORD_BYTES = 5_000
RETAIN_MS = 3_600_000
WRITERS = (1, 3, 10, 30, 100)
WRITER_SECONDS_FACTOR = 2
GROUP = 32
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
"""Writes one record: the writer's number, and how many it has written before."""
WriterFactory = Callable[[Storage], WriteOne]


def turn(program: str, number: int, size: int) -> TurnRecord:
    """A turn with a body of so many bytes that continues the previous one."""
    previous = f"{program}{number - 1:08x}" if number else None
    return TurnRecord(f"{program}{number:08x}", program, previous, RETAIN_MS, b"x" * (size // 2), b"y" * (size // 2))


def with_storage(work: Callable[[Storage], Coroutine[Any, Any, R]]) -> R:
    """What `work` returns, given a new store's file in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        storage = Storage(folder)
        try:
            return asyncio.run(work(storage))
        finally:
            storage.close()


async def commit_turns(storage: Storage, records: list[TurnRecord]) -> None:
    """Commit turns together."""
    now_ms = int(time.time() * 1000)
    await storage.transact(lambda connection: turn_table.put(connection, records, now_ms, 0))


async def write_concurrently(writers: int, seconds: float, write: WriteOne) -> tuple[int, float, float]:
    """Writers that each wait for their own record: records in all, seconds, processor seconds of the process."""
    end = time.perf_counter() + seconds
    counts = [0] * writers

    async def write_repeatedly(index: int) -> None:
        while time.perf_counter() < end:
            await write(index, counts[index])
            counts[index] += 1

    start, used = time.perf_counter(), time.process_time()
    await asyncio.gather(*(write_repeatedly(index) for index in range(writers)))
    return sum(counts), time.perf_counter() - start, time.process_time() - used


def turn_writer(size: int) -> WriterFactory:
    """Writers of turns of so many bytes."""

    def create_writer(storage: Storage) -> WriteOne:
        async def write(writer: int, number: int) -> None:
            await commit_turns(storage, [turn(f"{writer:06x}", number, size)])

        return write

    return create_writer


def ledger_writer(value_of: Callable[[int], dict[str, Any]]) -> WriterFactory:
    """Writers of accepts of a ledger each; `value_of` returns the value of the n-th accept."""

    def create_writer(storage: Storage) -> WriteOne:
        async def write(writer: int, number: int) -> None:
            program, ballot, value = f"{writer:06x}", Ballot(number + 1, "sender"), value_of(number)
            await storage.transact(
                lambda connection: ledger_replica.accept(connection, program, ballot, value, None, number)
            )

        return write

    return create_writer


def round_time_us(writers: int, effort: Effort, create_writer: WriterFactory) -> float:
    """Microseconds in which each of the waiting writers has one record committed."""

    async def run(storage: Storage) -> float:
        seconds = effort.seconds * WRITER_SECONDS_FACTOR
        records, took, _ = await write_concurrently(writers, seconds, create_writer(storage))
        return writers * took * MICROSECONDS / records

    return with_storage(run)


def processor_us_per_record(effort: Effort, create_writer: WriterFactory) -> float:
    """Processor microseconds of a record, written by GROUP concurrent writers."""

    async def run(storage: Storage) -> float:
        records, _, used = await write_concurrently(GROUP, effort.seconds, create_writer(storage))
        return used * MICROSECONDS / records

    return with_storage(run)


async def processor_us_per_read(seconds: float, read: Callable[[], Awaitable[object]]) -> float:
    """Processor microseconds of one read, repeated for so many seconds."""
    end = time.perf_counter() + seconds
    reads = 0
    used = time.process_time()
    while time.perf_counter() < end:
        await read()
        reads += 1
    return (time.process_time() - used) * MICROSECONDS / reads


def turn_commit(effort: Effort) -> Series:
    """Time of a round in which each waiting writer has one turn committed; the slope is the least time a turn."""
    return Series(
        "turn-commit",
        f"one turn of {RECORD_BYTES} bytes for each writer, committed and synced",
        TURNS,
        "writers waiting at once",
        "time a round",
        "µs",
        sample(WRITERS, effort, lambda writers: round_time_us(writers, effort, turn_writer(RECORD_BYTES))),
    )


def ledger_commit(effort: Effort) -> Series:
    """Time of a round in which each waiting writer has one accept of its ledger committed."""
    create_writer = ledger_writer(lambda number: {"spent": number, "open": {f"{number:016x}": 325}})
    return Series(
        "ledger-commit",
        "one accept of a ledger for each writer, committed and synced",
        LEDGERS,
        "writers waiting at once",
        "time a round",
        "µs",
        sample(WRITERS, effort, lambda writers: round_time_us(writers, effort, create_writer)),
    )


def turn_cost(effort: Effort) -> Series:
    """Processor time of a turn, in groups of GROUP waiting writers, by its size."""
    return Series(
        "turn-cost",
        f"processor time of a turn written, {GROUP} writers waiting",
        TURNS,
        "bytes of the turn",
        "processor time a turn",
        "µs",
        sample(RECORD_SIZES, effort, lambda size: processor_us_per_record(effort, turn_writer(size))),
    )


def ledger_cost(effort: Effort) -> Series:
    """Processor time of a ledger's accept, by its open reservations."""

    def at(reservations: int) -> float:
        value = {"spent": 1000, "open": {f"{one:016x}": 325 for one in range(reservations)}}
        return processor_us_per_record(effort, ledger_writer(lambda _: value))

    return Series(
        "ledger-cost",
        f"processor time of a ledger's accept, {GROUP} writers waiting",
        LEDGERS,
        "open reservations",
        "processor time an accept",
        "µs",
        sample(OPEN_RESERVATIONS, effort, at),
    )


def disk_bytes(effort: Effort) -> Series:
    """Bytes of the file, by turns of RECORD_BYTES held."""

    def at(rows: int) -> float:
        with tempfile.TemporaryDirectory() as folder:
            storage = Storage(folder)
            asyncio.run(
                commit_turns(storage, [turn(f"{one % 50:06x}", one // 50, RECORD_BYTES) for one in range(rows)])
            )
            storage.close()
            return float((Path(folder) / DATABASE_NAME).stat().st_size)

    return Series(
        "disk",
        f"bytes of the store's file with turns of {RECORD_BYTES} bytes",
        TURNS,
        "turns",
        "bytes on disk",
        "B",
        sample(ROWS, effort, at),
    )


def history_read(effort: Effort) -> Series:
    """Processor time of a store to read a conversation history and encode its reply, by its turns."""

    def at(turns: int) -> float:
        async def run(storage: Storage) -> float:
            await commit_turns(storage, [turn("a" * 6, number, RECORD_BYTES) for number in range(turns)])
            last = turn("a" * 6, turns - 1, 0).turn

            async def read() -> None:
                page = await storage.transact(
                    lambda connection: turn_table.read_history(connection, "a" * 6, last, UNLIMITED_BYTES)
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
        sample(HISTORY_TURNS, effort, at),
    )


def history_decode(effort: Effort) -> Series:
    """Processor time of a sender to decode a reply with a conversation history, by its bytes."""
    turns = 100

    def at(size: int) -> float:
        links = tuple(turn("a" * 6, number, size // turns) for number in range(turns))
        frame = encode(HistoryPage(links, None, False, frozenset()).to_json())

        async def read() -> None:
            page = HistoryPage.from_json(Decoder().feed(frame)[0])
            b"".join(turn.input + turn.output for turn in reversed(page.turns))

        return asyncio.run(processor_us_per_read(effort.seconds, read))

    return Series(
        "chain-take",
        f"a sender's processor time for a chain's answer of {turns} turns, decoded and joined",
        HISTORY_MESSAGE,
        "bytes of text",
        "processor time a chain",
        "µs",
        sample(HISTORY_BYTES, effort, at),
    )


def text_growth(_: Effort) -> Series:
    """Bytes on the wire of 10,000 bytes of text, by the bytes among them that are not ASCII."""
    whole = 10_000

    def at(others: int) -> float:
        record = TurnRecord("t", "p", None, RETAIN_MS, b"\xc3" * others + b"x" * (whole - others), b"")
        return float(len(encode(record.to_json())))

    return Series(
        "text-growth",
        f"bytes of a message with {whole} bytes of text",
        HISTORY_MESSAGE,
        "bytes that are not ASCII",
        "bytes on the wire",
        "B",
        sample((0, 1_000, 5_000, 10_000), Effort(0, 1), at),
    )


def index_scan(effort: Effort) -> Series:
    """Processor time of a source to send a page of its index to a store that copies, by the rows of the page."""
    members = tuple(Member(f"{number:016x}", f"10.0.0.{number}:7380") for number in range(VIEW_MEMBERS))

    def at(rows: int) -> float:
        view = StoreView(2, members, members[1:])

        async def run(storage: Storage) -> float:
            await commit_turns(
                storage, [turn(f"{one % INDEX_PROGRAMS:06x}", one // INDEX_PROGRAMS, 50) for one in range(rows)]
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
        sample(INDEX_ROWS, effort, at),
    )
