"""Copying of records to a store for a change of the view.

Each member of the next view pulls, from the stable members, all that it is to hold after the change: the index of the
turns, the bodies of those that it lacks, and the ledgers. A stable member answers a pull only once the changing view is
durable there, so writes under older views can no more be finished behind the copy. The copy is whole when so many
sources have been read that every key was read from a majority of its stable replicas.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from dewpin.cluster import store_messages as wire
from dewpin.cluster.rpc import Message, RpcError
from dewpin.cluster.store_view import Member, StoreView
from dewpin.controlplane.storage import StorageError
from dewpin.controlplane.store import ledger_replica, turn_table
from dewpin.controlplane.store.ledger_replica import LedgerRecord
from dewpin.controlplane.store.store import Store
from dewpin.controlplane.store.transfer_messages import (
    IndexPage,
    IndexRequest,
    Key,
    LedgersPage,
    LedgersRequest,
    TurnsAnswer,
)
from dewpin.controlplane.store.turn_table import IndexEntry
from dewpin.controlplane.store.turn_transfer import TURNS_IN_REQUEST, Calls, FetchedTurns, body_request, key_of

INDEX_PAGE = 2000
REQUESTS_AT_ONCE = 3
"""Requests for bodies that are out to one source: one is answered while what another brought is written."""
LEDGER_PAGE = 500
PULL_TIMEOUT_S = 2.0
CLAIM_S = 2.5
"""For how long a source keeps others from fetching the same bodies."""
PAUSE_S = 0.02
RETRY_S = 0.1

log = logging.getLogger(__name__)
Answer = TypeVar("Answer")


class StoreSync:
    """Runs the copy for the newest view, one at a time; `on_synced` is told the epoch whose copy is whole."""

    def __init__(self, store: Store, calls: Calls, on_synced: Callable[[int], None]) -> None:
        self._store = store
        self._calls = calls
        self._on_synced = on_synced
        self._epoch = -1
        self._task: asyncio.Task[None] | None = None

    def start(self, view: StoreView) -> None:
        """Copy what `view` asks this store to hold; a copy for an older view is given up."""
        if view.epoch <= self._epoch:
            return
        self.stop()
        self._epoch = view.epoch
        self._task = asyncio.ensure_future(self._run(view))

    def stop(self) -> None:
        """Give up the copy under way."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run(self, view: StoreView) -> None:
        if view.next is not None and self._store.member_id in view.next_ids:
            await _Copy(self._store, self._calls, view).run()
        self._on_synced(view.epoch)


