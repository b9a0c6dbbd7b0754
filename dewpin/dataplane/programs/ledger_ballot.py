"""Ballots for budget ledgers: which replica of a program is asked what, and what is promised for the next one.

A ledger is the value of a register for each program, over the program's replicas. Whoever has a value chosen is
promised its next ballot beside, so that the same sender's next change of the program does without the first round.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from dewpin.cluster.message_fields import MalformedMessageError, Message
from dewpin.cluster.store_requests import LedgerAcceptRequest, LedgerPrepareRequest
from dewpin.cluster.store_view import StoreView
from dewpin.consensus import Accept, Ballot, Outcome, Proposal, Reply, Request, Result
from dewpin.consensus.messages import decode_reply
from dewpin.consensus.replica import ZERO_BALLOT
from dewpin.dataplane.programs import ledger
from dewpin.dataplane.programs.ledger import Ledger

MOST_PREPARED = 4000
"""Programs whose promise is remembered."""

ReplicaSet = frozenset[str]


@dataclass(frozen=True, slots=True)
class _Prepared:
    """A ledger as chosen last by this sender, and the ballot that its replicas promised beside."""

    epoch: int
    ballot: Ballot
    value: Ledger | None
    value_ballot: Ballot


def ledger_reply(message: Message) -> Reply:
    """Return the reply to a round of a ballot. MalformedMessageError if the message tells none."""
    try:
        return decode_reply(message)
    except (KeyError, TypeError, ValueError) as fault:
        raise MalformedMessageError("reply", f"a replica's reply ({fault!r})") from fault


class LedgerBallot:
    """One ballot for the ledger of a program, under one view. It asks nobody by itself and never waits."""

    def __init__(
        self, program: str, view: StoreView, sets: Sequence[ReplicaSet], proposal: Proposal, following: Ballot
    ) -> None:
        """`sets`: the replica sets that each give a majority; `following`: the ballot to be promised beside."""
        self.program = program
        self.view = view
        self.sets = sets
        self.proposal = proposal
        self.following = following

    def start(self) -> dict[str, LedgerPrepareRequest | LedgerAcceptRequest]:
        """Return the first requests, by member; none where a promise makes a read needless: it has ended then."""
        return self._by_member(self.proposal.start())

    def receive(self, member: str, reply: Reply) -> dict[str, LedgerPrepareRequest | LedgerAcceptRequest]:
        """Take a replica's reply; return what to ask next, by member."""
        return self._by_member(self.proposal.receive(member, reply))

    @property
    def has_ended(self) -> bool:
        """Tell whether its outcome is known."""
        return self.proposal.result is not None

    def _by_member(self, requests: Iterable[Request]) -> dict[str, LedgerPrepareRequest | LedgerAcceptRequest]:
        return {request.member: _to_store(request, self.program) for request in requests}


class CarriedBallot:
    """A ballot whose requests travel with another write to the same replicas; it begins with its second round."""

    def __init__(self, ballot: LedgerBallot) -> None:
        self._ballot = ballot
        self._accepts = {
            member: request for member, request in ballot.start().items() if isinstance(request, LedgerAcceptRequest)
        }

    def accept_for(self, member: str, view: StoreView) -> LedgerAcceptRequest | None:
        """Return what a write under `view` carries to a member; nothing once the view has moved."""
        return self._accepts.get(member) if view.epoch == self._ballot.view.epoch else None

    def receive(self, member: str, reply: Reply) -> None:
        """Take a replica's reply."""
        self._ballot.receive(member, reply)


class LedgerBallots:
    """Numbers the ballots of one sender (`proposer`) and remembers what its replicas have promised it."""

    def __init__(self, replica_count: int, proposer: str, wall_clock_ms: Callable[[], int]) -> None:
        self._count = replica_count
        self._proposer = proposer
        self._wall_clock_ms = wall_clock_ms
        self._counter = 0
        self._prepared: OrderedDict[str, _Prepared] = OrderedDict()

    def has_promise(self, program: str, view: StoreView) -> bool:
        """Tell whether the next change of a program may do without its first round."""
        prepared = self._prepared.get(program)
        return prepared is not None and prepared.epoch == view.epoch

    def forget_promise(self, program: str) -> None:
        """Let the next ballot of a program begin with its first round."""
        self._prepared.pop(program, None)

    def begin(self, program: str, view: StoreView, change: ledger.Change) -> LedgerBallot:
        """Return the next ballot, which takes up the promise that the last one left."""
        prepared = self._prepared.pop(program, None)
        if prepared is not None and prepared.epoch != view.epoch:
            prepared = None
        sets = view.write_sets(program, self._count)
        number = prepared.ballot if prepared is not None else self._new_ballot()
        following = self._new_ballot()
        proposal = Proposal(
            number,
            None if prepared is None else prepared.value,
            lambda value: sets,
            change,
            ZERO_BALLOT if prepared is None else prepared.value_ballot,
            prepared=prepared is not None,
            next_ballot=following,
        )
        return LedgerBallot(program, view, sets, proposal, following)

    def end(self, ballot: LedgerBallot) -> Result | None:
        """Return how a ballot ended, None if nobody knows; the promise that it leaves is remembered."""
        result = ballot.proposal.result
        if result is None:
            return None
        self._counter = max(self._counter, result.ballot.counter)
        epoch, number = ballot.view.epoch, ballot.proposal.ballot
        if result.outcome in (Outcome.CHOSEN, Outcome.CONFIRMED):
            self._remember(ballot.program, _Prepared(epoch, ballot.following, result.value, number))
        elif result.outcome is Outcome.UNCHANGED:
            self._remember(ballot.program, _Prepared(epoch, number, result.value, result.ballot))
        return result

    def _new_ballot(self) -> Ballot:
        """Return a ballot above all that this sender has used or heard of."""
        self._counter = max(self._counter + 1, self._wall_clock_ms())
        return Ballot(self._counter, self._proposer)

    def _remember(self, program: str, prepared: _Prepared) -> None:
        self._prepared[program] = prepared
        while len(self._prepared) > MOST_PREPARED:
            self._prepared.popitem(last=False)


def _to_store(request: Request, program: str) -> LedgerPrepareRequest | LedgerAcceptRequest:
    """Return what carries a proposal's request to a store."""
    body = request.body
    if isinstance(body, Accept):
        return LedgerAcceptRequest(program, body.ballot, body.value, body.next_ballot)
    return LedgerPrepareRequest(program, body.ballot)
