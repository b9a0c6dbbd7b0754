"""Tracks contact with a majority and the time as of which a majority has confirmed the locally known system state.

A heartbeat reply proves two facts about the replying member as of the time the heartbeat was *sent*: that it was alive,
and the newest version it had durably accepted. A chosen value was accepted by a majority of the members of the previous
value, and a replica never accepts an older value after a chosen one. So once a majority of every quorum set of the
local state has replied to heartbeats sent at T or later with no newer version, nothing newer was chosen before T, and
the state is confirmed as of T. A quorum read confirms the state as of the start of the read.

Times are from the local monotonic clock and refer to when a heartbeat was sent. Thus a reply that was delayed, or left
unread by a frozen process, proves nothing about later times.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from dewpin.consensus import majority_of
from dewpin.controlplane.register.register import SystemRegister
from dewpin.controlplane.register.system_state import SystemState, quorum_sets

NEVER_S = float("-inf")
CONTACT_WITHIN_S = 1.0
"""There is contact with a majority while it has acknowledged heartbeats sent within this time."""
QUORUM_READ_AFTER_S = 0.6
"""A quorum read is due when the last contact is more recent than the last confirmation by more than this time."""


@dataclass(frozen=True, slots=True)
class MemberAcknowledgement:
    """A member's reply to a heartbeat.

    Attributes:
        sent_at_s: when the heartbeat was sent.
        accepted_version: the version of the newest value on the member's disk; None from earlier releases.
    """

    sent_at_s: float
    accepted_version: int | None


class MajorityContact:
    """Evaluates the members' acknowledgements; a state machine without I/O.

    `confirmed_at_s`: the time as of which a majority has confirmed the state; NEVER_S before the first confirmation.
    """

    def __init__(self, member: str) -> None:
        self.confirmed_at_s = NEVER_S
        self._member = member
        self._acknowledgements: dict[str, MemberAcknowledgement] = {}
        self._contact_at_s = NEVER_S
        self._contact_since_s: float | None = None

    def record_acknowledgement(self, member: str, acknowledgement: MemberAcknowledgement) -> None:
        """Record a member's reply to a heartbeat. Replies may arrive out of order."""
        known = self._acknowledgements.get(member)
        if known is None or acknowledgement.sent_at_s > known.sent_at_s:
            self._acknowledgements[member] = acknowledgement

    def record_quorum_read(self, started_at_s: float) -> None:
        """Record that a quorum read started at `started_at_s` returned the locally known state."""
        self.confirmed_at_s = max(self.confirmed_at_s, started_at_s)

    def update(self, state: SystemState, own_accepted_version: int, now_s: float) -> None:
        """Evaluate the acknowledgements for the newest locally known chosen state."""
        version, sets = state["version"], quorum_sets(state)
        self._remove_non_members(sets)
        contact_at_s = {member: reply.sent_at_s for member, reply in self._acknowledgements.items()}
        contact_at_s[self._member] = now_s
        confirmed_at_s = {
            member: acknowledgement.sent_at_s
            for member, acknowledgement in self._acknowledgements.items()
            if acknowledgement.accepted_version is not None and acknowledgement.accepted_version <= version
        }
        if own_accepted_version <= version:
            confirmed_at_s[self._member] = now_s
        if now_s - self._contact_at_s > CONTACT_WITHIN_S:
            self._contact_since_s = None
        self._contact_at_s = max(self._contact_at_s, _time_of_majorities(sets, contact_at_s))
        self.confirmed_at_s = max(self.confirmed_at_s, _time_of_majorities(sets, confirmed_at_s))
        if self._contact_since_s is None and now_s - self._contact_at_s <= CONTACT_WITHIN_S:
            self._contact_since_s = now_s

    def contact_since_s(self, now_s: float) -> float | None:
        """Return the start of the current uninterrupted contact with a majority; None if there is none."""
        return self._contact_since_s if now_s - self._contact_at_s <= CONTACT_WITHIN_S else None

    @property
    def unconfirmed_s(self) -> float:
        """How much more recent the last contact with a majority is than the last confirmed state; at least 0."""
        return self._contact_at_s - self.confirmed_at_s if self._contact_at_s > self.confirmed_at_s else 0.0

    def _remove_non_members(self, sets: Iterable[frozenset[str]]) -> None:
        voters = frozenset[str]().union(*sets)
        for member in [member for member in self._acknowledgements if member not in voters]:
            del self._acknowledgements[member]


def _time_of_majorities(sets: Iterable[frozenset[str]], times_s: dict[str, float]) -> float:
    """Return the latest time that a majority of each set has reached or passed."""
    return min(_time_of_majority(members, times_s) for members in sets)


def _time_of_majority(members: frozenset[str], times_s: dict[str, float]) -> float:
    newest_first = sorted((times_s.get(member, NEVER_S) for member in members), reverse=True)
    return newest_first[majority_of(members) - 1]


class StateFreshness:
    """The freshness of one process's copy of the system state.

    `max_age_s`: a state whose last confirmation is older than this is not current and is not served.
    """

    def __init__(self, register: SystemRegister, max_age_s: float, clock: Callable[[], float]) -> None:
        self._register = register
        self._max_age_s = max_age_s
        self._clock = clock
        self._contact = MajorityContact(register.member)

    def record_acknowledgement(self, member: str, sent_at_s: float, accepted_version: int | None) -> None:
        """Record a member's reply to a heartbeat; see `MemberAcknowledgement`."""
        self._contact.record_acknowledgement(member, MemberAcknowledgement(sent_at_s, accepted_version))
        self.update()

    def record_quorum_read(self, started_at_s: float) -> None:
        """Record that a quorum read started at `started_at_s` has completed."""
        self._contact.record_quorum_read(started_at_s)

    def age_s(self) -> float:
        """Return the time since the local state was last confirmed as the newest; infinite before the first time."""
        return self._clock() - self._contact.confirmed_at_s

    def is_current(self) -> bool:
        """Return whether the local state is fresh enough to be served."""
        return self.age_s() <= self._max_age_s

    def contact_since_s(self) -> float | None:
        """Return the start of the current uninterrupted contact with a majority; None if there is none."""
        return self._contact.contact_since_s(self._clock())

    def needs_quorum_read(self) -> bool:
        """Return whether there is contact with a majority that has not confirmed the local state."""
        return self._contact.unconfirmed_s > QUORUM_READ_AFTER_S

    def update(self) -> None:
        """Reevaluate the acknowledgements. Called for each heartbeat and each newly chosen state."""
        if self._register.chosen is not None:
            self._contact.update(self._register.chosen, self._register.durable_version, self._clock())
