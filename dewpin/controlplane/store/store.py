"""One store: holds turns and replicas of budget ledgers, and answers senders and other stores under one epoch."""

from __future__ import annotations

import asyncio
import logging
import sqlite3
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager

from dewpin.cluster.logs import log_unexpected
from dewpin.cluster.memory_budget import MemoryBudget
from dewpin.cluster.rpc import Message
from dewpin.cluster.store_view import StoreView
from dewpin.controlplane.storage import StorageError
from dewpin.controlplane.store import ledger_replica, ledger_retention, turn_table
from dewpin.controlplane.store.copy_handlers import CopyHandlers
from dewpin.controlplane.store.sender_handlers import RETENTION_MARGIN_MS, SenderHandlers
from dewpin.controlplane.store.turn_table import TurnKey
from dewpin.controlplane.store.view_guard import TransactionalStorage, ViewGuard

PURGE_BATCH_SIZE = 200
PURGE_PERIOD_S = 1.0

log = logging.getLogger(__name__)


def unix_time_ms() -> int:
    """Return the wall-clock time of this machine, in ms since the Unix epoch."""
    return int(time.time() * 1000)


def _ignore_view(view: StoreView) -> None:
    """Ignore an adopted view."""


class Store:
    """The records of one member, and the handlers of requests for them.

    A request of another epoch is rejected, and the error carries the store's own view. A newer view is adopted from any
    request that carries one, and through `adopt`.

    `member_id`: id of this member.
    `replica_count`: number of replicas of each key, 2 f + 1.
    `storage`: database of the records.
    `handlers`: handlers by message type, for the RpcServer of the process.
    """

    def __init__(
        self,
        storage: TransactionalStorage,
        member_id: str,
        replica_count: int,
        wall_clock_ms: Callable[[], int] = unix_time_ms,
        on_view: Callable[[StoreView], None] = _ignore_view,
        budget: MemoryBudget | None = None,
    ) -> None:
        """Create the store of member `member_id`; `on_view` is called with each adopted view.

        budget: the memory budget of the process, for the histories that are read.
        """
        self.member_id = member_id
        self.replica_count = replica_count
        self.storage = storage
        self._wall_clock_ms = wall_clock_ms
        self._longest_retain_s: float | None = None
        self._copies_in_progress = 0
        self._guard = ViewGuard(storage, member_id, replica_count, on_view)
        self.handlers: dict[str, Callable[[Message], Awaitable[Message]]] = {
            **SenderHandlers(self._guard, self.now_ms, budget or MemoryBudget.for_process(0.0)).handlers,
            **CopyHandlers(self._guard, self.now_ms).handlers,
        }

    @property
    def view(self) -> StoreView | None:
        """The view under which requests are answered; None before the first one is adopted."""
        return self._guard.view

    def now_ms(self) -> int:
        """Return the wall-clock time in ms."""
        return self._wall_clock_ms()

    async def load(self) -> None:
        """Adopt the durable view of the previous run of the process. Raises StorageError."""
        await self._guard.load()

    def adopt(self, view: StoreView) -> bool:
        """Switch to `view` if it is newer than the current view; return whether it is."""
        return self._guard.adopt(view)

    async def make_view_durable(self) -> StoreView:
        """Make the current view durable, so that no restart reverts it; return it. Raises StorageError, RpcError."""
        return await self._guard.make_view_durable()

    def set_ledger_retention(self, longest_retain_s: float) -> None:
        """Set the longest `retain_s` of the newest configuration, effective from the next purge."""
        self._longest_retain_s = longest_retain_s

    @contextmanager
    def turns_kept(self) -> Iterator[None]:
        """Delete no turns during the block, in which turns are copied to this store in any order.

        Until its successors have arrived, an expired turn looks as if no turn continued it.
        """
        self._copies_in_progress += 1
        try:
            yield
        finally:
            self._copies_in_progress -= 1

    async def purge_forever(self) -> None:
        """Delete expired turns and idle ledgers in small batches until cancelled."""
        while True:
            await asyncio.sleep(PURGE_PERIOD_S)
            try:
                await self.purge_batch()
            except StorageError as failure:
                log.warning("store.purge_failed", extra={"why": str(failure)})
            except Exception as error:  # otherwise nothing would be deleted any more
                log_unexpected(error, task="purge")

    async def purge_batch(self) -> int:
        """Delete up to PURGE_BATCH_SIZE turns and as many ledgers; return the number deleted. Raises StorageError.

        No ledger is deleted before a configuration has set the retention, and no turn while turns are copied to this
        store.
        """
        now_ms, longest_retain_s = self.now_ms(), self._longest_retain_s
        max_turns = 0 if self._copies_in_progress else PURGE_BATCH_SIZE

        def work(connection: sqlite3.Connection) -> tuple[list[TurnKey], int]:
            turns = turn_table.purge(connection, now_ms, max_turns)
            retention = ledger_retention.update(connection, longest_retain_s, now_ms)
            if retention is None:
                return turns, 0
            unchanged_since_ms = now_ms - retention.max_idle_ms(now_ms) - RETENTION_MARGIN_MS
            return turns, ledger_replica.purge(connection, unchanged_since_ms, PURGE_BATCH_SIZE)

        turns, ledger_count = await self.storage.transact(work)
        if turns:
            log.debug("store.turns_deleted", extra={"turns": [turn for turn, _ in turns]})
        return len(turns) + ledger_count
