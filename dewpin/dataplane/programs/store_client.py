"""A sender's store client: budget ledgers and turns on the replicas of each program.

`StoreClient` runs on one event loop; `BlockingStoreClient` makes it available to request threads.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import random
import secrets
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from dewpin.cluster.background_tasks import BackgroundTasks
from dewpin.cluster.store_messages import TurnRecord
from dewpin.cluster.store_view import StoreView
from dewpin.dataplane.programs.errors import StoreUnavailableError
from dewpin.dataplane.programs.history import History
from dewpin.dataplane.programs.history_cache import HistoryCache
from dewpin.dataplane.programs.ledger import Ledger
from dewpin.dataplane.programs.ledger_client import LedgerClient
from dewpin.dataplane.programs.program_store import Reservation, Settlement, Turn, TurnStart
from dewpin.dataplane.programs.replica_calls import ReplicaCalls, RpcCaller
from dewpin.dataplane.programs.store_view_tracker import StoreViewTracker
from dewpin.dataplane.programs.timeouts import run_with_timeout
from dewpin.dataplane.programs.turn_client import TurnClient

THREAD_WAIT_MARGIN_S = 0.25
"""How long beyond its time-out a request thread waits before it considers the event loop blocked."""
_PROPOSER_ID_BYTES = 6

Result = TypeVar("Result")


class StoreClient:
    """The store client of one sender; its methods are the asynchronous forms of those of `ProgramStore`."""

    def __init__(
        self,
        rpc: RpcCaller,
        replica_count: int,
        rng: random.Random | None = None,
        cache: HistoryCache | None = None,
        proposer_id: str | None = None,
        wall_clock_ms: Callable[[], int] = lambda: int(time.time() * 1000),
        location: str = "",
    ) -> None:
        """Create the client of a process at `location`; a running event loop is required.

        Each program is replicated on `replica_count` stores (2 f + 1).
        """
        rng = rng or random.Random()
        proposer_id = proposer_id or secrets.token_hex(_PROPOSER_ID_BYTES)
        self.cache = cache or HistoryCache()
        self._views = StoreViewTracker()
        self._calls = ReplicaCalls(rpc, self._views, rng, location)
        self._background = BackgroundTasks()
        self._ledgers = LedgerClient(
            self._calls, self._views, replica_count, proposer_id, rng, wall_clock_ms, self._background
        )
        self._turns = TurnClient(self._calls, self._views, replica_count, self.cache, self._background)

    def adopt(self, view: StoreView) -> None:
        """Adopt `view` if it is newer and has members."""
        if view.stable:
            self._views.adopt(view)
            self._calls.health.retain_only(view.members.keys())

    def close(self) -> None:
        """Cancel all calls and background tasks."""
        self._background.cancel()
        self._calls.close()

    async def reserve(self, program: str, turn_id: str, max_tokens: int, budget: int, timeout_s: float) -> Reservation:
        """Reserve tokens of the program's budget for a turn. Raises BudgetExceededError or StoreUnavailableError."""
        return await self._ledgers.reserve(program, turn_id, max_tokens, budget, timeout_s)

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """Replace a reservation by the tokens used, in the background or with the program's next ledger change."""
        self._ledgers.settle(reservation, used_tokens)

    async def read_ledger(self, program: str) -> Ledger | None:
        """Read the program's ledger from a majority, without a time-out."""
        return await self._ledgers.read(program)

    async def read_history(self, program: str, previous_id: str, timeout_s: float) -> History:
        """Return the history up to turn `previous_id`. Raises TurnNotFoundError or StoreUnavailableError."""
        return await run_with_timeout(self._turns.read_history(program, previous_id), timeout_s)

    async def begin_turn(
        self, program: str, turn_id: str, max_tokens: int, budget: int, previous_id: str, timeout_s: float
    ) -> TurnStart:
        """Reserve and read the history concurrently; a failure of either is raised and releases the reservation."""
        history_task = asyncio.ensure_future(self.read_history(program, previous_id, timeout_s))
        try:
            reservation = await self.reserve(program, turn_id, max_tokens, budget, timeout_s)
        except BaseException:
            history_task.cancel()
            await asyncio.gather(history_task, return_exceptions=True)
            raise
        try:
            return TurnStart(reservation, await history_task)
        except BaseException:
            self.settle(reservation, 0)
            raise

    async def store_turn(self, turn: Turn, timeout_s: float, settlement: Settlement | None = None) -> None:
        """Store a turn and its history durably; settle its reservation with it or later.

        Raises StoreUnavailableError.
        """
        retain_ms = int(turn.retain_s * 1000)
        record = TurnRecord(turn.id, turn.program, turn.previous_id, retain_ms, turn.input, turn.output)
        async with self._ledgers.piggybacked_settlement(settlement) as ballot:
            await run_with_timeout(self._turns.put(turn.program, [record], turn.history, ballot), timeout_s)
        self.cache.put(record, turn.retain_s)

    async def wait_until_settled(self) -> None:
        """Wait until no settlement and no other background task is pending."""
        await self._background.wait_until_done()


class BlockingStoreClient:
    """The `ProgramStore` of request threads: runs each operation on the event loop of `client` and waits for it."""

    def __init__(self, client: StoreClient, loop: asyncio.AbstractEventLoop) -> None:
        self._client = client
        self._loop = loop

    def reserve(self, program: str, turn_id: str, max_tokens: int, budget: int, timeout_s: float) -> Reservation:
        """Reserve tokens of the program's budget for a turn. Raises BudgetExceededError or StoreUnavailableError."""
        return self._wait_for(self._client.reserve(program, turn_id, max_tokens, budget, timeout_s), timeout_s)

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """Replace a reservation by the tokens used; return immediately."""
        self._loop.call_soon_threadsafe(self._client.settle, reservation, used_tokens)

    def read_history(self, program: str, previous_id: str, timeout_s: float) -> History:
        """Return the history up to turn `previous_id`. Raises TurnNotFoundError or StoreUnavailableError."""
        cached = self._client.cache.complete_history(program, previous_id)
        if cached is not None:
            return cached
        return self._wait_for(self._client.read_history(program, previous_id, timeout_s), timeout_s)

    def begin_turn(
        self, program: str, turn_id: str, max_tokens: int, budget: int, previous_id: str, timeout_s: float
    ) -> TurnStart:
        """Reserve and read the history concurrently; a failure of either is raised and releases the reservation."""
        cached = self._client.cache.complete_history(program, previous_id)
        if cached is not None:
            return TurnStart(self.reserve(program, turn_id, max_tokens, budget, timeout_s), cached)
        operation = self._client.begin_turn(program, turn_id, max_tokens, budget, previous_id, timeout_s)
        return self._wait_for(operation, timeout_s)

    def store_turn(self, turn: Turn, timeout_s: float, settlement: Settlement | None = None) -> None:
        """Store a turn durably, and settle its reservation with it or later. Raises StoreUnavailableError."""
        try:
            self._wait_for(self._client.store_turn(turn, timeout_s, settlement), timeout_s)
        except StoreUnavailableError:
            if settlement is not None:  # a blocked event loop may not have started the call
                self.settle(settlement.reservation, settlement.used_tokens)
            raise

    def _wait_for(self, operation: Coroutine[Any, Any, Result], timeout_s: float) -> Result:
        future = asyncio.run_coroutine_threadsafe(operation, self._loop)
        try:
            return future.result(timeout_s + THREAD_WAIT_MARGIN_S)
        except concurrent.futures.TimeoutError:
            future.cancel()
            raise StoreUnavailableError("the loop of the store client is held up") from None
