"""Random runs of a program's ledger during changes of the stores, beyond the bounds of the explored model.

Three real stores, two spare ones and three real senders, driven by hypothesis. Stores are replaced one after the other,
crash and lose their disks; at most one has lost its disk until the change that replaces it has ended. The network keeps
requests, so that any may arrive late, twice or never; a reply arrives when its request is handled. The properties are
those of `ledger_model.py`.
"""

from __future__ import annotations

import json
from typing import Any

from hypothesis import strategies as some
from hypothesis.stateful import precondition, rule

from dewpin.cluster import store_messages as wire
from dewpin.cluster.store_view import StoreView
from dewpin.controlplane.store import replica_sync
from tests.model.ledger_parts import REPLICA_COUNT, Operation, SenderPart, StorePart, members
from tests.model.request_network import RequestNetwork

STORES = "abc"
SPARES = "de"
SENDERS = "pqr"
BUDGET = 90
MOST_TURNS = 7
"""Each turn reserves and uses a distinct power of two of tokens: the spent tokens show which turns are settled."""

senders = some.sampled_from(SENDERS)
stores = some.sampled_from(STORES + SPARES)
reached = some.sets(some.sampled_from(STORES + SPARES), min_size=3)
Stages = dict[str, int]
"""For each turn 1 (reserved) or 2 (settled)."""


