"""The model of budget ledgers through a change of the stores: three stores, a newcomer, senders with prepared ballots.

The network is the set of all requests ever sent, so that any may come late, twice, out of turn or never; an answer comes
when its request is handled, or is lost. Steps are left out where others stand for them:

- a promise that nobody hears of or waits for any more: it only keeps older ballots out, as the loss of those does;
- a lost answer to an accept that would not have ended the ballot: the loss of a later one stands for it;
- a store or sender that takes a newer view before it has a use for it: until then it refuses, as if messages were lost.
"""

from __future__ import annotations

import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

from dewpin.cluster import store_messages as wire
from dewpin.cluster.store_view import StoreView
from dewpin.controlplane.peers import Peer, PeerTable
from dewpin.controlplane.reconfiguration import Knowledge, _all_synced
from dewpin.controlplane.sync import _Copy
from tests.model.component import Component, Interned
from tests.model.explorer import Label
from tests.model.ledger_parts import REPLICA_COUNT, Operation, SenderFingerprint, SenderPart, StorePart, ballot_of, members

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
    `epochs`: under which views the n-th ballot of any sender may be begun (the last entry goes for all later ones)."""

    operations: tuple[tuple[Operation, ...], ...]
    budget: int
    ballots: tuple[int, ...]
    clocks_ms: tuple[int, ...]
    epochs: tuple[tuple[int, ...], ...] = ((1, 2, 3),)
    crashes: int = 0
    hears_conflicts: bool = False


class World(NamedTuple):
    """A state. `copied`: (target, source) pairs whose ledgers were merged; `reads`: values that senders were told."""

    stores: tuple[int, ...]
    senders: tuple[int, ...]
    epoch: int
    requests: frozenset[int]
    copied: frozenset[tuple[int, int]]
    floors: tuple[Stages, ...]
    reads: frozenset[Stages]
    crashes: int
    fault: str | None


class LedgerModel:
    """Explores the real stores and senders within `bounds`."""

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds
        self._stores = [
            Component(lambda name=name: StorePart(name, VIEWS, 1 if name in "abc" else None, bounds.crashes > 0)) for name in STORES
        ]
        self._senders = [
            Component(
                lambda number=number: SenderPart(
                    SENDERS[number],
                    VIEWS,
                    bounds.operations[number],
                    bounds.budget,
                    bounds.clocks_ms[number],
                )
            )
            for number in range(len(bounds.operations))
        ]
        self._messages = Interned()
        self._about: dict[int, tuple[int, int, Any, bool, int]] = {}
        self._turns = sorted({turn for script in bounds.operations for kind, turn, _ in script if kind == "reserve"})
        self._used = {turn: used for script in bounds.operations for kind, turn, used in script if kind == "settle"}
        self._whole: dict[frozenset[int], bool] = {}

    def initial(self) -> World:
        """Three stores of the first view that hold nothing, senders that have sent nothing."""
        nothing = (0,) * len(self._turns)
        floors = (nothing,) * len(self._senders)
        senders = (0,) * len(self._senders)
        epoch = CHANGING if max(max(epochs) for epochs in self._bounds.epochs) > 1 else 1
        return World((0,) * len(STORES), senders, epoch, frozenset(), frozenset(), floors, frozenset(), 0, None)

    def fault(self, state: World) -> str | None:
        """The property that was broken by the step that led here."""
        return state.fault

    def steps(self, state: World) -> Iterator[tuple[Label, World]]:
        """Senders act, requests are handled, the view changes, stores copy and crash."""
        yield from self._sender_steps(state)
        yield from self._request_steps(state)
        yield from self._view_steps(state)
        yield from self._copy_steps(state)
        if state.crashes < self._bounds.crashes:
            for store in range(len(STORES)):
                copied = frozenset(pair for pair in state.copied if pair[0] != store)
                after = self._store_step(state, store, ("crash",))[0]
                yield ("crash", STORES[store]), after._replace(crashes=state.crashes + 1, copied=copied)

    # Senders

    def _sender_steps(self, state: World) -> Iterator[tuple[Label, World]]:
        for sender, number in enumerate(state.senders):
            at = self._senders[sender].fingerprint(number)
            if at.ballots >= self._bounds.ballots[sender]:
                continue
            name = SENDERS[sender]
            for epoch in self._epochs_of_next_ballot(at, state):
                if at.ballot is not None and epoch == at.epoch:
                    yield ("gives up", name, at.ballot), self._sender_step(state, sender, ("give_up",))
                elif at.ballot is not None:
                    yield ("moves on", name, f"epoch {epoch}"), self._sender_step(state, sender, ("move", epoch))
                elif at.done < len(self._bounds.operations[sender]):
                    floors = (*state.floors[:sender], self._floor(state), *state.floors[sender + 1 :])
                    begun = state._replace(floors=floors)
                    label = ("begins", name, *self._bounds.operations[sender][at.done], f"epoch {epoch}")
                    yield label, self._sender_step(begun, sender, ("begin", epoch))

    def _epochs_of_next_ballot(self, at: SenderFingerprint, state: World) -> list[int]:
        allowed = self._bounds.epochs[min(at.ballots, len(self._bounds.epochs) - 1)]
        return [epoch for epoch in allowed if at.epoch <= epoch <= state.epoch]

    def _sender_step(self, state: World, sender: int, event: tuple[Any, ...]) -> World:
        number, (texts, ended) = self._senders[sender].step(state.senders[sender], event)
        senders = (*state.senders[:sender], number, *state.senders[sender + 1 :])
        sent = frozenset(self._request_number(sender, text) for text in texts)
        after = state._replace(senders=senders, requests=state.requests | sent)
        if ended is not None:
            after = self._after_result(after, sender, *ended)
        return self._without_spent_requests(after)

    def _request_number(self, sender: int, text: str) -> int:
        number = self._messages.number(text)
        if number not in self._about:
            message = json.loads(text)
            is_prepare = message["type"] == wire.LEDGER_PREPARE
            store = STORES.index(message["to"])
            self._about[number] = (sender, store, ballot_of(message), is_prepare, message["epoch"])
        return number

    def _without_spent_requests(self, state: World) -> World:
        """Leaves out requests that can have no effect any more."""
        kept = frozenset(number for number in state.requests if not self._is_spent(state, number))
        return state if len(kept) == len(state.requests) else state._replace(requests=kept)

    def _is_spent(self, state: World, number: int) -> bool:
        sender, store, ballot, is_prepare, epoch = self._about[number]
        held = self._stores[store].fingerprint(state.stores[store])
        kept_epoch = held.durable_epoch if state.crashes < self._bounds.crashes else held.epoch
        if kept_epoch > epoch:
            return True
        waiting = self._senders[sender].fingerprint(state.senders[sender])
        if is_prepare:
            return waiting.ballot != ballot or waiting.is_accepting or held.promised >= ballot
        return held.promised > ballot and (waiting.ballot != ballot or not self._bounds.hears_conflicts)

    # Results

    def _after_result(self, state: World, sender: int, ended: str, value_text: str) -> World:
        value = json.loads(value_text)
        stages = self._stages(value)
        reads = state.reads | {stages}
        return state._replace(reads=reads, fault=self._fault_of(state, sender, ended, value, stages))

    def _stages(self, value: Any) -> Stages:
        spent, reserved = (0, {}) if value is None else (value["spent"], value["open"])
        settled = {turn for turn in self._turns if spent & self._used.get(turn, 0)}
        return tuple(2 if turn in settled else int(turn in reserved) for turn in self._turns)

    def _fault_of(self, state: World, sender: int, ended: str, value: Any, stages: Stages) -> str | None:
        if not _covers(stages, state.floors[sender]):
            return f"lost: {stages} was read after {state.floors[sender]} was told"
        for other in state.reads:
            if not _covers(stages, other) and not _covers(other, stages):
                return f"two histories: {stages} and {other}"
        if value is not None and value["spent"] + sum(value["open"].values()) > self._bounds.budget:
            return f"over the budget: {value}"
        return self._fault_of_operation(state, sender, ended, stages)

    def _fault_of_operation(self, state: World, sender: int, ended: str, stages: Stages) -> str | None:
        done = self._senders[sender].fingerprint(state.senders[sender]).done
        kind, turn, _ = self._bounds.operations[sender][done - 1]
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

    # Requests

    def _request_steps(self, state: World) -> Iterator[tuple[Label, World]]:
        for number in state.requests:
            sender, store, ballot, is_prepare, epoch = self._about[number]
            handled, answer = self._store_step(state, store, ("request", self._messages.values[number]))
            if answer is None:
                continue
            label = ("prepare" if is_prepare else "accept", ballot, STORES[store], f"epoch {epoch}")
            waiting = self._senders[sender].fingerprint(state.senders[sender])
            is_conflict = "conflict" in answer
            ends = True
            if waiting.ballot == ballot and not (is_conflict and not self._may_hear_conflict(waiting, sender)):
                heard = self._sender_step(handled, sender, ("reply", STORES[store], answer))
                ends = self._senders[sender].fingerprint(heard.senders[sender]).ballot != ballot
                yield (*label, "refused" if is_conflict else "answered"), heard
            if not is_prepare and ends and handled is not state:
                yield (*label, "answer lost"), self._without_spent_requests(handled)

    def _may_hear_conflict(self, waiting: SenderFingerprint, sender: int) -> bool:
        """Whether a refusal may come within the bounds: the sender begins another ballot then."""
        return self._bounds.hears_conflicts and waiting.ballots < self._bounds.ballots[sender]

    def _store_step(self, state: World, store: int, event: tuple[Any, ...]) -> tuple[World, Any]:
        number, output = self._stores[store].step(state.stores[store], event)
        if number == state.stores[store]:
            return state, output
        return state._replace(stores=(*state.stores[:store], number, *state.stores[store + 1 :])), output

    # The change of the view

    def _view_steps(self, state: World) -> Iterator[tuple[Label, World]]:
        if state.epoch == CHANGING and self._all_synced(state):
            yield ("the change ends",), state._replace(epoch=CHANGING + 1)

    def _copy_steps(self, state: World) -> Iterator[tuple[Label, World]]:
        """A next member makes the view durable, and merges what a stable member answers."""
        view = VIEWS[CHANGING]
        for target in view.next_ids:
            target_number = STORES.index(target)
            epoch = self._stores[target_number].fingerprint(state.stores[target_number]).epoch
            if epoch > CHANGING or state.epoch < CHANGING or self._is_whole(state, target_number):
                continue
            for source in view.stable_ids:
                pair = (target_number, STORES.index(source))
                if source != target and pair not in state.copied:
                    yield from self._copy_step(state, target_number, pair[1])

    def _copy_step(self, state: World, target: int, source: int) -> Iterator[tuple[Label, World]]:
        view = VIEWS[CHANGING]
        pull = wire.request(
            wire.PULL_LEDGERS, view, STORES[source], view=view.to_json(), member=STORES[target], after="", most=500
        )
        adopted, _ = self._store_step(state, target, ("adopt", CHANGING))
        durable, _ = self._store_step(adopted, target, ("copying",))
        answered, answer = self._store_step(durable, source, ("pull", json.dumps(pull)))
        if answer is None:
            return
        records = json.dumps(json.loads(answer)["ledgers"])
        merged, _ = self._store_step(answered, target, ("merge", records))
        after = merged._replace(copied=merged.copied | {(target, source)})
        yield ("copy", STORES[source], "to", STORES[target]), self._without_spent_requests(after)

    def _all_synced(self, state: World) -> bool:
        """Whether the planner's rule lets the change end, by the copies that the rule of the copy calls whole."""
        synced = frozenset(target for target in range(len(STORES)) if self._is_whole(state, target))
        if synced not in self._whole:
            self._whole[synced] = _may_finish(synced)
        return self._whole[synced]

    def _is_whole(self, state: World, target: int) -> bool:
        view = VIEWS[CHANGING]
        if STORES[target] not in view.next_ids:
            return False
        sources = [member for member in view.stable if member.id != STORES[target]]
        unread = len(sources) - sum(1 for pair in state.copied if pair[0] == target)
        return _copy_is_whole(STORES[target], unread)


