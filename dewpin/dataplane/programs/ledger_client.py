"""Reads and changes budget ledgers: one compare-and-swap register per program, replicated over its stores."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import dataclass, field

from dewpin.cluster.background_tasks import BackgroundTasks
from dewpin.cluster.store_view import StoreView
from dewpin.consensus import Outcome, Result
from dewpin.dataplane.programs import ledger
from dewpin.dataplane.programs.errors import BudgetExceededError, StaleViewError, StoreUnavailableError
from dewpin.dataplane.programs.ledger import Ledger
from dewpin.dataplane.programs.ledger_ballot import LedgerBallot, LedgerProposer, PiggybackedBallot, ledger_reply
from dewpin.dataplane.programs.program_store import Reservation, Settlement
from dewpin.dataplane.programs.quorum_round import QuorumRound
from dewpin.dataplane.programs.replica_calls import ReplicaCalls
from dewpin.dataplane.programs.store_view_tracker import StoreViewTracker
from dewpin.dataplane.programs.timeouts import run_with_timeout

SETTLEMENT_TIMEOUT_S = 60.0
"""How long a settlement is retried; after this time the whole reservation permanently counts as used."""
FIRST_BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.1
_OUTCOMES_WITH_CHANGE_MADE = (Outcome.CHOSEN, Outcome.UNCHANGED)
"""Outcomes after which the change has been made and the ledger's value is known."""

log = logging.getLogger(__name__)


@dataclass(slots=True)
class _ProgramLock:
    """Serializes this sender's changes to the ledger of one program; removed once it has no users."""

    lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    users: int = 0


