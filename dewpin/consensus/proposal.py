"""One proposal to a replicated register: two quorum rounds as a state machine.

`Proposal` says which requests to send to which members and takes their replies. It never waits: whoever drives it owns
the time-out. The quorum rule is given by `quorum_sets`, which reads from a value the member sets that must each give a
majority: for a register that carries its own members these are its members and the members of the value before it.

A value whose sets differ (a change of members) is confirmed unchanged before anything is built on it; the proposal
then ends with `Outcome.CONFIRMED` and the change is to be proposed anew.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Collection, Iterable, Sequence
from dataclasses import dataclass
from typing import Any

from .replica import ZERO_BALLOT, Accepted, Ballot, Conflict, Promise, Reply

JsonValue = Any
MemberSet = frozenset[str]
Change = Callable[[JsonValue], JsonValue]
QuorumSets = Callable[[JsonValue], Sequence[MemberSet]]


def majority_of(members: Collection[str]) -> int:
    """The least number of members that makes a majority."""
    return len(members) // 2 + 1


def has_majorities(sets: Iterable[MemberSet], voters: Collection[str]) -> bool:
    """Whether `voters` hold a majority of every one of `sets`."""
    return all(len(members.intersection(voters)) >= majority_of(members) for members in sets)


@dataclass(frozen=True)
class Prepare:
    """First round of a ballot. `known`: the ballot of the proposer's value; a promise needs to tell a value only if
    it was accepted above that, since `Proposal` looks at no other."""

    ballot: Ballot
    known: Ballot = ZERO_BALLOT


@dataclass(frozen=True)
class Accept:
    """Second round of a ballot."""

    ballot: Ballot
    value: JsonValue
    next_ballot: Ballot | None = None  # promised beside, for the proposer's next change


@dataclass(frozen=True)
class Request:
    """What is to be sent to one member."""

    member: str
    body: Prepare | Accept


class Outcome(enum.Enum):
    """How a proposal ended."""

    CHOSEN = "chosen"  # the result of the change is the register's value
    UNCHANGED = "unchanged"  # the change left the value as it was, and that value is chosen
    CONFIRMED = "confirmed"  # an unfinished change of members was finished; propose again
    CONFLICT = "conflict"  # a greater ballot is under way; propose again above `Result.ballot`


@dataclass(frozen=True)
class Result:
    """The end of a proposal: its value where there is one, and the greatest ballot that was seen."""

    outcome: Outcome
    value: JsonValue
    ballot: Ballot


class Proposal:
    """One change of a register under one ballot.

    `change` gets the present value and returns the new one; returning the same object is a read. What it raises ends
    the proposal by that exception. `initial` is the greatest value known beforehand (its ballot beside it): the members
    asked first are read from it.

    With `prepared`, the members have promised this ballot beside the proposer's last accept, and `initial` is what was
    chosen there: the first round is left out. `next_ballot` asks for the same promise again.
    """

    def __init__(
        self,
        ballot: Ballot,
        initial: JsonValue,
        quorum_sets: QuorumSets,
        change: Change,
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
        self._asked: set[str] = set()
        self._accept: Accept | None = None
        self._accept_sets: list[MemberSet] = []
        self._accepted: set[str] = set()
        self._confirming = False
        self._prepared = prepared
        self._next_ballot = next_ballot

    def start(self) -> list[Request]:
        """The first requests. Empty where a prepared read needs none: `result` is set then."""
        return self._begin_accept() if self._prepared else self._ask_members()

    def receive(self, member: str, reply: Reply) -> list[Request]:
        """Takes a member's reply; returns what to send next. Sets `result` at the end."""
        if self.result is not None:
            return []
        if isinstance(reply, Conflict):
            self.result = Result(Outcome.CONFLICT, None, max(reply.promised, self.ballot))
            return []
        if isinstance(reply, Promise):
            return self._on_promise(member, reply)
        return self._on_accepted(member, reply)

    def _ask_members(self) -> list[Request]:
        wanted = frozenset().union(*self._quorum_sets(self._highest)) - self._asked
        self._asked |= wanted
        return [Request(member, Prepare(self.ballot, self._highest_ballot)) for member in sorted(wanted)]

    def _on_promise(self, member: str, promise: Promise) -> list[Request]:
        if self._accept is not None:
            return []
        self._promised[member] = ZERO_BALLOT if promise.copied else promise.accepted
        if promise.value is not None and promise.accepted > self._highest_ballot:
            self._highest = promise.value
            self._highest_ballot = promise.accepted
        more = self._ask_members()
        if not has_majorities(self._quorum_sets(self._highest), self._promised):
            return more
        return more + self._begin_accept()

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
        """Whether the highest value is known to be accepted by majorities, so that nothing needs finishing. A copy of
        it is no vote: its holder may have promised a greater ballot before."""
        if self._prepared or self._highest_ballot == ZERO_BALLOT:
            return True
        holders = [member for member, accepted in self._promised.items() if accepted == self._highest_ballot]
        return has_majorities(sets, holders)

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
