"""The model of a retirement: four stores of which d is retired, copies in any order, a store that loses its disk at any
moment and comes back as another incarnation, drivers that were just started.

Changes come from the real `next_change` and `system_state`, the end of a copy from the real
`has_read_enough_sources`, the replicas of a key from the real `StoreView`. There is one record; a write is one step,
under the present view or the one before it.
"""

from __future__ import annotations

import functools
import itertools
import json
from collections.abc import Iterator
from typing import Any, NamedTuple

from dewpin.cluster.store_view import StoreView
from dewpin.consensus import majority_of
from dewpin.controlplane.membership.cluster_observation import REMOVAL_TIMEOUT_S, ClusterObservation
from dewpin.controlplane.membership.peers import ALIVE_WITHIN_S, PeerDescription, PeerTable
from dewpin.controlplane.membership.reconfiguration import next_change
from dewpin.controlplane.register.system_state import initial_state, set_initial_stores, start_retirement, successor
from dewpin.controlplane.store import replica_sync
from tests.model.explorer import Label

STORES = "abcd"
RETIRED = "d"
MEMBERS = "mno"
"""The register's members, on machines without stores; m drives."""
REPLICA_COUNT = 3
NOW_S, KNOWN_S, RETURNED_S = 1000.0, 945.0, 998.0
"""The present, since when all that is not new has been heard, and when a wiped store is heard again."""
HERE, SILENT, GONE, RETURNED = range(4)
"""What the others know of the store that lost its disk."""
EPOCH = 2
"""Stands for the present one, whatever its number."""
SILENT_S = {SILENT: ALIVE_WITHIN_S + 0.2, GONE: REMOVAL_TIMEOUT_S + 10, RETURNED: ALIVE_WITHIN_S + 2}


class World(NamedTuple):
    """A state. `system` and `before`: the system state, and the view before its view, as texts; `moved`: stores that
    have taken the present view; `synced`: those whose copy for it is whole, `copied`: (target, source) pairs of the
    others' copies; `holders`: incarnations that have written the record.

    Nothing hangs on how many changes there were, so version and epochs are always the same numbers; `before` and
    `moved` matter to writes alone and are empty once the record is acknowledged."""

    system: str
    before: str
    moved: frozenset[str]
    synced: frozenset[str]
    copied: frozenset[tuple[str, str]]
    holders: frozenset[str]
    acknowledged: bool
    wiped: str
    fate: int


class RetirementModel:
    """Explores the retirement of d; `key`: of the record."""

    def __init__(self, key: str) -> None:
        self._key = key
        self._after_change = functools.cache(_after_change)  # not shared: tests change what it calls

    def initial(self) -> World:
        """Four stores, one of them to be retired."""
        state = initial_state({one: f"{one}:1" for one in MEMBERS}, {one: f"machine-{one}" for one in MEMBERS})
        stores = {one: f"{one}:1" for one in STORES}
        state = set_initial_stores(stores, {one: f"machine-{one}" for one in STORES})(state)
        state = start_retirement(f"machine-{RETIRED}", REPLICA_COUNT)(successor(state))
        nothing: frozenset[Any] = frozenset()
        text = _system_text(state)
        return World(text, _text(json.loads(text)["stores"]), nothing, nothing, nothing, nothing, False, "", HERE)

    def fault(self, state: World) -> str | None:
        """A record that was acknowledged is on too few stores, or on the store alone that was let go. A store that lost
        its disk counts as a holder among the others, as long as the view has it."""
        if not state.acknowledged:
            return None
        system = json.loads(state.system)
        replicas = _view(_text(system["stores"])).stable_replicas(self._key, REPLICA_COUNT)
        if len(replicas & state.holders) < majority_of(replicas):
            return f"{sorted(state.holders)} hold the record, of the replicas {sorted(replicas)}"
        in_view = {*system["stores"]["stable"], *(system["stores"]["next"] or {})}
        if RETIRED not in in_view and not (state.holders & in_view) - {state.wiped}:
            return f"only the store that was let go holds the record: {sorted(state.holders)}"
        if system["retired"] and RETIRED in in_view:
            return "the retirement is done, and the store is in the view"
        return None

    def steps(self, state: World) -> Iterator[tuple[Label, World]]:
        """A driver makes the due change, the record is written, stores copy, one loses its disk and comes back."""
        for is_new in (False, True):
            following = self._after_change(state.system, state.synced, state.wiped, state.fate, is_new)
            if following is not None:
                yield ("plans", "a new driver" if is_new else "the driver"), self._moved(state, following)
        if not state.acknowledged:
            yield from self._writes(state)
        yield from self._copies(state)
        yield from self._losses(state)

    def _moved(self, state: World, following: str) -> World:
        before, after = (json.loads(text)["stores"] for text in (state.system, following))
        if before == after:
            return state._replace(system=following)
        nothing: frozenset[Any] = frozenset()
        old = "" if state.acknowledged else _text({**before, "epoch": EPOCH - 1})
        return state._replace(system=following, before=old, moved=nothing, synced=nothing, copied=nothing)

    def _writes(self, state: World) -> Iterator[tuple[Label, World]]:
        present = _text(json.loads(state.system)["stores"])
        for text in {present, state.before}:
            view = _view(text)
            sets = view.write_sets(self._key, REPLICA_COUNT)
            for majorities in itertools.product(*(itertools.combinations(sorted(s), majority_of(s)) for s in sets)):
                stores = frozenset(itertools.chain(*majorities))
                if state.wiped in stores or (text != present and stores & state.moved):
                    continue
                after = state._replace(before="", moved=frozenset(), holders=state.holders | stores, acknowledged=True)
                yield ("writes", *sorted(stores), f"epoch {view.epoch}"), after

    def _copies(self, state: World) -> Iterator[tuple[Label, World]]:
        view = _view(_text(json.loads(state.system)["stores"]))
        for target, source in itertools.product(view.next_ids, view.stable_ids):
            is_done = (target, source) in state.copied or target in state.synced
            if target == source or is_done or state.wiped in (target, source):
                continue
            holders, copied, synced = state.holders, state.copied | {(target, source)}, state.synced
            if source in holders and target in view.next_replicas(self._key, REPLICA_COUNT):
                holders = holders | {target}
            sources = [one for one in view.stable_ids if one != target]
            if _is_complete(view, sum((target, one) not in copied for one in sources)):
                synced, copied = synced | {target}, frozenset(pair for pair in copied if pair[0] != target)
            moved = state.moved if state.acknowledged else state.moved | {target, source}
            after = state._replace(moved=moved, synced=synced, copied=copied, holders=holders)
            yield ("copy", source, "to", target), after

    def _losses(self, state: World) -> Iterator[tuple[Label, World]]:
        if not state.wiped:
            for store in STORES:
                yield ("wipe", store), state._replace(wiped=store, fate=SILENT)
        if state.fate == SILENT:
            yield ("is gone for long", state.wiped), state._replace(fate=GONE)
        if state.fate in (SILENT, GONE):
            yield ("comes back", state.wiped.upper()), state._replace(fate=RETURNED)


