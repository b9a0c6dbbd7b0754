"""How fresh this process's knowledge of the system state is, by the word of a majority.

A heartbeat's answer proves two things about the member that gave it, as of the moment when it was *asked*: that it was
there, and up to which version it had accepted values, durably. A chosen value was accepted by a majority of the members
of the value before it, and a replica never accepts an older value after a chosen one. So once a majority of every set
that votes on the state held here has told of no version above it, asked at T or later, nothing newer was chosen before
T: the state held here is confirmed as of T. A quorum read confirms it as of its own beginning.

Times are of this process's steady clock, so that an answer that was held up on its way, or that lay unread in a process
that was frozen, counts for no more than it proves.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from dewpin.consensus import majority_of
from dewpin.controlplane.register.register import SystemRegister
from dewpin.controlplane.register.system_state import SystemState, quorum_sets

NEVER_S = float("-inf")
CONTACT_LIVE_S = 1.0
"""A majority that answered heartbeats asked within this time counts as reached."""
READ_AFTER_S = 0.6
"""Where a majority's word is newer by so much than what it has confirmed, a read is to confirm the rest."""


@dataclass(frozen=True, slots=True)
class MemberWord:
    """A member's answer: when it was asked, and the version up to which it had accepted (None: it did not tell)."""

    asked_s: float
    accepted_version: int | None


class MajorityContact:
    """A state machine without I/O: takes answers, tells since when a majority is reached and what it confirmed."""

    def __init__(self, member: str) -> None:
        self.confirmed_s = NEVER_S
        self._member = member
        self._words: dict[str, MemberWord] = {}
        self._reached_s = NEVER_S
        self._contact_since_s: float | None = None

    def answered(self, member: str, word: MemberWord) -> None:
        """Takes a member's answer to a heartbeat."""
        known = self._words.get(member)
        if known is None or word.asked_s > known.asked_s:
            self._words[member] = word

    def confirmed_by_read(self, asked_s: float) -> None:
        """Notes that a quorum read that began then has ended with the state held here."""
        self.confirmed_s = max(self.confirmed_s, asked_s)

    def update(self, state: SystemState, own_accepted_version: int, now_s: float) -> None:
        """Draws the conclusions for the state held here, which is chosen."""
        version, sets = state["version"], quorum_sets(state)
        self._forget_others(sets)
        reached = {member: word.asked_s for member, word in self._words.items()}
        reached[self._member] = now_s
        confirming = {
            member: word.asked_s
            for member, word in self._words.items()
            if word.accepted_version is not None and word.accepted_version <= version
        }
        if own_accepted_version <= version:
            confirming[self._member] = now_s
        if now_s - self._reached_s > CONTACT_LIVE_S:
            self._contact_since_s = None
        self._reached_s = max(self._reached_s, _majority_time(sets, reached))
        self.confirmed_s = max(self.confirmed_s, _majority_time(sets, confirming))
        if self._contact_since_s is None and now_s - self._reached_s <= CONTACT_LIVE_S:
            self._contact_since_s = now_s

    def contact_since_s(self, now_s: float) -> float | None:
        """Since when a majority has been reached without a break; None while none is."""
        return self._contact_since_s if now_s - self._reached_s <= CONTACT_LIVE_S else None

    @property
    def unconfirmed_s(self) -> float:
        """For how long a majority has answered without confirming the state held here."""
        return self._reached_s - self.confirmed_s if self._reached_s > self.confirmed_s else 0.0

    def _forget_others(self, sets: Iterable[frozenset[str]]) -> None:
        voters = frozenset[str]().union(*sets)
        for member in [member for member in self._words if member not in voters]:
            del self._words[member]


def _majority_time(sets: Iterable[frozenset[str]], times: dict[str, float]) -> float:
    """The latest time that a majority of each set has reached."""
    return min(_reached_by_majority(members, times) for members in sets)


def _reached_by_majority(members: frozenset[str], times: dict[str, float]) -> float:
    newest_first = sorted((times.get(member, NEVER_S) for member in members), reverse=True)
    return newest_first[majority_of(members) - 1]


class RegisterConfirmation:
    """The majority contact of one process, fed from its register. `bound_s`: beyond this age its knowledge counts as
    current no more."""

    def __init__(self, register: SystemRegister, bound_s: float, clock: Callable[[], float]) -> None:
        self._register = register
        self._bound_s = bound_s
        self._clock = clock
        self._contact = MajorityContact(register.member)

    def answered(self, member: str, asked_s: float, accepted_version: int | None) -> None:
        """Takes a member's answer to a heartbeat."""
        self._contact.answered(member, MemberWord(asked_s, accepted_version))
        self.update()

    def confirmed_by_read(self, asked_s: float) -> None:
        """Notes that a quorum read that began then has ended."""
        self._contact.confirmed_by_read(asked_s)

    def age_s(self) -> float:
        """How long ago the state held here was the newest for sure; infinite before a majority's first word."""
        return self._clock() - self._contact.confirmed_s

    def is_current(self) -> bool:
        """Whether this process may serve what it knows."""
        return self.age_s() <= self._bound_s

    def contact_since_s(self) -> float | None:
        """Since when a majority has answered heartbeats without a break; None while none does."""
        return self._contact.contact_since_s(self._clock())

    def needs_read(self) -> bool:
        """Whether a majority answers and yet leaves the state held here unconfirmed."""
        return self._contact.unconfirmed_s > READ_AFTER_S

    def update(self) -> None:
        """Draws the conclusions of what is known by now; due with each heartbeat and each newly chosen state."""
        if self._register.chosen is not None:
            self._contact.update(self._register.chosen, self._register.durable_version, self._clock())
