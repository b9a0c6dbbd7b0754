"""A sender's part in the budget ledgers: a compare-and-swap register for each program, over the program's replicas."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from dewpin.cluster.message_fields import MalformedMessage
from dewpin.cluster.rpc import Message
from dewpin.cluster.sender_requests import LedgerAccept, LedgerPrepare
from dewpin.cluster.store_view import StoreView
from dewpin.consensus import Accept, Ballot, Outcome, Proposal, Reply, Request, Result
from dewpin.consensus.messages import decode_reply
from dewpin.consensus.replica import ZERO_BALLOT
from dewpin.dataplane import ledger
from dewpin.dataplane.background import BackgroundTasks, in_time
from dewpin.dataplane.ledger import Ledger
from dewpin.dataplane.program_store import BudgetSpent, Reservation, StoreUnavailable
from dewpin.dataplane.quorum_round import QuorumRound
from dewpin.dataplane.replica_calls import ReplicaCalls, Round, ViewHolder, ViewMoved

SETTLE_FOR_S = 60.0
"""For how long a settlement is tried; after that the reservation counts at its most for good."""
FIRST_BACKOFF_S = 0.005
MOST_BACKOFF_S = 0.1
MOST_PREPARED = 4000

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _Prepared:
    """A ledger as chosen last by this sender, and the ballot that its replicas promised beside."""

    epoch: int
    ballot: Ballot
    value: Ledger | None
    value_ballot: Ballot


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
        self._count = replica_count
        self._proposer = proposer
        self._rng = rng
        self._wall_clock_ms = wall_clock_ms
        self._background = background
        self._counter = 0
        self._prepared: OrderedDict[str, _Prepared] = OrderedDict()
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

    async def read(self, program: str) -> Ledger | None:
        """Return the ledger as a majority has it; what another sender left half done is finished."""
        return await self.change(program, ledger.read)

    async def _reserve(self, program: str, turn: str, most: int, budget: int) -> None:
        while True:
            try:
                await self.change(program, ledger.reserve(turn, most, budget))
                return
            except BudgetSpent:
                self._prepared.pop(program, None)
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
        lock = self._locks.setdefault(program, _ProgramLock())
        lock.users += 1
        try:
            async with lock.lock:
                if only_if_unsettled is not None and only_if_unsettled not in self._unsettled.get(program, {}):
                    return None
                return await self._change_locked(program, change)
        finally:
            lock.users -= 1
            if lock.users == 0:
                self._locks.pop(program, None)

    async def _change_locked(self, program: str, change: ledger.Change) -> Ledger | None:
        backoff_s = FIRST_BACKOFF_S
        while True:
            view = await self._views.current()
            settlements = dict(self._unsettled.get(program, {}))
            had_promise = program in self._prepared
            try:
                result = await self._one_ballot(program, view, ledger.after_settlements(settlements, change))
            except ViewMoved:
                continue
            if result is not None and result.outcome in (Outcome.CHOSEN, Outcome.UNCHANGED):
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
        """Run one ballot; the promise that it leaves behind is kept for the program's next change."""
        prepared = self._prepared.pop(program, None)
        if prepared is not None and prepared.epoch != view.epoch:
            prepared = None
        sets = view.write_sets(program, self._count)
        ballot = prepared.ballot if prepared is not None else self._new_ballot()
        following = self._new_ballot()
        proposal = Proposal(
            ballot,
            None if prepared is None else prepared.value,
            lambda value: sets,
            change,
            ZERO_BALLOT if prepared is None else prepared.value_ballot,
            prepared=prepared is not None,
            next_ballot=following,
        )
        await self._drive(proposal, program, view)
        result = proposal.result
        if result is None:
            return None
        self._counter = max(self._counter, result.ballot.counter)
        if result.outcome in (Outcome.CHOSEN, Outcome.CONFIRMED):
            self._keep_prepared(program, _Prepared(view.epoch, following, result.value, ballot))
        elif result.outcome is Outcome.UNCHANGED:
            self._keep_prepared(program, _Prepared(view.epoch, ballot, result.value, result.ballot))
        return result

    async def _drive(self, proposal: Proposal, program: str, view: StoreView) -> None:
        """Send the proposal's requests and feed it the replies, until it ends or nobody is left to answer."""
        until_s = asyncio.get_running_loop().time() + SETTLE_FOR_S
        sets = view.write_sets(program, self._count)
        with Round(self._calls, view, _reply_of) as task_round:
            quorum_round = QuorumRound(self._calls, task_round, sets, until_s)
            quorum_round.ask(_by_member(proposal.start(), program))
            while proposal.result is None and quorum_round.may_answer:
                answer = await quorum_round.next_answer()
                if answer.content is not None:
                    quorum_round.ask(_by_member(proposal.receive(answer.member, answer.content), program))

    def _new_ballot(self) -> Ballot:
        """Return a ballot above all that this sender has used or heard of."""
        self._counter = max(self._counter + 1, self._wall_clock_ms())
        return Ballot(self._counter, self._proposer)

    def _keep_prepared(self, program: str, prepared: _Prepared) -> None:
        self._prepared[program] = prepared
        while len(self._prepared) > MOST_PREPARED:
            self._prepared.popitem(last=False)


def ledger_request(request: Request, program: str) -> LedgerPrepare | LedgerAccept:
    """Return what carries a proposal's request to a store."""
    body = request.body
    if isinstance(body, Accept):
        return LedgerAccept(program, body.ballot, body.value, body.next_ballot)
    return LedgerPrepare(program, body.ballot)


def _by_member(requests: Iterable[Request], program: str) -> dict[str, LedgerPrepare | LedgerAccept]:
    return {request.member: ledger_request(request, program) for request in requests}


def _reply_of(message: Message) -> Reply:
    """Return the reply that a store's answer tells. MalformedMessage if it tells none."""
    try:
        return decode_reply(message)
    except (KeyError, TypeError, ValueError) as fault:
        raise MalformedMessage("reply", f"a replica's reply ({fault!r})") from fault
