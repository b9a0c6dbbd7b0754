"""The durable state of a control server: one sqlite3 database per data folder, written by one thread with group
commit."""

from __future__ import annotations

import asyncio
import logging
import os
import secrets
import sqlite3
import threading
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Generic, TypeVar

from dewpin.cluster.errors import DewpinError

DATABASE_NAME = "keeper.sqlite3"
"""Name of the database file inside the data folder; a new release must find the data of an earlier one."""
DAMAGED_MARK = "keeper.damaged"
"""Name of the file that tells the next start to set the database aside."""
SCHEMA_VERSION = 3
MOST_WAITING = 20_000
"""Jobs that may wait for the storage thread; one more is refused at once."""
MOST_IN_COMMIT = 256
"""Jobs that share one commit at most."""
MOST_COMMIT_S = 2.0
"""Once a commit has taken so long, the disk counts as silent and new jobs are refused at once: who asked has given up
long before the disk is back, and what waits for it takes memory."""
PAGE_CACHE_KIB = 4096
WAL_LIMIT_BYTES = 8 * 1024 * 1024
INCARNATION_BYTES = 8

Statement = tuple[str, tuple[Any, ...]]
"""An SQL statement with the values of its placeholders."""
Row = tuple[Any, ...]
Result = TypeVar("Result")

_SCHEMA_1 = (
    "CREATE TABLE meta (name TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID",
    # The replica of a register: ballots and the value are text of the register's own encoding.
    "CREATE TABLE register_replica (key TEXT PRIMARY KEY, promised TEXT, accepted_ballot TEXT, value TEXT,"
    " changed_ms INTEGER NOT NULL DEFAULT 0) WITHOUT ROWID",
    "CREATE INDEX register_replica_changed ON register_replica (changed_ms)",
    # One row for each program that holds a turn; the bodies are kept once, in turn_bodies.
    "CREATE TABLE turns (turn TEXT NOT NULL, program TEXT NOT NULL, previous TEXT, retain_ms INTEGER NOT NULL,"
    " expires_ms INTEGER NOT NULL, PRIMARY KEY (turn, program)) WITHOUT ROWID",
    "CREATE INDEX turns_expiry ON turns (expires_ms)",
    "CREATE INDEX turns_previous ON turns (previous) WHERE previous IS NOT NULL",
    "CREATE TABLE turn_bodies (turn TEXT PRIMARY KEY, input BLOB NOT NULL, output BLOB NOT NULL)",
)
_SCHEMA_2 = (
    # Every order of the operator that was taken, in the order of their numbers: 1, 2, 3 and so on.
    "CREATE TABLE orders (number INTEGER PRIMARY KEY, generation INTEGER NOT NULL, digest TEXT NOT NULL)",
    "CREATE INDEX orders_generation ON orders (generation)",
    # The operator's configuration of the register's value, which names it by its digest.
    "CREATE TABLE register_bodies (digest TEXT PRIMARY KEY, body TEXT NOT NULL)",
)
_SCHEMA_3 = (
    # The order in which a store of an earlier release took its turns; later ones leave it empty.
    "ALTER TABLE turns ADD COLUMN arrival INTEGER",
    "CREATE UNIQUE INDEX turns_arrival ON turns (arrival) WHERE arrival IS NOT NULL",
    # Whether the replica of a ledger got its value from another one, without a vote of its own.
    "ALTER TABLE register_replica ADD COLUMN copied INTEGER NOT NULL DEFAULT 0",
)
_MIGRATIONS: dict[int, Sequence[str]] = {0: _SCHEMA_1, 1: _SCHEMA_2, 2: _SCHEMA_3}
"""Statements that lead from a schema version to the next one."""


class StorageError(DewpinError):
    """A read or write that did not take place, or a write of which nobody knows whether it did."""


class StorageDamagedError(StorageError):
    """The database file is damaged; the next start sets it aside and begins as another incarnation."""


class SchemaTooNewError(DewpinError):
    """The database was written by a newer release; it is left untouched."""


@dataclass(slots=True)
class _Job(Generic[Result]):
    """One unit of work for the storage thread, with the future that tells its result."""

    work: Callable[[sqlite3.Connection], Result]
    loop: asyncio.AbstractEventLoop
    future: asyncio.Future[Result]
    result: Result | None = None
    error: Exception | None = None


def _log_error(text: str) -> None:
    logging.getLogger(__name__).error("storage.damaged", extra={"why": text})


def sync_folder(folder: Path) -> None:
    """Make the names inside `folder` durable."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)


def _is_damage(error: sqlite3.Error) -> bool:
    """Tell whether `error` says that the file's content is broken, not that a call on it failed."""
    text = str(error)
    return "malformed" in text or "not a database" in text


