"""Requests that a copy sends to one source, retried until they succeed."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

from dewpin.cluster import store_messages as wire
from dewpin.cluster.rpc import Message, RpcError
from dewpin.cluster.store_view import Member, StoreView
from dewpin.controlplane.storage import StorageError
from dewpin.controlplane.store.transfer_messages import (
    IndexPage,
    IndexRequest,
    LedgersPage,
    LedgersRequest,
    TurnsReply,
)
from dewpin.controlplane.store.turn_table import IndexEntry, TurnKey
from dewpin.controlplane.store.turn_transfer import FetchedTurns, turns_request

INDEX_PAGE_SIZE = 500
"""Turns per index page."""
LEDGER_PAGE_SIZE = 500
"""Ledgers per page."""
REQUEST_TIMEOUT_S = 2.0
RETRY_DELAY_S = 0.1

log = logging.getLogger(__name__)
Reply = TypeVar("Reply")


class RpcCaller(Protocol):
    """The interface of RpcClient that a copy uses."""

    async def call(self, address: str, message: Message, timeout_s: float) -> Message:
        """Send a request and return the reply. Raises RpcError."""


class SourceClient:
    """Reads from one source the records that the member `member_id` will hold in the next view.

    Each request is retried until a valid reply arrives, so the methods never raise RpcError.
    """

    def __init__(self, rpc: RpcCaller, view: StoreView, source: Member, member_id: str) -> None:
        """Read from `source` under the changing `view`, by requests through `rpc`."""
        self._rpc = rpc
        self._view = view
        self._source = source
        self._member_id = member_id

    async def read_index(self, after: TurnKey) -> IndexPage:
        """Return the index page of turns that follows the key `after`."""
        request = IndexRequest(self._member_id, after, INDEX_PAGE_SIZE)
        return await self._request(wire.PULL_INDEX, IndexPage.decode, request.fields())

    async def read_turns(self, entries: list[IndexEntry]) -> FetchedTurns:
        """Return the leading turns of `entries`, as many as fit into one reply."""

        def decode(reply: Message) -> FetchedTurns:
            return FetchedTurns.from_reply(entries, TurnsReply.decode(reply))

        return await self._request(wire.PULL_TURNS, decode, turns_request(entries).fields())

    async def read_ledgers(self, after: str) -> LedgersPage:
        """Return the page of ledgers that follows the program `after`."""
        request = LedgersRequest(self._member_id, after, LEDGER_PAGE_SIZE)
        return await self._request(wire.PULL_LEDGERS, LedgersPage.decode, request.fields())

    async def _request(self, kind: str, decode: Callable[[Message], Reply], fields: Message) -> Reply:
        message = wire.request(kind, self._view, self._source.id, view=self._view.to_json(), **fields)
        while True:
            try:
                return decode(await self._rpc.call(self._source.address, message, REQUEST_TIMEOUT_S))
            except (RpcError, KeyError, TypeError, ValueError) as failure:
                log.info("sync.no_answer", extra={"source": self._source.id, "why": str(failure)})
                await asyncio.sleep(RETRY_DELAY_S)


async def retry_until_success(attempt: Callable[[], Awaitable[object]]) -> None:
    """Await `attempt()` repeatedly until it raises neither RpcError nor StorageError."""
    while True:
        try:
            await attempt()
            return
        except (RpcError, StorageError) as failure:
            log.info("sync.retry", extra={"why": str(failure)})
            await asyncio.sleep(RETRY_DELAY_S)
