"""The orders of the operator that were taken, longer than the register's value remembers them: rows on this disk.

Every row comes from a state that was chosen, here or at a peer, so it never changes and needs no majority. A process
that slept through more orders than the state remembers has a gap, which it fills by pages from its peers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from dewpin.cluster.rpc import Message
from dewpin.controlplane.register.system_state import SystemState, orders_taken

MOST_ORDERS = 32_768
"""Orders that are remembered: 38 days of 850 changes."""
ORDERS_IN_PAGE = 500
ORDERS = "register.orders"

AsksPeers = Callable[["OrdersRequest"], Awaitable["OrderPage | None"]]
"""The answer of the peer that knows most of what is asked for; None where no peer answers."""


class OrdersStorage(Protocol):
    """The part of the storage that the history needs."""

    async def write(self, statements: list[tuple[str, tuple[Any, ...]]]) -> None: ...

    async def query(self, sql: str, arguments: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]: ...


@dataclass(frozen=True, slots=True)
class TakenOrder:
    """An order that was taken; numbers run from 1 without a gap, generations rise with them."""

    number: int
    generation: int
    digest: str


@dataclass(frozen=True, slots=True)
class OrdersRequest:
    """Asks a peer for orders with numbers above `after` and below `before`."""

    after: int
    before: int

    def encode(self) -> Message:
        """The form on the wire."""
        return {"type": ORDERS, "after": self.after, "before": self.before}

    @classmethod
    def decode(cls, message: Message) -> OrdersRequest:
        """The request of a message. KeyError, TypeError or ValueError if it is none."""
        return cls(int(message["after"]), int(message["before"]))


@dataclass(frozen=True, slots=True)
class OrderPage:
    """Orders in the order of their numbers."""

    orders: tuple[TakenOrder, ...]

    def encode(self) -> Message:
        """The form on the wire."""
        return {"type": ORDERS, "orders": [[one.number, one.generation, one.digest] for one in self.orders]}

    @classmethod
    def decode(cls, message: Message) -> OrderPage:
        """The page of a message. KeyError, TypeError or ValueError if it is none."""
        return cls(tuple(TakenOrder(int(row[0]), int(row[1]), str(row[2])) for row in message["orders"]))


def remembered_orders(state: SystemState) -> list[TakenOrder]:
    """The orders that a state tells of."""
    entries = state["accepted"]
    first = orders_taken(state) - len(entries) + 1
    return [TakenOrder(first + place, int(entry[0]), str(entry[1])) for place, entry in enumerate(entries)]


class OrderHistory:
    """The rows of one process."""

    def __init__(self, storage: OrdersStorage, ask_peers: AsksPeers) -> None:
        self._storage = storage
        self._ask_peers = ask_peers
        self._newest = 0
        self._may_have_gaps = True
        self._filling = asyncio.Lock()

    async def load(self) -> None:
        """Takes up what the disk holds."""
        rows = await self._storage.query("SELECT coalesce(max(number), 0) FROM orders")
        self._newest = int(rows[0][0])

    async def note(self, state: SystemState) -> None:
        """Writes down what a chosen state tells; what it no longer tells is asked of peers."""
        orders = [order for order in remembered_orders(state) if order.number > self._newest]
        if not orders:
            return
        if orders[0].number > self._newest + 1:
            self._may_have_gaps = True
        await self._write(orders)
        if self._may_have_gaps:
            await self.fill_gaps()

    async def was_taken(self, generation: int, digest: str) -> bool | None:
        """Whether the order was taken; None where neither this disk nor a peer can tell."""
        known = await self._is_known(generation, digest)
        if known is None:
            await self.fill_gaps()
            known = await self._is_known(generation, digest)
        return known

    async def fill_gaps(self) -> None:
        """Asks peers for the orders that are missing here, page by page; what came stays if the rest doesn't."""
        async with self._filling:
            for gap in await self._gaps():
                if not await self._fill(gap):
                    return
            self._may_have_gaps = False

    async def _fill(self, gap: OrdersRequest) -> bool:
        """Whether a peer answered to the end, be it that it has no more either."""
        after = gap.after
        while after + 1 < gap.before:
            page = await self._ask_peers(OrdersRequest(after, gap.before))
            if page is None:
                return False
            if not page.orders:
                return True
            await self._write(page.orders)
            after = page.orders[-1].number
        return True

    async def page(self, request: OrdersRequest) -> OrderPage:
        """The first orders of those that a peer asks for."""
        rows = await self._storage.query(
            "SELECT number, generation, digest FROM orders WHERE number > ? AND number < ? ORDER BY number LIMIT ?",
            (request.after, request.before, ORDERS_IN_PAGE),
        )
        return OrderPage(tuple(TakenOrder(*row) for row in rows))

    async def _is_known(self, generation: int, digest: str) -> bool | None:
        """By the order of that generation, or by two orders, one right after the other, that leave it no place."""
        below = await self._nearest("generation <= ? ORDER BY generation DESC", generation)
        if below is not None and below.generation == generation:
            return below.digest == digest
        above = await self._nearest("generation > ? ORDER BY generation", generation)
        if above is not None and above.number == (below.number if below is not None else 0) + 1:
            return False
        return None

    async def _nearest(self, condition: str, generation: int) -> TakenOrder | None:
        rows = await self._storage.query(
            f"SELECT number, generation, digest FROM orders WHERE {condition} LIMIT 1", (generation,)
        )
        return TakenOrder(*rows[0]) if rows else None

    async def _gaps(self) -> list[OrdersRequest]:
        """The ranges of numbers that are missing below the newest, as far back as orders are remembered."""
        oldest = max(0, self._newest - MOST_ORDERS)
        rows = await self._storage.query(
            "SELECT number, (SELECT coalesce(max(number), 0) FROM orders AS lower WHERE lower.number < upper.number)"
            " FROM orders AS upper WHERE number > 1"
            " AND NOT EXISTS (SELECT 1 FROM orders AS lower WHERE lower.number = upper.number - 1) ORDER BY number",
        )
        return [OrdersRequest(max(after, oldest), before) for before, after in rows if before > oldest + 1]

    async def _write(self, orders: Sequence[TakenOrder]) -> None:
        statements: list[tuple[str, tuple[Any, ...]]] = [
            (
                "INSERT OR IGNORE INTO orders(number, generation, digest) VALUES (?, ?, ?)",
                (order.number, order.generation, order.digest),
            )
            for order in orders
        ]
        newest = max(self._newest, orders[-1].number)
        statements.append(("DELETE FROM orders WHERE number <= ?", (newest - MOST_ORDERS,)))
        await self._storage.write(statements)
        self._newest = max(self._newest, newest)
