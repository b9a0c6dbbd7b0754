"""Whether a majority is reached, and as of when it has confirmed this process's knowledge of the system state.

A reply to a heartbeat proves two things about the member that sent it, as of the moment when the heartbeat was *sent*:
that it was there, and up to which version it had accepted values, durably. A chosen value was accepted by a majority of
the members of the value before it, and a replica never accepts an older value after a chosen one. So once a majority of
every quorum set of the state known here has acknowledged no version above it, asked at T or later, nothing newer was
chosen before T: the state is confirmed as of T. A quorum read confirms it as of its own beginning.

Times are of this process's steady clock, so that a reply that was delayed, or that lay unread in a process that was
frozen, counts for no more than it proves.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from dewpin.consensus import majority_of
from dewpin.controlplane.register.register import SystemRegister
from dewpin.controlplane.register.system_state import SystemState, quorum_sets

NEVER_S = float("-inf")
CONTACT_WITHIN_S = 1.0
"""A majority counts as reached while it has acknowledged heartbeats that were sent within this time."""
QUORUM_READ_AFTER_S = 0.6
"""A quorum read is due once a majority has been reached for so much longer than it has confirmed the state."""


@dataclass(frozen=True, slots=True)
class MemberAcknowledgement:
    """A member's reply to a heartbeat.

    Attributes:
        asked_at_s: when the heartbeat was sent.
        accepted_version: of the newest value on the member's disk; None if an earlier release, which tells none.
    """

    asked_at_s: float
    accepted_version: int | None


class MajorityContact:
    """Draws conclusions from the members' acknowledgements; a state machine without I/O.

    `confirmed_at_s`: as of when a majority has confirmed the state, NEVER_S before the first time.
    """

    def __init__(self, member: str) -> None:
        self.confirmed_at_s = NEVER_S
        self._member = member
        self._acknowledgements: dict[str, MemberAcknowledgement] = {}
        self._reached_at_s = NEVER_S
        self._contact_since_s: float | None = None

    def record_acknowledgement(self, member: str, acknowledgement: MemberAcknowledgement) -> None:
        """Records a member's reply to a heartbeat; replies may come out of order."""
        known = self._acknowledgements.get(member)
        if known is None or acknowledgement.asked_at_s > known.asked_at_s:
            self._acknowledgements[member] = acknowledgement

    def record_quorum_read(self, asked_at_s: float) -> None:
        """Records that a quorum read that began then has ended with the state known here."""
        self.confirmed_at_s = max(self.confirmed_at_s, asked_at_s)

    def update(self, state: SystemState, own_accepted_version: int, now_s: float) -> None:
        """Draws the conclusions for the newest chosen state known here."""
        version, sets = state["version"], quorum_sets(state)
        self._forget_other_members(sets)
        reached_at_s = {member: one.asked_at_s for member, one in self._acknowledgements.items()}
        reached_at_s[self._member] = now_s
        confirmed_at_s = {
            member: one.asked_at_s
            for member, one in self._acknowledgements.items()
            if one.accepted_version is not None and one.accepted_version <= version
        }
        if own_accepted_version <= version:
            confirmed_at_s[self._member] = now_s
        if now_s - self._reached_at_s > CONTACT_WITHIN_S:
            self._contact_since_s = None
        self._reached_at_s = max(self._reached_at_s, _time_of_majorities(sets, reached_at_s))
        self.confirmed_at_s = max(self.confirmed_at_s, _time_of_majorities(sets, confirmed_at_s))
        if self._contact_since_s is None and now_s - self._reached_at_s <= CONTACT_WITHIN_S:
            self._contact_since_s = now_s

    def contact_since_s(self, now_s: float) -> float | None:
        """Since when a majority has been reached without a break; None while none is."""
        return self._contact_since_s if now_s - self._reached_at_s <= CONTACT_WITHIN_S else None

    @property
    def unconfirmed_s(self) -> float:
        """For how long a majority has been reached without confirming the state known here."""
        return self._reached_at_s - self.confirmed_at_s if self._reached_at_s > self.confirmed_at_s else 0.0

    def _forget_other_members(self, sets: Iterable[frozenset[str]]) -> None:
        voters = frozenset[str]().union(*sets)
        for member in [member for member in self._acknowledgements if member not in voters]:
            del self._acknowledgements[member]


def _time_of_majorities(sets: Iterable[frozenset[str]], times_s: dict[str, float]) -> float:
    """The latest time that a majority of each set has reached."""
    return min(_time_of_majority(members, times_s) for members in sets)


def _time_of_majority(members: frozenset[str], times_s: dict[str, float]) -> float:
    newest_first = sorted((times_s.get(member, NEVER_S) for member in members), reverse=True)
    return newest_first[majority_of(members) - 1]


class StateFreshness:
    """How fresh one process's knowledge of the system state is.

    `max_age_s`: knowledge that was confirmed longer ago is not current, and is not served.
    """

    def __init__(self, register: SystemRegister, max_age_s: float, clock: Callable[[], float]) -> None:
        self._register = register
        self._max_age_s = max_age_s
        self._clock = clock
        self._contact = MajorityContact(register.member)

    def record_acknowledgement(self, member: str, asked_at_s: float, accepted_version: int | None) -> None:
        """Records a member's reply to a heartbeat; see `MemberAcknowledgement`."""
        self._contact.record_acknowledgement(member, MemberAcknowledgement(asked_at_s, accepted_version))
        self.update()

    def record_quorum_read(self, asked_at_s: float) -> None:
        """Records that a quorum read that began then has ended."""
        self._contact.record_quorum_read(asked_at_s)

    def age_s(self) -> float:
        """How long ago the state known here was surely the newest; infinite until a majority has confirmed one."""
        return self._clock() - self._contact.confirmed_at_s

    def is_current(self) -> bool:
        """Whether this process may serve what it knows."""
        return self.age_s() <= self._max_age_s

    def contact_since_s(self) -> float | None:
        """Since when a majority has acknowledged heartbeats without a break; None while none does."""
        return self._contact.contact_since_s(self._clock())

    def needs_quorum_read(self) -> bool:
        """Whether a majority is reached and yet leaves the state known here unconfirmed."""
        return self._contact.unconfirmed_s > QUORUM_READ_AFTER_S

    def update(self) -> None:
        """Draws the conclusions from what is known by now; due with each heartbeat and each newly chosen state."""
        if self._register.chosen is not None:
            self._contact.update(self._register.chosen, self._register.durable_version, self._clock())