def keys() -> dict[str, str]:
    """A key for each set of replicas among the first stores."""
    view = StoreView.from_json({"epoch": 1, "stable": {one: f"{one}:1" for one in STORES}, "next": None})
    found: dict[str, str] = {}
    for number in range(100):
        found.setdefault("".join(sorted(view.stable_replicas(f"key {number}", REPLICA_COUNT))), f"key {number}")
    return found


def _after_change(system: str, synced: frozenset[str], wiped: str, fate: int, is_new: bool) -> str | None:
    """The system state after the change that is due, by what a driver knows; `is_new`: it was started just now."""
    state = json.loads(system)
    change = next_change(state, _observation(dict.fromkeys(synced, state["stores"]["epoch"]), wiped, fate, is_new))
    return None if change is None else _system_text(change(state))


def _observation(synced: dict[str, int], wiped: str, fate: int, is_new: bool) -> ClusterObservation:
    peers, live = PeerTable(), [one for one in STORES if one != wiped]
    if not is_new:
        _hear(peers, [*MEMBERS, *STORES], synced, KNOWN_S)
        if wiped:
            _hear(peers, [wiped], synced, NOW_S - SILENT_S[fate])
    if fate == RETURNED:
        live.append(wiped.upper())
        if not is_new:
            _hear(peers, live[-1:], synced, RETURNED_S)
    _hear(peers, [*MEMBERS, *live], synced, NOW_S)
    me = peers.peers.pop("m")
    since_s = NOW_S - ALIVE_WITHIN_S if is_new else 0.0
    return ClusterObservation(me, peers, REPLICA_COUNT, since_s, NOW_S, since_s)


def _hear(peers: PeerTable, names: list[str], synced: dict[str, int], now_s: float) -> None:
    for one in names:
        name, is_member = f"machine-{one.lower()}", one in MEMBERS
        epoch, address = synced.get(one, 0), f"{one.lower()}:1"
        description = PeerDescription(
            id=one,
            name=name,
            address=address,
            serves_control=is_member,
            serves_store=not is_member,
            version=1,
            synced_epoch=epoch,
            is_leaving=False,
            is_bootstrap=False,
            has_list_failed=False,
        )
        peers.record_received(description, now_s)


@functools.cache
def _view(text: str) -> StoreView:
    return StoreView.from_json(json.loads(text))


def _is_complete(view: StoreView, unread: int) -> bool:
    """What `replica_sync` says with so many sources unread."""
    return replica_sync.has_read_enough_sources(view, unread, REPLICA_COUNT)


def _system_text(state: Any) -> str:
    return _text({**state, "version": 0, "stores": {**state["stores"], "epoch": EPOCH}})


def _text(value: Any) -> str:
    return json.dumps(value, sort_keys=True)
