"""One replica of a compare-and-swap register (the acceptor of single-value Paxos).

A replica promises not to take part in older ballots and remembers the value it accepted last. Whoever runs it must make
the state after each call durable before the reply leaves: a replica that forgets a promise breaks the register.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

JsonValue = Any


class Ballot(NamedTuple):
    """The number of a proposal: greater ones win, the proposer's id makes them unique."""

    counter: int
    proposer: str


ZERO_BALLOT = Ballot(0, "")


@dataclass(frozen=True)
class Promise:
    """The replica takes part in no older ballot from here on; it tells what it accepted last. The value is left out
    where the proposer knows one as new.

    `copied`: it took that from another replica and never voted for it, so it counts for no majority.
    """

    accepted: Ballot
    value: JsonValue
    copied: bool = False


@dataclass(frozen=True)
class Accepted:
    """The replica holds the value of this ballot."""

    ballot: Ballot


@dataclass(frozen=True)
class Conflict:
    """The replica has promised a greater ballot."""

    promised: Ballot


Reply = Promise | Accepted | Conflict


@dataclass
class Replica:
    """State of one replica. `value` is None until something was accepted; `copied`: by another replica, not by this."""

    promised: Ballot = ZERO_BALLOT
    accepted: Ballot = ZERO_BALLOT
    value: JsonValue = None
    copied: bool = False

    def prepare(self, ballot: Ballot, known: Ballot | None = None) -> Promise | Conflict:
        """First round: promises `ballot` if nothing as great was promised before. `known`: the ballot of the newest
        value that the proposer has; it looks at none that isn't above it."""
        if ballot <= self.promised:
            return Conflict(self.promised)
        self.promised = ballot
        is_known = known is not None and self.accepted <= known
        return Promise(self.accepted, None if is_known else self.value, self.copied)

    def accept(self, ballot: Ballot, value: JsonValue, next_ballot: Ballot | None = None) -> Accepted | Conflict:
        """Second round: accepts `value`. `next_ballot` is promised beside, so that the proposer may skip its next
        first round."""
        if ballot < self.promised:
            return Conflict(self.promised)
        self.accepted = ballot
        self.value = value
        self.copied = False
        self.promised = max(ballot, next_ballot or ballot)
        return Accepted(ballot)
