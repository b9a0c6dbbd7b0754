"""Copying of turns from the stable members, distributing the transfer of bodies among them.

The index of every source is read page by page. A turn that is missing on this store is claimed while its bodies are
fetched from one source. The copies from other sources continue with later pages and return to the turn when the claim
has ended.
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
"""Concurrent requests for bodies to one source, so that one is answered while the result of another is written."""
CLAIM_DURATION_S = 2.5
"""How long a claim prevents requests to other sources for the same bodies."""
CLAIMED_RETRY_DELAY_S = 0.02
"""Delay before turns claimed for other sources are checked again."""

START_KEY: TurnKey = ("", "")
"""Sorts before every key of a turn."""


class TurnClaims:
    """Turns that are being fetched, each with the time at which its claim expires."""

    def __init__(self) -> None:
        """Create an empty set of claims."""
        self._until_s: dict[TurnKey, float] = {}

    def claim(self, entries: Iterable[IndexEntry]) -> None:
        """Claim the turns of `entries` for CLAIM_DURATION_S from now on."""
        until_s = asyncio.get_running_loop().time() + CLAIM_DURATION_S
        self._until_s.update(dict.fromkeys(map(key_of, entries), until_s))

    def release(self, entries: Iterable[IndexEntry]) -> None:
        """Release the claims on the turns of `entries`."""
        for key in map(key_of, entries):
            self._until_s.pop(key, None)

    def unclaimed_keys(self, entries: Iterable[IndexEntry]) -> set[TurnKey]:
        """Return the keys of those `entries` that are not claimed at present."""
        now_s = asyncio.get_running_loop().time()
        until_s = self._until_s
        return {key for key in map(key_of, entries) if until_s.get(key, 0.0) <= now_s}


class TurnWriter:
    """Reads and writes the turns of the copying store, retrying failed transactions.

    Only one batch of turns waits for the disk at a time, so a write by a sender waits for one batch at most. Turns that
    arrive meanwhile form the next batch, so a slower disk gets fewer syncs.
    """

    def __init__(self, store: Store) -> None:
        """Read and write the storage of `store`."""
        self._store = store
        self._write_lock = asyncio.Lock()
        self._unwritten: list[FetchedTurns] = []

    async def find_missing(self, entries: list[IndexEntry]) -> list[IndexEntry]:
        """Return those `entries` that are missing on this store."""
        missing: list[IndexEntry] = []

        async def attempt() -> None:
            missing[:] = await self._store.storage.transact(
                lambda connection: turn_table.find_missing_of_page(connection, entries)
            )

        await retry_until_success(attempt)
        return missing

    async def write_fetched(self, fetched: FetchedTurns) -> None:
        """Write fetched turns, together with all others that are waiting; return once they are synced to disk."""
        self._unwritten.append(fetched)
        async with self._write_lock:
            if not any(waiting is fetched for waiting in self._unwritten):
                return  # written in the batch of another call
            batch, self._unwritten = self._unwritten, []
            try:
                await self._write_batch(batch)
            except BaseException:  # cancelled: the turns of the other calls still have to be written
                self._unwritten = [*(other for other in batch if other is not fetched), *self._unwritten]
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
        """Copy from `source`; `claims` and `writer` are shared among the copies from all sources."""
        self._source = source
        self._claims = claims
        self._writer = writer

    async def run(self) -> None:
        """Copy all turns; return once every turn of the source is stored here or was deleted at the source."""
        page = await self._source.read_index(START_KEY)
        claimed_elsewhere: list[IndexEntry] = []
        while True:
            next_page: asyncio.Task[IndexPage] | None = None
            if page.after is not None:  # requested while the bodies of the current page are fetched
                next_page = asyncio.ensure_future(self._source.read_index(page.after))
            try:
                claimed_elsewhere = await self._copy_unclaimed([*claimed_elsewhere, *page.entries])
                if next_page is None:
                    break
                page = await next_page
            finally:
                if next_page is not None:
                    next_page.cancel()
        await self._copy_claimed_elsewhere(claimed_elsewhere)

    async def _copy_claimed_elsewhere(self, entries: list[IndexEntry]) -> None:
        """Retry `entries` until each one is stored here or was deleted at the source."""
        while entries:
            entries = await self._copy_unclaimed(entries)
            if entries:
                await asyncio.sleep(CLAIMED_RETRY_DELAY_S)

    async def _copy_unclaimed(self, entries: list[IndexEntry]) -> list[IndexEntry]:
        """Fetch those `entries` that are missing and unclaimed; return the missing ones that are claimed.

        Claims are checked before and after the disk is read: a turn stored in between is no longer claimed, but the
        result of the read still shows it as missing.
        """
        unclaimed = self._claims.unclaimed_keys(entries)
        missing = await self._writer.find_missing(entries)
        unclaimed &= self._claims.unclaimed_keys(missing)
        await self._fetch_all([entry for entry in missing if key_of(entry) in unclaimed])
        return [entry for entry in missing if key_of(entry) not in unclaimed]

    async def _fetch_all(self, entries: list[IndexEntry]) -> None:
        """Fetch and store `entries`, with up to MAX_CONCURRENT_REQUESTS concurrent requests."""
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
        """Fetch and store turns, in as many consecutive requests as the size of their bodies requires."""
        remaining = list(entries)
        while remaining:
            self._claims.claim(remaining)
            fetched = await self._source.read_turns(remaining)
            await self._writer.write_fetched(fetched)
            finished_keys = fetched.finished_keys
            remaining = [entry for entry in remaining if key_of(entry) not in finished_keys]
