"""Reads pages of conversation histories inside the memory budget of the process.

A short request makes a store read a page of up to `MAX_HISTORY_BYTES`. The pages of many requests are read as a group
before the first of them is encoded, so each is charged while it is read.
"""

from __future__ import annotations

import asyncio
import sqlite3

from dewpin.cluster import store_messages as wire
from dewpin.cluster.memory_budget import MemoryAccount, MemoryBudget, MemoryBudgetExceededError
from dewpin.cluster.rpc import Message, RpcError
from dewpin.cluster.store_messages import HistoryPage
from dewpin.cluster.store_requests import HistoryRequest
from dewpin.controlplane.store import turn_table
from dewpin.controlplane.store.view_guard import ViewGuard

MAX_HISTORY_BYTES = 4 * 1024 * 1024
"""Limit on the bodies in one history reply; the sender requests the rest separately."""
PAGE_COPIES = 3
"""Copies of the bodies that are charged for a page: as stored, as text, and as the reply that is encoded."""


class HistoryReader:
    """Reads pages under the view of `guard`; what they hold is charged to `budget`."""

    def __init__(self, guard: ViewGuard, budget: MemoryBudget) -> None:
        self._guard = guard
        self._budget = budget

    async def read(self, epoch: int, request: HistoryRequest) -> Message:
        """Return a page as a reply.

        Raises RpcError: `busy` if the page does not fit into the memory budget, or as `ViewGuard.transact`.
        """
        account = self._budget.open_account(may_wait=False)
        try:
            page = await self._guard.transact(epoch, lambda connection: _read_page(connection, request, account))
        except BaseException:
            account.close()
            raise
        if page is None:
            account.close()
            raise RpcError(wire.BUSY, "no memory for the history")
        # The server encodes the reply before the event loop runs this.
        asyncio.get_running_loop().call_soon(account.close)
        return page.to_json()


def _read_page(connection: sqlite3.Connection, request: HistoryRequest, account: MemoryAccount) -> HistoryPage | None:
    """Return a page; None if it does not fit into the memory budget."""

    def charge(size_bytes: int) -> None:
        account.resize(PAGE_COPIES * size_bytes)

    try:
        return turn_table.read_history(connection, request.program, request.last_turn, MAX_HISTORY_BYTES, charge)
    except MemoryBudgetExceededError:
        return None
