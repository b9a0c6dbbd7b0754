"""A sender's part in the budget ledgers: a compare-and-swap register for each program, over the program's replicas."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import dataclass

from dewpin.cluster.store_view import StoreView
from dewpin.consensus import Outcome, Result
from dewpin.dataplane.programs import ledger
from dewpin.dataplane.programs.background import BackgroundTasks, in_time
from dewpin.dataplane.programs.ledger import Ledger
from dewpin.dataplane.programs.ledger_ballot import CarriedBallot, LedgerBallot, LedgerBallots, ledger_reply
from dewpin.dataplane.programs.program_store import BudgetSpent, Reservation, Settlement, StoreUnavailable
from dewpin.dataplane.programs.quorum_round import QuorumRound
from dewpin.dataplane.programs.replica_calls import ReplicaCalls, Round, ViewHolder, ViewMoved

SETTLE_FOR_S = 60.0
"""For how long a settlement is tried; after that the reservation counts at its most for good."""
FIRST_BACKOFF_S = 0.005
MOST_BACKOFF_S = 0.1
_KNOWN_OUTCOMES = (Outcome.CHOSEN, Outcome.UNCHANGED)
"""The ledger's value is known, the change being made."""

log = logging.getLogger(__name__)


@dataclass(slots=True)
class _ProgramLock:
    """Makes the changes of one program's ledger at this sender one after the other."""

    lock: asyncio.Lock
    users: int

    def __init__(self) -> None:
        self.lock = asyncio.Lock()
        self.users = 0


