"""One proposal to a replicated register: the proposer of CASPaxos as a state machine without I/O.

`Proposal` returns the requests to send to members and processes their replies. It never blocks: the caller sends the
requests and enforces the timeout. The quorum rule is the function `quorum_sets`, which derives from a value the member
sets that must each provide a majority. For a register whose value contains its own members, these are the current
members and the members of the previous value.

A value whose sets differ (a membership change in progress) is confirmed unchanged before a new value is based on it.
The proposal then ends with `Outcome.CONFIRMED`, and the caller has to propose its change again.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from .replica import ZERO_BALLOT, Accepted, Ballot, Conflict, Promise, Reply

JsonValue = Any
MemberSet = frozenset[str]
ChangeFunction = Callable[[JsonValue], JsonValue]
"""Maps the current value to the next one, as in CASPaxos; a read returns the same object."""
QuorumSets = Callable[[JsonValue], Sequence[MemberSet]]


def majority_of(members: Collection[str]) -> int:
    """Return the smallest number of members that forms a majority."""
    return len(members) // 2 + 1


def has_majorities(sets: Iterable[MemberSet], voters: Collection[str]) -> bool:
    """Return whether `voters` include a majority of each of `sets`."""
    return all(len(members.intersection(voters)) >= majority_of(members) for members in sets)


@dataclass(frozen=True, slots=True)
class Prepare:
    """Request of the first round of a ballot.

    `known`: the ballot of the value that the proposer has. A promise needs to include a value only if it was accepted
    under a greater ballot, since `Proposal` ignores all others.
    """

    ballot: Ballot
    known: Ballot = ZERO_BALLOT


@dataclass(frozen=True, slots=True)
class Accept:
    """Request of the second round of a ballot. `next_ballot` is promised too, for the proposer's next change."""

    ballot: Ballot
    value: JsonValue
    next_ballot: Ballot | None = None


@dataclass(frozen=True, slots=True)
class Request:
    """A request to send to one member."""

    member: str
    body: Prepare | Accept


class Outcome(enum.Enum):
    """The outcome of a proposal."""

    CHOSEN = "chosen"  # the changed value was chosen
    UNCHANGED = "unchanged"  # the change returned the same value, and that value is chosen
    CONFIRMED = "confirmed"  # completed an unfinished membership change; propose again
    CONFLICT = "conflict"  # a replica promised a greater ballot; propose again above `Result.ballot`


@dataclass(frozen=True, slots=True)
class Result:
    """The result of a proposal: the register's value (None after a conflict) and the greatest ballot seen."""

    outcome: Outcome
    value: JsonValue
    ballot: Ballot


class Proposal:
    """One change to a register under one ballot.

    Args:
        ballot: greater than every ballot this proposer has used.
        initial: the newest value known to the proposer; its members receive the first requests.
        quorum_sets: derives from a value the member sets that must each provide a majority.
        change: its exceptions propagate from `start` or `receive` and end the proposal.
        initial_ballot: the ballot of `initial`.
        prepared: members promised this ballot when they accepted `initial`, the proposer's previous chosen value, so
            the first round is skipped.
        next_ballot: a ballot to be promised in the second round, for a later prepared proposal.

    `result` is None until the proposal has ended.
    """

    def __init__(
        self,
        ballot: Ballot,
        initial: JsonValue,
        quorum_sets: QuorumSets,
        change: ChangeFunction,
        initial_ballot: Ballot,
        *,
        prepared: bool = False,
        next_ballot: Ballot | None = None,
    ) -> None:
        self.ballot = ballot
        self.result: Result | None = None
        self._quorum_sets = quorum_sets
        self._change = change
        self._highest = initial
        self._highest_ballot = initial_ballot
        self._promised: dict[str, Ballot] = {}
        self._requested: set[str] = set()
        self._accept: Accept | None = None
        self._accept_sets: list[MemberSet] = []
        self._accepted: set[str] = set()
        self._confirming = False
        self._prepared = prepared
        self._next_ballot = next_ballot

    def start(self) -> list[Request]:
        """Return the first requests. They are empty for a prepared read, which sets `result` immediately."""
        return self._begin_accept() if self._prepared else self._prepare_members()

    def receive(self, member: str, reply: Reply) -> list[Request]:
        """Process a member's reply and return the next requests. Set `result` when the proposal ends."""
        if self.result is not None:
            return []
        if isinstance(reply, Conflict):
            self.result = Result(Outcome.CONFLICT, None, max(reply.promised, self.ballot))
            return []
        if isinstance(reply, Promise):
            return self._on_promise(member, reply)
        return self._on_accepted(member, reply)

    def _prepare_members(self) -> list[Request]:
        targets = frozenset().union(*self._quorum_sets(self._highest)) - self._requested
        self._requested |= targets
        return [Request(member, Prepare(self.ballot, self._highest_ballot)) for member in sorted(targets)]

    def _on_promise(self, member: str, promise: Promise) -> list[Request]:
        if self._accept is not None:
            return []
        self._promised[member] = ZERO_BALLOT if promise.copied else promise.accepted
        if promise.value is not None and promise.accepted > self._highest_ballot:
            self._highest = promise.value
            self._highest_ballot = promise.accepted
        requests = self._prepare_members()
        if not has_majorities(self._quorum_sets(self._highest), self._promised):
            return requests
        return requests + self._begin_accept()

    def _begin_accept(self) -> list[Request]:
        sets = list(self._quorum_sets(self._highest))
        chosen = self._is_chosen(sets)
        if not chosen and len(set(sets)) > 1:
            self._confirming = True
            return self._send_accept(self._highest, sets)
        value = self._change(self._highest)
        if value is self._highest and chosen:
            self.result = Result(Outcome.UNCHANGED, value, self._highest_ballot)
            return []
        return self._send_accept(value, [*sets, *self._quorum_sets(value)])

    def _is_chosen(self, sets: Sequence[MemberSet]) -> bool:
        """Return whether majorities are known to have accepted the highest value, so it needs no second round.

        A copied value is not a vote: the replica that holds it may have promised a greater ballot before the copy.
        """
        if self._prepared or self._highest_ballot == ZERO_BALLOT:
            return True
        voters = [member for member, accepted in self._promised.items() if accepted == self._highest_ballot]
        return has_majorities(sets, voters)

    def _send_accept(self, value: JsonValue, sets: list[MemberSet]) -> list[Request]:
        self._accept = Accept(self.ballot, value, self._next_ballot)
        self._accept_sets = sets
        members = sorted(frozenset().union(*sets))
        return [Request(member, self._accept) for member in members]

    def _on_accepted(self, member: str, reply: Accepted) -> list[Request]:
        if self._accept is None or reply.ballot != self.ballot:
            return []
        self._accepted.add(member)
        if has_majorities(self._accept_sets, self._accepted):
            outcome = Outcome.CONFIRMED if self._confirming else Outcome.CHOSEN
            self.result = Result(outcome, self._accept.value, self.ballot)
        return []
