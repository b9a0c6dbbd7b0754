"""One replica of a compare-and-swap register: the acceptor of CASPaxos as a state machine without I/O.

A replica promises to reject older ballots and stores the value it accepted last. The caller must make the state durable
after each call, before it sends the reply: a replica that forgets a promise can let two different values be chosen.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

JsonValue = Any


class Ballot(NamedTuple):
    """A ballot number. The greater ballot wins; the proposer's id makes ballots unique."""

    counter: int
    proposer: str


ZERO_BALLOT = Ballot(0, "")


@dataclass(frozen=True, slots=True)
class Promise:
    """The replica promises to reject all older ballots.

    Attributes:
        accepted: the ballot of the value the replica accepted last.
        value: that value; None if the proposer already has a value at least as new.
        copied: the replica copied the value from another one without voting for it, so it does not count as a vote.
    """

    accepted: Ballot
    value: JsonValue
    copied: bool = False


@dataclass(frozen=True, slots=True)
class Accepted:
    """The replica accepted the value of this ballot."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Conflict:
    """The replica rejects the request because it promised the ballot `promised`."""

    promised: Ballot


Reply = Promise | Accepted | Conflict


@dataclass(slots=True)
class Replica:
    """The state of one replica.

    Attributes:
        promised: the greatest ballot promised or accepted.
        accepted: the ballot of `value`.
        value: the value accepted last; None before the first.
        copied: `value` was copied from another replica that accepted it.
    """

    promised: Ballot = ZERO_BALLOT
    accepted: Ballot = ZERO_BALLOT
    value: JsonValue = None
    copied: bool = False

    def prepare(self, ballot: Ballot, known: Ballot | None = None) -> Promise | Conflict:
        """First round: promise `ballot` unless an equal or greater one was promised before.

        `known`: the ballot of the newest value that the proposer has. The promise omits a value that is not newer.
        """
        if ballot <= self.promised:
            return Conflict(self.promised)
        self.promised = ballot
        is_known = known is not None and self.accepted <= known
        return Promise(self.accepted, None if is_known else self.value, self.copied)

    def accept(self, ballot: Ballot, value: JsonValue, next_ballot: Ballot | None = None) -> Accepted | Conflict:
        """Second round: accept `value` unless a greater ballot was promised.

        `next_ballot` is promised too, which lets the proposer skip the first round of its next proposal.
        """
        if ballot < self.promised:
            return Conflict(self.promised)
        self.accepted = ballot
        self.value = value
        self.copied = False
        self.promised = max(ballot, next_ballot or ballot)
        return Accepted(ballot)
