"""A sender's client of the stores: budget ledgers and turns over the replicas of each program.

All of it runs on one event loop; `BlockingStoreClient` is its face towards the threads of requests.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import random
import secrets
import time
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from dewpin.cluster.store_messages import TurnRecord
from dewpin.cluster.store_view import StoreView
from dewpin.dataplane.programs.background import BackgroundTasks, in_time
from dewpin.dataplane.programs.history_cache import ChainCache, Link
from dewpin.dataplane.programs.ledger import Ledger
from dewpin.dataplane.programs.ledger_client import LedgerClient
from dewpin.dataplane.programs.program_store import BegunTurn, Reservation, Settlement, StoreUnavailable, Turn
from dewpin.dataplane.programs.replica_calls import Calls, ReplicaCalls, ViewHolder
from dewpin.dataplane.programs.turn_client import TurnClient

FACADE_SLACK_S = 0.25
_PROPOSER_BYTES = 6

T = TypeVar("T")


class StoreClient:
    """The calls of one sender; see `dewpin.dataplane.programs.program_store.ProgramStore` for what each does."""

    def __init__(
        self,
        calls: Calls,
        replica_count: int,
        rng: random.Random | None = None,
        cache: ChainCache | None = None,
        proposer: str | None = None,
        wall_clock_ms: Callable[[], int] = lambda: int(time.time() * 1000),
        location: str = "",
    ) -> None:
        """Make the client of a process at `location`, on a running loop; each program lives on `replica_count` stores
        (2 f + 1)."""
        rng = rng or random.Random()
        proposer = proposer or secrets.token_hex(_PROPOSER_BYTES)
        self.cache = cache or ChainCache()
        self._views = ViewHolder()
        self._calls = ReplicaCalls(calls, self._views, rng, location)
        self._background = BackgroundTasks()
        self._ledgers = LedgerClient(
            self._calls, self._views, replica_count, proposer, rng, wall_clock_ms, self._background
        )
        self._turns = TurnClient(self._calls, self._views, replica_count, self.cache, self._background)

    def adopt(self, view: StoreView) -> None:
        """Use `view` from now on, if it is newer."""
        if view.stable:
            self._views.adopt(view)
            self._calls.health.forget_all_but(view.members.keys())

    def close(self) -> None:
        """Give up all that runs behind."""
        self._background.cancel()
        self._calls.close()

    async def reserve(self, program: str, turn: str, most: int, budget: int, timeout_s: float) -> Reservation:
        """Keep `most` tokens of the program's budget for a turn. Raises BudgetSpent, StoreUnavailable."""
        return await self._ledgers.reserve(program, turn, most, budget, timeout_s)

    def settle(self, reservation: Reservation, used: int) -> None:
        """Replace a reservation by the tokens that were handed out, behind or with the program's next change."""
        self._ledgers.settle(reservation, used)

    async def read_ledger(self, program: str) -> Ledger | None:
        """Return the program's ledger as a majority has it, however long that takes."""
        return await self._ledgers.read(program)

    async def chain(self, program: str, previous: str, timeout_s: float) -> bytes:
        """Return the bytes of the chain that ends with `previous`. Raises TurnUnknown, StoreUnavailable."""
        return await in_time(self._turns.chain(program, previous), timeout_s)

    async def begin(
        self, program: str, turn: str, most: int, budget: int, previous: str, timeout_s: float
    ) -> BegunTurn:
        """Reserve and read the chain side by side. Raises what either raises, and then keeps no reservation."""
        reading = asyncio.ensure_future(self.chain(program, previous, timeout_s))
        try:
            reservation = await self.reserve(program, turn, most, budget, timeout_s)
        except BaseException:
            reading.cancel()
            await asyncio.gather(reading, return_exceptions=True)
            raise
        try:
            return BegunTurn(reservation, await reading)
        except BaseException:
            self.settle(reservation, 0)
            raise

    async def append(self, turn: Turn, timeout_s: float, settlement: Settlement | None = None) -> None:
        """Make a turn durable, and settle its reservation beside or behind. Raises StoreUnavailable."""
        record = TurnRecord(turn.id, turn.program, turn.previous, int(turn.retain_s * 1000), turn.input, turn.output)
        async with self._ledgers.settling_beside(settlement) as ballot:
            await in_time(self._turns.put(turn.program, [record], ballot), timeout_s)
        self.cache.put(turn.program, turn.id, Link(turn.previous, turn.input + turn.output), turn.retain_s)

    async def settled(self) -> None:
        """Return once nothing runs behind any more."""
        await self._background.finished()


class BlockingStoreClient:
    """The ProgramStore of request threads: hands each call to the loop on which `client` lives, and waits."""

    def __init__(self, client: StoreClient, loop: asyncio.AbstractEventLoop) -> None:
        self._client = client
        self._loop = loop

    def reserve(self, program: str, turn: str, most: int, budget: int, timeout_s: float) -> Reservation:
        """Keep `most` tokens of the program's budget for a turn. Raises BudgetSpent, StoreUnavailable."""
        return self._wait(self._client.reserve(program, turn, most, budget, timeout_s), timeout_s)

    def settle(self, reservation: Reservation, used: int) -> None:
        """Replace a reservation by the tokens that were handed out; returns at once."""
        self._loop.call_soon_threadsafe(self._client.settle, reservation, used)

    def chain(self, program: str, previous: str, timeout_s: float) -> bytes:
        """Return the bytes of the chain that ends with `previous`. Raises TurnUnknown, StoreUnavailable."""
        cached = self._client.cache.whole_chain(program, previous)
        if cached is not None:
            return cached
        return self._wait(self._client.chain(program, previous, timeout_s), timeout_s)

    def begin(self, program: str, turn: str, most: int, budget: int, previous: str, timeout_s: float) -> BegunTurn:
        """Reserve and read the chain side by side. Raises what either raises, and then keeps no reservation."""
        cached = self._client.cache.whole_chain(program, previous)
        if cached is not None:
            return BegunTurn(self.reserve(program, turn, most, budget, timeout_s), cached)
        return self._wait(self._client.begin(program, turn, most, budget, previous, timeout_s), timeout_s)

    def append(self, turn: Turn, timeout_s: float, settlement: Settlement | None = None) -> None:
        """Make a turn durable, and settle its reservation beside or behind. Raises StoreUnavailable."""
        try:
            self._wait(self._client.append(turn, timeout_s, settlement), timeout_s)
        except StoreUnavailable:
            if settlement is not None:  # the loop may be held up so long that it never began
                self.settle(settlement.reservation, settlement.used)
            raise

    def _wait(self, work: Coroutine[Any, Any, T], timeout_s: float) -> T:
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        try:
            return future.result(timeout_s + FACADE_SLACK_S)
        except concurrent.futures.TimeoutError:
            future.cancel()
            raise StoreUnavailable("the loop of the store client is held up") from None
