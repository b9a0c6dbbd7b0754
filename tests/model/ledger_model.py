"""The model of budget ledgers through a change of the stores: three stores, a newcomer, senders with prepared ballots.

A store or sender takes a newer view when it first has a use for it: until then it refuses, as if messages were lost.

States that can't be told apart are one, by what is remembered of the copies:

- a copy that is whole is remembered as such, not by the sources that were read: a whole copy reads no other, and
  nothing else asks for its sources;
- where no ballot may begin after the change, nothing is remembered: how far the copies are decides only when the
  change ends, and so nothing there. A store may then copy a source again and again, which is more than a real one
  does: it does so once in each of its lives.
"""

from __future__ import annotations

import functools
import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from dewpin.cluster import store_messages as wire
from dewpin.cluster.store_view import StoreView
from dewpin.consensus import Ballot
from dewpin.controlplane.membership.cluster_observation import ClusterObservation
from dewpin.controlplane.membership.peers import Peer, PeerTable
from dewpin.controlplane.membership.reconfiguration import _have_all_synced
from dewpin.controlplane.store import replica_sync
from tests.model.component import Component
from tests.model.explorer import Label
from tests.model.ledger_parts import (
    REPLICA_COUNT,
    Operation,
    SenderFingerprint,
    SenderPart,
    StoreFingerprint,
    StorePart,
    members,
)
from tests.model.quorum_model import Answer, QuorumModel, Request

STORES = "abcd"
SENDERS = "pqr"
CHANGING = 2
VIEWS = {
    1: StoreView(1, members("abc")),
    CHANGING: StoreView(CHANGING, members("abc"), members("abd")),
    3: StoreView(3, members("abd")),
}
Stages = tuple[int, ...]
"""For each turn 0 (not there), 1 (reserved) or 2 (settled)."""


@dataclass(frozen=True)
class Bounds:
    """What the senders do, and how often what goes wrong. `clocks_ms` set whose first ballot is the greater one;
    `epochs`: under which views the n-th ballot of any sender may be begun (the last entry goes for all later ones);
    `epochs_by_sender`: the same for each sender. `reserved_at`: the stores that hold the first sender's first operation
    from the beginning; the accept of a store that is not named may still come."""

    operations: tuple[tuple[Operation, ...], ...]
    budget: int
    ballots: tuple[int, ...]
    clocks_ms: tuple[int, ...]
    epochs: tuple[tuple[int, ...], ...] = ((1, 2, 3),)
    epochs_by_sender: tuple[tuple[tuple[int, ...], ...], ...] = ()
    reserved_at: str = ""
    crashes: int = 0
    hears_conflicts: bool = False
    late_answers: bool = False


class World(NamedTuple):
    """A state: the stores and then the senders. `copied`: (target, source) pairs whose ledgers were merged; `reads`:
    values that senders were told."""

    parts: tuple[int, ...]
    epoch: int
    requests: frozenset[int]
    copied: frozenset[tuple[int, int]]
    floors: tuple[Stages, ...]
    reads: frozenset[Stages]
    crashes: int
    fault: str | None
    answers: frozenset[Answer] = frozenset()


