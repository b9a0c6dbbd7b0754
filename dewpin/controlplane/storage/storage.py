"""Database transactions, run on a dedicated thread with group commit."""

from __future__ import annotations

import asyncio
import logging
import os
import sqlite3
import threading
import time
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Generic, TypeVar

from dewpin.cluster.process.supervised_thread import start_thread

from .database import is_damage, mark_damaged, open_database, sync_folder
from .errors import StorageDamagedError, StorageError
from .schema import incarnation_of

MAX_PENDING_JOBS = 20_000
"""Maximum number of jobs waiting for the storage thread; further ones are rejected immediately."""
MAX_JOBS_IN_COMMIT = 256
"""Maximum number of jobs per commit."""
MAX_COMMIT_S = 2.0
"""After a commit has run for this long, the disk is considered unresponsive and new jobs are rejected immediately:
their callers would time out long before the disk recovers, and pending jobs use memory."""

Statement = tuple[str, tuple[Any, ...]]
"""An SQL statement and the values of its placeholders."""
Row = tuple[Any, ...]
Result = TypeVar("Result")


@dataclass(slots=True)
class _Job(Generic[Result]):
    """One unit of work for the storage thread.

    `work`: runs on the storage thread, inside the transaction of its group.
    `loop`, `future`: the future that receives the result, and its event loop.
    `result`, `error`: outcome of the last run; set by the storage thread.
    """

    work: Callable[[sqlite3.Connection], Result]
    loop: asyncio.AbstractEventLoop
    future: asyncio.Future[Result]
    result: Result | None = None
    error: Exception | None = None


def _log_error(text: str) -> None:
    logging.getLogger(__name__).error("storage.damaged", extra={"why": text})


def _ignore_damage() -> None:
    """Take no further action on a damaged database; all jobs are rejected anyway."""


