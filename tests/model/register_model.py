"""The model of the register: three members of which two propose, a crash, a wipe, a change of members under way."""

from __future__ import annotations

import functools
import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from dewpin.consensus import Ballot
from tests.model.component import Component
from tests.model.explorer import Label
from tests.model.quorum_model import Answer, QuorumModel, Request
from tests.model.register_parts import Operation, ProcessFingerprint, ProcessPart

PROCESSES = "abcd"
"""Members a, b and c, and d, which is none at first."""
WIPED = {"a": "A", "b": "B", "c": "C"}
"""Under which name a process comes back with an empty disk."""


@dataclass(frozen=True)
class Bounds:
    """What the processes do, and how often what goes wrong. `times_out`: an operation may end unclear while its process
    lives on. `hears`: processes tell each other of chosen states. `skips`: how many ballots may have come to nothing,
    for want of promises, before an operation's first one that gets some."""

    operations: dict[str, tuple[Operation, ...]]
    ballots: dict[str, int]
    crashes: int = 0
    wipes: str = ""
    times_out: bool = False
    hears: bool = False
    hears_conflicts: bool = False
    reaches_itself: bool = True
    skips: tuple[int, ...] = (0,)
    late_answers: bool = False


class World(NamedTuple):
    """A state. `told`: states that were given as results; `floors`: for each process the version that its operation has
    to see; `acknowledged` and `refused`: orders."""

    parts: tuple[int, ...]
    requests: frozenset[int]
    told: frozenset[str]
    floors: tuple[int, ...]
    acknowledged: frozenset[Operation]
    refused: frozenset[Operation]
    crashes: int
    wiped: str
    fault: str | None
    answers: frozenset[Answer] = frozenset()