class LedgerClient:
    """Makes the changes of ledgers, under ballots of one sender (`proposer`)."""

    def __init__(
        self,
        calls: ReplicaCalls,
        views: ViewHolder,
        replica_count: int,
        proposer: str,
        rng: random.Random,
        wall_clock_ms: Callable[[], int],
        background: BackgroundTasks,
    ) -> None:
        self._calls = calls
        self._views = views
        self._ballots = LedgerBallots(replica_count, proposer, wall_clock_ms)
        self._rng = rng
        self._background = background
        self._locks: dict[str, _ProgramLock] = {}
        self._unsettled: dict[str, dict[str, int]] = {}

    async def reserve(self, program: str, turn: str, most: int, budget: int, timeout_s: float) -> Reservation:
        """Keep `most` tokens of the program's budget for a turn. Raises BudgetSpent, StoreUnavailable."""
        reservation = Reservation(program, turn, most)
        try:
            await in_time(self._reserve(program, turn, most, budget), timeout_s)
        except BudgetSpent:
            raise
        except BaseException:  # the reservation may have been made: nothing runs under it, so it is taken back
            self.settle(reservation, 0)
            raise
        return reservation

    def settle(self, reservation: Reservation, used: int) -> None:
        """Replace a reservation by the tokens that were handed out, behind or with the program's next change."""
        self._unsettled.setdefault(reservation.program, {})[reservation.turn] = used
        self._background.start(self._settle(reservation))

    @contextlib.asynccontextmanager
    async def settling_beside(self, settlement: Settlement | None) -> AsyncIterator[CarriedBallot | None]:
        """Give a ballot that settles, for a write to the program's replicas to carry, or None where none can be
        carried. What is not settled at the end is settled behind."""
        if settlement is None:
            yield None
            return
        reservation = settlement.reservation
        self._unsettled.setdefault(reservation.program, {})[reservation.turn] = settlement.used
        try:
            async with self._ballot_beside(reservation.program) as ballot:
                yield ballot
        finally:
            if reservation.turn in self._unsettled.get(reservation.program, {}):
                self._background.start(self._settle(reservation))

    @contextlib.asynccontextmanager
    async def _ballot_beside(self, program: str) -> AsyncIterator[CarriedBallot | None]:
        """Give a ballot that begins with its second round; None without a promise, or beside another change."""
        view = self._views.view
        if view is None or program in self._locks or not self._ballots.has_promise(program, view):
            yield None
            return
        async with self._locked(program):
            settlements = dict(self._unsettled.get(program, {}))
            ballot = self._ballots.begin(program, view, ledger.after_settlements(settlements, ledger.read))
            try:
                yield CarriedBallot(ballot)
            finally:
                result = self._ballots.end(ballot)
                if result is not None and result.outcome in _KNOWN_OUTCOMES:
                    self._forget_settled(program, settlements)

    async def read(self, program: str) -> Ledger | None:
        """Return the ledger as a majority has it; what another sender left half done is finished."""
        return await self.change(program, ledger.read)

    async def _reserve(self, program: str, turn: str, most: int, budget: int) -> None:
        while True:
            try:
                await self.change(program, ledger.reserve(turn, most, budget))
                return
            except BudgetSpent:
                self._ballots.forget_promise(program)
                proved = await self.change(program, ledger.read)
                if not ledger.fits(proved, turn, most, budget):
                    raise

    async def _settle(self, reservation: Reservation) -> None:
        program, turn = reservation.program, reservation.turn
        try:
            await in_time(self.change(program, ledger.read, only_if_unsettled=turn), SETTLE_FOR_S)
        except StoreUnavailable:
            log.warning("store_client.not_settled", extra={"program": program, "turn": turn})
            self._forget_settled(program, [turn])

    def _forget_settled(self, program: str, turns: Iterable[str]) -> None:
        """Note that settlements are made, or given up."""
        unsettled = self._unsettled.get(program, {})
        for turn in turns:
            unsettled.pop(turn, None)
        if not unsettled:
            self._unsettled.pop(program, None)

    async def change(self, program: str, change: ledger.Change, only_if_unsettled: str | None = None) -> Ledger | None:
        """Make a change of the program's ledger, in as many ballots as it takes; return the chosen value.

        With `only_if_unsettled`, nothing is done if an earlier change has settled that turn.
        """
        async with self._locked(program):
            if only_if_unsettled is not None and only_if_unsettled not in self._unsettled.get(program, {}):
                return None
            return await self._change_locked(program, change)

    @contextlib.asynccontextmanager
    async def _locked(self, program: str) -> AsyncIterator[None]:
        """Keep the other changes of a program's ledger at this sender waiting."""
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
            view = await self._views.current()
            settlements = dict(self._unsettled.get(program, {}))
            had_promise = self._ballots.has_promise(program, view)
            try:
                result = await self._one_ballot(program, view, ledger.after_settlements(settlements, change))
            except ViewMoved:
                continue
            if result is not None and result.outcome in _KNOWN_OUTCOMES:
                self._forget_settled(program, settlements)
                value: Ledger | None = result.value
                return value
            if result is not None and result.outcome is Outcome.CONFIRMED:
                continue
            if result is not None and had_promise:  # another sender has used the ledger since: no race with it yet
                continue
            await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))
            backoff_s = min(2 * backoff_s, MOST_BACKOFF_S)

    async def _one_ballot(self, program: str, view: StoreView, change: ledger.Change) -> Result | None:
        """Run one ballot; None if nobody knows how it ended."""
        ballot = self._ballots.begin(program, view, change)
        await self._drive(ballot)
        return self._ballots.end(ballot)

    async def _drive(self, ballot: LedgerBallot) -> None:
        """Send the ballot's requests and feed it the replies, until it ends or nobody is left to answer."""
        until_s = asyncio.get_running_loop().time() + SETTLE_FOR_S
        with Round(self._calls, ballot.view, ledger_reply) as task_round:
            quorum_round = QuorumRound(self._calls, task_round, ballot.sets, until_s)
            quorum_round.ask(ballot.start())
            while not ballot.has_ended and quorum_round.may_answer:
                answer = await quorum_round.next_answer()
                if answer.content is not None:
                    quorum_round.ask(ballot.receive(answer.member, answer.content))
