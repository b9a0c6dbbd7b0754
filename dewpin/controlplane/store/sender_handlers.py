"""Handlers for the requests of senders: storing turns, reading conversation histories, ballots on budget ledgers."""

from __future__ import annotations

import logging
import sqlite3
from collections.abc import Awaitable, Callable

from dewpin.cluster import store_messages as wire
from dewpin.cluster.memory_budget import MemoryBudget
from dewpin.cluster.rpc import Message
from dewpin.cluster.store_requests import (
    HistoryRequest,
    LedgerAcceptRequest,
    LedgerPrepareRequest,
    PutTurnsReply,
    PutTurnsRequest,
)
from dewpin.consensus import Ballot, Reply
from dewpin.consensus.messages import encode_reply
from dewpin.controlplane.store import ledger_replica, turn_table
from dewpin.controlplane.store.history_reader import HistoryReader
from dewpin.controlplane.store.view_guard import ViewGuard, decode_request

RETENTION_MARGIN_MS = 30_000
"""Turns and ledgers are kept this much longer than requested, to allow for clock steps and turns in progress."""

log = logging.getLogger(__name__)


class SenderHandlers:
    """Answers senders for one store; `handlers` maps message types to handlers."""

    def __init__(self, guard: ViewGuard, now_ms: Callable[[], int], budget: MemoryBudget) -> None:
        """Answer under the view of `guard`; `now_ms` returns the wall-clock time in ms; histories use `budget`."""
        self._guard = guard
        self._history_reader = HistoryReader(guard, budget)
        self._now_ms = now_ms
        self.handlers: dict[str, Callable[[Message], Awaitable[Message]]] = {
            wire.TURN_PUT: self._put_turns,
            wire.TURN_HISTORY: self._read_history,
            wire.LEDGER_PREPARE: self._prepare_ledger,
            wire.LEDGER_ACCEPT: self._accept_ledger,
        }

    async def _put_turns(self, message: Message) -> Message:
        request = decode_request(PutTurnsRequest.decode, message)
        programs = {turn.program for turn in request.turns}
        if request.accept is not None:
            programs.add(request.accept.program)
        for program in programs:
            self._guard.check_replica(message, program)
        now_ms = self._now_ms()

        def work(connection: sqlite3.Connection) -> PutTurnsReply:
            turn_table.put(connection, request.turns, now_ms, RETENTION_MARGIN_MS)
            missing = turn_table.newest_missing_turn(connection, request.turns)
            if request.accept is None:
                return PutTurnsReply(None, missing)
            return PutTurnsReply(encode_reply(_accept(connection, request.accept, now_ms)), missing)

        reply = await self._guard.transact(message["epoch"], work)
        log.debug(
            "store.turns_stored",
            extra={"turns": [turn.turn for turn in request.turns], "missing": reply.missing_turn},
        )
        return reply.encode()

    async def _read_history(self, message: Message) -> Message:
        request = decode_request(HistoryRequest.decode, message)
        self._guard.check_view(message)
        return await self._history_reader.read(message["epoch"], request)

    async def _prepare_ledger(self, message: Message) -> Message:
        request = decode_request(LedgerPrepareRequest.decode, message)
        ballot = Ballot(*request.ballot)
        self._guard.check_replica(message, request.program)
        now_ms = self._now_ms()
        reply = await self._guard.transact(
            message["epoch"], lambda connection: ledger_replica.prepare(connection, request.program, ballot, now_ms)
        )
        return encode_reply(reply)

    async def _accept_ledger(self, message: Message) -> Message:
        request = decode_request(LedgerAcceptRequest.decode, message)
        self._guard.check_replica(message, request.program)
        now_ms = self._now_ms()
        reply = await self._guard.transact(message["epoch"], lambda connection: _accept(connection, request, now_ms))
        return encode_reply(reply)


def _accept(connection: sqlite3.Connection, request: LedgerAcceptRequest, now_ms: int) -> Reply:
    """Handle the accept phase of a ballot on a ledger."""
    ballot = Ballot(*request.ballot)
    next_ballot = None if request.next_ballot is None else Ballot(*request.next_ballot)
    return ledger_replica.accept(connection, request.program, ballot, request.value, next_ballot, now_ms)