class LedgerModel(QuorumModel):
    """Explores the real stores and senders within `bounds`."""

    def __init__(self, bounds: Bounds) -> None:
        stores = [Component(functools.partial(_new_store, name, bounds)) for name in STORES]
        numbers = range(len(bounds.operations))
        senders = [Component(functools.partial(_new_sender, number, bounds)) for number in numbers]
        self._senders = [len(stores) + number for number in numbers]
        most_ballots = dict(zip(self._senders, bounds.ballots, strict=True))
        super().__init__([*stores, *senders], most_ballots, bounds.hears_conflicts, late_answers=bounds.late_answers)
        self._bounds = bounds
        self._turns = sorted({turn for script in bounds.operations for kind, turn, _ in script if kind == "reserve"})
        self._used = {turn: used for script in bounds.operations for kind, turn, used in script if kind == "settle"}
        self._may_finish: dict[frozenset[int], bool] = {}
        self._copy_is_whole: dict[tuple[int, int], bool] = {}

    def initial(self) -> World:
        """Three stores of the first view that hold nothing, senders that have sent nothing."""
        floors = ((0,) * len(self._turns),) * len(self._senders)
        epoch = CHANGING if self._last_epoch() > 1 else 1
        state = World((0,) * len(self.parts), epoch, frozenset(), frozenset(), floors, frozenset(), 0, None)
        return self._after_first_operation(state) if self._bounds.reserved_at else state

    def _last_epoch(self) -> int:
        every = (self._bounds.epochs,) if not self._bounds.epochs_by_sender else self._bounds.epochs_by_sender
        return max(epoch for ballots in every for epochs in ballots for epoch in epochs)

    def _after_first_operation(self, state: World) -> World:
        """The state once the first sender's first operation was handled by the stores of `reserved_at` alone."""
        sender = self._senders[0]
        state = self.sender_step(state, sender, ("begin", 1))
        while self.at(state, sender).ballot is not None:
            requests = {self._requests[number].member: number for number in sorted(state.requests)}
            for store in self._bounds.reserved_at:
                state, answer = self.part_step(
                    state, STORES.index(store), ("request", self._requests[requests[store]].text)
                )
                state = self.sender_step(state, sender, ("reply", store, answer))
        return state

    def fault(self, state: World) -> str | None:
        """The property that was broken by the step that led here."""
        return state.fault

    def steps(self, state: World) -> Iterator[tuple[Label, World]]:
        """Senders act, requests are handled, the view changes, stores copy and crash."""
        yield from self._sender_steps(state)
        yield from self.request_steps(state)
        yield from self._view_steps(state)
        yield from self._copy_steps(state)
        if state.crashes < self._bounds.crashes:
            for store in range(len(STORES)):
                copied = frozenset(pair for pair in state.copied if pair[0] != store)
                after, _ = self.part_step(state, store, ("crash",))
                yield ("crash", STORES[store]), after._replace(crashes=state.crashes + 1, copied=copied)

    # Senders

    def _sender_steps(self, state: World) -> Iterator[tuple[Label, World]]:
        for number, sender in enumerate(self._senders):
            at, name, operations = self.at(state, sender), SENDERS[number], self._bounds.operations[number]
            if at.ballots >= self._bounds.ballots[number]:
                continue
            for epoch in self._epochs_of_next_ballot(number, at, state):
                if at.ballot is not None and epoch == at.epoch:
                    if not at.is_accepting:
                        continue
                    yield ("gives up", name, *at.ballot), self.sender_step(state, sender, ("give_up",))
                elif at.ballot is not None:
                    yield ("moves on", name, f"epoch {epoch}"), self.sender_step(state, sender, ("move", epoch))
                elif at.done < len(operations):
                    floors = (*state.floors[:number], self._floor(state), *state.floors[number + 1 :])
                    label = ("begins", name, *operations[at.done], f"epoch {epoch}")
                    yield label, self.sender_step(state._replace(floors=floors), sender, ("begin", epoch))

    def _epochs_of_next_ballot(self, number: int, at: SenderFingerprint, state: World) -> list[int]:
        by_sender = self._bounds.epochs_by_sender
        epochs = by_sender[number] if by_sender else self._bounds.epochs
        allowed = epochs[min(at.ballots, len(epochs) - 1)]
        return [epoch for epoch in allowed if at.epoch <= epoch <= state.epoch]

    def read_request(self, sender: int, text: str) -> Request:
        """What the text of a request to a store says."""
        message = json.loads(text)
        is_prepare, member = message["type"] == wire.LEDGER_PREPARE, message["to"]
        ballot = Ballot(*message["ballot"])
        return Request(sender, STORES.index(member), member, ballot, is_prepare, message["epoch"], text)

    def is_refused_for_good(self, request: Request, held: StoreFingerprint) -> bool:
        """Whether the store can't go back to the request's epoch."""
        return (held.durable_epoch if self._bounds.crashes else held.epoch) > request.epoch

    # Results

    def after_result(self, state: World, sender: int, result: tuple[str, str]) -> World:
        """Judges what a sender was told."""
        ended, value = result[0], json.loads(result[1])
        stages = self._stages(value)
        fault = self._fault_of(state, sender - len(STORES), ended, value, stages)
        return state._replace(reads=state.reads | {stages}, fault=fault)

    def _stages(self, value: Any) -> Stages:
        spent, reserved = (0, {}) if value is None else (value["spent"], value["open"])
        settled = {turn for turn in self._turns if spent & self._used.get(turn, 0)}
        return tuple(2 if turn in settled else int(turn in reserved) for turn in self._turns)

    def _fault_of(self, state: World, number: int, ended: str, value: Any, stages: Stages) -> str | None:
        if not _covers(stages, state.floors[number]):
            return f"lost: {stages} was read after {state.floors[number]} was told"
        for other in state.reads:
            if not _covers(stages, other) and not _covers(other, stages):
                return f"two histories: {stages} and {other}"
        if value is not None and value["spent"] + sum(value["open"].values()) > self._bounds.budget:
            return f"over the budget: {value}"
        if value is not None and not self._is_settled_once(value, stages):
            return f"not settled exactly once: {value}"
        return self._fault_of_operation(state, number, ended, stages)

    def _is_settled_once(self, value: Any, stages: Stages) -> bool:
        """Whether the tokens spent are those of the settled turns, each once, and none of these is open still."""
        settled = [turn for turn, stage in zip(self._turns, stages, strict=True) if stage == 2]
        return value["spent"] == sum(self._used[turn] for turn in settled) and not set(settled) & set(value["open"])

    def _fault_of_operation(self, state: World, number: int, ended: str, stages: Stages) -> str | None:
        done = self.at(state, self._senders[number]).done
        kind, turn, _ = self._bounds.operations[number][done - 1]
        if kind == "read" or ended == "spent":
            return None
        wanted = 2 if kind == "settle" else 1
        if stages[self._turns.index(turn)] < wanted:
            return f"{kind} {turn} was acknowledged but is not in {stages}"
        return None

    def _floor(self, state: World) -> Stages:
        """What every operation that begins now has to see."""
        nothing = (0,) * len(self._turns)
        return tuple(max(stage) for stage in zip(nothing, *state.reads, strict=True))

    # The change of the view

    def _view_steps(self, state: World) -> Iterator[tuple[Label, World]]:
        if state.epoch == CHANGING and self._have_all_synced(state):
            yield ("the change ends",), state._replace(epoch=CHANGING + 1)

    def _copy_steps(self, state: World) -> Iterator[tuple[Label, World]]:
        """A next member makes the view durable, and merges what a stable member answers."""
        view = VIEWS[CHANGING]
        for target in view.next_ids:
            target_number = STORES.index(target)
            epoch = self.at(state, target_number).epoch
            if epoch > CHANGING or state.epoch < CHANGING or self._is_whole(state, target_number):
                continue
            for source in view.stable_ids:
                pair = (target_number, STORES.index(source))
                if source != target and pair not in state.copied:
                    yield from self._copy_step(state, target_number, pair[1])

    def _copy_step(self, state: World, target: int, source: int) -> Iterator[tuple[Label, World]]:
        durable, _ = self.part_step(state, target, ("copying", CHANGING))
        answered, records = self.part_step(durable, source, ("pull", _pull_of(target, source)))
        if records is None:
            return
        merged, _ = self.part_step(answered, target, ("merge", records))
        after = merged._replace(copied=self._noted(merged.copied, target, source))
        yield ("copy", STORES[source], "to", STORES[target]), self.without_spent_requests(after)

    def _noted(self, copied: frozenset[tuple[int, int]], target: int, source: int) -> frozenset[tuple[int, int]]:
        """The pairs with one more; see the module's text on when they are left out."""
        if self._last_epoch() == CHANGING:
            return copied
        noted = copied | {(target, source)}
        if not self._is_whole_after(target, sum(1 for pair in noted if pair[0] == target)):
            return noted
        sources = [STORES.index(source) for source in VIEWS[CHANGING].stable_ids]
        return noted | {(target, source) for source in sources if source != target}

    def _have_all_synced(self, state: World) -> bool:
        """Whether the planner's rule lets the change end, by the copies that the rule of the copy calls whole."""
        synced = frozenset(target for target in range(len(STORES)) if self._is_whole(state, target))
        if synced not in self._may_finish:
            self._may_finish[synced] = _may_finish(synced)
        return self._may_finish[synced]

    def _is_whole(self, state: World, target: int) -> bool:
        return self._is_whole_after(target, sum(1 for pair in state.copied if pair[0] == target))

    def _is_whole_after(self, target: int, read: int) -> bool:
        key = (target, read)
        if key not in self._copy_is_whole:
            self._copy_is_whole[key] = self._judge_copy(*key)
        return self._copy_is_whole[key]

    def _judge_copy(self, target: int, read: int) -> bool:
        view = VIEWS[CHANGING]
        if STORES[target] not in view.next_ids:
            return False
        sources = [member for member in view.stable if member.id != STORES[target]]
        return _copy_is_whole(STORES[target], len(sources) - read)