class LedgerMachine(RequestNetwork):
    """Stores by their first names; `_incarnations` has the names they answer to by now.

    `_views`: all views so far by epoch, shared with the parts. `_read_sources`: for each next member of a change the
    stable members whose records it has merged under it. `_told`: what senders were told, in order.
    """

    def __init__(self) -> None:
        super().__init__()
        self._views = {1: StoreView(1, members(STORES))}
        self._incarnations = {name: name for name in STORES + SPARES}
        self._stores = {name: StorePart(name, self._views, 1, True) for name in STORES}
        self._stores |= {name: StorePart(name, self._views, None, True) for name in SPARES}
        self._senders = {name: SenderPart(name, self._views, (), BUDGET, 0) for name in SENDERS}
        self._operations: dict[str, Operation] = {}
        self._floors: dict[str, Stages] = {}
        self._told: list[Stages] = []
        self._reserved: dict[str, list[str]] = {name: [] for name in SENDERS}
        self._turns: dict[str, int] = {}
        self._read_sources: dict[str, set[str]] = {}
        self._wiped: set[str] = set()

    # Senders

    @precondition(lambda self: len(self._turns) < MOST_TURNS)
    @rule(name=senders, first=reached, second=reached)
    def reserve(self, name: str, first: set[str], second: set[str]) -> None:
        """Begins a turn, and plays its first ballot."""
        if self._is_idle(name):
            turn = f"t{len(self._turns)}"
            self._turns[turn] = 1 << len(self._turns)
            self._play(name, ("reserve", turn, self._turns[turn]), first, second)

    @rule(name=senders, first=reached, second=reached)
    def settle(self, name: str, first: set[str], second: set[str]) -> None:
        """Settles a turn that the sender was told to be reserved."""
        if self._is_idle(name) and self._reserved[name]:
            turn = self._reserved[name].pop(0)
            self._play(name, ("settle", turn, self._turns[turn]), first, second)

    @rule(name=senders, first=reached, second=reached)
    def read(self, name: str, first: set[str], second: set[str]) -> None:
        """Reads the ledger."""
        if self._is_idle(name):
            self._play(name, ("read", "", 0), first, second)

    @rule(name=senders, first=reached, second=reached)
    def another_ballot(self, name: str, first: set[str], second: set[str]) -> None:
        """No answer comes any more: the sender begins another ballot, under the newest view, and plays it."""
        at = self._senders[name].fingerprint()
        if at.ballot is None:
            return
        if at.epoch < self._epoch:
            self._take(name, self._senders[name].apply(("move", self._epoch)))
        elif at.is_accepting:
            self._take(name, self._senders[name].apply(("give_up",)))
        self._round(name, first)
        self._round(name, second)

    @rule(name=senders, members=reached)
    def round(self, name: str, members: set[str]) -> None:
        """Requests of the ballot under way reach some stores, and their answers come back."""
        self._round(name, members)

    @rule(name=senders)
    def time_out(self, name: str) -> None:
        """The operation ends unclear."""
        if not self._is_idle(name):
            self._senders[name].apply(("time_out",))

    # Stores

    @precondition(lambda self: self._view.next is None)
    @rule(gone=some.integers(0, len(STORES) - 1), new=stores)
    def begin_change(self, gone: int, new: str) -> None:
        """Begins to replace a store, the one that lost its disk if there is one."""
        stable = sorted(self._view.stable_ids)
        lost = [member for member in stable if member in self._wiped]
        leaving = lost[0] if lost else stable[gone]
        names = {*stable, self._incarnations[new]} - {leaving}
        if len(names) == len(STORES) and len({name.lower() for name in names}) == len(STORES):
            self._change_view(StoreView(self._epoch + 1, self._view.stable, members("".join(sorted(names)))))

    @precondition(lambda self: self._view.next is not None)
    @rule(to=stores, sources=some.sets(stores))
    def copy(self, to: str, sources: set[str]) -> None:
        """A next member copies from some stable members."""
        for source in sorted(sources):
            self._copy(to, source)

    @precondition(lambda self: self._view.next is not None)
    @rule(sources=some.sets(stores, max_size=3))
    def end_change(self, sources: set[str]) -> None:
        """All next members copy from some stable members; the change ends if every copy is complete."""
        view = self._view
        for to in sorted(view.next_ids):
            for source in sorted(sources):
                self._copy(to.lower(), source)
        if view.next is not None and all(self._is_complete(member) for member in view.next_ids):
            self._change_view(StoreView(view.epoch + 1, view.next))
            self._wiped &= set(self._view.stable_ids)

    @rule(name=stores)
    def crash(self, name: str) -> None:
        """A store is started anew on its disk; a copy that it made begins anew."""
        self._stores[name].apply(("crash",))
        self._read_sources.pop(self._incarnations[name], None)

    @precondition(lambda self: not self._wiped)
    @rule(name=stores)
    def wipe(self, name: str) -> None:
        """A store is started anew on an empty disk, under a new name. One at most until it has been replaced."""
        lost = self._incarnations[name]
        if lost.isupper():
            return
        self._incarnations[name] = name.upper()
        self._stores[name] = StorePart(name.upper(), self._views, None, True)
        if lost in self._view.members:
            self._wiped.add(lost)

    # What follows

    @property
    def _epoch(self) -> int:
        return max(self._views)

    @property
    def _view(self) -> StoreView:
        return self._views[self._epoch]

    def _copy(self, to: str, source: str) -> None:
        """A next member makes the view durable, and merges what a stable member answers."""
        view, target_id, source_id = self._view, self._incarnations[to], self._incarnations[source]
        if to == source or target_id not in view.next_ids or source_id not in view.stable_ids:
            return
        self._stores[to].apply(("copying", view.epoch))
        fields = {"view": view.to_json(), "member": target_id, "after": "", "most": 500}
        pull = json.dumps(wire.request(wire.PULL_LEDGERS, view, source_id, **fields))
        records = self._stores[source].apply(("pull", pull))
        if records is not None:
            self._stores[to].apply(("merge", records))
            self._read_sources.setdefault(target_id, set()).add(source_id)

    def _change_view(self, view: StoreView) -> None:
        self._views[view.epoch] = view
        self._read_sources = {}

    def _is_complete(self, target: str) -> bool:
        if target in self._wiped:
            return False
        sources = set(self._view.stable_ids) - {target}
        unread = len(sources - self._read_sources.get(target, set()))
        return replica_sync.has_read_enough_sources(self._view, unread, REPLICA_COUNT)

    def _is_idle(self, name: str) -> bool:
        return self._senders[name].fingerprint().ballot is None

    def _play(self, name: str, operation: Operation, first: set[str], second: set[str]) -> None:
        self._operations[name] = operation
        self._floors[name] = self._told[-1] if self._told else {}
        self._senders[name].add(operation)
        self._take(name, self._senders[name].apply(("begin", self._epoch)))
        self._round(name, first)
        self._round(name, second)

    def _round(self, name: str, names: set[str]) -> None:
        for text in self._pending(name):
            if json.loads(text)["to"].lower() in names:
                self._deliver(name, text, True)

    def _is_awaited(self, sender: str, text: str) -> bool:
        at = self._senders[sender].fingerprint()
        message = json.loads(text)
        return at.ballot is not None and message["ballot"] == list(at.ballot) and message["epoch"] == at.epoch

    def _deliver(self, sender: str, text: str, is_answered: bool) -> None:
        member = json.loads(text)["to"]
        self._handled.add((sender, text))
        if self._incarnations[member.lower()] != member:
            return
        answer = self._stores[member.lower()].apply(("request", text))
        if answer is not None and is_answered and self._is_awaited(sender, text):
            self._take(sender, self._senders[sender].apply(("reply", member, answer)))

    def _take(self, name: str, output: Any) -> None:
        texts, ended = output
        self._send(name, texts)
        if ended is not None:
            self._judge(name, ended[0], json.loads(ended[1]))

    def _judge(self, name: str, ended: str, value: Any) -> None:
        kind, turn, tokens = self._operations[name]
        stages = self._stages(value)
        committed = 0 if value is None else value["spent"] + sum(value["open"].values())
        assert committed <= BUDGET, "over the budget"
        assert _covers(stages, self._floors[name]), f"{self._floors[name]} was told before {stages}"
        for other in self._told:
            assert _covers(stages, other) or _covers(other, stages), "two histories were told"
        if not self._told or _covers(stages, self._told[-1]):
            self._told.append(stages)
        if ended == "spent":
            assert committed + tokens > BUDGET, "refused though the budget had room"
        elif kind != "read":
            assert stages.get(turn, 0) >= (2 if kind == "settle" else 1), f"{kind} {turn} is not in {stages}"
        if kind == "reserve" and ended == "made":
            self._reserved[name].append(turn)

    def _stages(self, value: Any) -> Stages:
        if value is None:
            return {}
        settled = {turn: 2 for turn, tokens in self._turns.items() if value["spent"] & tokens}
        assert value["spent"] == sum(self._turns[turn] for turn in settled), "not settled exactly once"
        assert not settled.keys() & value["open"].keys(), "settled and still reserved"
        return {**settled, **dict.fromkeys(value["open"], 1)}


def _covers(stages: Stages, floor: Stages) -> bool:
    return all(stages.get(turn, 0) >= least for turn, least in floor.items())