_known_whole: dict[tuple[str, int], bool] = {}


def _copy_is_whole(target: str, unread: int) -> bool:
    """What `_Copy` says with so many sources unread."""
    key = (target, unread)
    if key not in _known_whole:
        part = StorePart(target, VIEWS, CHANGING, True)
        copy = _Copy(part._store, None, VIEWS[CHANGING])
        copy._unread = unread
        copy._check_whole()
        _known_whole[key] = copy._whole.is_set()
    return _known_whole[key]


def _may_finish(synced: frozenset[int]) -> bool:
    """Whether `reconfiguration` takes the change for finished when these have reported their copies whole."""
    peers = PeerTable()
    for number, name in enumerate(STORES):
        epoch = CHANGING if number in synced else 1
        peer = Peer(name, name, f"{name}:1", True, True, 1, epoch, False, False, False, last_heard_s=0.0)
        peers.peers[name] = peer
    me = Peer("planner", "planner", "planner:1", True, False, 1, 0, False, False, False, last_heard_s=0.0)
    knowledge = Knowledge(me, peers, REPLICA_COUNT, 0.0, 0.0)
    return _all_synced({name: f"{name}:1" for name in VIEWS[CHANGING].next_ids}, CHANGING, knowledge)


def _covers(stages: Stages, floor: Stages) -> bool:
    return all(one >= least for one, least in zip(stages, floor, strict=True))
