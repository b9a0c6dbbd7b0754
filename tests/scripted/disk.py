"""Storage in memory: databases with the tier's schema that a test can make full, slow, failing or unresponsive."""

import asyncio
import sqlite3

from dewpin.controlplane.storage import StorageError
from dewpin.controlplane.storage.schema import migrate

FOREVER_S = 1e6
DISK_FULL = "database or disk is full"


class MemoryDisk:
    """A storage that runs each transaction immediately. `full`: transactions that change a row fail."""

    def __init__(self):
        self.connection = sqlite3.connect(":memory:", isolation_level=None, check_same_thread=False)
        migrate(self.connection)
        self.full = False
        self._changes = 0

    async def transact(self, work):
        self.connection.execute("BEGIN")
        try:
            result = work(self.connection)
            if self.full and self.connection.total_changes != self._changes:
                raise StorageError(DISK_FULL)
            self.connection.execute("COMMIT")
            return result
        except BaseException:
            self.connection.execute("ROLLBACK")
            raise
        finally:
            self._changes = self.connection.total_changes


class Disk(MemoryDisk):
    """The storage of one machine. `fails`: writes raise; `stalls`: no call returns; `delay_s`: time per call."""

    def __init__(self, incarnation="one"):
        super().__init__()
        self.incarnation = incarnation
        self.fails = False
        self.stalls = False
        self.delay_s = 0.0
        self.writes = 0

    async def write(self, statements):
        await self._wait()
        if self.fails:
            raise StorageError(DISK_FULL)
        self.writes += 1
        self.connection.execute("BEGIN")
        for sql, values in statements:
            self.connection.execute(sql, values)
        self.connection.execute("COMMIT")

    async def query(self, sql, arguments=()):
        await self._wait()
        return self.connection.execute(sql, arguments).fetchall()

    async def _wait(self):
        await asyncio.sleep(FOREVER_S if self.stalls else self.delay_s)
