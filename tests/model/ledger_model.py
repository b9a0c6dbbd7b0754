"""Models budget ledgers during a change of the stores: three stores, a new one, senders with prepared ballots.

A store or sender adopts a newer view when it first needs it. Until then it rejects requests, as if messages were lost.

Indistinguishable states are merged by reducing the recorded progress of copies:

- a complete copy is recorded as complete, not by the sources that were read: it reads no further source, and nothing
  else depends on its sources;
- if no ballot may begin after the change, nothing is recorded: the progress of copies determines only when the change
  ends. A store may then copy a source repeatedly, which includes more than the real behaviour of once per process.
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
from tests.model.quorum_model import QuorumModel, Reply, Request

STORES = "abcd"
SENDERS = "pqr"
CHANGING = 2
VIEWS = {
    1: StoreView(1, members("abc")),
    CHANGING: StoreView(CHANGING, members("abc"), members("abd")),
    3: StoreView(3, members("abd")),
}
Stages = tuple[int, ...]
"""For each turn 0 (unknown), 1 (reserved) or 2 (settled)."""


@dataclass(frozen=True)
class Bounds:
    """The senders' operations and the limits of the model. `clocks_ms`: determine whose first ballot is greater;
    `epochs`: in which epochs the n-th ballot of any sender may begin (the last entry applies to all later ones);
    `epochs_by_sender`: the same for each sender; `reserved_at`: the stores that have accepted the first sender's first
    operation in the initial state, while accepts to other stores may still arrive; `crashes`: maximum number;
    `delivers_conflicts`: senders may get conflict replies; `late_replies`: replies may be delayed."""

    operations: tuple[tuple[Operation, ...], ...]
    budget: int
    ballots: tuple[int, ...]
    clocks_ms: tuple[int, ...]
    epochs: tuple[tuple[int, ...], ...] = ((1, 2, 3),)
    epochs_by_sender: tuple[tuple[tuple[int, ...], ...], ...] = ()
    reserved_at: str = ""
    crashes: int = 0
    delivers_conflicts: bool = False
    late_replies: bool = False


class ModelState(NamedTuple):
    """A state. `parts`: the stores, then the senders; `copied`: (target, source) pairs whose ledgers were merged;
    `floors`: by sender, the stages that the result of its operation must include; `reads`: results of senders."""

    parts: tuple[int, ...]
    epoch: int
    requests: frozenset[int]
    copied: frozenset[tuple[int, int]]
    floors: tuple[Stages, ...]
    reads: frozenset[Stages]
    crashes: int
    fault: str | None
    replies: frozenset[Reply] = frozenset()


class LedgerModel(QuorumModel):
    """Explores the real stores and senders within `bounds`."""

    def __init__(self, bounds: Bounds) -> None:
        stores = [Component(functools.partial(_new_store, name, bounds)) for name in STORES]
        numbers = range(len(bounds.operations))
        senders = [Component(functools.partial(_new_sender, number, bounds)) for number in numbers]
        self._senders = [len(stores) + number for number in numbers]
        max_ballots = dict(zip(self._senders, bounds.ballots, strict=True))
        super().__init__([*stores, *senders], max_ballots, bounds.delivers_conflicts, late_replies=bounds.late_replies)
        self._bounds = bounds
        self._turns = sorted({turn for script in bounds.operations for kind, turn, _ in script if kind == "reserve"})
        self._used = {turn: used for script in bounds.operations for kind, turn, used in script if kind == "settle"}
        self._may_finish_change: dict[frozenset[int], bool] = {}
        self._copy_is_complete: dict[tuple[int, int], bool] = {}

    def initial(self) -> ModelState:
        """Three empty stores in the first view and idle senders."""
        floors = ((0,) * len(self._turns),) * len(self._senders)
        epoch = CHANGING if self._last_epoch() > 1 else 1
        state = ModelState((0,) * len(self.parts), epoch, frozenset(), frozenset(), floors, frozenset(), 0, None)
        return self._after_first_operation(state) if self._bounds.reserved_at else state

    def _last_epoch(self) -> int:
        every = (self._bounds.epochs,) if not self._bounds.epochs_by_sender else self._bounds.epochs_by_sender
        return max(epoch for ballots in every for epochs in ballots for epoch in epochs)

    def _after_first_operation(self, state: ModelState) -> ModelState:
        """The state after the first sender's first operation was handled by the stores of `reserved_at` only."""
        sender = self._senders[0]
        state = self.sender_step(state, sender, ("begin", 1))
        while self.fingerprint_of(state, sender).ballot is not None:
            requests = {self._requests[number].member: number for number in sorted(state.requests)}
            for store in self._bounds.reserved_at:
                state, reply = self.part_step(
                    state, STORES.index(store), ("request", self._requests[requests[store]].text)
                )
                state = self.sender_step(state, sender, ("reply", store, reply))
        return state

    def fault(self, state: ModelState) -> str | None:
        """The property violated by the step that led here."""
        return state.fault

    def steps(self, state: ModelState) -> Iterator[tuple[Label, ModelState]]:
        """Senders begin ballots, requests are handled, the view changes, stores copy and crash."""
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

    def _sender_steps(self, state: ModelState) -> Iterator[tuple[Label, ModelState]]:
        for number, sender in enumerate(self._senders):
            current, name, operations = (
                self.fingerprint_of(state, sender),
                SENDERS[number],
                self._bounds.operations[number],
            )
            if current.ballots >= self._bounds.ballots[number]:
                continue
            for epoch in self._epochs_of_next_ballot(number, current, state):
                if current.ballot is not None and epoch == current.epoch:
                    if not current.is_accepting:
                        continue
                    yield ("gives up", name, *current.ballot), self.sender_step(state, sender, ("give_up",))
                elif current.ballot is not None:
                    yield ("moves on", name, f"epoch {epoch}"), self.sender_step(state, sender, ("move", epoch))
                elif current.completed < len(operations):
                    floors = (*state.floors[:number], self._floor(state), *state.floors[number + 1 :])
                    label = ("begins", name, *operations[current.completed], f"epoch {epoch}")
                    yield label, self.sender_step(state._replace(floors=floors), sender, ("begin", epoch))

    def _epochs_of_next_ballot(self, number: int, current: SenderFingerprint, state: ModelState) -> list[int]:
        by_sender = self._bounds.epochs_by_sender
        epochs = by_sender[number] if by_sender else self._bounds.epochs
        allowed = epochs[min(current.ballots, len(epochs) - 1)]
        return [epoch for epoch in allowed if current.epoch <= epoch <= state.epoch]

    def read_request(self, sender: int, text: str) -> Request:
        """Decodes a request to a store."""
        message = json.loads(text)
        is_prepare, member = message["type"] == wire.LEDGER_PREPARE, message["to"]
        ballot = Ballot(*message["ballot"])
        return Request(sender, STORES.index(member), member, ballot, is_prepare, message["epoch"], text)

    def is_rejected_permanently(self, request: Request, target: StoreFingerprint) -> bool:
        """Whether the store cannot return to the request's epoch."""
        return (target.durable_epoch if self._bounds.crashes else target.epoch) > request.epoch

    # Results

    def after_result(self, state: ModelState, sender: int, result: tuple[str, str]) -> ModelState:
        """Checks the result of a sender's operation."""
        ended, value = result[0], json.loads(result[1])
        stages = self._stages(value)
        fault = self._fault_of(state, sender - len(STORES), ended, value, stages)
        return state._replace(reads=state.reads | {stages}, fault=fault)

    def _stages(self, value: Any) -> Stages:
        spent, reserved = (0, {}) if value is None else (value["spent"], value["open"])
        settled = {turn for turn in self._turns if spent & self._used.get(turn, 0)}
        return tuple(2 if turn in settled else int(turn in reserved) for turn in self._turns)

    def _fault_of(self, state: ModelState, number: int, ended: str, value: Any, stages: Stages) -> str | None:
        if not _covers(stages, state.floors[number]):
            return f"lost: {stages} was returned after {state.floors[number]}"
        for other in state.reads:
            if not _covers(stages, other) and not _covers(other, stages):
                return f"two histories: {stages} and {other}"
        if value is not None and value["spent"] + sum(value["open"].values()) > self._bounds.budget:
            return f"over the budget: {value}"
        if value is not None and not self._is_settled_once(value, stages):
            return f"not settled exactly once: {value}"
        return self._fault_of_operation(state, number, ended, stages)

    def _is_settled_once(self, value: Any, stages: Stages) -> bool:
        """Whether the spent tokens are those of the settled turns, each once, and none of these is still open."""
        settled = [turn for turn, stage in zip(self._turns, stages, strict=True) if stage == 2]
        return value["spent"] == sum(self._used[turn] for turn in settled) and not set(settled) & set(value["open"])

    def _fault_of_operation(self, state: ModelState, number: int, ended: str, stages: Stages) -> str | None:
        completed = self.fingerprint_of(state, self._senders[number]).completed
        kind, turn, _ = self._bounds.operations[number][completed - 1]
        if kind == "read" or ended == "spent":
            return None
        wanted = 2 if kind == "settle" else 1
        if stages[self._turns.index(turn)] < wanted:
            return f"{kind} {turn} was acknowledged but is not in {stages}"
        return None

    def _floor(self, state: ModelState) -> Stages:
        """The stages that the result of any operation that begins now must include."""
        nothing = (0,) * len(self._turns)
        return tuple(max(stage) for stage in zip(nothing, *state.reads, strict=True))

    # The change of the view

    def _view_steps(self, state: ModelState) -> Iterator[tuple[Label, ModelState]]:
        if state.epoch == CHANGING and self._have_all_synced(state):
            yield ("the change ends",), state._replace(epoch=CHANGING + 1)

    def _copy_steps(self, state: ModelState) -> Iterator[tuple[Label, ModelState]]:
        """A member of the next view makes the view durable and merges the ledgers of a stable member."""
        view = VIEWS[CHANGING]
        for target in view.next_ids:
            target_number = STORES.index(target)
            epoch = self.fingerprint_of(state, target_number).epoch
            if epoch > CHANGING or state.epoch < CHANGING or self._is_copy_complete(state, target_number):
                continue
            for source in view.stable_ids:
                pair = (target_number, STORES.index(source))
                if source != target and pair not in state.copied:
                    yield from self._copy_step(state, target_number, pair[1])

    def _copy_step(self, state: ModelState, target: int, source: int) -> Iterator[tuple[Label, ModelState]]:
        durable, _ = self.part_step(state, target, ("copying", CHANGING))
        answered, records = self.part_step(durable, source, ("pull", _pull_request(target, source)))
        if records is None:
            return
        merged, _ = self.part_step(answered, target, ("merge", records))
        after = merged._replace(copied=self._record_copy(merged.copied, target, source))
        yield ("copy", STORES[source], "to", STORES[target]), self.prune_messages(after)

    def _record_copy(self, copied: frozenset[tuple[int, int]], target: int, source: int) -> frozenset[tuple[int, int]]:
        """The pairs with one more; the module's docstring says when they are not recorded."""
        if self._last_epoch() == CHANGING:
            return copied
        recorded = copied | {(target, source)}
        if not self._is_complete_after(target, sum(1 for pair in recorded if pair[0] == target)):
            return recorded
        sources = [STORES.index(source) for source in VIEWS[CHANGING].stable_ids]
        return recorded | {(target, source) for source in sources if source != target}

    def _have_all_synced(self, state: ModelState) -> bool:
        """Whether the planner's rule allows the change to end, given the copies that are complete by the rule of the
        copy."""
        synced = frozenset(target for target in range(len(STORES)) if self._is_copy_complete(state, target))
        if synced not in self._may_finish_change:
            self._may_finish_change[synced] = _may_finish_change(synced)
        return self._may_finish_change[synced]

    def _is_copy_complete(self, state: ModelState, target: int) -> bool:
        return self._is_complete_after(target, sum(1 for pair in state.copied if pair[0] == target))

    def _is_complete_after(self, target: int, read: int) -> bool:
        key = (target, read)
        if key not in self._copy_is_complete:
            self._copy_is_complete[key] = self._compute_copy_complete(*key)
        return self._copy_is_complete[key]

    def _compute_copy_complete(self, target: int, read: int) -> bool:
        view = VIEWS[CHANGING]
        if STORES[target] not in view.next_ids:
            return False
        sources = [member for member in view.stable if member.id != STORES[target]]
        return _copy_is_complete(STORES[target], len(sources) - read)


def _new_store(name: str, bounds: Bounds) -> StorePart:
    return StorePart(name, VIEWS, 1 if name in "abc" else None, bounds.crashes > 0)


def _new_sender(number: int, bounds: Bounds) -> SenderPart:
    return SenderPart(SENDERS[number], VIEWS, bounds.operations[number], bounds.budget, bounds.clocks_ms[number])


@functools.cache
def _pull_request(target: int, source: int) -> str:
    """The request of a member of the next view to a stable member for its ledgers."""
    view = VIEWS[CHANGING]
    fields = {"view": view.to_json(), "member": STORES[target], "after": "", "most": 500}
    return json.dumps(wire.request(wire.PULL_LEDGERS, view, STORES[source], **fields))


def _copy_is_complete(target: str, unread: int) -> bool:
    """Whether `replica_sync` considers the copy complete with this number of unread sources."""
    part = StorePart(target, VIEWS, CHANGING, True)
    return replica_sync.has_read_enough_sources(VIEWS[CHANGING], unread, part._store.replica_count)


def _may_finish_change(synced: frozenset[int]) -> bool:
    """Whether `reconfiguration` considers the change finished when these stores have reported complete copies."""
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