class LedgerClient:
    """Reads and changes ledgers with ballots of one sender (`proposer_id`); each program has `replica_count` replicas.

    `_pending_settlements` holds the tokens used by each turn that is still to be settled, by program and turn id. The
    next change of the program's ledger settles all of them, whatever its purpose.
    """

    def __init__(
        self,
        calls: ReplicaCalls,
        views: StoreViewTracker,
        replica_count: int,
        proposer_id: str,
        rng: random.Random,
        wall_clock_ms: Callable[[], int],
        background: BackgroundTasks,
    ) -> None:
        self._calls = calls
        self._views = views
        self._proposer = LedgerProposer(replica_count, proposer_id, wall_clock_ms)
        self._rng = rng
        self._background = background
        self._locks: dict[str, _ProgramLock] = {}
        self._pending_settlements: dict[str, dict[str, int]] = {}

    async def reserve(self, program: str, turn_id: str, max_tokens: int, budget: int, timeout_s: float) -> Reservation:
        """Reserve tokens of the program's budget for a turn. Raises BudgetExceededError or StoreUnavailableError."""
        reservation = Reservation(program, turn_id, max_tokens)
        try:
            await run_with_timeout(self._reserve(program, turn_id, max_tokens, budget), timeout_s)
        except BudgetExceededError:
            raise
        except BaseException:  # the reservation may have been made although the turn will not run: release it
            self.settle(reservation, 0)
            raise
        return reservation

    def settle(self, reservation: Reservation, used_tokens: int) -> None:
        """Replace a reservation by the tokens used, in the background or with the program's next ledger change."""
        self._pending_settlements.setdefault(reservation.program, {})[reservation.turn_id] = used_tokens
        self._background.start(self._settle(reservation))

    @contextlib.asynccontextmanager
    async def piggybacked_settlement(self, settlement: Settlement | None) -> AsyncIterator[PiggybackedBallot | None]:
        """Provide a ballot that makes the settlement, to be piggybacked on a write to the program's replicas.

        Provides None if there is no settlement or the ballot cannot be piggybacked. A settlement that is still pending
        at the end of the block is made in the background.
        """
        if settlement is None:
            yield None
            return
        reservation = settlement.reservation
        self._pending_settlements.setdefault(reservation.program, {})[reservation.turn_id] = settlement.used_tokens
        try:
            async with self._piggybacked_ballot(reservation.program) as ballot:
                yield ballot
        finally:
            if reservation.turn_id in self._pending_settlements.get(reservation.program, {}):
                self._background.start(self._settle(reservation))

    @contextlib.asynccontextmanager
    async def _piggybacked_ballot(self, program: str) -> AsyncIterator[PiggybackedBallot | None]:
        """Provide a ballot that starts with the accept phase; None without a promise or during another change."""
        view = self._views.newest
        if view is None or program in self._locks or not self._proposer.has_promise(program, view):
            yield None
            return
        async with self._locked(program):
            settlements = dict(self._pending_settlements.get(program, {}))
            ballot = self._proposer.begin_ballot(program, view, ledger.settle_then(settlements, ledger.read))
            try:
                yield PiggybackedBallot(ballot)
            finally:
                result = self._proposer.end_ballot(ballot)
                if result is not None and result.outcome in _OUTCOMES_WITH_CHANGE_MADE:
                    self._forget_settlements(program, settlements)

    async def read(self, program: str) -> Ledger | None:
        """Read the ledger from a majority; this completes an unfinished change of another sender.

        The read drops the kept promise first: it would yield the value last seen by this sender, which may be outdated.
        """
        async with self._locked(program):
            self._proposer.forget_promise(program)
            return await self._change_locked(program, ledger.read)

    async def _reserve(self, program: str, turn_id: str, max_tokens: int, budget: int) -> None:
        while True:
            try:
                await self.change(program, ledger.reserve(turn_id, max_tokens, budget))
                return
            except BudgetExceededError:  # the value may never have been chosen: only a read confirms it
                confirmed = await self.read(program)
                if not ledger.can_reserve(confirmed, turn_id, max_tokens, budget):
                    raise

    async def _settle(self, reservation: Reservation) -> None:
        program, turn_id = reservation.program, reservation.turn_id
        try:
            change = self.change(program, ledger.read, only_if_unsettled=turn_id)
            await run_with_timeout(change, SETTLEMENT_TIMEOUT_S)
        except StoreUnavailableError:
            log.warning("store_client.not_settled", extra={"program": program, "turn": turn_id})
            self._forget_settlements(program, [turn_id])

    def _forget_settlements(self, program: str, turn_ids: Iterable[str]) -> None:
        """Remove settlements that were made or abandoned."""
        pending = self._pending_settlements.get(program, {})
        for turn_id in turn_ids:
            pending.pop(turn_id, None)
        if not pending:
            self._pending_settlements.pop(program, None)

    async def change(self, program: str, change: ledger.Change, only_if_unsettled: str | None = None) -> Ledger | None:
        """Change the program's ledger, with as many ballots as necessary; return the chosen value.

        If `only_if_unsettled` is a turn id, nothing is done if an earlier change has already settled that turn.
        """
        async with self._locked(program):
            pending = self._pending_settlements.get(program, {})
            if only_if_unsettled is not None and only_if_unsettled not in pending:
                return None
            return await self._change_locked(program, change)

    @contextlib.asynccontextmanager
    async def _locked(self, program: str) -> AsyncIterator[None]:
        """Hold the lock that serializes this sender's changes to a program's ledger."""
        lock = self._locks.setdefault(program, _ProgramLock())
        lock.users += 1
        try:
            async with lock.lock:
                yield
        finally:
            lock.users -= 1
            if lock.users == 0:
                self._locks.pop(program, None)

    async def _change_locked(self, program: str, change: ledger.Change) -> Ledger | None:
        backoff_s = FIRST_BACKOFF_S
        while True:
            view = await self._views.wait_for_view()
            settlements = dict(self._pending_settlements.get(program, {}))
            had_promise = self._proposer.has_promise(program, view)
            try:
                result = await self._run_ballot(program, view, ledger.settle_then(settlements, change))
            except StaleViewError:
                continue
            if result is not None and result.outcome in _OUTCOMES_WITH_CHANGE_MADE:
                self._forget_settlements(program, settlements)
                value: Ledger | None = result.value
                return value
            if result is not None and result.outcome is Outcome.CONFIRMED:
                continue
            if result is not None and had_promise:  # another sender has changed the ledger: retry without backoff once
                continue
            await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _run_ballot(self, program: str, view: StoreView, change: ledger.Change) -> Result | None:
        """Run one ballot and return its result; None if the outcome is unknown."""
        ballot = self._proposer.begin_ballot(program, view, change)
        await self._exchange_messages(ballot)
        return self._proposer.end_ballot(ballot)

    async def _exchange_messages(self, ballot: LedgerBallot) -> None:
        """Exchange messages with the replicas until the ballot ends or no further reply is possible."""
        deadline_s = asyncio.get_running_loop().time() + SETTLEMENT_TIMEOUT_S
        with QuorumRound(self._calls, ballot.view, ledger_reply, ballot.quorum_sets, deadline_s) as quorum_round:
            quorum_round.ask(ballot.start())
            while not ballot.has_ended and quorum_round.may_get_replies:
                reply = await quorum_round.next_reply()
                if reply.content is not None:
                    quorum_round.ask(ballot.receive(reply.member, reply.content))
