"""Models a retirement: four stores of which d is retired, copies in any order, a store that loses its disk at any
moment and returns as another incarnation, and planners that may have just started.

Changes come from the real `next_change` and `system_state`, the completion of a copy from the real
`has_read_enough_sources`, the replicas of a key from the real `StoreView`. There is one record; a write is one step,
under the current view or the previous one.
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
"""The register's members, on machines without stores; m plans the changes."""
REPLICA_COUNT = 3
NOW_S, FIRST_HEARD_S, RETURNED_S = 1000.0, 945.0, 998.0
"""The current time, the time of the first heartbeats from old peers, and that from a returned store."""
PRESENT, SILENT, GONE, RETURNED = range(4)
"""The status of the store that lost its disk, as known to the others."""
EPOCH = 2
"""Represents the current epoch, whatever its number."""
SILENT_S = {SILENT: ALIVE_WITHIN_S + 0.2, GONE: REMOVAL_TIMEOUT_S + 10, RETURNED: ALIVE_WITHIN_S + 2}


class ModelState(NamedTuple):
    """A state. `system` and `previous_view`: the system state, and the view before its view, as JSON; `adopted`: stores
    that have adopted the current view; `synced`: those whose copy for it is complete; `copied`: (target, source) pairs
    of incomplete copies; `holders`: incarnations that have written the record.

    Behaviour does not depend on the number of changes, so version and epochs are constant; `previous_view` and
    `adopted` affect writes only and are empty once the record is acknowledged."""

    system: str
    previous_view: str
    adopted: frozenset[str]
    synced: frozenset[str]
    copied: frozenset[tuple[str, str]]
    holders: frozenset[str]
    acknowledged: bool
    wiped: str
    wiped_status: int


class RetirementModel:
    """Explores the retirement of d with a record of the given key."""

    def __init__(self, key: str) -> None:
        self._key = key
        self._after_change = functools.cache(_after_change)  # one cache per model, as tests patch what it calls

    def initial(self) -> ModelState:
        """Four stores and a started retirement of one of them."""
        state = initial_state({one: f"{one}:1" for one in MEMBERS}, {one: f"machine-{one}" for one in MEMBERS})
        stores = {one: f"{one}:1" for one in STORES}
        state = set_initial_stores(stores, {one: f"machine-{one}" for one in STORES})(state)
        state = start_retirement(f"machine-{RETIRED}", REPLICA_COUNT)(successor(state))
        nothing: frozenset[Any] = frozenset()
        text = _system_text(state)
        return ModelState(
            text, _text(json.loads(text)["stores"]), nothing, nothing, nothing, nothing, False, "", PRESENT
        )

    def fault(self, state: ModelState) -> str | None:
        """An acknowledged record is on too few stores, or only on the retired store after it left the view. A store
        that lost its disk counts as a holder among the replicas, as long as it is in the view."""
        if not state.acknowledged:
            return None
        system = json.loads(state.system)
        replicas = _view(_text(system["stores"])).stable_replicas(self._key, REPLICA_COUNT)
        if len(replicas & state.holders) < majority_of(replicas):
            return f"{sorted(state.holders)} hold the record, of the replicas {sorted(replicas)}"
        in_view = {*system["stores"]["stable"], *(system["stores"]["next"] or {})}
        if RETIRED not in in_view and not (state.holders & in_view) - {state.wiped}:
            return f"only the retired store holds the record: {sorted(state.holders)}"
        if system["retired"] and RETIRED in in_view:
            return "the retirement is done, but the store is still in the view"
        return None

    def steps(self, state: ModelState) -> Iterator[tuple[Label, ModelState]]:
        """The planner makes the due change, the record is written, stores copy, one loses its disk and returns."""
        for is_new in (False, True):
            following = self._after_change(state.system, state.synced, state.wiped, state.wiped_status, is_new)
            if following is not None:
                yield ("plans", "a new driver" if is_new else "the driver"), self._after_plan(state, following)
        if not state.acknowledged:
            yield from self._writes(state)
        yield from self._copies(state)
        yield from self._losses(state)

    def _after_plan(self, state: ModelState, following: str) -> ModelState:
        previous_view, after = (json.loads(text)["stores"] for text in (state.system, following))
        if previous_view == after:
            return state._replace(system=following)
        nothing: frozenset[Any] = frozenset()
        old = "" if state.acknowledged else _text({**previous_view, "epoch": EPOCH - 1})
        return state._replace(system=following, previous_view=old, adopted=nothing, synced=nothing, copied=nothing)

    def _writes(self, state: ModelState) -> Iterator[tuple[Label, ModelState]]:
        present = _text(json.loads(state.system)["stores"])
        for text in {present, state.previous_view}:
            view = _view(text)
            sets = view.write_sets(self._key, REPLICA_COUNT)
            for majorities in itertools.product(*(itertools.combinations(sorted(s), majority_of(s)) for s in sets)):
                stores = frozenset(itertools.chain(*majorities))
                if state.wiped in stores or (text != present and stores & state.adopted):
                    continue
                after = state._replace(
                    previous_view="", adopted=frozenset(), holders=state.holders | stores, acknowledged=True
                )
                yield ("writes", *sorted(stores), f"epoch {view.epoch}"), after

    def _copies(self, state: ModelState) -> Iterator[tuple[Label, ModelState]]:
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
            adopted = state.adopted if state.acknowledged else state.adopted | {target, source}
            after = state._replace(adopted=adopted, synced=synced, copied=copied, holders=holders)
            yield ("copy", source, "to", target), after

    def _losses(self, state: ModelState) -> Iterator[tuple[Label, ModelState]]:
        if not state.wiped:
            for store in STORES:
                yield ("wipe", store), state._replace(wiped=store, wiped_status=SILENT)
        if state.wiped_status == SILENT:
            yield ("is gone for long", state.wiped), state._replace(wiped_status=GONE)
        if state.wiped_status in (SILENT, GONE):
            yield ("comes back", state.wiped.upper()), state._replace(wiped_status=RETURNED)


