"""The model of majority contact: a control process that may be cut off, the answers to its heartbeats, a newer version.

Answers are handled and arrive at any later time, or never; the process may stand still in between (only the clock goes
on). Property: it counts its version as confirmed as of T only if no newer one was chosen before T.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

from dewpin.controlplane.majority_contact import MajorityContact, MemberWord
from dewpin.controlplane.system_state import genesis
from tests.model.component import Component, Event, freeze
from tests.model.explorer import Label

MEMBERS = "abc"
"""The process is a."""


class ContactPart:
    """The real contact; takes `answered MEMBER ASKED VERSION NOW HELD OWN` and `update NOW HELD OWN`."""

    def __init__(self) -> None:
        self._contact = MajorityContact("a")

    def apply(self, event: Event) -> Any:
        """Returns the time as of which the version held is confirmed."""
        kind, *rest = event
        if kind == "answered":
            member, asked_s, version, *rest = rest
            self._contact.answered(member, MemberWord(asked_s, version))
        now_s, held, own = rest
        state = genesis({member: member for member in MEMBERS}, {})
        state["version"] = held
        self._contact.update(state, own, now_s)
        return self._contact.confirmed_s

    def fingerprint(self) -> Any:
        """All that it keeps."""
        return freeze(vars(self._contact))


class World(NamedTuple):
    """A state. `accepted`: versions of the members; `asked`: heartbeats on their way; `answers`: what was said to them;
    `chosen_s`: when version 1 was."""

    contact: int
    now_s: int
    accepted: tuple[int, ...]
    asked: frozenset[tuple[str, int]]
    answers: frozenset[tuple[str, int, int]]
    held: int
    chosen_s: int | None
    fault: str | None


class ContactModel:
    """Explores the real contact over `last_s` ticks of the clock, with up to `in_flight` heartbeats to a member."""

    def __init__(self, last_s: int, in_flight: int = 1) -> None:
        self._in_flight = in_flight
        self._last_s = last_s
        self._contact = Component(ContactPart)

    def initial(self) -> World:
        """All hold version 0, which is chosen; nothing was asked."""
        return World(0, 0, (0,) * len(MEMBERS), frozenset(), frozenset(), 0, None, None)

    def fault(self, state: World) -> str | None:
        """The property that was broken by the step that led here."""
        return state.fault

    def steps(self, state: World) -> Iterator[tuple[Label, World]]:
        """The clock goes on, members accept, heartbeats are asked, answered and taken, the new version is learnt."""
        if state.now_s < self._last_s:
            yield ("tick",), state._replace(now_s=state.now_s + 1)
        for number, member in enumerate(MEMBERS):
            if not state.accepted[number]:
                yield ("accepts", member), self._accept(state, number)
            if member != "a" and self._may_ask(state, member):
                yield ("asks", member), state._replace(asked=state.asked | {(member, state.now_s)})
        for member, asked_s in state.asked:
            answer = (member, asked_s, state.accepted[MEMBERS.index(member)])
            asked = state.asked - {(member, asked_s)}
            yield ("answers", member, asked_s), state._replace(asked=asked, answers=state.answers | {answer})
            yield ("is lost", member, asked_s), state._replace(asked=asked)
        for answer in state.answers:
            rest = state._replace(answers=state.answers - {answer})
            yield ("hears", *answer), self._judged(rest, ("answered", *answer))
        if state.chosen_s is not None and not state.held:
            yield ("learns",), self._judged(state._replace(held=1), ("update",))

    def _may_ask(self, state: World, member: str) -> bool:
        flights = [one[:2] for one in (*state.asked, *state.answers) if one[0] == member]
        return len(flights) < self._in_flight and (member, state.now_s) not in flights

    def _accept(self, state: World, number: int) -> World:
        accepted = (*state.accepted[:number], 1, *state.accepted[number + 1 :])
        chosen_s = state.now_s if sum(accepted) == 2 and state.chosen_s is None else state.chosen_s
        return state._replace(accepted=accepted, chosen_s=chosen_s)

    def _judged(self, state: World, event: Event) -> World:
        number, confirmed_s = self._contact.step(state.contact, (*event, state.now_s, state.held, state.accepted[0]))
        fault = None
        if not state.held and state.chosen_s is not None and state.chosen_s < confirmed_s:
            fault = f"version 0 counts as the newest as of {confirmed_s}, version 1 was chosen at {state.chosen_s}"
        return state._replace(contact=number, fault=fault)
