"""One store: keeps turns and replicas of budget ledgers, and answers senders and other stores under one epoch."""

from __future__ import annotations

import asyncio
import json
import logging
import sqlite3
import time
from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

from dewpin.cluster import store_messages as wire
from dewpin.cluster.message_fields import MalformedMessageError
from dewpin.cluster.rpc import Message, RpcError
from dewpin.cluster.store_requests import (
    HistoryRequest,
    LedgerAcceptRequest,
    LedgerPrepareRequest,
    PutTurnsReply,
    PutTurnsRequest,
    RequestHeader,
)
from dewpin.cluster.store_view import StoreView
from dewpin.consensus import Ballot, Reply
from dewpin.consensus.messages import encode_reply
from dewpin.controlplane.storage import StorageError
from dewpin.controlplane.store import ledger_replica, ledger_retention, turn_table
from dewpin.controlplane.store.transfer_messages import (
    IndexPage,
    IndexRequest,
    LedgersPage,
    LedgersRequest,
    TurnsAnswer,
    TurnsRequest,
)

RETAIN_MARGIN_MS = 30_000
"""Turns and ledgers are kept for this much longer than asked: for steps of the clock and turns that still run."""
MOST_CHAIN_BYTES = 4 * 1024 * 1024
"""Bodies in one answer of a chain; the sender asks on for the rest."""
PURGE_STEP = 200
PURGE_EVERY_S = 1.0
_VIEW_NAME = "store_view"

log = logging.getLogger(__name__)
Result = TypeVar("Result")


class TransactionalStorage(Protocol):
    """The part of the storage that a store needs."""

    async def transact(self, work: Callable[[sqlite3.Connection], Result]) -> Result:
        """Run `work` in a transaction; return its result once it is synced. Raises StorageError."""


def time_of_day_ms() -> int:
    """Return the time of day in ms, as this machine has it."""
    return int(time.time() * 1000)


