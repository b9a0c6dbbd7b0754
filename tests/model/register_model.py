"""Models the register: three members of which two propose, crashes, a lost disk, a member change in progress."""

from __future__ import annotations

import functools
import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from dewpin.consensus import Ballot
from tests.model.component import Component
from tests.model.explorer import Label
from tests.model.quorum_model import QuorumModel, Reply, Request
from tests.model.register_parts import Operation, ProcessFingerprint, ProcessPart

PROCESSES = "abcd"
"""The initial members a, b and c, and the spare process d."""
WIPED = {"a": "A", "b": "B", "c": "C"}
"""The name under which a process returns with an empty disk."""


@dataclass(frozen=True)
class Bounds:
    """The processes' operations and the limits of the model. `times_out`: an operation may end with an unknown outcome
    while its process continues. `shares_chosen`: processes tell each other of chosen states. `skipped_ballots`: the
    possible numbers of ballots that failed for lack of promises before an operation's first ballot in the model."""

    operations: dict[str, tuple[Operation, ...]]
    ballots: dict[str, int]
    crashes: int = 0
    wipes: str = ""
    times_out: bool = False
    shares_chosen: bool = False
    delivers_conflicts: bool = False
    reaches_itself: bool = True
    skipped_ballots: tuple[int, ...] = (0,)
    late_replies: bool = False