def keys() -> dict[str, str]:
    """A key for each replica set among the initial stores."""
    view = StoreView.from_json({"epoch": 1, "stable": {one: f"{one}:1" for one in STORES}, "next": None})
    found: dict[str, str] = {}
    for number in range(100):
        found.setdefault("".join(sorted(view.stable_replicas(f"key {number}", REPLICA_COUNT))), f"key {number}")
    return found


def _after_change(system: str, synced: frozenset[str], wiped: str, wiped_status: int, is_new: bool) -> str | None:
    """The system state after the change that is due from a planner's observation; `is_new`: it has just started."""
    state = json.loads(system)
    change = next_change(
        state, _observation(dict.fromkeys(synced, state["stores"]["epoch"]), wiped, wiped_status, is_new)
    )
    return None if change is None else _system_text(change(state))


def _observation(synced: dict[str, int], wiped: str, wiped_status: int, is_new: bool) -> ClusterObservation:
    peers, live = PeerTable(), [one for one in STORES if one != wiped]
    if not is_new:
        _record_heartbeats(peers, [*MEMBERS, *STORES], synced, FIRST_HEARD_S)
        if wiped:
            _record_heartbeats(peers, [wiped], synced, NOW_S - SILENT_S[wiped_status])
    if wiped_status == RETURNED:
        live.append(wiped.upper())
        if not is_new:
            _record_heartbeats(peers, live[-1:], synced, RETURNED_S)
    _record_heartbeats(peers, [*MEMBERS, *live], synced, NOW_S)
    me = peers.peers.pop("m")
    since_s = NOW_S - ALIVE_WITHIN_S if is_new else 0.0
    return ClusterObservation(me, peers, REPLICA_COUNT, since_s, NOW_S, since_s)


def _record_heartbeats(peers: PeerTable, names: list[str], synced: dict[str, int], now_s: float) -> None:
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
    """Whether `replica_sync` considers a copy complete with this number of unread sources."""
    return replica_sync.has_read_enough_sources(view, unread, REPLICA_COUNT)


def _system_text(state: Any) -> str:
    return _text({**state, "version": 0, "stores": {**state["stores"], "epoch": EPOCH}})


def _text(value: Any) -> str:
    return json.dumps(value, sort_keys=True)
