"""Ballots for budget ledgers: which replica of a program is asked what, and what is promised for the next ballot.

A ledger is the value of a register (CASPaxos) for each program, over the program's replicas. A sender whose value is
chosen is promised its next ballot along with it, so that its next change of the same program skips the prepare phase.
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

MAX_PROMISES = 4000
"""Number of programs whose promise is remembered."""

ReplicaSet = frozenset[str]


@dataclass(frozen=True, slots=True)
class _Promise:
    """What the replicas of a program have promised this sender.

    epoch: the store view under which they did.
    ballot: the ballot that they promised for the next change.
    value: the ledger as this sender has last seen it chosen.
    value_ballot: the ballot under which that value was accepted.
    """

    epoch: int
    ballot: Ballot
    value: Ledger | None
    value_ballot: Ballot


def ledger_reply(message: Message) -> Reply:
    """Return a replica's reply to a prepare or an accept; raises MalformedMessageError."""
    try:
        return decode_reply(message)
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedMessageError("reply", f"a replica's reply ({error!r})") from error


class LedgerBallot:
    """One ballot for the ledger of a program, under one store view. It does no I/O.

    quorum_sets: the replica sets that each have to give a majority.
    proposal: the state machine of the proposer.
    next_ballot: the ballot that is to be promised along with the accept.
    """

    def __init__(
        self,
        program: str,
        view: StoreView,
        quorum_sets: Sequence[ReplicaSet],
        proposal: Proposal,
        next_ballot: Ballot,
    ) -> None:
        self.program = program
        self.view = view
        self.quorum_sets = quorum_sets
        self.proposal = proposal
        self.next_ballot = next_ballot

    def start(self) -> dict[str, LedgerPrepareRequest | LedgerAcceptRequest]:
        """Return the first requests, by member; none where a promise makes a read unnecessary: it has ended then."""
        return self._by_member(self.proposal.start())

    def receive(self, member: str, reply: Reply) -> dict[str, LedgerPrepareRequest | LedgerAcceptRequest]:
        """Process a replica's reply; return the requests that follow, by member."""
        return self._by_member(self.proposal.receive(member, reply))

    @property
    def has_ended(self) -> bool:
        """Whether its outcome is known."""
        return self.proposal.result is not None

    def _by_member(self, requests: Iterable[Request]) -> dict[str, LedgerPrepareRequest | LedgerAcceptRequest]:
        return {request.member: _to_store_request(request, self.program) for request in requests}


class PiggybackedBallot:
    """A ballot whose requests are sent along with another write to the same replicas.

    It begins with its accept phase, so it needs a promise.
    """

    def __init__(self, ballot: LedgerBallot) -> None:
        self._ballot = ballot
        self._accepts = {
            member: request for member, request in ballot.start().items() if isinstance(request, LedgerAcceptRequest)
        }

    def accept_for(self, member: str, view: StoreView) -> LedgerAcceptRequest | None:
        """Return what a write under `view` takes along to a member; None if the ballot is of another view."""
        return self._accepts.get(member) if view.epoch == self._ballot.view.epoch else None

    def receive(self, member: str, reply: Reply) -> None:
        """Process a replica's reply."""
        self._ballot.receive(member, reply)


class LedgerProposer:
    """Numbers the ballots of one sender and remembers what the replicas have promised it.

    Invariant: `_counter` is at least that of each ballot that this sender has used or heard of.
    """

    def __init__(self, replica_count: int, proposer_id: str, wall_clock_ms: Callable[[], int]) -> None:
        self._replica_count = replica_count
        self._proposer_id = proposer_id
        self._wall_clock_ms = wall_clock_ms
        self._counter = 0
        self._promises: OrderedDict[str, _Promise] = OrderedDict()

    def has_promise(self, program: str, view: StoreView) -> bool:
        """Return whether the next change of a program can skip the prepare phase."""
        promise = self._promises.get(program)
        return promise is not None and promise.epoch == view.epoch

    def forget_promise(self, program: str) -> None:
        """Let the next ballot of a program begin with the prepare phase."""
        self._promises.pop(program, None)

    def begin_ballot(self, program: str, view: StoreView, change: ledger.Change) -> LedgerBallot:
        """Return the next ballot, which uses up the promise of the last one."""
        promise = self._promises.pop(program, None)
        if promise is not None and promise.epoch != view.epoch:
            promise = None
        quorum_sets = view.write_sets(program, self._replica_count)
        ballot = promise.ballot if promise is not None else self._new_ballot()
        next_ballot = self._new_ballot()
        proposal = Proposal(
            ballot,
            None if promise is None else promise.value,
            lambda value: quorum_sets,
            change,
            ZERO_BALLOT if promise is None else promise.value_ballot,
            prepared=promise is not None,
            next_ballot=next_ballot,
        )
        return LedgerBallot(program, view, quorum_sets, proposal, next_ballot)

    def end_ballot(self, ballot: LedgerBallot) -> Result | None:
        """Return how a ballot ended, None if that is unknown; remember the promise that comes with the result."""
        result = ballot.proposal.result
        if result is None:
            return None
        self._counter = max(self._counter, result.ballot.counter)
        epoch, number = ballot.view.epoch, ballot.proposal.ballot
        if result.outcome in (Outcome.CHOSEN, Outcome.CONFIRMED):
            self._remember(ballot.program, _Promise(epoch, ballot.next_ballot, result.value, number))
        elif result.outcome is Outcome.UNCHANGED:
            self._remember(ballot.program, _Promise(epoch, number, result.value, result.ballot))
        return result

    def _new_ballot(self) -> Ballot:
        """Return a ballot above all that this sender has used or heard of."""
        self._counter = max(self._counter + 1, self._wall_clock_ms())
        return Ballot(self._counter, self._proposer_id)

    def _remember(self, program: str, promise: _Promise) -> None:
        self._promises[program] = promise
        while len(self._promises) > MAX_PROMISES:
            self._promises.popitem(last=False)


def _to_store_request(request: Request, program: str) -> LedgerPrepareRequest | LedgerAcceptRequest:
    """Return the message to a store that contains a proposal's request."""
    body = request.body
    if isinstance(body, Accept):
        return LedgerAcceptRequest(program, body.ballot, body.value, body.next_ballot)
    return LedgerPrepareRequest(program, body.ballot)
