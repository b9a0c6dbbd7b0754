"""Random runs of five registers, beyond the bounds of the explored models: the real registers, driven by hypothesis.

Three processes propose configurations, reads and member changes; two may lose their disks and return under new names.
The network keeps requests, so that any may arrive late, twice or never; a reply arrives when its request is handled.
The properties are those of `register_model.py`.
"""

from __future__ import annotations

import json
from typing import Any

from hypothesis import strategies as some
from hypothesis.stateful import precondition, rule

from tests.model.register_model import _on_one_line, _version
from tests.model.register_parts import Operation, ProcessFingerprint, ProcessPart
from tests.model.request_network import RequestNetwork

MEMBERS = ("a", "b", "c", "d", "e")
SPARE = "f"
PROPOSERS = ("a", "b", "c")
MOST_BALLOTS = 10_000
MOST_WIPES = 2

proposers = some.sampled_from(PROPOSERS)
processes = some.sampled_from((*MEMBERS, SPARE))
reached = some.sets(processes, min_size=3)


class RegisterMachine(RequestNetwork):
    """Processes by their first names; `_incarnations` has the names they answer to by now."""

    def __init__(self) -> None:
        super().__init__()
        names = (*MEMBERS, SPARE)
        self._parts = {name: ProcessPart(name, (), MOST_BALLOTS, MEMBERS) for name in names}
        self._incarnations = {name: name for name in names}
        self._operations: dict[str, Operation] = {}
        self._floors: dict[str, int] = {}
        self._told: list[dict[str, Any]] = []
        self._acknowledged: set[Operation] = set()
        self._refused: set[Operation] = set()
        self._wipes = 0

    @rule(name=proposers, body=some.sampled_from("xyz"), above=some.integers(1, 2), first=reached, second=reached)
    def order(self, name: str, body: str, above: int, first: set[str], second: set[str]) -> None:
        """Begins an order on the base that the process knows, and plays its first ballot."""
        newest = self._at(name).chosen
        if newest is None:
            return
        configuration = json.loads(newest)["configuration"]
        base = 0 if configuration is None else configuration["generation"]
        self._play(name, ("put", base + above, base, body), first, second)

    @rule(name=proposers, kind=some.sampled_from(("read", "settle")), first=reached, second=reached)
    def read_or_settle(self, name: str, kind: str, first: set[str], second: set[str]) -> None:
        """Begins a read, or to finish a change of members, and plays its first ballot."""
        self._play(name, (kind,), first, second)

    @rule(name=proposers, gone=some.integers(0, 4), new=processes, first=reached, second=reached)
    def change_members(self, name: str, gone: int, new: str, first: set[str], second: set[str]) -> None:
        """Begins to replace one member by another process, or by the present incarnation of the same one."""
        newest = self._at(name).chosen
        if newest is None:
            return
        members = sorted(json.loads(newest)["members"])
        del members[gone]
        names = {*members, self._incarnations[new]}
        if len(names) == len(MEMBERS) and len({one.lower() for one in names}) == len(MEMBERS):
            self._play(name, ("members", tuple(sorted(names))), first, second)

    @rule(name=proposers, first=reached, second=reached)
    def another_ballot(self, name: str, first: set[str], second: set[str]) -> None:
        """No answer comes any more: the process begins another ballot and plays it."""
        if self._at(name).ballot is not None:
            self._take(name, self._parts[name].apply(("give_up",)))
            self._round(name, first)
            self._round(name, second)

    @rule(name=proposers, members=reached)
    def round(self, name: str, members: set[str]) -> None:
        """Requests of the ballot under way reach some members, and their answers come back."""
        self._round(name, members)

    @rule(name=proposers)
    def time_out(self, name: str) -> None:
        """The operation ends unclear."""
        if self._at(name).ballot is not None:
            self._take(name, self._parts[name].apply(("time_out",)))

    @rule(name=some.sampled_from(MEMBERS))
    def crash(self, name: str) -> None:
        """A process is started anew on its disk."""
        self._parts[name].apply(("crash",))

    @precondition(lambda self: self._wipes < MOST_WIPES)
    @rule(name=some.sampled_from(MEMBERS))
    def wipe(self, name: str) -> None:
        """A process is started anew on an empty disk, under a new name."""
        if self._incarnations[name] == name:
            self._incarnations[name] = name.upper()
            self._parts[name].apply(("wipe", name.upper()))
            self._wipes += 1

    @rule(name=proposers, other=processes)
    def hear(self, name: str, other: str) -> None:
        """A process that has no operation under way is told what another knows to be chosen."""
        known = self._at(name)
        if known.chosen is not None and self._at(other).ballot is None:
            self._parts[other].apply(("hear", tuple(known.chosen_ballot), known.chosen))

    def _at(self, name: str) -> ProcessFingerprint:
        return self._parts[name].fingerprint()

    def _play(self, name: str, operation: Operation, first: set[str], second: set[str]) -> None:
        self._begin(name, operation)
        self._round(name, first)
        self._round(name, second)

    def _round(self, name: str, members: set[str]) -> None:
        for text in self._pending(name):
            if json.loads(text)["to"].lower() in members | {name}:
                self._deliver(name, text, True)

    def _begin(self, name: str, operation: Operation) -> None:
        at = self._at(name)
        if at.ballot is not None or (at.held is None and at.chosen is None):
            return
        self._operations[name] = operation
        self._floors[name] = max((state["version"] for state in self._told), default=0)
        self._parts[name].add(operation)
        self._take(name, self._parts[name].apply(("begin", 0)))

    def _is_awaited(self, sender: str, text: str) -> bool:
        ballot = self._at(sender).ballot
        return ballot is not None and json.loads(text)["ballot"] == list(ballot)

    def _deliver(self, sender: str, text: str, is_answered: bool) -> None:
        member = json.loads(text)["to"]
        self._handled.add((sender, text))
        answer = self._parts[member.lower()].apply(("request", text))
        if answer is not None and is_answered and self._is_awaited(sender, text):
            self._take(sender, self._parts[sender].apply(("reply", member, answer)))

    def _take(self, name: str, output: Any) -> None:
        texts, ended = output
        self._send(name, texts)
        if ended is not None and ended[0] != "unclear":
            self._judge(name, *ended)

    def _judge(self, name: str, outcome: str, text: str | None) -> None:
        operation = self._operations[name]
        assert text is not None, "refused from a state that no ballot has chosen"
        told = json.loads(text)
        assert told["version"] >= self._floors[name], "a version that was told is lost"
        assert all(_on_one_line(told, other) for other in self._told), "two histories were told"
        self._told.append(told)
        assert self._is_held_by_majorities(told), "a version was told that majorities do not hold"
        if operation[0] == "put":
            (self._acknowledged if outcome == "made" else self._refused).add(operation)
        assert not self._acknowledged & self._refused, "acknowledged and refused"
        bases = [one[2] for one in self._acknowledged]
        assert len(bases) == len(set(bases)), "two orders on one base were acknowledged"

    def _is_held_by_majorities(self, told: dict[str, Any]) -> bool:
        """Whether enough members hold the told state or a later one. A member that lost its disk counts as a holder."""
        holders = {name for name, now in self._incarnations.items() if now != name}
        for name in self._parts:
            at = self._at(name)
            if at.held is not None and _version(at.held) >= told["version"]:
                holders.add(at.member)
        sets = (told["members"], told["former_members"])
        return all(2 * len(holders.intersection(members)) > len(members) for members in sets)
