"""Plans changes of the register's members and of the stores from the system state and observed liveness; no I/O.

These changes are made by one process at a time, the coordinator: the member with the smallest id among those that are
alive and in contact with a majority. Two concurrent coordinators cause at most a conflict, since every change applies
only to the version it was planned for. The silence of a process counts only while the local process has contact with a
majority, because a partitioned or frozen process receives no heartbeats at all.
"""

from __future__ import annotations

from collections.abc import Callable

from dewpin.cluster.placement import LocationCount
from dewpin.controlplane.membership.cluster_observation import REMOVAL_TIMEOUT_S, ClusterObservation
from dewpin.controlplane.membership.peers import Peer
from dewpin.controlplane.register.system_state import (
    Addresses,
    ChangeFunction,
    SystemState,
    finish_retirement,
    finish_store_change,
    is_membership_stable,
    require_version,
    set_initial_stores,
    set_members,
    start_store_change,
    successor,
)

INITIAL_STORES_WAIT_S = 3.0
"""The initial stores are set after this time even if fewer than the replica count have joined."""

_StateChange = Callable[[SystemState], SystemState]


def is_coordinator(state: SystemState, observation: ClusterObservation) -> bool:
    """Return whether this process currently coordinates reconfigurations."""
    candidates = [member for member in state["members"] if observation.may_coordinate(member)]
    return observation.local_peer.id == min(candidates, default=None)


def next_change(state: SystemState, observation: ClusterObservation) -> ChangeFunction | None:
    """Return the next due reconfiguration, which applies only to the version of `state`; None if none is due."""
    if not is_membership_stable(state):
        return require_version(state["version"], successor)
    change = (
        _member_change(state, observation)
        or _store_change(state, observation)
        or _finish_completed_retirement(state, observation)
    )
    return require_version(state["version"], change) if change is not None else None


def _join_candidates(state: SystemState, observation: ClusterObservation) -> list[Peer]:
    """Return the processes that are alive and may become members or stores, in ascending order of id."""
    candidates = [
        peer
        for peer in observation.all_peers()
        if observation.is_alive(peer.id)
        and not peer.is_leaving
        and peer.name not in state["retiring"]
        and peer.name not in state["retired"]
    ]
    return sorted(candidates, key=lambda peer: peer.id)


def _member_change(state: SystemState, observation: ClusterObservation) -> _StateChange | None:
    """Return the change that replaces a member to be removed or adds a missing member."""
    members = dict(state["members"])
    spares = [peer for peer in _join_candidates(state, observation) if peer.serves_control and peer.id not in members]
    for member in list(members):
        name = state["names"].get(member)
        timeout_s = observation.replacement_timeout_s(member)
        if not spares or not _must_be_removed(state, observation, member, name, timeout_s):
            continue
        del members[member]
        best_placed = _best_placed_spare(spares, members, observation)
        replacement = next((peer for peer in spares if peer.name == name), best_placed)
        members[replacement.id] = replacement.address
        return set_members(members, _peer_names(observation))
    if len(members) < observation.replica_count and spares:
        added = _best_placed_spare(spares, members, observation)
        members[added.id] = added.address
        return set_members(members, _peer_names(observation))
    return None


def _best_placed_spare(spares: list[Peer], members: Addresses, observation: ClusterObservation) -> Peer:
    """Return the spare whose region and zone have the fewest members, then the one with the fewest interruptions."""
    locations = _peer_locations(observation)
    location_count = LocationCount(locations.get(member, "") for member in members)
    now_s = observation.now_s
    return min(spares, key=lambda peer: (location_count.occupancy(peer.location), peer.interruptions(now_s), peer.id))


def _must_be_removed(
    state: SystemState, observation: ClusterObservation, peer_id: str, name: str | None, timeout_s: float
) -> bool:
    """Return whether a member or store has to be removed: replaced, retiring, or silent longer than `timeout_s`."""
    if observation.is_replaced(peer_id, name) or name in state["retiring"]:
        return True
    return observation.observed_silence_s(peer_id) > timeout_s


