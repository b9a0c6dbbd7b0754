"""Copying of records to a store during a view change.

Each member of the next view copies from the stable members everything that it will hold after the change: the index of
the turns, the bodies of missing turns, and the ledgers. A stable member answers such a request only after the changing
view is durable on it, so that writes under older views can no longer complete after the copy has read past them. The
copy is complete when enough sources were read that every key was read from a majority of its stable replicas.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from enum import Enum, auto

from dewpin.cluster.logs import log_unexpected
from dewpin.cluster.store_view import Member, StoreView
from dewpin.controlplane.store import ledger_replica
from dewpin.controlplane.store.ledger_replica import LedgerRecord
from dewpin.controlplane.store.source_client import RpcCaller, SourceClient, retry_until_success
from dewpin.controlplane.store.store import Store
from dewpin.controlplane.store.turn_copy import SourceTurnCopy, TurnClaims, TurnWriter

UNEXPECTED_ERROR_DELAY_S = 0.25
"""Delay after an unexpected exception, before a source is read again."""


class StoreSync:
    """Runs the copy for the newest view; at most one copy is in progress."""

    def __init__(self, store: Store, rpc: RpcCaller, on_synced: Callable[[int], None]) -> None:
        """Copy to `store`; `on_synced` is called with the epoch of each view whose copy has completed."""
        self._store = store
        self._rpc = rpc
        self._on_synced = on_synced
        self._epoch = -1
        self._task: asyncio.Task[None] | None = None

    def start(self, view: StoreView) -> None:
        """Copy the records that this store will hold under `view`; a copy for an older view is cancelled."""
        if view.epoch <= self._epoch:
            return
        self.stop()
        self._epoch = view.epoch
        self._task = asyncio.ensure_future(self._run(view))

    def stop(self) -> None:
        """Cancel the copy in progress."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    async def _run(self, view: StoreView) -> None:
        if view.next is not None and self._store.member_id in view.next_ids:
            with self._store.turns_kept():
                await ViewCopy(self._store, self._rpc, view).run()
        self._on_synced(view.epoch)


class SourceState(Enum):
    """Progress of reading one source."""

    READING_TURNS = auto()
    READING_LEDGERS = auto()
    COMPLETE = auto()


def has_read_enough_sources(view: StoreView, unread_sources: int, replica_count: int) -> bool:
    """Return whether a copy is complete although `unread_sources` stable members were not read completely.

    The copying store is not counted, even if it is a stable member.
    """
    return unread_sources <= view.max_unreachable(replica_count)


class ViewCopy:
    """The copy for one view.

    All sources are read concurrently. Once enough of them are `COMPLETE`, the remaining reads are cancelled.
    """

    def __init__(self, store: Store, rpc: RpcCaller, view: StoreView) -> None:
        """Copy to `store` the records that it will hold under the changing `view`."""
        self._store = store
        self._rpc = rpc
        self._view = view
        self._source_states: dict[str, SourceState] = {}
        self._is_complete = asyncio.Event()
        self._claims = TurnClaims()
        self._turns = TurnWriter(store)

    async def run(self) -> None:
        """Run the copy; return when it is complete."""
        await retry_until_success(self._store.make_view_durable)
        sources = [member for member in self._view.stable if member.id != self._store.member_id]
        self._source_states = {member.id: SourceState.READING_TURNS for member in sources}
        self._check_complete()
        tasks = [asyncio.ensure_future(self._read_source(member)) for member in sources]
        try:
            await self._is_complete.wait()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    def _check_complete(self) -> None:
        unread_sources = sum(state is not SourceState.COMPLETE for state in self._source_states.values())
        if has_read_enough_sources(self._view, unread_sources, self._store.replica_count):
            self._is_complete.set()

    async def _read_source(self, member: Member) -> None:
        """Read one source completely; after an unexpected exception, read it again: the copy must not end half done."""
        while True:
            try:
                await self._read_source_once(member)
                return
            except Exception as error:
                log_unexpected(error, task="copy", source=member.id)
            await asyncio.sleep(UNEXPECTED_ERROR_DELAY_S)

    async def _read_source_once(self, member: Member) -> None:
        """Read one source completely, updating its state. Turns that are stored already are not fetched again."""
        source = SourceClient(self._rpc, self._view, member, self._store.member_id)
        await SourceTurnCopy(source, self._claims, self._turns).run()
        self._source_states[member.id] = SourceState.READING_LEDGERS
        await self._copy_ledgers(source)
        self._source_states[member.id] = SourceState.COMPLETE
        self._check_complete()

    async def _copy_ledgers(self, source: SourceClient) -> None:
        after: str | None = ""
        while after is not None:
            page = await source.read_ledgers(after)
            await self._merge_ledgers(page.records)
            after = page.after

    async def _merge_ledgers(self, records: Sequence[LedgerRecord]) -> None:
        now_ms = self._store.now_ms()
        await retry_until_success(
            lambda: self._store.storage.transact(lambda connection: ledger_replica.merge(connection, records, now_ms))
        )
