"""The history of accepted operator changes on the local disk, which extends beyond the list in the system state.

Every row originates from a chosen state, so it is immutable and can be copied from a single peer without a quorum. A
process that missed more changes than the state lists has a gap, which it fills page by page from its peers.

Messages and the database call a change an *order*; the table is `orders`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from dewpin.cluster.rpc import Message
from dewpin.controlplane.register.system_state import SystemState, accepted_change_count

MAX_CHANGES_IN_HISTORY = 32_768
"""Enough for 38 days of 850 changes each."""
CHANGES_PER_PAGE = 500
CHANGE_HISTORY = "register.orders"
"""The message type of both the request and the reply."""

PeerQuery = Callable[["ChangeHistoryRequest"], Awaitable["ChangeHistoryPage | None"]]
"""Returns the reply of the peer with the most of the requested changes; None if no peer replies."""


class HistoryDatabase(Protocol):
    """The storage interface that the history requires."""

    async def write(self, statements: list[tuple[str, tuple[Any, ...]]]) -> None:
        """Execute the statements in one transaction and return once it is synced to disk."""

    async def query(self, sql: str, arguments: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
        """Return the rows selected by a statement."""


@dataclass(frozen=True, slots=True)
class AcceptedChange:
    """An accepted change. Numbers are consecutive from 1, and generations increase with them.

    `digest` covers the request's body and base generation.
    """

    number: int
    generation: int
    digest: str


@dataclass(frozen=True, slots=True)
class ChangeHistoryRequest:
    """Requests the changes with numbers greater than `after` and less than `before`."""

    after: int
    before: int

    def encode(self) -> Message:
        """Encode the message for the wire."""
        return {"type": CHANGE_HISTORY, "after": self.after, "before": self.before}

    @classmethod
    def decode(cls, message: Message) -> ChangeHistoryRequest:
        """Decode a request. Raises KeyError, TypeError or ValueError if the message is malformed."""
        return cls(int(message["after"]), int(message["before"]))


@dataclass(frozen=True, slots=True)
class ChangeHistoryPage:
    """A page of changes in ascending order of number."""

    changes: tuple[AcceptedChange, ...]

    def encode(self) -> Message:
        """Encode the message for the wire."""
        rows = [[change.number, change.generation, change.digest] for change in self.changes]
        return {"type": CHANGE_HISTORY, "orders": rows}

    @classmethod
    def decode(cls, message: Message) -> ChangeHistoryPage:
        """Decode a page. Raises KeyError, TypeError or ValueError if the message is malformed."""
        return cls(tuple(AcceptedChange(int(row[0]), int(row[1]), str(row[2])) for row in message["orders"]))

    def starts_before(self, other: ChangeHistoryPage) -> bool:
        """Return whether this page starts with an older change than `other`. An empty page counts as the newest."""
        if not self.changes:
            return False
        return not other.changes or self.changes[0].number < other.changes[0].number


def changes_in_state(state: SystemState) -> list[AcceptedChange]:
    """Return the changes listed in a state in ascending order of number."""
    entries = state["accepted"]
    first_number = accepted_change_count(state) - len(entries) + 1
    return [
        AcceptedChange(number, int(entry[0]), str(entry[1]))  # entry: [generation, digest]
        for number, entry in enumerate(entries, first_number)
    ]


class ChangeHistory:
    """The change history of one process, stored on its disk."""

    def __init__(self, storage: HistoryDatabase, query_peers: PeerQuery) -> None:
        self._storage = storage
        self._query_peers = query_peers
        self._newest_number = 0
        self._may_have_gaps = True
        self._filling = asyncio.Lock()

    async def load(self) -> None:
        """Load the number of the newest recorded change from disk."""
        rows = await self._storage.query("SELECT coalesce(max(number), 0) FROM orders")
        self._newest_number = int(rows[0][0])

    async def record(self, state: SystemState) -> None:
        """Record the changes listed in a chosen state and fetch missing earlier ones from peers."""
        changes = [change for change in changes_in_state(state) if change.number > self._newest_number]
        if not changes:
            return
        if changes[0].number > self._newest_number + 1:
            self._may_have_gaps = True
        await self._write(changes)
        if self._may_have_gaps:
            await self.fill_gaps()

    async def was_accepted(self, generation: int, digest: str) -> bool | None:
        """Return whether a change was accepted; None if neither the local history nor a peer can determine it."""
        was_accepted = await self._look_up(generation, digest)
        if was_accepted is None:
            await self.fill_gaps()
            was_accepted = await self._look_up(generation, digest)
        return was_accepted

    async def fill_gaps(self) -> None:
        """Fetch missing changes from peers. Pages already received are kept if a later request fails."""
        async with self._filling:
            for gap in await self._gaps():
                if not await self._fill(gap):
                    return
            self._may_have_gaps = False

    async def _fill(self, gap: ChangeHistoryRequest) -> bool:
        """Fetch a gap page by page. Return False if no peer replied, True even if the peers lack part of the gap."""
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
        """Return the first page of the changes requested by a peer, oldest first."""
        rows = await self._storage.query(
            "SELECT number, generation, digest FROM orders WHERE number > ? AND number < ? ORDER BY number LIMIT ?",
            (request.after, request.before, CHANGES_PER_PAGE),
        )
        return ChangeHistoryPage(tuple(AcceptedChange(*row) for row in rows))

    async def _look_up(self, generation: int, digest: str) -> bool | None:
        """Return whether a change was accepted according to the local rows; None if they cannot determine it.

        A row with that generation is conclusive. So are two rows with consecutive numbers and generations below and
        above it, since no change was accepted between them.
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
        """Return the ranges of missing numbers below the newest one, within the maximum length of the history."""
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