class Storage:
    """The database of one data directory.

    A dedicated thread performs all file access, so that a slow or unresponsive disk never blocks the event loop. Jobs
    run in the order of submission; jobs that are pending at the same time share one commit.

    `incarnation`: random id of the database, 16 hexadecimal digits.
    `is_damaged`: whether the file was found to be damaged; all further jobs fail.
    """

    def __init__(
        self,
        data_dir: str | os.PathLike[str],
        log: Callable[[str], None] = _log_error,
        clock: Callable[[], float] = time.monotonic,
        on_damaged: Callable[[], None] = _ignore_damage,
    ) -> None:
        """Open or create the database, blocking until it is durable. Raises StorageError, SchemaTooNewError or OSError.

        `log` receives messages for the operator; `clock` returns monotonic seconds; `on_damaged` is called on the
        storage thread when the file is found to be damaged: the process should then exit.
        """
        self._folder = Path(data_dir)
        self._log = log
        self._clock = clock
        self._on_damaged = on_damaged
        self._commit_started_s: float | None = None  # None while no commit is in progress
        self._connection = open_database(self._folder, log)
        self.incarnation: str = incarnation_of(self._connection)
        self.is_damaged = False
        self._jobs: deque[_Job[Any]] = deque()
        self._jobs_changed = threading.Condition()
        self._is_closing = False
        self._thread = threading.Thread(target=self._run_jobs, name="storage", daemon=True)
        try:
            start_thread(self._thread)
        except OSError:
            self._connection.close()
            raise

    async def write(self, statements: Sequence[Statement]) -> None:
        """Run `statements` atomically; return once they are synced to disk. Raises StorageError."""

        def work(connection: sqlite3.Connection) -> None:
            for sql, values in statements:
                connection.execute(sql, values)

        await self.transact(work)

    async def query(self, sql: str, args: tuple[Any, ...] = ()) -> list[Row]:
        """Return the rows of a query; it sees all previously awaited writes. Raises StorageError."""
        return await self.transact(lambda connection: connection.execute(sql, args).fetchall())

    async def transact(self, work: Callable[[sqlite3.Connection], Result]) -> Result:
        """Run `work` on the storage thread inside a transaction; return its result once it is synced to disk.

        `work` may run twice (the first run is then rolled back) and must not begin or end transactions. Raises
        StorageError; the write may have been committed nevertheless.
        """
        if self._is_disk_unresponsive():
            raise StorageError("the disk does not answer")
        loop = asyncio.get_running_loop()
        job: _Job[Result] = _Job(work, loop, loop.create_future())
        with self._jobs_changed:
            if self._is_closing:
                raise StorageError("the storage is closed")
            if len(self._jobs) >= MAX_PENDING_JOBS:
                raise StorageError("too many reads and writes wait for the disk")
            self._jobs.append(job)
            self._jobs_changed.notify()
        return await job.future

    def close(self) -> None:
        """Complete all pending jobs, stop the thread and close the database."""
        with self._jobs_changed:
            self._is_closing = True
            self._jobs_changed.notify()
        self._thread.join()
        self._connection.close()
        sync_folder(self._folder)

    def _is_disk_unresponsive(self) -> bool:
        started_s = self._commit_started_s
        return started_s is not None and self._clock() - started_s > MAX_COMMIT_S

    def _run_jobs(self) -> None:
        """Main loop of the storage thread: commits pending jobs in groups and delivers their results."""
        while group := self._next_group():
            try:
                self._commit_together_or_each(group)
            except Exception as error:  # the thread must go on, and no caller may wait for ever
                for job in group:
                    job.error = error
            self._deliver_results(group)

    def _next_group(self) -> list[_Job[Any]]:
        """Wait for jobs and return those of the next commit; none once the storage is closing and no job is left."""
        with self._jobs_changed:
            while not self._jobs and not self._is_closing:
                self._jobs_changed.wait()
            return [self._jobs.popleft() for _ in range(min(len(self._jobs), MAX_JOBS_IN_COMMIT))]

    def _commit_together_or_each(self, group: list[_Job[Any]]) -> None:
        """Commit the jobs of `group` in one transaction or, if that fails, each in its own."""
        if not self._commit(group) and len(group) > 1:
            for job in group:
                self._commit([job])

    def _commit(self, group: list[_Job[Any]]) -> bool:
        """Run the jobs of `group` in one transaction and set their results or error; return whether it committed."""
        self._commit_started_s = self._clock()
        try:
            if self.is_damaged:
                raise StorageDamagedError("the database is damaged")
            self._connection.execute("BEGIN")
            for job in group:
                job.error = None
                job.result = job.work(self._connection)
            self._connection.execute("COMMIT")
        except Exception as error:
            translated = self._translate_error(error)
            for job in group:
                job.error = translated
            self._roll_back()
            return False
        finally:
            self._commit_started_s = None
        return True

    def _translate_error(self, error: Exception) -> Exception:
        """Return the error to raise to callers for an error on the storage thread; mark a damaged database."""
        if not isinstance(error, (sqlite3.Error, OSError)):
            return error
        if isinstance(error, sqlite3.Error) and is_damage(error):
            self._handle_damage(error)
            return StorageDamagedError(str(error))
        return StorageError(str(error))

    def _handle_damage(self, error: sqlite3.Error) -> None:
        self.is_damaged = True
        self._log(f"the database in {self._folder} is damaged ({error}): it will be quarantined at the next start")
        try:
            mark_damaged(self._folder)
        except OSError as failure:
            self._log(f"failed to create the damage marker in {self._folder}: {failure}")
        self._on_damaged()

    def _roll_back(self) -> None:
        try:
            if self._connection.in_transaction:
                self._connection.execute("ROLLBACK")
        except sqlite3.Error as error:
            self._log(f"failed to roll back a transaction in {self._folder}: {error}")

    @staticmethod
    def _deliver_results(group: list[_Job[Any]]) -> None:
        """Deliver the results to their event loops, with one wake-up per loop."""
        by_loop: dict[asyncio.AbstractEventLoop, list[_Job[Any]]] = {}
        for job in group:
            by_loop.setdefault(job.loop, []).append(job)
        for loop, jobs in by_loop.items():
            try:
                loop.call_soon_threadsafe(_resolve_futures, jobs)
            except RuntimeError:
                continue  # the loop is closed, so nothing waits for these results


def _resolve_futures(jobs: list[_Job[Any]]) -> None:
    """Resolve the futures of `jobs`; called on their event loop."""
    for job in jobs:
        if job.future.done():
            continue
        if job.error is not None:
            job.future.set_exception(job.error)
        else:
            job.future.set_result(job.result)
