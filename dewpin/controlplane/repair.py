"""Background repair: a store follows the arrival order of the others and fetches the turns that it has missed.

Each store numbers the turns in the order in which it took them. Every other store of an unchanging view asks for what
came since its last visit and is to be held here as well, and fetches what it lacks. How far it came with each source is
kept on disk, so the cost is in proportion to what is written, and a store that was away goes on where it had stopped.
While the view changes the copy for the change does the same and more (`sync.py`).
"""

from __future__ import annotations

import asyncio
import logging
import random
import sqlite3

from dewpin.cluster import store_messages as wire
from dewpin.cluster.rpc import Message, RpcError
from dewpin.cluster.store_view import Member, StoreView
from dewpin.controlplane import turn_table
from dewpin.controlplane.storage import StorageFailed
from dewpin.controlplane.store import Store
from dewpin.controlplane.turn_table import IndexEntry
from dewpin.controlplane.turn_transfer import TURNS_IN_REQUEST, Calls, FetchedTurns, body_request, entries_of, key_of

PERIOD_S = 1.0
"""Between two visits of a source. What came since the visit before is left alone: it may still be on its way here."""
MOST_ROUNDS_LEFT_OUT = 3
"""A source without news is visited more seldom, with so many periods left out at most."""
ARRIVALS_PAGE = 500
PAGE_PAUSE_S = 0.1
BYTES_PER_S = 4 * 1024 * 1024
CALL_TIMEOUT_S = 1.0
_CURSOR_PREFIX = "repair/"
_AFTER_ALL_CURSORS = "repair0"
"""The least text above every name that begins with _CURSOR_PREFIX."""

log = logging.getLogger(__name__)


class TurnRepair:
    """Fetches, in the background, the turns that this store has missed."""

    def __init__(self, store: Store, calls: Calls, rng: random.Random) -> None:
        self._store = store
        self._calls = calls
        self._rng = rng
        self._epoch = -1
        self._cursors: dict[str, int] = {}
        self._settled: dict[str, int] = {}  # the newest arrival of each source at the visit before
        self._visits_without_news: dict[str, int] = {}
        self._rounds_left_out: dict[str, int] = {}

    async def run_forever(self) -> None:
        """Visit the sources, each once in a period while it has news, until cancelled."""
        while True:
            await asyncio.sleep(PERIOD_S * (0.75 + 0.5 * self._rng.random()))
            try:
                await self.visit_all()
            except StorageFailed as failure:
                log.info("repair.no_disk", extra={"why": str(failure)})

    async def visit_all(self) -> None:
        """Visit every other store of the view whose turn it is, one after the other. Raises StorageFailed."""
        view = self._store.view
        if view is None or view.next is not None or self._store.member_id not in view.stable_ids:
            return
        await self._load_cursors(view)
        for source in view.stable:
            if source.id == self._store.member_id or self._store.view is not view or self._is_left_out(source):
                continue
            try:
                await self._visit(view, source)
            except RpcError as failure:
                self._visits_without_news.pop(source.id, None)  # it, or this store, was away
                log.info("repair.no_answer", extra={"source": source.id, "why": str(failure)})

    def _is_left_out(self, source: Member) -> bool:
        """Whether a source without news is left out in this round."""
        left_out = self._rounds_left_out.get(source.id, 0)
        if left_out < min(self._visits_without_news.get(source.id, 0), MOST_ROUNDS_LEFT_OUT):
            self._rounds_left_out[source.id] = left_out + 1
            return True
        self._rounds_left_out[source.id] = 0
        return False

    async def _load_cursors(self, view: StoreView) -> None:
        if view.epoch == self._epoch:
            return
        sources = view.stable_ids
        self._cursors = await self._store.storage.transact(lambda connection: _load_cursors(connection, sources))
        self._settled.clear()
        self._visits_without_news.clear()
        self._epoch = view.epoch

    async def _visit(self, view: StoreView, source: Member) -> None:
        """Take up what has arrived at `source` until the visit before. Raises RpcError, StorageFailed."""
        cursor = self._cursors.get(source.id, 0)
        until = max(cursor, self._settled.get(source.id, cursor))
        while True:
            answer = await self._ask_for_arrivals(view, source, cursor, until)
            self._note_newest(source, int(answer["newest"]))
            await self._fetch_missing(view, source, entries_of(answer))
            if int(answer["after"]) > cursor:
                cursor = int(answer["after"])
                await self._move_cursor(source, cursor)
            if cursor >= until:
                return
            await asyncio.sleep(PAGE_PAUSE_S)

    def _note_newest(self, source: Member, newest: int) -> None:
        has_news = newest != self._settled.get(source.id, -1)
        self._visits_without_news[source.id] = 0 if has_news else self._visits_without_news.get(source.id, 0) + 1
        self._settled[source.id] = newest

    async def _ask_for_arrivals(self, view: StoreView, source: Member, after: int, until: int) -> Message:
        message = wire.request(
            wire.PULL_ARRIVALS,
            view,
            source.id,
            member=self._store.member_id,
            after=after,
            until=until,
            most=ARRIVALS_PAGE,
        )
        return await self._calls.call(source.address, message, CALL_TIMEOUT_S)

    async def _move_cursor(self, source: Member, cursor: int) -> None:
        await self._store.storage.transact(lambda connection: write_cursor(connection, source.id, cursor))
        self._cursors[source.id] = cursor

    async def _fetch_missing(self, view: StoreView, source: Member, entries: list[IndexEntry]) -> None:
        if not entries:
            return
        lacking = await self._store.storage.transact(lambda connection: turn_table.missing(connection, entries))
        while lacking:
            asked = lacking[:TURNS_IN_REQUEST]
            message = wire.request(wire.PULL_TURNS, view, source.id, **body_request(asked))
            answer = await self._calls.call(source.address, message, CALL_TIMEOUT_S)
            fetched = FetchedTurns.from_answer(asked, answer)
            await self._keep(fetched)
            done = fetched.gone.union((record.turn, record.program) for record in fetched.records)
            lacking = [entry for entry in lacking if key_of(entry) not in done]
            await asyncio.sleep(fetched.body_bytes / BYTES_PER_S)

    async def _keep(self, fetched: FetchedTurns) -> None:
        now_ms = self._store.now_ms()
        await self._store.storage.transact(lambda connection: fetched.keep(connection, now_ms))
        log.info("repair.fetched", extra={"turns": len(fetched.records), "gone": len(fetched.gone)})


def _load_cursors(connection: sqlite3.Connection, sources: tuple[str, ...]) -> dict[str, int]:
    """Return how far this store came with each source; those of stores that are none any more are forgotten."""
    rows = connection.execute(
        "SELECT name, value FROM meta WHERE name > ? AND name < ?", (_CURSOR_PREFIX, _AFTER_ALL_CURSORS)
    ).fetchall()
    cursors = {name.removeprefix(_CURSOR_PREFIX): int(value) for name, value in rows}
    for source in cursors.keys() - set(sources):
        connection.execute("DELETE FROM meta WHERE name = ?", (_CURSOR_PREFIX + source,))
    return {source: cursor for source, cursor in cursors.items() if source in sources}


def write_cursor(connection: sqlite3.Connection, source: str, cursor: int) -> None:
    """Note that all which arrived at `source` up to number `cursor` is here, as far as it is to be."""
    connection.execute(
        "INSERT INTO meta (name, value) VALUES (?, ?) ON CONFLICT (name) DO UPDATE SET value = excluded.value"
        " WHERE CAST(excluded.value AS INTEGER) > CAST(meta.value AS INTEGER)",
        (_CURSOR_PREFIX + source, str(cursor)),
    )
