"""The disk of a simulated machine, behind the interface of `dewpin.controlplane.storage.Storage`.

What was committed is what a loss of power leaves. Of the transactions under way at a loss, a part is kept that begins
with the first, as the write-ahead log of sqlite3 keeps it, and nobody is told of it.
"""

import sqlite3
from collections import deque
from contextvars import Context

from dewpin.controlplane.storage import MAX_COMMIT_S, MAX_JOBS_IN_COMMIT, StorageError
from dewpin.controlplane.storage.schema import migrate

SYNC_S = 0.0005


class Disk:
    """One folder's database. `slow_s`: how much longer a commit takes; `full`: it takes no writes; `silent`: no commit
    ends; `acknowledges_early`: a wrong variant that answers before the commit, for tests of the runs themselves."""

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
        self._run = 0
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
            raise StorageError("the disk does not answer")
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
            self._run += 1
            self._later(SYNC_S, self._run)

    def lose_power(self, dice):
        """Drop what was under way, but for some first part of it; nobody hears of either."""
        self._run += 1
        for work, _ in self._committing[: dice.randint(0, len(self._committing))]:
            self._apply(work)
        self._committing = []
        self._pending.clear()
        self._commit_since_s = None

    def _begin(self):
        self._run += 1
        self._commit_since_s = self._loop.now
        self._committing = [self._pending.popleft() for _ in range(min(len(self._pending), MAX_JOBS_IN_COMMIT))]
        if self.acknowledges_early:
            for work, future in self._committing:
                self._tell(future, *self._attempt(work))
        self._later(SYNC_S + self.slow_s * self._loop.random.random(), self._run)

    def _later(self, wait_s, run):
        self._loop.call_at(self._loop.now + wait_s, self._finish, run, context=Context())

    def _finish(self, run):
        if self._silent or run != self._run or self._commit_since_s is None:
            return
        group, self._committing = self._committing, []
        for work, future in group:
            self._tell(future, *self._apply(work))
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
        """Run a transaction; return its result and its error."""
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
    def _tell(future, result, error):
        if future.done():
            return
        if error is not None:
            future.set_exception(error)
        else:
            future.set_result(result)
