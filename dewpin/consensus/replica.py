"""One replica of a compare-and-swap register: the acceptor of CASPaxos as a state machine without I/O.

A replica promises to take part in no older ballot and stores the value that it accepted last. Its user must make the
state after each call durable before the reply is sent: a replica that forgets a promise breaks the register.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

JsonValue = Any


class Ballot(NamedTuple):
    """The number of a proposal: the greater one wins, the id of the proposer makes it unique."""

    counter: int
    proposer: str


ZERO_BALLOT = Ballot(0, "")


@dataclass(frozen=True, slots=True)
class Promise:
    """The replica takes part in no older ballot from now on.

    Attributes:
        accepted: the ballot of the value that it accepted last.
        value: that value; None where the proposer knows one that is as new.
        copied: it copied the value from another replica and never voted for it: no vote for a majority.
    """

    accepted: Ballot
    value: JsonValue
    copied: bool = False


@dataclass(frozen=True, slots=True)
class Accepted:
    """The replica has accepted the value of this ballot."""

    ballot: Ballot


@dataclass(frozen=True, slots=True)
class Conflict:
    """The replica has promised a greater ballot."""

    promised: Ballot


Reply = Promise | Accepted | Conflict


@dataclass(slots=True)
class Replica:
    """The state of one replica.

    Attributes:
        promised: the greatest ballot that it has promised or accepted.
        accepted: the ballot of `value`.
        value: the value that was accepted last, None before the first.
        copied: `value` was accepted by another replica, and copied from there.
    """

    promised: Ballot = ZERO_BALLOT
    accepted: Ballot = ZERO_BALLOT
    value: JsonValue = None
    copied: bool = False

    def prepare(self, ballot: Ballot, known: Ballot | None = None) -> Promise | Conflict:
        """First round: promises `ballot` if none as great was promised before.

        `known`: the ballot of the newest value that the proposer has; it needs none that isn't above it.
        """
        if ballot <= self.promised:
            return Conflict(self.promised)
        self.promised = ballot
        is_known = known is not None and self.accepted <= known
        return Promise(self.accepted, None if is_known else self.value, self.copied)

    def accept(self, ballot: Ballot, value: JsonValue, next_ballot: Ballot | None = None) -> Accepted | Conflict:
        """Second round: accepts `value` unless a greater ballot was promised.

        `next_ballot` is promised as well, so that the proposer may skip its next first round.
        """
        if ballot < self.promised:
            return Conflict(self.promised)
        self.accepted = ballot
        self.value = value
        self.copied = False
        self.promised = max(ballot, next_ballot or ballot)
        return Accepted(ballot)
