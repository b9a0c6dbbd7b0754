"""Ballots for budget ledgers: the requests to each replica of a program, and the promises for the next ballot.

The ledger of a program is the value of a CASPaxos register on the program's replicas. A replica that accepts a sender's
value also promises the sender's next ballot, so that the sender's next change of the same ledger skips the prepare
phase.
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
"""Maximum number of programs for which a promise is kept."""

ReplicaSet = frozenset[str]


@dataclass(frozen=True, slots=True)
class _Promise:
    """A promise of a program's replicas to this sender.

    epoch: epoch of the store view under which it was given.
    ballot: the promised ballot, to be used by the next change.
    value: the last chosen ledger that this sender has seen.
    value_ballot: the ballot under which that value was accepted.
    """

    epoch: int
    ballot: Ballot
    value: Ledger | None
    value_ballot: Ballot


def ledger_reply(message: Message) -> Reply:
    """Decode a replica's reply to a prepare or accept request. Raises MalformedMessageError."""
    try:
        return decode_reply(message)
    except (KeyError, TypeError, ValueError) as error:
        raise MalformedMessageError("reply", f"a replica's reply ({error!r})") from error


class LedgerBallot:
    """One ballot for the ledger of a program under one store view, without I/O.

    quorum_sets: the replica sets; a majority of each is required.
    proposal: the state machine of the proposer.
    next_ballot: the ballot to be promised by the replicas that accept.
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
        """Return the first requests, by member; empty for a read that a promise answers, which ends the ballot."""
        return self._by_member(self.proposal.start())

    def receive(self, member: str, reply: Reply) -> dict[str, LedgerPrepareRequest | LedgerAcceptRequest]:
        """Process a replica's reply; return the resulting requests, by member."""
        return self._by_member(self.proposal.receive(member, reply))

    @property
    def has_ended(self) -> bool:
        """Whether the outcome is known."""
        return self.proposal.result is not None

    def _by_member(self, requests: Iterable[Request]) -> dict[str, LedgerPrepareRequest | LedgerAcceptRequest]:
        return {request.member: _to_store_request(request, self.program) for request in requests}


class PiggybackedBallot:
    """A ballot whose accept requests are piggybacked on another write to the same replicas.

    It starts with the accept phase and therefore requires a promise.
    """

    def __init__(self, ballot: LedgerBallot) -> None:
        self._ballot = ballot
        self._accepts = {
            member: request for member, request in ballot.start().items() if isinstance(request, LedgerAcceptRequest)
        }

    def accept_for(self, member: str, view: StoreView) -> LedgerAcceptRequest | None:
        """Return the request to piggyback on a write to a member; None if the ballot is of another view than `view`."""
        return self._accepts.get(member) if view.epoch == self._ballot.view.epoch else None

    def receive(self, member: str, reply: Reply) -> None:
        """Process a replica's reply."""
        self._ballot.receive(member, reply)


class LedgerProposer:
    """Numbers the ballots of one sender and keeps the promises that it received.

    Invariant: `_counter` is at least the counter of each ballot that this sender has used or learned of.
    """

    def __init__(self, replica_count: int, proposer_id: str, wall_clock_ms: Callable[[], int]) -> None:
        self._replica_count = replica_count
        self._proposer_id = proposer_id
        self._wall_clock_ms = wall_clock_ms
        self._counter = 0
        self._promises: OrderedDict[str, _Promise] = OrderedDict()

    def has_promise(self, program: str, view: StoreView) -> bool:
        """Return whether the next change of a program's ledger can skip the prepare phase."""
        promise = self._promises.get(program)
        return promise is not None and promise.epoch == view.epoch

    def forget_promise(self, program: str) -> None:
        """Drop the promise for a program, so that its next ballot starts with the prepare phase."""
        self._promises.pop(program, None)

    def begin_ballot(self, program: str, view: StoreView, change: ledger.Change) -> LedgerBallot:
        """Create the next ballot for a program; it consumes the promise of the previous one."""
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
        """Return the result of a ballot; None if it is unknown. Keep the promise that was given with the result."""
        result = ballot.proposal.result
        if result is None:
            return None
        self._counter = max(self._counter, result.ballot.counter)
        epoch, number = ballot.view.epoch, ballot.proposal.ballot
        if result.outcome in (Outcome.CHOSEN, Outcome.CONFIRMED):
            self._keep_promise(ballot.program, _Promise(epoch, ballot.next_ballot, result.value, number))
        elif result.outcome is Outcome.UNCHANGED:
            self._keep_promise(ballot.program, _Promise(epoch, number, result.value, result.ballot))
        return result

    def _new_ballot(self) -> Ballot:
        """Create a ballot above all that this sender has used or learned of."""
        self._counter = max(self._counter + 1, self._wall_clock_ms())
        return Ballot(self._counter, self._proposer_id)

    def _keep_promise(self, program: str, promise: _Promise) -> None:
        self._promises[program] = promise
        while len(self._promises) > MAX_PROMISES:
            self._promises.popitem(last=False)


def _to_store_request(request: Request, program: str) -> LedgerPrepareRequest | LedgerAcceptRequest:
    """Convert a request of a proposal to the message to a store."""
    body = request.body
    if isinstance(body, Accept):
        return LedgerAcceptRequest(program, body.ballot, body.value, body.next_ballot)
    return LedgerPrepareRequest(program, body.ballot)