def _store_change(state: SystemState, observation: ClusterObservation) -> _StateChange | None:
    """Return the change to the target stores, or the completion of the one in progress once all have synced."""
    view = state["stores"]
    if not view["stable"]:
        return _initial_stores(state, observation)
    target = _target_stores(state, observation)
    current = view["next"] if view["next"] is not None else view["stable"]
    if target != current:
        return start_store_change(target, _peer_names(observation), _peer_locations(observation))
    if view["next"] is not None and _have_all_synced(view["next"], view["epoch"], observation):
        return finish_store_change
    return None


def _initial_stores(state: SystemState, observation: ClusterObservation) -> _StateChange | None:
    """Return the change that sets the initial stores: once enough have joined, or those present after the wait."""
    stores = {peer.id: peer.address for peer in _join_candidates(state, observation) if peer.serves_store}
    has_waited = observation.now_s - observation.started_at_s > INITIAL_STORES_WAIT_S
    if len(stores) >= observation.replica_count or (stores and has_waited):
        return set_initial_stores(stores, _peer_names(observation), _peer_locations(observation))
    return None


def _target_stores(state: SystemState, observation: ClusterObservation) -> Addresses:
    """Return the stores that should have the records: those remaining in the view and those joining."""
    view = state["stores"]
    in_view = {**view["stable"], **(view["next"] or {})}
    joining = {peer.id: peer.address for peer in _join_candidates(state, observation) if peer.serves_store}
    remaining = _remaining_stores(state, observation, in_view, joining)
    target = _sorted_union(remaining, joining)
    min_stores = min(observation.replica_count, len(view["stable"]))
    if len(target) < min_stores:
        target = _sorted_union(_stores_not_replaced(state, observation, in_view), joining)
    if len(target) < min_stores:  # a machine runs as a new incarnation that may not join yet
        target = _sorted_union(view["stable"], joining)
    return target


def _remaining_stores(
    state: SystemState, observation: ClusterObservation, in_view: Addresses, joining: Addresses
) -> Addresses:
    """Return the stores in the view that do not have to be removed."""
    has_replacement = any(store not in in_view for store in joining) or state["stores"]["next"] is not None
    departed = _departed_stores_with_replacement(state, observation, in_view)
    remaining: Addresses = {}
    for store, address in in_view.items():
        timeout_s = observation.replacement_timeout_s(store) if has_replacement else REMOVAL_TIMEOUT_S
        name = state["names"].get(store)
        if store not in departed and not _must_be_removed(state, observation, store, name, timeout_s):
            remaining[store] = address
    return remaining


def _departed_stores_with_replacement(
    state: SystemState, observation: ClusterObservation, in_view: Addresses
) -> set[str]:
    """Return stores that announced their shutdown and are silent, at most one per recently joined store in the view.

    In a planned replacement, the new store joins before the old one leaves.
    """
    replacements = [
        peer
        for peer in _join_candidates(state, observation)
        if peer.id in in_view and peer.serves_store and observation.has_joined_recently(peer)
    ]
    departed = sorted(store for store in in_view if observation.has_left(store))
    return set(departed[: len(replacements)])


def _stores_not_replaced(state: SystemState, observation: ClusterObservation, in_view: Addresses) -> Addresses:
    return {
        store: address
        for store, address in in_view.items()
        if not observation.is_replaced(store, state["names"].get(store))
    }


def _sorted_union(stores: Addresses, others: Addresses) -> Addresses:
    return dict(sorted({**stores, **others}.items()))


def _have_all_synced(stores: Addresses, epoch: int, observation: ClusterObservation) -> bool:
    """Return whether all these stores have copied the records for the epoch of the view."""
    synced_epochs = {peer.id: peer.synced_epoch for peer in observation.all_peers()}
    return all(synced_epochs.get(store, -1) >= epoch for store in stores)


def _finish_completed_retirement(state: SystemState, observation: ClusterObservation) -> _StateChange | None:
    """Return the change that completes the retirement of a machine that is no longer a store or a member."""
    view = state["stores"]
    if view["next"] is not None:
        return None
    in_use = (*view["stable"], *state["members"], *state["former_members"])
    names_in_use = {state["names"].get(incarnation) for incarnation in in_use}
    for name in state["retiring"]:
        if name not in names_in_use:
            return finish_retirement(name)
    return None


def _peer_locations(observation: ClusterObservation) -> dict[str, str]:
    return {peer.id: peer.location for peer in observation.all_peers()}


def _peer_names(observation: ClusterObservation) -> dict[str, str]:
    return {peer.id: peer.name for peer in observation.all_peers()}