class RegisterModel(QuorumModel):
    """Explores the real registers within `bounds`."""

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        parts = [
            Component(
                functools.partial(ProcessPart, name, bounds.operations.get(name, ()), bounds.ballots.get(name, 0))
            )
            for name in PROCESSES
        ]
        most_ballots = {number: bounds.ballots.get(name, 0) for number, name in enumerate(PROCESSES)}
        super().__init__(parts, most_ballots, bounds.hears_conflicts, bounds.reaches_itself, bounds.late_answers)

    def initial(self) -> World:
        """All first members hold the first state and know that it is chosen."""
        nothing: frozenset[Any] = frozenset()
        floors = (0,) * len(PROCESSES)
        return World((0,) * len(PROCESSES), nothing, nothing, floors, nothing, nothing, 0, "", None)

    def fault(self, state: World) -> str | None:
        """The property that was broken by the step that led here."""
        return state.fault

    def steps(self, state: World) -> Iterator[tuple[Label, World]]:
        """Processes propose, requests are handled, processes tell, crash and lose their disks."""
        for number, name in enumerate(PROCESSES):
            yield from self._proposer_steps(state, number, name)
        yield from self.request_steps(state)
        if self._bounds.hears:
            yield from self._hearing_steps(state)
        yield from self._loss_steps(state)

    def _proposer_steps(self, state: World, number: int, name: str) -> Iterator[tuple[Label, World]]:
        at, operations = self.at(state, number), self._bounds.operations.get(name, ())
        if at.ballot is not None and self._bounds.times_out:
            yield ("times out", name), self.sender_step(state, number, ("time_out",))
        if at.ballots >= self._bounds.ballots.get(name, 0):
            return
        if at.ballot is not None:
            if at.is_accepting:
                yield ("gives up", *at.ballot), self.sender_step(state, number, ("give_up",))
        elif at.done < len(operations) and (at.held is not None or at.chosen is not None):
            newest = max((_version(text) for text in state.told), default=0)
            floors = (*state.floors[:number], newest, *state.floors[number + 1 :])
            begun = state._replace(floors=floors)
            for skipped in self._bounds.skips:
                label = ("begins", name, *operations[at.done], f"after {skipped} ballots in vain")
                yield label, self.sender_step(begun, number, ("begin", skipped))

    def _hearing_steps(self, state: World) -> Iterator[tuple[Label, World]]:
        for number, name in enumerate(PROCESSES):
            at = self.at(state, number)
            if at.done >= len(self._bounds.operations.get(name, ())):
                continue
            for other, other_name in enumerate(PROCESSES):
                known = self.at(state, other)
                if known.chosen is None or (at.chosen is not None and _version(at.chosen) >= _version(known.chosen)):
                    continue
                event = ("hear", tuple(known.chosen_ballot), known.chosen)
                yield (name, "hears of", other_name), self.part_step(state, number, event)[0]

    def _loss_steps(self, state: World) -> Iterator[tuple[Label, World]]:
        for number, name in enumerate(PROCESSES):
            has_operations = self.at(state, number).done < len(self._bounds.operations.get(name, ()))
            if state.crashes < self._bounds.crashes and has_operations:
                after, _ = self.part_step(state, number, ("crash",))
                yield ("crash", name), self.without_spent_requests(after._replace(crashes=state.crashes + 1))
            if name in self._bounds.wipes and not state.wiped:
                after, _ = self.part_step(state, number, ("wipe", WIPED[name]))
                yield ("wipe", name), self.without_spent_requests(after._replace(wiped=name))

    # Requests and results

    def read_request(self, sender: int, text: str) -> Request:
        """What the text of a request to a member says."""
        message = json.loads(text)
        member = message["to"]
        target = PROCESSES.index(member.lower())
        is_prepare = message["type"] == "register.prepare"
        return Request(sender, target, member, Ballot(*message["ballot"]), is_prepare, 0, text)

    def is_refused_for_good(self, request: Request, held: ProcessFingerprint) -> bool:
        """Whether the member that is meant has lost its disk: another incarnation answers there."""
        return request.member != held.member

    def after_result(self, state: World, sender: int, result: tuple[str, str | None]) -> World:
        """Judges how an operation ended."""
        outcome, text = result
        if outcome == "unclear":
            return state
        operation = self._bounds.operations[PROCESSES[sender]][self.at(state, sender).done - 1]
        acknowledged, refused = state.acknowledged, state.refused
        if operation[0] == "put":
            acknowledged = acknowledged | {operation} if outcome == "made" else acknowledged
            refused = refused if outcome == "made" else refused | {operation}
        after = state._replace(acknowledged=acknowledged, refused=refused)
        if text is None:
            return after._replace(fault="refused from a state that no ballot has chosen")
        after = after._replace(told=state.told | {text})
        return after._replace(fault=self._fault_of(after, sender, text))

    def _fault_of(self, state: World, sender: int, text: str) -> str | None:
        told = json.loads(text)
        if told["version"] < state.floors[sender]:
            return f"lost: version {told['version']} was told after version {state.floors[sender]}"
        if any(not _on_one_line(told, json.loads(other)) for other in state.told):
            return "two histories were told"
        both = state.acknowledged & state.refused
        if both:
            return f"acknowledged and refused: {sorted(both)}"
        for one in state.acknowledged:
            if any(other != one and other[2] == one[2] for other in state.acknowledged):
                return f"two orders on one base were acknowledged: {sorted(state.acknowledged)}"
        if not self._is_held_by_majorities(state, told):
            return f"version {told['version']} was told but is not held by majorities of {told['members']}"
        return None

    def _is_held_by_majorities(self, state: World, told: dict[str, Any]) -> bool:
        """Whether enough members hold the told state or a later one. A member that lost its disk counts as a holder."""
        holders = set(state.wiped)
        for number in range(len(PROCESSES)):
            at: ProcessFingerprint = self.at(state, number)
            if at.held is not None and _version(at.held) >= told["version"]:
                holders.add(at.member)
        sets = (told["members"], told["former_members"])
        return all(2 * len(holders.intersection(members)) > len(members) for members in sets)


def _version(text: str) -> int:
    return int(_parsed(text)["version"])


@functools.lru_cache(maxsize=100_000)
def _parsed(text: str) -> dict[str, Any]:
    state: dict[str, Any] = json.loads(text)
    return state


def _on_one_line(one: dict[str, Any], other: dict[str, Any]) -> bool:
    """Whether the orders of one state are the first ones of the other, and equal versions are equal states."""
    if one["version"] == other["version"]:
        return one == other
    older, newer = sorted((one, other), key=lambda state: int(state["version"]))
    return bool(newer["accepted"][: len(older["accepted"])] == older["accepted"])
