"""sqlite3 as the stores use it: one writer thread that commits what waits, synced, in groups."""

from __future__ import annotations

import queue
import sqlite3
import tempfile
import threading
import time
from concurrent.futures import Future
from pathlib import Path

from benchmarks.capacity.series import Effort, Series, sample
from benchmarks.capacity.timing import MICROSECONDS, processor_us_per_call

STAND_IN = "stand-in"
RECORD_BYTES = 5_000
WRITERS = (1, 3, 10, 30, 100)
WRITER_SECONDS_FACTOR = 2
RECORD_SIZES = (500, 5_000, 20_000, 50_000)
ROWS = (500, 1_000, 2_000, 4_000)
MOST_IN_A_GROUP = 256

Record = tuple[str, str, bytes]


def open_store(folder: Path) -> sqlite3.Connection:
    """A store's file: write-ahead log, exclusive lock, every commit synced."""
    connection = sqlite3.connect(folder / "turns.sqlite3", check_same_thread=False, isolation_level=None)
    connection.execute("PRAGMA journal_mode = WAL")
    connection.execute("PRAGMA locking_mode = EXCLUSIVE")
    connection.execute("PRAGMA synchronous = FULL")
    connection.execute("CREATE TABLE turn (program TEXT, id TEXT, text BLOB, PRIMARY KEY (program, id)) WITHOUT ROWID")
    return connection


def record(number: int, size: int) -> Record:
    """A turn's row."""
    return f"{number % 100:06x}", f"{number:016x}", b"x" * size


def insert(connection: sqlite3.Connection, records: list[Record]) -> None:
    """Commit the records together."""
    connection.execute("BEGIN IMMEDIATE")
    connection.executemany("INSERT OR REPLACE INTO turn VALUES (?, ?, ?)", records)
    connection.execute("COMMIT")


class GroupWriter:
    """One thread that commits all records waiting at a time as one group."""

    def __init__(self, connection: sqlite3.Connection) -> None:
        self._connection = connection
        self._waiting: queue.SimpleQueue[tuple[Record, Future[None]] | None] = queue.SimpleQueue()
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def write(self, one: Record) -> None:
        """Return when the record is committed and synced."""
        done: Future[None] = Future()
        self._waiting.put((one, done))
        done.result()

    def close(self) -> None:
        """Commit what waits and end the thread."""
        self._waiting.put(None)
        self._thread.join()

    def _run(self) -> None:
        while (first := self._waiting.get()) is not None:
            group = [first]
            while len(group) < MOST_IN_A_GROUP and not self._waiting.empty():
                following = self._waiting.get()
                if following is None:
                    self._waiting.put(None)
                    break
                group.append(following)
            insert(self._connection, [one for one, _ in group])
            for _, done in group:
                done.set_result(None)


def committed_per_second(writers: int, size: int, seconds: float) -> float:
    """Records committed a second by so many threads that each wait for their own."""
    with tempfile.TemporaryDirectory() as folder:
        connection = open_store(Path(folder))
        writer = GroupWriter(connection)
        end = time.perf_counter() + seconds
        counts = [0] * writers

        def write_in_turn(index: int) -> None:
            while time.perf_counter() < end:
                writer.write(record(index + writers * counts[index], size))
                counts[index] += 1

        threads = [threading.Thread(target=write_in_turn, args=(index,)) for index in range(writers)]
        start = time.perf_counter()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        took = time.perf_counter() - start
        writer.close()
        connection.close()
    return sum(counts) / took


def group_commit(effort: Effort) -> Series:
    """Time of a round in which each waiting writer has one record committed; its slope is the least time a record."""

    def at(writers: int) -> float:
        rate = committed_per_second(writers, RECORD_BYTES, effort.seconds * WRITER_SECONDS_FACTOR)
        return writers * MICROSECONDS / rate

    return Series(
        "group-commit",
        f"one record of {RECORD_BYTES} bytes for each writer, committed and synced (WAL, EXCLUSIVE, FULL)",
        STAND_IN,
        "writers waiting at once",
        "time a round",
        "µs",
        sample(WRITERS, effort, at),
    )


def insert_cost(effort: Effort) -> Series:
    """Processor time of a record in a group of 32, by its size."""
    group = 32

    def at(size: int) -> float:
        with tempfile.TemporaryDirectory() as folder:
            connection = open_store(Path(folder))
            numbers = iter(range(10**9))

            def commit_group() -> None:
                insert(connection, [record(next(numbers), size) for _ in range(group)])

            cost = processor_us_per_call(commit_group, effort.seconds) / group
            connection.close()
        return cost

    return Series(
        "insert",
        f"processor time of a record in a group commit of {group}",
        STAND_IN,
        "bytes of the record",
        "processor time a record",
        "µs",
        sample(RECORD_SIZES, effort, at),
    )


def disk_bytes(effort: Effort) -> Series:
    """Bytes of the file, by records of RECORD_BYTES held."""

    def at(rows: int) -> float:
        with tempfile.TemporaryDirectory() as folder:
            connection = open_store(Path(folder))
            insert(connection, [record(number, RECORD_BYTES) for number in range(rows)])
            connection.execute("PRAGMA wal_checkpoint(TRUNCATE)")
            connection.close()
            return float((Path(folder) / "turns.sqlite3").stat().st_size)

    return Series(
        "disk",
        f"bytes of the store's file with records of {RECORD_BYTES} bytes",
        STAND_IN,
        "records",
        "bytes on disk",
        "B",
        sample(ROWS, effort, at),
    )


def read_chain(effort: Effort) -> Series:
    """Time to read all turns of a program, by their number."""
    turns_of_a_program = (1, 10, 30, 100)

    def at(turns: int) -> float:
        with tempfile.TemporaryDirectory() as folder:
            connection = open_store(Path(folder))
            insert(connection, [("p", f"{number:016x}", b"x" * RECORD_BYTES) for number in range(turns)])
            query = "SELECT id, text FROM turn WHERE program = ?"
            cost = processor_us_per_call(lambda: connection.execute(query, ("p",)).fetchall(), effort.seconds)
            connection.close()
        return cost

    return Series(
        "read-chain",
        f"read a chain of turns of {RECORD_BYTES} bytes from the store's file",
        STAND_IN,
        "turns in the chain",
        "processor time a chain",
        "µs",
        sample(turns_of_a_program, effort, at),
    )