class _Copy:
    """One copy, for one view."""

    def __init__(self, store: Store, calls: Calls, view: StoreView) -> None:
        self._store = store
        self._calls = calls
        self._view = view
        self._claims: dict[Key, float] = {}
        self._unread = 0
        self._whole = asyncio.Event()
        self._writing = asyncio.Lock()
        """One batch of turns waits for the disk at a time, so a put waits for one at most."""

    async def run(self) -> None:
        """Return once the copy is whole."""
        await self._until_done(self._store.make_view_durable)
        sources = [member for member in self._view.stable if member.id != self._store.member_id]
        self._unread = len(sources)
        self._check_whole()
        tasks = [asyncio.ensure_future(self._read_source(member)) for member in sources]
        try:
            await self._whole.wait()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _check_whole(self) -> None:
        if self._unread <= self._view.max_unreachable(self._store.replica_count):
            self._whole.set()

    async def _read_source(self, source: Member) -> None:
        await self._copy_turns(source)
        await self._copy_ledgers(source)
        self._unread -= 1
        self._check_whole()

    async def _until_done(self, attempt: Callable[[], Awaitable[object]]) -> None:
        while True:
            try:
                await attempt()
                return
            except (RpcError, StorageError) as failure:
                log.info("sync.retry", extra={"why": str(failure)})
                await asyncio.sleep(RETRY_S)

    async def _pull(self, source: Member, kind: str, decode: Callable[[Message], Answer], **fields: object) -> Answer:
        """Return a source's answer to a pull, asked again until one comes that can be read."""
        message = wire.request(kind, self._view, source.id, view=self._view.to_json(), **fields)
        while True:
            try:
                return decode(await self._calls.call(source.address, message, PULL_TIMEOUT_S))
            except (RpcError, KeyError, TypeError, ValueError) as failure:
                log.info("sync.no_answer", extra={"source": source.id, "why": str(failure)})
                await asyncio.sleep(RETRY_S)

    async def _copy_turns(self, source: Member) -> None:
        page = await self._pull_index(source, ("", ""))
        left: list[IndexEntry] = []
        while True:
            following: asyncio.Task[IndexPage] | None = None
            if page.after is not None:  # on its way while the bodies of this page are fetched
                following = asyncio.ensure_future(self._pull_index(source, page.after))
            try:
                left = await self._copy_unclaimed(source, [*left, *page.entries])
                if following is None:
                    break
                page = await following
            finally:
                if following is not None:
                    following.cancel()
        await self._copy_rest(source, left)

    async def _pull_index(self, source: Member, after: Key) -> IndexPage:
        request = IndexRequest(self._store.member_id, after, INDEX_PAGE)
        return await self._pull(source, wire.PULL_INDEX, IndexPage.decode, **request.fields())

    async def _copy_rest(self, source: Member, entries: list[IndexEntry]) -> None:
        """Return once all of `entries` are here, or are gone at the source."""
        while entries:
            entries = await self._copy_unclaimed(source, entries)
            if entries:
                await asyncio.sleep(PAUSE_S)

    async def _copy_unclaimed(self, source: Member, entries: list[IndexEntry]) -> list[IndexEntry]:
        """Fetch those of `entries` that are not here and that nobody fetches; return those that others fetch."""
        unclaimed = self._unclaimed(entries)
        lacking = await self._lacking(entries)
        unclaimed &= self._unclaimed(lacking)
        free = [entry for entry in lacking if key_of(entry) in unclaimed]
        await self._fetch_all(source, free)
        return [entry for entry in lacking if key_of(entry) not in unclaimed]

    def _unclaimed(self, entries: Sequence[IndexEntry]) -> set[Key]:
        """The keys of those that nobody fetches just now. Asked before and after the disk was: a turn that was kept
        meanwhile is claimed no more, and the disk's answer does not show it."""
        now_s = asyncio.get_running_loop().time()
        claims = self._claims
        return {key for key in map(key_of, entries) if claims.get(key, 0.0) <= now_s}

    def _claim(self, entries: Sequence[IndexEntry]) -> None:
        claimed_until_s = asyncio.get_running_loop().time() + CLAIM_S
        self._claims.update(dict.fromkeys(map(key_of, entries), claimed_until_s))

    async def _fetch_all(self, source: Member, entries: list[IndexEntry]) -> None:
        """Fetch and keep `entries`, by a few requests at once; return once all are here, or are gone at the source."""
        self._claim(entries)
        parts = iter([entries[at : at + TURNS_IN_REQUEST] for at in range(0, len(entries), TURNS_IN_REQUEST)])

        async def fetch_parts() -> None:
            for part in parts:
                await self._fetch(source, part)

        try:
            await asyncio.gather(*(fetch_parts() for _ in range(REQUESTS_AT_ONCE)))
        finally:
            for key in map(key_of, entries):
                self._claims.pop(key, None)

    async def _fetch(self, source: Member, entries: list[IndexEntry]) -> None:
        """Fetch and keep some turns, by as many requests one after the other as their bodies take."""
        while entries:
            self._claim(entries)
            fetched = await self._pull_turns(source, entries)
            await self._keep(fetched)
            done = fetched.done
            entries = [entry for entry in entries if key_of(entry) not in done]

    async def _pull_turns(self, source: Member, entries: list[IndexEntry]) -> FetchedTurns:
        def decode(answer: Message) -> FetchedTurns:
            return FetchedTurns.from_answer(entries, TurnsAnswer.decode(answer))

        return await self._pull(source, wire.PULL_TURNS, decode, **body_request(entries).fields())

    async def _lacking(self, entries: list[IndexEntry]) -> list[IndexEntry]:
        found: list[IndexEntry] = []

        async def attempt() -> None:
            found[:] = await self._store.storage.transact(
                lambda connection: turn_table.missing_of_page(connection, entries)
            )

        await self._until_done(attempt)
        return found

    async def _keep(self, fetched: FetchedTurns) -> None:
        async with self._writing:
            now_ms = self._store.now_ms()
            await self._until_done(
                lambda: self._store.storage.transact(lambda connection: fetched.keep(connection, now_ms))
            )

    async def _copy_ledgers(self, source: Member) -> None:
        after: str | None = ""
        while after is not None:
            request = LedgersRequest(self._store.member_id, after, LEDGER_PAGE)
            page = await self._pull(source, wire.PULL_LEDGERS, LedgersPage.decode, **request.fields())
            await self._merge_ledgers(page.records)
            after = page.after

    async def _merge_ledgers(self, records: Sequence[LedgerRecord]) -> None:
        now_ms = self._store.now_ms()
        await self._until_done(
            lambda: self._store.storage.transact(lambda connection: ledger_replica.merge(connection, records, now_ms))
        )
