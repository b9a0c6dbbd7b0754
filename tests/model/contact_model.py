"""Models majority contact: a control process that may be isolated, the replies to its heartbeats, newer versions.

A heartbeat is sent to each member in each tick. It is handled and its reply arrives at any later time, or never; the
process may be paused in between (only the clock advances). Versions may change the members, so that two quorum sets
apply. Property: the process counts its version as confirmed as of T only if no newer one was chosen before T. A version
counts as chosen as soon as majorities of its own quorum sets have accepted it; a proposer never waits for less.

Indistinguishable runs are merged into one state:

- a reply reports some version that the member held between the sending of the heartbeat and the arrival of the reply.
  It is selected on arrival, so a heartbeat in flight carries all versions that its reply may report;
- a heartbeat that was never sent, or is lost in either direction, is one whose reply never arrives;
- a heartbeat is dropped once a reply to a later one of the same member has arrived:
  `MajorityContact.record_acknowledgement` ignores replies to earlier ones. Only a member that no longer votes is
  forgotten, and no such member returns in this model;
- there are no steps once the process has the last version: no newer one can be chosen, so none can be missed;
- with `reports_earliest` a reply reports the version that the member held when the heartbeat was sent. A reply counts
  if its version is not above the local one, so a later version never confirms more: `_majority_time` is monotonic in
  each time in `confirming`.
"""

from __future__ import annotations

import functools
from collections.abc import Iterator
from typing import Any, NamedTuple

from dewpin.consensus.proposal import has_majorities
from dewpin.controlplane.membership.majority_contact import MajorityContact, MemberAcknowledgement
from dewpin.controlplane.register.system_state import SystemState, initial_state, quorum_sets
from tests.model.component import Component, Event, freeze
from tests.model.explorer import Label

OWN = "a"
"""The member name of the process under test."""


class Version(NamedTuple):
    """The voters of a version, as strings of single-letter names."""

    members: str
    former_members: str


UNCHANGED = (Version("abc", "abc"), Version("abc", "abc"))
C_FOR_D = (Version("abc", "abc"), Version("abd", "abc"), Version("abd", "abd"))
C_FOR_D_BEGINS, C_FOR_D_ENDS = C_FOR_D[:2], C_FOR_D[1:]
SELF_FOR_D = (Version("abc", "abc"), Version("bcd", "abc"), Version("bcd", "bcd"))
Versions = tuple[Version, ...]


class ContactPart:
    """The real MajorityContact. Events: `answered MEMBER SENT VERSION NOW LOCAL OWN` and `update NOW LOCAL OWN`, where
    LOCAL is the local version and OWN the version accepted by the own replica."""

    def __init__(self, versions: Versions) -> None:
        self._versions = versions
        self._contact = MajorityContact(OWN)

    def apply(self, event: Event) -> Any:
        """Returns the time as of which the local version is confirmed."""
        kind, *rest = event
        if kind == "answered":
            member, sent_s, version, *rest = rest
            self._contact.record_acknowledgement(member, MemberAcknowledgement(sent_s, version))
        now_s, local_version, own = rest
        self._contact.update(_state_of(self._versions, local_version), own, now_s)
        return self._contact.confirmed_at_s

    def fingerprint(self) -> Any:
        """All attributes of the contact."""
        return freeze(vars(self._contact))


class Heartbeat(NamedTuple):
    """A heartbeat in flight, and the versions that its reply may report."""

    member: str
    sent_s: int
    versions: tuple[int, ...]


class ModelState(NamedTuple):
    """A state. `accepted`: the versions accepted by the members; `chosen_s`: for each version but the first, the time
    at which it was chosen; `local_version`: the version that the process has."""

    contact: int
    now_s: int
    accepted: tuple[int, ...]
    in_flight: frozenset[Heartbeat]
    local_version: int
    chosen_s: tuple[int | None, ...]
    fault: str | None


