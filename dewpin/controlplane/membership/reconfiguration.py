"""Which change of the register's members or of the stores is due, from the system state and who is heard. Free of I/O.

One process at a time, the coordinator, makes these changes: the member with the least id among those that are alive and
reach a majority. That two do costs a conflict and no more, since every change is made on exactly the version that it
was planned on. The silence of another counts only while this process reached a majority itself: one that was cut off or
frozen has heard nobody.
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
    on_version,
    set_initial_stores,
    set_members,
    start_store_change,
    successor,
)

INITIAL_STORES_WAIT_S = 3.0
"""The first stores are set after this time even if fewer than wanted have come."""

_Make = Callable[[SystemState], SystemState]


def is_coordinator(state: SystemState, observation: ClusterObservation) -> bool:
    """Whether this process is the one that makes reconfigurations now."""
    candidates = [member for member in state["members"] if observation.may_coordinate(member)]
    return observation.local_peer.id == min(candidates, default=None)


def next_change(state: SystemState, observation: ClusterObservation) -> ChangeFunction | None:
    """The reconfiguration that is due, for exactly the version of `state`; None where none is."""
    if not is_membership_stable(state):
        return on_version(state["version"], successor)
    make = (
        _member_change(state, observation)
        or _store_change(state, observation)
        or _finish_completed_retirement(state, observation)
    )
    return on_version(state["version"], make) if make is not None else None


def _join_candidates(state: SystemState, observation: ClusterObservation) -> list[Peer]:
    """Processes that are alive and may become members or stores, ascending by id."""
    found = [
        peer
        for peer in observation.everyone()
        if observation.is_alive(peer.id)
        and not peer.is_leaving
        and peer.name not in state["retiring"]
        and peer.name not in state["retired"]
    ]
    return sorted(found, key=lambda peer: peer.id)


def _member_change(state: SystemState, observation: ClusterObservation) -> _Make | None:
    """Replaces a member that has to be removed, or adds one while there are too few."""
    members = dict(state["members"])
    spare = [peer for peer in _join_candidates(state, observation) if peer.serves_control and peer.id not in members]
    for member in list(members):
        name = state["names"].get(member)
        timeout_s = observation.replacement_timeout_s(member)
        if not spare or not _must_be_removed(state, observation, member, name, timeout_s):
            continue
        del members[member]
        best_placed = _best_placed(spare, members, observation)
        replacement = next((peer for peer in spare if peer.name == name), best_placed)
        members[replacement.id] = replacement.address
        return set_members(members, _peer_names(observation))
    if len(members) < observation.replica_count and spare:
        added = _best_placed(spare, members, observation)
        members[added.id] = added.address
        return set_members(members, _peer_names(observation))
    return None


def _best_placed(spare: list[Peer], members: Addresses, observation: ClusterObservation) -> Peer:
    """The one of `spare` whose region and zone have the fewest of `members`, and that was interrupted least often."""
    locations = _peer_locations(observation)
    counted = LocationCount(locations.get(member, "") for member in members)
    now_s = observation.now_s
    return min(spare, key=lambda peer: (counted.occupancy(peer.location), peer.interruptions(now_s), peer.id))


def _must_be_removed(
    state: SystemState, observation: ClusterObservation, peer_id: str, name: str | None, timeout_s: float
) -> bool:
    """Whether a member or store is given up: replaced, to be emptied, or absent for longer than `timeout_s`."""
    if observation.is_replaced(peer_id, name) or name in state["retiring"]:
        return True
    return observation.absent_s(peer_id) > timeout_s


def _store_change(state: SystemState, observation: ClusterObservation) -> _Make | None:
    """Changes the stores towards the wanted ones, or ends the change under way once all have copied."""
    view = state["stores"]
    if not view["stable"]:
        return _initial_stores(state, observation)
    wanted = _wanted_stores(state, observation)
    current = view["next"] if view["next"] is not None else view["stable"]
    if wanted != current:
        return start_store_change(wanted, _peer_names(observation), _peer_locations(observation))
    if view["next"] is not None and _have_all_synced(view["next"], view["epoch"], observation):
        return finish_store_change
    return None


def _initial_stores(state: SystemState, observation: ClusterObservation) -> _Make | None:
    """Sets the first stores once all have come, or those that came in time."""
    stores = {peer.id: peer.address for peer in _join_candidates(state, observation) if peer.serves_store}
    has_waited = observation.now_s - observation.started_at_s > INITIAL_STORES_WAIT_S
    if len(stores) >= observation.replica_count or (stores and has_waited):
        return set_initial_stores(stores, _peer_names(observation), _peer_locations(observation))
    return None


def _wanted_stores(state: SystemState, observation: ClusterObservation) -> Addresses:
    """The stores that should have the records: those in the view that are not given up, and newcomers."""
    view = state["stores"]
    in_view = {**view["stable"], **(view["next"] or {})}
    joining = {peer.id: peer.address for peer in _join_candidates(state, observation) if peer.serves_store}
    remaining = _remaining_stores(state, observation, in_view, joining)
    wanted = _sorted_union(remaining, joining)
    least = min(observation.replica_count, len(view["stable"]))
    if len(wanted) < least:
        wanted = _sorted_union(_stores_not_replaced(state, observation, in_view), joining)
    if len(wanted) < least:  # a machine's next incarnation is there, but may not join yet
        wanted = _sorted_union(view["stable"], joining)
    return wanted


def _remaining_stores(
    state: SystemState, observation: ClusterObservation, in_view: Addresses, joining: Addresses
) -> Addresses:
    """The stores in the view that are not given up."""
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
    """Stores that announced their end and stay away, one for each recently joined machine that is in the view already.

    In a planned replacement the replacement comes first.
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
    """Whether all these stores have copied the records for the epoch of the view."""
    synced_epochs = {peer.id: peer.synced_epoch for peer in observation.everyone()}
    return all(synced_epochs.get(store, -1) >= epoch for store in stores)


def _finish_completed_retirement(state: SystemState, observation: ClusterObservation) -> _Make | None:
    """Ends the retirement of a machine that is neither a store nor a member any more."""
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
    return {peer.id: peer.location for peer in observation.everyone()}


def _peer_names(observation: ClusterObservation) -> dict[str, str]:
    return {peer.id: peer.name for peer in observation.everyone()}