class Store:
    """The records of one member, and the handlers of the requests for them.

    `handlers` belongs into the process's RpcServer. A request of another epoch is refused with the store's own view; a
    newer view is taken from any request that brings one, and by `adopt`. `on_view` is told each view that is taken.
    """

    def __init__(
        self,
        storage: TransactionalStorage,
        member_id: str,
        replica_count: int,
        wall_clock_ms: Callable[[], int] = time_of_day_ms,
        on_view: Callable[[StoreView], None] = lambda view: None,
    ) -> None:
        """Make the store of member `member_id`; each key is held by `replica_count` members (2 f + 1)."""
        self.member_id = member_id
        self.replica_count = replica_count
        self.view: StoreView | None = None
        self.storage = storage
        self._durable_epoch = -1
        self._longest_retain_s: float | None = None
        self._wall_clock_ms = wall_clock_ms
        self._on_view = on_view
        self.handlers: dict[str, Callable[[Message], Awaitable[Message]]] = {
            wire.TURN_PUT: self._on_turn_put,
            wire.TURN_HISTORY: self._on_turn_chain,
            wire.LEDGER_PREPARE: self._on_prepare,
            wire.LEDGER_ACCEPT: self._on_accept,
            wire.PULL_INDEX: self._on_pull_index,
            wire.PULL_TURNS: self._on_pull_turns,
            wire.PULL_LEDGERS: self._on_pull_ledgers,
        }

    def now_ms(self) -> int:
        """Return the time of day in ms."""
        return self._wall_clock_ms()

    async def load(self) -> None:
        """Take up the view that was adopted before the process ended. Raises StorageError."""
        view = await self.storage.transact(_read_view)
        if view is not None:
            self._durable_epoch = view.epoch
            self.adopt(view)

    def adopt(self, view: StoreView) -> bool:
        """Answer under `view` from now on, if it is newer; return whether it is."""
        if self.view is not None and view.epoch <= self.view.epoch:
            return False
        self.view = view
        self._on_view(view)
        return True

    def keep_ledgers_for(self, longest_retain_s: float) -> None:
        """Keep ledgers for as long as the newest configuration's longest `retain_s`, from the next purge on."""
        self._longest_retain_s = longest_retain_s

    async def make_view_durable(self) -> StoreView:
        """Return the present view once no restart can bring an older one back. Raises StorageError."""
        view = self.view
        if view is None:
            raise RpcError(wire.STALE_EPOCH, "no view yet", {"view": None})
        if view.epoch > self._durable_epoch:
            await self.storage.transact(lambda connection: _write_view(connection, view))
            self._durable_epoch = max(self._durable_epoch, view.epoch)
        return view

    async def purge_forever(self) -> None:
        """Delete expired turns and idle ledgers, a few at a time, until cancelled."""
        while True:
            await asyncio.sleep(PURGE_EVERY_S)
            try:
                await self.purge_step()
            except StorageError as failure:
                log.warning("store.purge_failed", extra={"why": str(failure)})

    async def purge_step(self) -> int:
        """Delete up to PURGE_STEP turns and as many ledgers; return how many went. Raises StorageError.

        No ledger goes before a configuration has told for how long they are to be kept."""
        now_ms, longest_retain_s = self.now_ms(), self._longest_retain_s

        def work(connection: sqlite3.Connection) -> int:
            turns = turn_table.purge(connection, now_ms, PURGE_STEP)
            retention = ledger_retention.follow(connection, longest_retain_s, now_ms)
            if retention is None:
                return turns
            unchanged_since_ms = now_ms - retention.idle_ms(now_ms) - RETAIN_MARGIN_MS
            return turns + ledger_replica.purge(connection, unchanged_since_ms, PURGE_STEP)

        return await self.storage.transact(work)

    def _check(self, message: Message) -> StoreView:
        """Return the view under which `message` is to be answered. Raises RpcError."""
        header = _decoded(RequestHeader.decode, message)
        if header.member != self.member_id:
            raise RpcError(wire.WRONG_MEMBER, self.member_id)
        if header.view is not None:
            self.adopt(header.view)
        view = self.view
        if view is None or header.epoch != view.epoch:
            own = None if view is None else view.to_json()
            raise RpcError(wire.STALE_EPOCH, "another epoch is in force", {"view": own})
        return view

    def _check_key(self, message: Message, program: str) -> None:
        view = self._check(message)
        if not view.holds(self.member_id, program, self.replica_count):
            raise RpcError(wire.NOT_REPLICA, program)

    async def _transact(self, view_epoch: int, work: Callable[[sqlite3.Connection], Result]) -> Result:
        """Run `work` on the storage; a view that was taken meanwhile makes the answer worthless."""
        try:
            result = await self.storage.transact(work)
        except StorageError as failure:
            raise RpcError(wire.STORAGE_FAILED, str(failure)) from failure
        view = self.view
        if view is None or view.epoch != view_epoch:
            raise RpcError(wire.STALE_EPOCH, "the view changed", {"view": view and view.to_json()})
        return result

    async def _on_turn_put(self, message: Message) -> Message:
        asked = _decoded(PutTurnsRequest.decode, message)
        programs = {turn.program for turn in asked.turns}
        if asked.accept is not None:
            programs.add(asked.accept.program)
        for program in programs:
            self._check_key(message, program)
        now_ms = self.now_ms()

        def work(connection: sqlite3.Connection) -> Message | None:
            turn_table.put(connection, asked.turns, now_ms, RETAIN_MARGIN_MS)
            return None if asked.accept is None else encode_reply(_accept(connection, asked.accept, now_ms))

        return PutTurnsReply(await self._transact(message["epoch"], work)).encode()

    async def _on_turn_chain(self, message: Message) -> Message:
        asked = _decoded(HistoryRequest.decode, message)
        self._check(message)
        links = await self._transact(
            message["epoch"],
            lambda connection: turn_table.chain(connection, asked.program, asked.previous, MOST_CHAIN_BYTES),
        )
        return links.to_json()

    async def _on_prepare(self, message: Message) -> Message:
        asked = _decoded(LedgerPrepareRequest.decode, message)
        ballot = Ballot(*asked.ballot)
        self._check_key(message, asked.program)
        now_ms = self.now_ms()
        reply = await self._transact(
            message["epoch"], lambda connection: ledger_replica.prepare(connection, asked.program, ballot, now_ms)
        )
        return encode_reply(reply)

    async def _on_accept(self, message: Message) -> Message:
        asked = _decoded(LedgerAcceptRequest.decode, message)
        self._check_key(message, asked.program)
        now_ms = self.now_ms()
        reply = await self._transact(message["epoch"], lambda connection: _accept(connection, asked, now_ms))
        return encode_reply(reply)

    async def _check_pull(self, message: Message) -> StoreView:
        """Return the changing view of a pull, which is durable here from now on. Raises RpcError."""
        self._check(message)
        try:
            view = await self.make_view_durable()
        except StorageError as failure:
            raise RpcError(wire.STORAGE_FAILED, str(failure)) from failure
        self._check(message)
        return view

    async def _on_pull_index(self, message: Message) -> Message:
        view = await self._check_pull(message)
        request, now_ms = IndexRequest.decode(message), self.now_ms()
        page = await self._transact(
            message["epoch"],
            lambda connection: turn_table.index_page(connection, request.after, request.most, now_ms),
        )
        wanted = [entry for entry in page if request.member in view.next_replicas(entry.program, self.replica_count)]
        after = (page[-1].turn, page[-1].program) if len(page) == request.most else None
        return IndexPage(wanted, after).encode()

    async def _on_pull_turns(self, message: Message) -> Message:
        await self._check_pull(message)
        request = TurnsRequest.decode(message)
        records, unread = await self._transact(
            message["epoch"],
            lambda connection: turn_table.read_exact(connection, request.keys, request.most_bytes),
        )
        answer = TurnsAnswer(records, unread)
        return answer.encode_raw() if request.raw else answer.encode()

    async def _on_pull_ledgers(self, message: Message) -> Message:
        view = await self._check_pull(message)
        request = LedgersRequest.decode(message)
        page = await self._transact(
            message["epoch"], lambda connection: ledger_replica.page(connection, request.after, request.most)
        )
        wanted = [record for record in page if request.member in view.next_replicas(record.program, self.replica_count)]
        return LedgersPage(wanted, page[-1].program if len(page) == request.most else None).encode()


def _decoded(decode: Callable[[Message], Result], message: Message) -> Result:
    """Return what a message says. Raises RpcError if it is malformed."""
    try:
        return decode(message)
    except MalformedMessageError as fault:
        raise RpcError(wire.MALFORMED, str(fault)) from fault


def _accept(connection: sqlite3.Connection, asked: LedgerAcceptRequest, now_ms: int) -> Reply:
    """Take part in the second round of a ledger's ballot."""
    ballot = Ballot(*asked.ballot)
    following = None if asked.next_ballot is None else Ballot(*asked.next_ballot)
    return ledger_replica.accept(connection, asked.program, ballot, asked.value, following, now_ms)


def _read_view(connection: sqlite3.Connection) -> StoreView | None:
    row = connection.execute("SELECT value FROM meta WHERE name = ?", (_VIEW_NAME,)).fetchone()
    return None if row is None else StoreView.from_json(json.loads(row[0]))


def _write_view(connection: sqlite3.Connection, view: StoreView) -> None:
    connection.execute(
        "INSERT OR REPLACE INTO meta (name, value) VALUES (?, ?)", (_VIEW_NAME, json.dumps(view.to_json()))
    )