def _set_aside(folder: Path, log: Callable[[str], None]) -> None:
    """Rename the database files so that a new database, of a new incarnation, takes their place."""
    suffix = f".damaged-{time.time_ns()}"
    for name in (DATABASE_NAME, f"{DATABASE_NAME}-wal", f"{DATABASE_NAME}-journal"):
        if (folder / name).exists():
            os.replace(folder / name, folder / (name + suffix))
    sync_folder(folder)
    (folder / DAMAGED_MARK).unlink(missing_ok=True)
    sync_folder(folder)
    log(f"the database in {folder} is damaged: set aside as *{suffix}; this disk counts as lost")


def _migrate(connection: sqlite3.Connection) -> None:
    """Bring the schema to SCHEMA_VERSION, each step in a transaction of its own."""
    version = connection.execute("PRAGMA user_version").fetchone()[0]
    if version > SCHEMA_VERSION:
        raise SchemaTooNewError(f"the database has schema {version}, this release knows up to {SCHEMA_VERSION}")
    while version < SCHEMA_VERSION:
        connection.execute("BEGIN IMMEDIATE")
        for statement in _MIGRATIONS[version]:
            connection.execute(statement)
        if version == 0:
            identity = secrets.token_hex(INCARNATION_BYTES)
            connection.execute("INSERT INTO meta (name, value) VALUES ('incarnation', ?)", (identity,))
        version += 1
        connection.execute(f"PRAGMA user_version = {version}")
        connection.execute("COMMIT")


def _connect(folder: Path) -> sqlite3.Connection:
    """Open the database, with durability settings in place and its schema at the present version."""
    connection = sqlite3.connect(folder / DATABASE_NAME, isolation_level=None, check_same_thread=False)
    try:
        connection.execute("PRAGMA locking_mode = EXCLUSIVE")
        connection.execute("PRAGMA journal_mode = WAL")
        connection.execute("PRAGMA synchronous = FULL")
        connection.execute("PRAGMA temp_store = MEMORY")
        connection.execute(f"PRAGMA cache_size = -{PAGE_CACHE_KIB}")
        connection.execute(f"PRAGMA journal_size_limit = {WAL_LIMIT_BYTES}")
        _migrate(connection)
        connection.execute("SELECT value FROM meta WHERE name = 'incarnation'").fetchone()[0]
    except BaseException:
        connection.close()
        raise
    sync_folder(folder)
    return connection


def _open(folder: Path, log: Callable[[str], None]) -> sqlite3.Connection:
    """Open the database of `folder`, setting a damaged one aside."""
    folder.mkdir(parents=True, exist_ok=True)
    if (folder / DAMAGED_MARK).exists():
        _set_aside(folder, log)
    try:
        return _connect(folder)
    except sqlite3.DatabaseError as error:
        if not _is_damage(error):
            raise StorageError(f"the database in {folder} cannot be opened: {error}") from error
    _set_aside(folder, log)
    try:
        return _connect(folder)
    except sqlite3.Error as error:
        raise StorageError(f"the database in {folder} cannot be opened: {error}") from error


def _incarnation(connection: sqlite3.Connection) -> str:
    return str(connection.execute("SELECT value FROM meta WHERE name = 'incarnation'").fetchone()[0])


def incarnation(data_dir: str | os.PathLike[str]) -> str:
    """Return the random id of the folder's database, made (and synced) now if the folder has none.

    Not to be called while a `Storage` has the folder open: its `incarnation` tells the same.
    """
    connection = _open(Path(data_dir), lambda text: None)
    try:
        return _incarnation(connection)
    finally:
        connection.close()
        sync_folder(Path(data_dir))


