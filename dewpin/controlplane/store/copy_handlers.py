"""Handlers for the requests of other stores, which copy records from this store during a view change.

A request is answered only after the changing view is durable on this store. No write under an older view can then
complete after the copy has read past it.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from dewpin.cluster import store_messages as wire
from dewpin.cluster.rpc import Message, RpcError
from dewpin.cluster.store_view import StoreView
from dewpin.controlplane.storage import StorageError
from dewpin.controlplane.store import ledger_replica, turn_table
from dewpin.controlplane.store.transfer_messages import (
    IndexPage,
    IndexRequest,
    LedgersPage,
    LedgersRequest,
    TurnsReply,
    TurnsRequest,
)
from dewpin.controlplane.store.view_guard import ViewGuard


class CopyHandlers:
    """Answers stores that copy from this one; `handlers` maps message types to handlers."""

    def __init__(self, guard: ViewGuard, now_ms: Callable[[], int]) -> None:
        """Answer under the view of `guard`; `now_ms` returns the wall-clock time in ms."""
        self._guard = guard
        self._now_ms = now_ms
        self.handlers: dict[str, Callable[[Message], Awaitable[Message]]] = {
            wire.PULL_INDEX: self._read_index,
            wire.PULL_TURNS: self._read_turns,
            wire.PULL_LEDGERS: self._read_ledgers,
        }

    async def _check_durable_view(self, message: Message) -> StoreView:
        """Check the view of a request and make it durable; return it. Raises RpcError."""
        self._guard.check_view(message)
        try:
            view = await self._guard.make_view_durable()
        except StorageError as failure:
            raise RpcError(wire.STORAGE_FAILED, str(failure)) from failure
        self._guard.check_view(message)
        return view

    async def _read_index(self, message: Message) -> Message:
        view = await self._check_durable_view(message)
        request, now_ms = IndexRequest.decode(message), self._now_ms()
        entries = await self._guard.transact(
            message["epoch"],
            lambda connection: turn_table.read_index_page(connection, request.after, request.limit, now_ms),
        )
        count = self._guard.replica_count
        requested = [entry for entry in entries if request.member in view.next_replicas(entry.program, count)]
        after = (entries[-1].turn, entries[-1].program) if len(entries) == request.limit else None
        return IndexPage(requested, after).encode()

    async def _read_turns(self, message: Message) -> Message:
        await self._check_durable_view(message)
        request = TurnsRequest.decode(message)
        found = await self._guard.transact(
            message["epoch"],
            lambda connection: turn_table.read_turns(connection, request.keys, request.max_bytes),
        )
        reply = TurnsReply(found.records, found.unread_keys)
        return reply.encode_with_raw_bodies() if request.wants_raw_bodies else reply.encode()

    async def _read_ledgers(self, message: Message) -> Message:
        view = await self._check_durable_view(message)
        request = LedgersRequest.decode(message)
        records = await self._guard.transact(
            message["epoch"], lambda connection: ledger_replica.read_page(connection, request.after, request.limit)
        )
        count = self._guard.replica_count
        requested = [record for record in records if request.member in view.next_replicas(record.program, count)]
        return LedgersPage(requested, records[-1].program if len(records) == request.limit else None).encode()
