"""The model of majority contact: a control process that may be cut off, the answers to its heartbeats, newer versions.

A heartbeat goes to each member in each tick. It is handled and its answer arrives at any later time, or never; the
process may stand still in between (only the clock goes on). Versions may change the members, so that two sets vote.
Property: the process counts its version as confirmed as of T only if no newer one was chosen before T. A version counts
as chosen as soon as majorities of its own sets have accepted it; what a proposer waits for is never less.

Runs that can't be told apart are one state:

- an answer tells some version that the member held between the question and the arrival. Which one is decided when it
  arrives, so a heartbeat on its way carries the versions that it may tell;
- a heartbeat that was never sent, or is lost on either way, is one whose answer never arrives;
- a heartbeat is left out once a later one of the same member was heard: `MajorityContact.record_acknowledgement` takes
  none that was asked earlier. Only a member that votes no more is forgotten, and here none comes back;
- once the process holds the last version nothing follows: no newer one can be chosen, so that none can be missed;
- with `tells_least` an answer tells what the member held when it was asked. A word counts where its version is not
  above the one held, so one that tells more never confirms more: `_majority_time` rises with each time in `confirming`.
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
"""The process itself."""


class Version(NamedTuple):
    """Who votes on a version, by single letters."""

    members: str
    former_members: str


UNCHANGED = (Version("abc", "abc"), Version("abc", "abc"))
C_FOR_D = (Version("abc", "abc"), Version("abd", "abc"), Version("abd", "abd"))
C_FOR_D_BEGINS, C_FOR_D_ENDS = C_FOR_D[:2], C_FOR_D[1:]
SELF_FOR_D = (Version("abc", "abc"), Version("bcd", "abc"), Version("bcd", "bcd"))
Versions = tuple[Version, ...]


class ContactPart:
    """The real contact; takes `answered MEMBER ASKED VERSION NOW HELD OWN` and `update NOW HELD OWN`."""

    def __init__(self, versions: Versions) -> None:
        self._versions = versions
        self._contact = MajorityContact(OWN)

    def apply(self, event: Event) -> Any:
        """Returns the time as of which the version held is confirmed."""
        kind, *rest = event
        if kind == "answered":
            member, asked_s, version, *rest = rest
            self._contact.record_acknowledgement(member, MemberAcknowledgement(asked_s, version))
        now_s, held, own = rest
        self._contact.update(_state_of(self._versions, held), own, now_s)
        return self._contact.confirmed_at_s

    def fingerprint(self) -> Any:
        """All that it keeps."""
        return freeze(vars(self._contact))


class Heartbeat(NamedTuple):
    """A heartbeat on its way, and the versions that its answer may tell."""

    member: str
    asked_s: int
    versions: tuple[int, ...]


class World(NamedTuple):
    """A state. `accepted`: versions of the members; `chosen_s`: for each version but the first when it was chosen."""

    contact: int
    now_s: int
    accepted: tuple[int, ...]
    on_their_way: frozenset[Heartbeat]
    held: int
    chosen_s: tuple[int | None, ...]
    fault: str | None


class ContactModel:
    """Explores the real contact over `last_s` ticks of the clock, while `versions` are chosen one after the other."""

    def __init__(self, last_s: int, versions: Versions = UNCHANGED, tells_least: bool = False) -> None:
        self._last_s = last_s
        self._tells_least = tells_least
        self._versions = versions
        self._members = sorted({member for version in versions for names in version for member in names})
        self._sets = [quorum_sets(_state_of(versions, number)) for number in range(len(versions))]
        self._contact = Component(functools.partial(ContactPart, versions))

    def initial(self) -> World:
        """Who votes twice on version 0 holds it, so that it is chosen; the first heartbeats are on their way."""
        holders = set.intersection(*map(set, self._versions[0]))
        accepted = tuple(0 if member in holders else -1 for member in self._members)
        state = World(0, 0, accepted, frozenset(), 0, (None,) * (len(self._versions) - 1), None)
        return self._asked(state)

    def fault(self, state: World) -> str | None:
        """The property that was broken by the step that led here."""
        return state.fault

    def steps(self, state: World) -> Iterator[tuple[Label, World]]:
        """The clock goes on, members accept, answers arrive, a newer version is learnt."""
        if state.held == len(self._versions) - 1:
            return
        if state.now_s < self._last_s:
            yield ("tick",), self._asked(state._replace(now_s=state.now_s + 1))
        for number, member in enumerate(self._members):
            for version in range(state.accepted[number] + 1, len(self._versions)):
                if self._may_accept(state, member, version):
                    yield ("accepts", member, version), self._accept(state, number, version)
        for heartbeat in state.on_their_way:
            member, asked_s, versions = heartbeat
            later = [one for one in state.on_their_way if one.member != member or one.asked_s > asked_s]
            rest = state._replace(on_their_way=frozenset(later))
            for version in versions:
                yield ("hears", member, asked_s, version), self._judged(rest, ("answered", member, asked_s, version))
        for version in range(state.held + 1, len(self._versions)):
            if state.chosen_s[version - 1] is not None:
                yield ("learns", version), self._judged(state._replace(held=version), ("update",))

    def _asked(self, state: World) -> World:
        new = {
            Heartbeat(member, state.now_s, (accepted,))
            for member, accepted in zip(self._members, state.accepted, strict=True)
            if member != OWN
        }
        return state._replace(on_their_way=state.on_their_way | new)

    def _may_accept(self, state: World, member: str, version: int) -> bool:
        """Whether the version may be proposed to the member: the one before it is chosen, and it votes on either."""
        is_chosen = version <= 1 or state.chosen_s[version - 2] is not None
        voters = frozenset[str]().union(*self._sets[max(version - 1, 0)], *self._sets[version])
        return is_chosen and member in voters

    def _accept(self, state: World, number: int, version: int) -> World:
        member = self._members[number]
        accepted = (*state.accepted[:number], version, *state.accepted[number + 1 :])
        on_their_way = frozenset(
            one._replace(versions=(*one.versions, version)) if one.member == member and not self._tells_least else one
            for one in state.on_their_way
        )
        chosen_s = tuple(
            state.now_s if known_s is None and self._is_chosen(accepted, newer) else known_s
            for newer, known_s in enumerate(state.chosen_s, 1)
        )
        return state._replace(accepted=accepted, on_their_way=on_their_way, chosen_s=chosen_s)

    def _is_chosen(self, accepted: tuple[int, ...], version: int) -> bool:
        holders = {member for member, held in zip(self._members, accepted, strict=True) if held >= version}
        return has_majorities(self._sets[version], holders)

    def _judged(self, state: World, event: Event) -> World:
        own_accepted = state.accepted[self._members.index(OWN)]
        number, confirmed_at_s = self._contact.step(state.contact, (*event, state.now_s, state.held, own_accepted))
        fault = None
        for newer, chosen_s in enumerate(state.chosen_s, 1):
            if newer > state.held and chosen_s is not None and chosen_s < confirmed_at_s:
                counted = f"version {state.held} counts as the newest as of {confirmed_at_s}"
                fault = f"{counted}, {newer} was chosen at {chosen_s}"
        return state._replace(contact=number, fault=fault)


@functools.cache
def _state_of(versions: Versions, number: int) -> SystemState:
    state = initial_state({member: member for member in versions[number].members}, {})
    state["former_members"] = {member: member for member in versions[number].former_members}
    state["version"] = number
    return state