class Storage:
    """The database of one data folder.

    A thread of its own makes every call on the file, so that a slow or silent disk never holds the event loop up.
    Jobs run in the order in which they were handed over; those that wait together share one commit.
    """

    def __init__(
        self,
        data_dir: str | os.PathLike[str],
        log: Callable[[str], None] = _log_error,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Open (or make) the database; blocks until it is durable. Raises StorageError or SchemaTooNewError."""
        self._folder = Path(data_dir)
        self._log = log
        self._clock = clock
        self._commit_since_s: float | None = None  # when the commit under way began
        self._connection = _open(self._folder, log)
        self.incarnation: str = _incarnation(self._connection)
        self.damaged = False
        self.on_damaged: Callable[[], None] = lambda: None  # called on the storage thread: the process should end
        self._jobs: deque[_Job[Any]] = deque()
        self._ready = threading.Condition()
        self._closing = False
        self._thread = threading.Thread(target=self._serve, name="storage", daemon=True)
        self._thread.start()

    async def write(self, statements: Sequence[Statement]) -> None:
        """Run `statements` as one atomic change; return once it is synced. Raises StorageError."""

        def work(connection: sqlite3.Connection) -> None:
            for sql, values in statements:
                connection.execute(sql, values)

        await self.transact(work)

    async def query(self, sql: str, args: tuple[Any, ...] = ()) -> list[Row]:
        """Return the rows of a query, which sees every write awaited before. Raises StorageError."""
        return await self.transact(lambda connection: connection.execute(sql, args).fetchall())

    async def transact(self, work: Callable[[sqlite3.Connection], Result]) -> Result:
        """Run `work` on the storage thread inside a transaction; return its result once that is synced.

        `work` may be run twice (its first effects being undone) and must not begin or end transactions.
        A write that raised StorageError may still turn out to have been kept. Raises StorageError.
        """
        if self._disk_is_silent():
            raise StorageError("the disk does not answer")
        loop = asyncio.get_running_loop()
        job: _Job[Result] = _Job(work, loop, loop.create_future())
        with self._ready:
            if self._closing:
                raise StorageError("the storage is closed")
            if len(self._jobs) >= MOST_WAITING:
                raise StorageError("too many reads and writes wait for the disk")
            self._jobs.append(job)
            self._ready.notify()
        return await job.future

    def close(self) -> None:
        """End the thread once all waiting jobs are done, and close the database."""
        with self._ready:
            self._closing = True
            self._ready.notify()
        self._thread.join()
        self._connection.close()
        sync_folder(self._folder)

    def _disk_is_silent(self) -> bool:
        began_s = self._commit_since_s
        return began_s is not None and self._clock() - began_s > MOST_COMMIT_S

    def _serve(self) -> None:
        """The storage thread: take what waits, commit it together, tell the results."""
        while True:
            with self._ready:
                while not self._jobs and not self._closing:
                    self._ready.wait()
                if not self._jobs:
                    return
                group = [self._jobs.popleft() for _ in range(min(len(self._jobs), MOST_IN_COMMIT))]
            if not self._commit(group) and len(group) > 1:
                for job in group:
                    self._commit([job])
            self._tell(group)

    def _commit(self, group: list[_Job[Any]]) -> bool:
        """Run the jobs of `group` in one transaction; note results or the error. Return whether it was kept."""
        self._commit_since_s = self._clock()
        try:
            if self.damaged:
                raise StorageDamagedError("the database is damaged")
            self._connection.execute("BEGIN")
            for job in group:
                job.error = None
                job.result = job.work(self._connection)
            self._connection.execute("COMMIT")
        except Exception as error:
            failure = self._failure(error)
            for job in group:
                job.error = failure
            self._roll_back()
            return False
        finally:
            self._commit_since_s = None
        return True

    def _failure(self, error: Exception) -> Exception:
        """Translate what went wrong on the storage thread; a damaged file is marked for the next start."""
        if not isinstance(error, (sqlite3.Error, OSError)):
            return error
        if isinstance(error, sqlite3.Error) and _is_damage(error):
            self._mark_damaged(error)
            return StorageDamagedError(str(error))
        return StorageError(str(error))

    def _mark_damaged(self, error: sqlite3.Error) -> None:
        self.damaged = True
        self._log(f"the database in {self._folder} is damaged ({error}): the next start sets it aside")
        try:
            (self._folder / DAMAGED_MARK).touch()
            sync_folder(self._folder)
        except OSError as failure:
            self._log(f"the damage could not be noted in {self._folder}: {failure}")
        self.on_damaged()

    def _roll_back(self) -> None:
        try:
            if self._connection.in_transaction:
                self._connection.execute("ROLLBACK")
        except sqlite3.Error as error:
            self._log(f"a transaction in {self._folder} could not be undone: {error}")

    @staticmethod
    def _tell(group: list[_Job[Any]]) -> None:
        """Hand the results to the event loops, with one wake-up for each loop."""
        by_loop: dict[asyncio.AbstractEventLoop, list[_Job[Any]]] = {}
        for job in group:
            by_loop.setdefault(job.loop, []).append(job)
        for loop, jobs in by_loop.items():
            try:
                loop.call_soon_threadsafe(_resolve, jobs)
            except RuntimeError:
                continue  # that loop has ended: nobody waits for these results


def _resolve(jobs: list[_Job[Any]]) -> None:
    """Resolve the futures of `jobs`, on their own event loop."""
    for job in jobs:
        if job.future.done():
            continue
        if job.error is not None:
            job.future.set_exception(job.error)
        else:
            job.future.set_result(job.result)
