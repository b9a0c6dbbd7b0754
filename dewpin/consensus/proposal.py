"""One proposal to a replicated register: the proposer of CASPaxos as a state machine without I/O.

`Proposal` returns which requests to send to which members and processes their replies. It never waits: its driver sends
the requests and owns the time-out. The quorum rule is the function `quorum_sets`, which reads from a value the sets of
members that must each give a majority: for a register that carries its own members these are its members and the
members of the value before it.

A value whose sets differ (a change of members) is confirmed unchanged before anything is built on it; the proposal
then ends with `Outcome.CONFIRMED` and the change is to be proposed again.
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
"""The next value for the present one, as in CASPaxos; the same object for a read."""
QuorumSets = Callable[[JsonValue], Sequence[MemberSet]]


def majority_of(members: Collection[str]) -> int:
    """The least number of members that makes a majority."""
    return len(members) // 2 + 1


def has_majorities(sets: Iterable[MemberSet], voters: Collection[str]) -> bool:
    """Whether `voters` hold a majority of every one of `sets`."""
    return all(len(members.intersection(voters)) >= majority_of(members) for members in sets)


@dataclass(frozen=True, slots=True)
class Prepare:
    """First round of a ballot.

    `known`: the ballot of the proposer's value. A promise needs to contain a value only if it was accepted above that,
    since `Proposal` uses no other.
    """

    ballot: Ballot
    known: Ballot = ZERO_BALLOT


@dataclass(frozen=True, slots=True)
class Accept:
    """Second round of a ballot. `next_ballot`: to be promised as well, for the proposer's next change."""

    ballot: Ballot
    value: JsonValue
    next_ballot: Ballot | None = None


@dataclass(frozen=True, slots=True)
class Request:
    """A request to be sent to one member."""

    member: str
    body: Prepare | Accept


class Outcome(enum.Enum):
    """How a proposal has ended."""

    CHOSEN = "chosen"  # the result of the change is the register's value
    UNCHANGED = "unchanged"  # the change left the value as it was, and that value is chosen
    CONFIRMED = "confirmed"  # an unfinished change of members was finished; propose again
    CONFLICT = "conflict"  # a greater ballot is under way; propose again above `Result.ballot`


@dataclass(frozen=True, slots=True)
class Result:
    """The end of a proposal: the register's value, None after a conflict, and the greatest ballot that was seen."""

    outcome: Outcome
    value: JsonValue
    ballot: Ballot


class Proposal:
    """One change of a register under one ballot.

    Args:
        ballot: greater than all that this proposer has used.
        initial: the newest value known beforehand; its members are asked first.
        quorum_sets: the sets of members of a value that must each give a majority.
        change: what it raises is raised by `start` or `receive`, and ends the proposal.
        initial_ballot: the ballot of `initial`.
        prepared: the members promised this ballot with the proposer's last accept, and `initial` is what was chosen
            there: the first round is left out.
        next_ballot: asks for such a promise in the second round.

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
        """Processes a member's reply; returns what to send next. Sets `result` at the end."""
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
        """Whether the highest value is known to be accepted by majorities, so that nothing has to be finished.

        A copied value is no vote: its holder may have promised a greater ballot before.
        """
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
