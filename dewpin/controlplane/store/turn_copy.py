"""Copying the turns of the stable members, which share the work of sending the bodies.

Every source is read page by page of its index. A turn that is missing here is claimed while its bodies are fetched from
one source; the others go on with later pages and come back to it when the claim has ended.
"""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Iterable, Sequence

from dewpin.controlplane.store import turn_table
from dewpin.controlplane.store.source_client import SourceClient, retry_until_success
from dewpin.controlplane.store.store import Store
from dewpin.controlplane.store.transfer_messages import IndexPage
from dewpin.controlplane.store.turn_table import IndexEntry, TurnKey
from dewpin.controlplane.store.turn_transfer import TURNS_PER_REQUEST, FetchedTurns, key_of

MAX_CONCURRENT_REQUESTS = 3
"""Requests for bodies in flight to one source: one is answered while what another brought is written."""
CLAIM_S = 2.5
"""For how long a claim keeps other sources from being asked for the same bodies."""
CLAIMED_RETRY_DELAY_S = 0.02
"""Delay before turns that other sources were asked for are looked at again."""

FIRST_KEY: TurnKey = ("", "")
"""Sorts before the key of every turn."""


class TurnClaims:
    """Which turns are being fetched, and until when that keeps other sources from being asked for them."""

    def __init__(self) -> None:
        """Start without claims."""
        self._until_s: dict[TurnKey, float] = {}

    def claim(self, entries: Iterable[IndexEntry]) -> None:
        """Claim the turns of `entries` for CLAIM_S from now on."""
        until_s = asyncio.get_running_loop().time() + CLAIM_S
        self._until_s.update(dict.fromkeys(map(key_of, entries), until_s))

    def release(self, entries: Iterable[IndexEntry]) -> None:
        """End the claims on the turns of `entries`."""
        for key in map(key_of, entries):
            self._until_s.pop(key, None)

    def unclaimed_keys(self, entries: Iterable[IndexEntry]) -> set[TurnKey]:
        """Return the keys of those of `entries` that have no claim at present."""
        now_s = asyncio.get_running_loop().time()
        until_s = self._until_s
        return {key for key in map(key_of, entries) if until_s.get(key, 0.0) <= now_s}


class TurnWriter:
    """Reads and writes the turns of the store that copies, repeating what the disk does not do.

    One batch of turns waits for the disk at a time, so that a put by a sender waits for one at most. What arrives
    meanwhile makes the next batch: the slower the disk, the fewer syncs.
    """

    def __init__(self, store: Store) -> None:
        """Write to the storage of `store`."""
        self._store = store
        self._write_lock = asyncio.Lock()
        self._unwritten: list[FetchedTurns] = []

    async def find_missing(self, entries: list[IndexEntry]) -> list[IndexEntry]:
        """Return those of `entries` that are not here."""
        missing: list[IndexEntry] = []

        async def attempt() -> None:
            missing[:] = await self._store.storage.transact(
                lambda connection: turn_table.find_missing_of_page(connection, entries)
            )

        await retry_until_success(attempt)
        return missing

    async def write_fetched(self, fetched: FetchedTurns) -> None:
        """Store what a source returned, with all else that waits; return once it is synced."""
        self._unwritten.append(fetched)
        async with self._write_lock:
            if not any(one is fetched for one in self._unwritten):
                return  # written with the batch of another
            batch, self._unwritten = self._unwritten, []
            try:
                await self._write_batch(batch)
            except BaseException:  # cancelled: the others still wait for theirs
                self._unwritten = [*(one for one in batch if one is not fetched), *self._unwritten]
                raise

    async def _write_batch(self, batch: Sequence[FetchedTurns]) -> None:
        now_ms = self._store.now_ms()

        def write_all(connection: sqlite3.Connection) -> None:
            for fetched in batch:
                fetched.write_to(connection, now_ms)

        await retry_until_success(lambda: self._store.storage.transact(write_all))


class SourceTurnCopy:
    """The copy of the turns of one source."""

    def __init__(self, source: SourceClient, claims: TurnClaims, writer: TurnWriter) -> None:
        """Copy from `source`; `claims` and `writer` are shared by the copies from all sources."""
        self._source = source
        self._claims = claims
        self._writer = writer

    async def run(self) -> None:
        """Return once every turn of the source is here, or was deleted at the source."""
        page = await self._source.read_index(FIRST_KEY)
        postponed: list[IndexEntry] = []
        while True:
            next_page: asyncio.Task[IndexPage] | None = None
            if page.after is not None:  # in flight while the bodies of this page are fetched
                next_page = asyncio.ensure_future(self._source.read_index(page.after))
            try:
                postponed = await self._copy_unclaimed([*postponed, *page.entries])
                if next_page is None:
                    break
                page = await next_page
            finally:
                if next_page is not None:
                    next_page.cancel()
        await self._copy_postponed(postponed)

    async def _copy_postponed(self, entries: list[IndexEntry]) -> None:
        """Return once all of `entries` are here, or were deleted at the source."""
        while entries:
            entries = await self._copy_unclaimed(entries)
            if entries:
                await asyncio.sleep(CLAIMED_RETRY_DELAY_S)

    async def _copy_unclaimed(self, entries: list[IndexEntry]) -> list[IndexEntry]:
        """Fetch those of `entries` that are missing and not claimed; return the missing ones that are claimed.

        Claims are looked at before and after the disk is read: a turn that was stored meanwhile is claimed no more, and
        what was read does not show it.
        """
        unclaimed = self._claims.unclaimed_keys(entries)
        missing = await self._writer.find_missing(entries)
        unclaimed &= self._claims.unclaimed_keys(missing)
        await self._fetch_all([entry for entry in missing if key_of(entry) in unclaimed])
        return [entry for entry in missing if key_of(entry) not in unclaimed]

    async def _fetch_all(self, entries: list[IndexEntry]) -> None:
        """Fetch and store `entries` by a few concurrent requests."""
        self._claims.claim(entries)
        batches = iter([entries[at : at + TURNS_PER_REQUEST] for at in range(0, len(entries), TURNS_PER_REQUEST)])

        async def fetch_batches() -> None:
            for batch in batches:
                await self._fetch_batch(batch)

        try:
            await asyncio.gather(*(fetch_batches() for _ in range(MAX_CONCURRENT_REQUESTS)))
        finally:
            self._claims.release(entries)

    async def _fetch_batch(self, entries: Sequence[IndexEntry]) -> None:
        """Fetch and store turns, by as many requests one after the other as their bodies take."""
        remaining = list(entries)
        while remaining:
            self._claims.claim(remaining)
            fetched = await self._source.read_turns(remaining)
            await self._writer.write_fetched(fetched)
            done_keys = fetched.done_keys
            remaining = [entry for entry in remaining if key_of(entry) not in done_keys]
