"""The disk of a simulated machine, behind the interface of `dewpin.controlplane.storage.Storage`.

Committed transactions survive a loss of power. Of the transactions in progress at that moment, a prefix survives, as
with the write-ahead log of sqlite3; their callers get no result.
"""

import sqlite3
from collections import deque
from contextvars import Context

from dewpin.controlplane.storage import MAX_COMMIT_S, MAX_JOBS_IN_COMMIT, StorageError
from dewpin.controlplane.storage.schema import migrate

SYNC_S = 0.0005


class Disk:
    """The database of one data directory. `slow_s`: maximum additional time of a commit; `full`: writes fail;
    `silent`: commits do not complete; `acknowledges_early`: a wrong variant that replies before the commit, for tests
    of the simulation itself."""

    def __init__(self, loop, incarnation):
        self._loop = loop
        self.incarnation = incarnation
        self.slow_s = 0.0
        self.full = False
        self.acknowledges_early = False
        self._silent = False
        self._pending = deque()
        self._committing = []
        self._commit_since_s = None
        self._commit_number = 0
        self._connection = sqlite3.connect(":memory:", isolation_level=None)
        migrate(self._connection)
        self._connection.execute("UPDATE meta SET value = ? WHERE name = 'incarnation'", (incarnation,))

    async def write(self, statements):
        def work(connection):
            for sql, values in statements:
                connection.execute(sql, values)

        await self.transact(work)

    async def query(self, sql, args=()):
        return await self.transact(lambda connection: connection.execute(sql, args).fetchall())

    async def transact(self, work):
        since_s = self._commit_since_s
        if since_s is not None and self._loop.now - since_s > MAX_COMMIT_S:
            raise StorageError("the disk does not respond")
        future = self._loop.create_future()
        self._pending.append((work, future))
        if self._commit_since_s is None:
            self._begin()
        return await future

    @property
    def silent(self):
        return self._silent

    @silent.setter
    def silent(self, silent):
        self._silent = silent
        if not silent and self._commit_since_s is not None:
            self._commit_number += 1
            self._schedule_finish(SYNC_S, self._commit_number)

    def lose_power(self, rng):
        """Drop the transactions in progress except a random prefix of them; no caller gets a result."""
        self._commit_number += 1
        for work, _ in self._committing[: rng.randint(0, len(self._committing))]:
            self._apply(work)
        self._committing = []
        self._pending.clear()
        self._commit_since_s = None

    def _begin(self):
        self._commit_number += 1
        self._commit_since_s = self._loop.now
        self._committing = [self._pending.popleft() for _ in range(min(len(self._pending), MAX_JOBS_IN_COMMIT))]
        if self.acknowledges_early:
            for work, future in self._committing:
                self._set_result(future, *self._attempt(work))
        self._schedule_finish(SYNC_S + self.slow_s * self._loop.random.random(), self._commit_number)

    def _schedule_finish(self, wait_s, commit_number):
        self._loop.call_at(self._loop.now + wait_s, self._finish, commit_number, context=Context())

    def _finish(self, commit_number):
        if self._silent or commit_number != self._commit_number or self._commit_since_s is None:
            return
        group, self._committing = self._committing, []
        for work, future in group:
            self._set_result(future, *self._apply(work))
        self._commit_since_s = None
        if self._pending:
            self._begin()

    def _attempt(self, work):
        self._connection.execute("BEGIN")
        try:
            return work(self._connection), None
        except Exception as error:
            return None, error
        finally:
            self._connection.execute("ROLLBACK")

    def _apply(self, work):
        """Run and commit a transaction; return its result and its error."""
        before = self._connection.total_changes
        self._connection.execute("BEGIN")
        try:
            result = work(self._connection)
            if self.full and self._connection.total_changes != before:
                raise StorageError("database or disk is full")
            self._connection.execute("COMMIT")
            return result, None
        except Exception as error:
            self._connection.execute("ROLLBACK")
            return None, StorageError(str(error)) if isinstance(error, sqlite3.Error) else error

    @staticmethod
    def _set_result(future, result, error):
        if future.done():
            return
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)