class ModelState(NamedTuple):
    """A state. `results`: system states returned as results; `floors`: for each process the version that the result of
    its operation must reach; `acknowledged` and `refused`: configurations; `wiped`: the process that lost its disk."""

    parts: tuple[int, ...]
    requests: frozenset[int]
    results: frozenset[str]
    floors: tuple[int, ...]
    acknowledged: frozenset[Operation]
    refused: frozenset[Operation]
    crashes: int
    wiped: str
    fault: str | None
    replies: frozenset[Reply] = frozenset()


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
        max_ballots = {number: bounds.ballots.get(name, 0) for number, name in enumerate(PROCESSES)}
        super().__init__(parts, max_ballots, bounds.delivers_conflicts, bounds.reaches_itself, bounds.late_replies)

    def initial(self) -> ModelState:
        """All initial members have the initial state and know that it is chosen."""
        nothing: frozenset[Any] = frozenset()
        floors = (0,) * len(PROCESSES)
        return ModelState((0,) * len(PROCESSES), nothing, nothing, floors, nothing, nothing, 0, "", None)

    def fault(self, state: ModelState) -> str | None:
        """The property violated by the step that led here."""
        return state.fault

    def steps(self, state: ModelState) -> Iterator[tuple[Label, ModelState]]:
        """Processes propose, requests are handled, processes share chosen states, crash and lose their disks."""
        for number, name in enumerate(PROCESSES):
            yield from self._proposer_steps(state, number, name)
        yield from self.request_steps(state)
        if self._bounds.shares_chosen:
            yield from self._sharing_steps(state)
        yield from self._loss_steps(state)

    def _proposer_steps(self, state: ModelState, number: int, name: str) -> Iterator[tuple[Label, ModelState]]:
        current, operations = self.fingerprint_of(state, number), self._bounds.operations.get(name, ())
        if current.ballot is not None and self._bounds.times_out:
            yield ("times out", name), self.sender_step(state, number, ("time_out",))
        if current.ballots >= self._bounds.ballots.get(name, 0):
            return
        if current.ballot is not None:
            if current.is_accepting:
                yield ("gives up", *current.ballot), self.sender_step(state, number, ("give_up",))
        elif current.completed < len(operations) and (current.held is not None or current.chosen is not None):
            newest = max((_version(text) for text in state.results), default=0)
            floors = (*state.floors[:number], newest, *state.floors[number + 1 :])
            begun = state._replace(floors=floors)
            for skipped in self._bounds.skipped_ballots:
                label = ("begins", name, *operations[current.completed], f"after {skipped} ballots in vain")
                yield label, self.sender_step(begun, number, ("begin", skipped))

    def _sharing_steps(self, state: ModelState) -> Iterator[tuple[Label, ModelState]]:
        for number, name in enumerate(PROCESSES):
            current = self.fingerprint_of(state, number)
            if current.completed >= len(self._bounds.operations.get(name, ())):
                continue
            for other, other_name in enumerate(PROCESSES):
                known = self.fingerprint_of(state, other)
                if known.chosen is None or (
                    current.chosen is not None and _version(current.chosen) >= _version(known.chosen)
                ):
                    continue
                event = ("hear", tuple(known.chosen_ballot), known.chosen)
                yield (name, "hears of", other_name), self.part_step(state, number, event)[0]

    def _loss_steps(self, state: ModelState) -> Iterator[tuple[Label, ModelState]]:
        for number, name in enumerate(PROCESSES):
            has_operations = self.fingerprint_of(state, number).completed < len(self._bounds.operations.get(name, ()))
            if state.crashes < self._bounds.crashes and has_operations:
                after, _ = self.part_step(state, number, ("crash",))
                yield ("crash", name), self.prune_messages(after._replace(crashes=state.crashes + 1))
            if name in self._bounds.wipes and not state.wiped:
                after, _ = self.part_step(state, number, ("wipe", WIPED[name]))
                yield ("wipe", name), self.prune_messages(after._replace(wiped=name))

    # Requests and results

    def read_request(self, sender: int, text: str) -> Request:
        """Decodes a request to a member."""
        message = json.loads(text)
        member = message["to"]
        target = PROCESSES.index(member.lower())
        is_prepare = message["type"] == "register.prepare"
        return Request(sender, target, member, Ballot(*message["ballot"]), is_prepare, 0, text)

    def is_rejected_permanently(self, request: Request, target: ProcessFingerprint) -> bool:
        """Whether the addressed member has lost its disk, so that another incarnation replies."""
        return request.member != target.member

    def after_result(self, state: ModelState, sender: int, result: tuple[str, str | None]) -> ModelState:
        """Checks the result of an operation."""
        outcome, text = result
        if outcome == "unclear":
            return state
        operation = self._bounds.operations[PROCESSES[sender]][self.fingerprint_of(state, sender).completed - 1]
        acknowledged, refused = state.acknowledged, state.refused
        if operation[0] == "put":
            acknowledged = acknowledged | {operation} if outcome == "made" else acknowledged
            refused = refused if outcome == "made" else refused | {operation}
        after = state._replace(acknowledged=acknowledged, refused=refused)
        if text is None:
            return after._replace(fault="rejected from a state that no ballot has chosen")
        after = after._replace(results=state.results | {text})
        return after._replace(fault=self._fault_of(after, sender, text))

    def _fault_of(self, state: ModelState, sender: int, text: str) -> str | None:
        result_state = json.loads(text)
        if result_state["version"] < state.floors[sender]:
            return f"lost: version {result_state['version']} was returned after version {state.floors[sender]}"
        if any(not _on_one_line(result_state, json.loads(other)) for other in state.results):
            return "two histories were returned"
        both = state.acknowledged & state.refused
        if both:
            return f"acknowledged and rejected: {sorted(both)}"
        for one in state.acknowledged:
            if any(other != one and other[2] == one[2] for other in state.acknowledged):
                return f"two changes on one base were acknowledged: {sorted(state.acknowledged)}"
        if not self._is_held_by_majorities(state, result_state):
            return f"version {result_state['version']} was returned without majorities of {result_state['members']}"
        return None

    def _is_held_by_majorities(self, state: ModelState, result_state: dict[str, Any]) -> bool:
        """Whether majorities have the result state or a later one. A member that lost its disk counts as having it."""
        holders = set(state.wiped)
        for number in range(len(PROCESSES)):
            current: ProcessFingerprint = self.fingerprint_of(state, number)
            if current.held is not None and _version(current.held) >= result_state["version"]:
                holders.add(current.member)
        sets = (result_state["members"], result_state["former_members"])
        return all(2 * len(holders.intersection(members)) > len(members) for members in sets)


def _version(text: str) -> int:
    return int(_parsed(text)["version"])


@functools.lru_cache(maxsize=100_000)
def _parsed(text: str) -> dict[str, Any]:
    state: dict[str, Any] = json.loads(text)
    return state


def _on_one_line(one: dict[str, Any], other: dict[str, Any]) -> bool:
    """Whether the accepted configurations of one state are a prefix of the other's, and equal versions are equal."""
    if one["version"] == other["version"]:
        return one == other
    older, newer = sorted((one, other), key=lambda state: int(state["version"]))
    return bool(newer["accepted"][: len(older["accepted"])] == older["accepted"])