def _new_store(name: str, bounds: Bounds) -> StorePart:
    return StorePart(name, VIEWS, 1 if name in "abc" else None, bounds.crashes > 0)


def _new_sender(number: int, bounds: Bounds) -> SenderPart:
    return SenderPart(SENDERS[number], VIEWS, bounds.operations[number], bounds.budget, bounds.clocks_ms[number])


@functools.cache
def _pull_of(target: int, source: int) -> str:
    """The request by which a next member asks a stable one for its ledgers."""
    view = VIEWS[CHANGING]
    fields = {"view": view.to_json(), "member": STORES[target], "after": "", "most": 500}
    return json.dumps(wire.request(wire.PULL_LEDGERS, view, STORES[source], **fields))


def _copy_is_whole(target: str, unread: int) -> bool:
    """What `replica_sync` says with so many sources unread."""
    part = StorePart(target, VIEWS, CHANGING, True)
    return replica_sync.has_read_enough_sources(VIEWS[CHANGING], unread, part._store.replica_count)


def _may_finish(synced: frozenset[int]) -> bool:
    """Whether `reconfiguration` takes the change for finished when these have reported their copies whole."""
    peers = PeerTable()
    for number, name in enumerate(STORES):
        epoch = CHANGING if number in synced else 1
        peers.peers[name] = _peer(name, epoch)
    observation = ClusterObservation(_peer("planner", 0), peers, REPLICA_COUNT, 0.0, 0.0, 0.0)
    return _have_all_synced({name: f"{name}:1" for name in VIEWS[CHANGING].next_ids}, CHANGING, observation)


def _peer(name: str, synced_epoch: int) -> Peer:
    return Peer(
        id=name,
        name=name,
        address=f"{name}:1",
        serves_control=True,
        serves_store=name != "planner",
        version=1,
        synced_epoch=synced_epoch,
        is_leaving=False,
        is_bootstrap=False,
        has_list_failed=False,
        last_received_s=0.0,
    )


def _covers(stages: Stages, floor: Stages) -> bool:
    return all(one >= least for one, least in zip(stages, floor, strict=True))
