"""The operator's changes that were accepted, further back than the register's value lists them: rows on this disk.

Every row comes from a state that was chosen, here or at a peer, so it never changes and needs no majority. A process
that was away for more changes than the state lists has a gap, which it fills by pages from its peers.

Messages and the database call a change an *order*, and its table `orders`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from dewpin.cluster.rpc import Message
from dewpin.controlplane.register.system_state import SystemState, accepted_change_count

MAX_CHANGES_IN_HISTORY = 32_768
"""38 days of 850 changes."""
CHANGES_PER_PAGE = 500
CHANGE_HISTORY = "register.orders"
"""The type of both messages."""

PeerQuery = Callable[["ChangeHistoryRequest"], Awaitable["ChangeHistoryPage | None"]]
"""The reply of the peer that knows most of what is asked for; None where no peer answers."""


class HistoryDatabase(Protocol):
    """The part of the storage that the history needs."""

    async def write(self, statements: list[tuple[str, tuple[Any, ...]]]) -> None:
        """Writes in one transaction; returns once it is synced."""

    async def query(self, sql: str, arguments: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
        """The rows that a statement selects."""


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """A change that was accepted. Numbers run from 1 without a gap, generations rise with them.

    `digest` is that of the request's body and base generation.
    """

    number: int
    generation: int
    digest: str


@dataclass(frozen=True, slots=True)
class ChangeHistoryRequest:
    """Asks a peer for changes with numbers above `after` and below `before`."""

    after: int
    before: int

    def encode(self) -> Message:
        """The form on the wire."""
        return {"type": CHANGE_HISTORY, "after": self.after, "before": self.before}

    @classmethod
    def decode(cls, message: Message) -> ChangeHistoryRequest:
        """The request in a message. KeyError, TypeError or ValueError if it is none."""
        return cls(int(message["after"]), int(message["before"]))


@dataclass(frozen=True, slots=True)
class ChangeHistoryPage:
    """Changes, ascending by number."""

    changes: tuple[AcceptedChange, ...]

    def encode(self) -> Message:
        """The form on the wire."""
        rows = [[change.number, change.generation, change.digest] for change in self.changes]
        return {"type": CHANGE_HISTORY, "orders": rows}

    @classmethod
    def decode(cls, message: Message) -> ChangeHistoryPage:
        """The page in a message. KeyError, TypeError or ValueError if it is none."""
        return cls(tuple(AcceptedChange(int(row[0]), int(row[1]), str(row[2])) for row in message["orders"]))

    def starts_before(self, other: ChangeHistoryPage) -> bool:
        """Whether the page has changes, and older ones than another page or any where that has none."""
        if not self.changes:
            return False
        return not other.changes or self.changes[0].number < other.changes[0].number


def changes_in_state(state: SystemState) -> list[AcceptedChange]:
    """The changes that a state lists, ascending by number."""
    entries = state["accepted"]
    first_number = accepted_change_count(state) - len(entries) + 1
    return [
        AcceptedChange(number, int(entry[0]), str(entry[1]))  # an entry: generation, digest
        for number, entry in enumerate(entries, first_number)
    ]


class ChangeHistory:
    """The history on one process's disk."""

    def __init__(self, storage: HistoryDatabase, query_peers: PeerQuery) -> None:
        self._storage = storage
        self._query_peers = query_peers
        self._newest_number = 0
        self._may_have_gaps = True
        self._filling = asyncio.Lock()

    async def load(self) -> None:
        """Reads from disk how far the history reaches."""
        rows = await self._storage.query("SELECT coalesce(max(number), 0) FROM orders")
        self._newest_number = int(rows[0][0])

    async def record(self, state: SystemState) -> None:
        """Writes the changes that a chosen state lists, and fetches those before them that are missing."""
        changes = [change for change in changes_in_state(state) if change.number > self._newest_number]
        if not changes:
            return
        if changes[0].number > self._newest_number + 1:
            self._may_have_gaps = True
        await self._write(changes)
        if self._may_have_gaps:
            await self.fill_gaps()

    async def was_accepted(self, generation: int, digest: str) -> bool | None:
        """Whether a change was accepted; None where neither this disk nor a peer can tell."""
        known = await self._look_up(generation, digest)
        if known is None:
            await self.fill_gaps()
            known = await self._look_up(generation, digest)
        return known

    async def fill_gaps(self) -> None:
        """Asks peers for the changes that are missing here; the pages received stay if a later one fails."""
        async with self._filling:
            for gap in await self._gaps():
                if not await self._fill(gap):
                    return
            self._may_have_gaps = False

    async def _fill(self, gap: ChangeHistoryRequest) -> bool:
        """Fetches a gap page by page. Whether peers answered to the end, be it that they know no more either."""
        after = gap.after
        while after + 1 < gap.before:
            page = await self._query_peers(ChangeHistoryRequest(after, gap.before))
            if page is None:
                return False
            if not page.changes:
                return True
            await self._write(page.changes)
            after = page.changes[-1].number
        return True

    async def page(self, request: ChangeHistoryRequest) -> ChangeHistoryPage:
        """The oldest of the changes that a peer asks for."""
        rows = await self._storage.query(
            "SELECT number, generation, digest FROM orders WHERE number > ? AND number < ? ORDER BY number LIMIT ?",
            (request.after, request.before, CHANGES_PER_PAGE),
        )
        return ChangeHistoryPage(tuple(AcceptedChange(*row) for row in rows))

    async def _look_up(self, generation: int, digest: str) -> bool | None:
        """Whether a change was accepted, by the rows on this disk; None where they can't tell.

        The row of that generation decides; so do two rows with consecutive numbers around it: nothing is between them.
        """
        below = await self._nearest("generation <= ? ORDER BY generation DESC", generation)
        if below is not None and below.generation == generation:
            return below.digest == digest
        above = await self._nearest("generation > ? ORDER BY generation", generation)
        if above is not None and above.number == (below.number if below is not None else 0) + 1:
            return False
        return None

    async def _nearest(self, condition: str, generation: int) -> AcceptedChange | None:
        rows = await self._storage.query(
            f"SELECT number, generation, digest FROM orders WHERE {condition} LIMIT 1", (generation,)
        )
        return AcceptedChange(*rows[0]) if rows else None

    async def _gaps(self) -> list[ChangeHistoryRequest]:
        """The ranges of numbers that are missing below the newest, as far back as the history reaches."""
        oldest = max(0, self._newest_number - MAX_CHANGES_IN_HISTORY)
        rows = await self._storage.query(
            "SELECT number, (SELECT coalesce(max(number), 0) FROM orders AS lower WHERE lower.number < upper.number)"
            " FROM orders AS upper WHERE number > 1"
            " AND NOT EXISTS (SELECT 1 FROM orders AS lower WHERE lower.number = upper.number - 1) ORDER BY number",
        )
        return [ChangeHistoryRequest(max(after, oldest), before) for before, after in rows if before > oldest + 1]

    async def _write(self, changes: Sequence[AcceptedChange]) -> None:
        statements: list[tuple[str, tuple[Any, ...]]] = [
            (
                "INSERT OR IGNORE INTO orders(number, generation, digest) VALUES (?, ?, ?)",
                (change.number, change.generation, change.digest),
            )
            for change in changes
        ]
        newest_number = max(self._newest_number, changes[-1].number)
        statements.append(("DELETE FROM orders WHERE number <= ?", (newest_number - MAX_CHANGES_IN_HISTORY,)))
        await self._storage.write(statements)
        self._newest_number = max(self._newest_number, newest_number)