class ContactModel:
    """Explores the real contact over `last_s` ticks of the clock, while `versions` are chosen one after the other."""

    def __init__(self, last_s: int, versions: Versions = UNCHANGED, reports_earliest: bool = False) -> None:
        self._last_s = last_s
        self._reports_earliest = reports_earliest
        self._versions = versions
        self._members = sorted({member for version in versions for names in version for member in names})
        self._sets = [quorum_sets(_state_of(versions, number)) for number in range(len(versions))]
        self._contact = Component(functools.partial(ContactPart, versions))

    def initial(self) -> ModelState:
        """Version 0 is accepted by the members of both its sets and thus chosen; the first heartbeats are in flight."""
        holders = set.intersection(*map(set, self._versions[0]))
        accepted = tuple(0 if member in holders else -1 for member in self._members)
        state = ModelState(0, 0, accepted, frozenset(), 0, (None,) * (len(self._versions) - 1), None)
        return self._send_heartbeats(state)

    def fault(self, state: ModelState) -> str | None:
        """The property violated by the step that led here."""
        return state.fault

    def steps(self, state: ModelState) -> Iterator[tuple[Label, ModelState]]:
        """The clock advances, members accept, replies arrive, the process learns a newer version."""
        if state.local_version == len(self._versions) - 1:
            return
        if state.now_s < self._last_s:
            yield ("tick",), self._send_heartbeats(state._replace(now_s=state.now_s + 1))
        for number, member in enumerate(self._members):
            for version in range(state.accepted[number] + 1, len(self._versions)):
                if self._may_accept(state, member, version):
                    yield ("accepts", member, version), self._accept(state, number, version)
        for heartbeat in state.in_flight:
            member, sent_s, versions = heartbeat
            later = [one for one in state.in_flight if one.member != member or one.sent_s > sent_s]
            rest = state._replace(in_flight=frozenset(later))
            for version in versions:
                yield ("hears", member, sent_s, version), self._evaluate(rest, ("answered", member, sent_s, version))
        for version in range(state.local_version + 1, len(self._versions)):
            if state.chosen_s[version - 1] is not None:
                yield ("learns", version), self._evaluate(state._replace(local_version=version), ("update",))

    def _send_heartbeats(self, state: ModelState) -> ModelState:
        new = {
            Heartbeat(member, state.now_s, (accepted,))
            for member, accepted in zip(self._members, state.accepted, strict=True)
            if member != OWN
        }
        return state._replace(in_flight=state.in_flight | new)

    def _may_accept(self, state: ModelState, member: str, version: int) -> bool:
        """Whether the version may be proposed to the member: the previous one is chosen, and the member votes on one of
        the two."""
        is_chosen = version <= 1 or state.chosen_s[version - 2] is not None
        voters = frozenset[str]().union(*self._sets[max(version - 1, 0)], *self._sets[version])
        return is_chosen and member in voters

    def _accept(self, state: ModelState, number: int, version: int) -> ModelState:
        member = self._members[number]
        accepted = (*state.accepted[:number], version, *state.accepted[number + 1 :])
        in_flight = frozenset(
            one._replace(versions=(*one.versions, version))
            if one.member == member and not self._reports_earliest
            else one
            for one in state.in_flight
        )
        chosen_s = tuple(
            state.now_s if known_s is None and self._is_chosen(accepted, newer) else known_s
            for newer, known_s in enumerate(state.chosen_s, 1)
        )
        return state._replace(accepted=accepted, in_flight=in_flight, chosen_s=chosen_s)

    def _is_chosen(self, accepted: tuple[int, ...], version: int) -> bool:
        holders = {member for member, newest in zip(self._members, accepted, strict=True) if newest >= version}
        return has_majorities(self._sets[version], holders)

    def _evaluate(self, state: ModelState, event: Event) -> ModelState:
        own_accepted = state.accepted[self._members.index(OWN)]
        number, confirmed_at_s = self._contact.step(
            state.contact, (*event, state.now_s, state.local_version, own_accepted)
        )
        fault = None
        for newer, chosen_s in enumerate(state.chosen_s, 1):
            if newer > state.local_version and chosen_s is not None and chosen_s < confirmed_at_s:
                counted = f"version {state.local_version} counts as the newest as of {confirmed_at_s}"
                fault = f"{counted}, {newer} was chosen at {chosen_s}"
        return state._replace(contact=number, fault=fault)


@functools.cache
def _state_of(versions: Versions, number: int) -> SystemState:
    state = initial_state({member: member for member in versions[number].members}, {})
    state["former_members"] = {member: member for member in versions[number].former_members}
    state["version"] = number
    return state
