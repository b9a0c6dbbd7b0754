"""Which change of members or stores is due, from the system state and from who is heard. Free of I/O.

One process at a time drives changes: the live member with the least id among those that reach a majority. That two do
costs a conflict and no more, since every change is made on exactly the version it was planned on. Silence of another
counts only while this process reached a majority itself: one that was cut off or frozen has heard nobody.
"""

from __future__ import annotations

from dataclasses import dataclass

from dewpin.cluster.placement import LocationCount
from dewpin.controlplane.membership.peers import LIVE_S, Peer, PeerTable
from dewpin.controlplane.register.system_state import (
    Change,
    SystemState,
    begin_stores,
    finish_retirement,
    finish_stores,
    is_settled,
    move_stores,
    on_version,
    set_members,
    successor,
)

GONE_WITH_SUCCESSOR_S = 1.5
"""A silent process is given up after this time where another can take its place; see `Knowledge.patience_s`."""
GONE_S = 20.0
"""A silent process is given up after this time in any case."""
SUCCESSOR_JOINED_WITHIN_S = 30.0
SUCCESSOR_UNCERTAIN_S = 3.0
"""Who is heard first this soon after the own start may have been there before."""
FIRST_STORES_WAIT_S = 3.0


@dataclass(frozen=True)
class Knowledge:
    """What a plan is made from. `started_s`: when this process did; `contact_since_s`: since when it has reached a
    majority without a break, None while it reaches none; times are of the steady clock."""

    me: Peer
    peers: PeerTable
    full_count: int
    started_s: float
    now_s: float
    contact_since_s: float | None

    def everyone(self) -> list[Peer]:
        """This process and all it has heard of."""
        return [self.me, *self.peers.peers.values()]

    def silent_s(self, peer_id: str) -> float:
        """For how long nothing was heard of a process."""
        return 0.0 if peer_id == self.me.id else self.peers.silent_s(peer_id, self.now_s)

    def absent_s(self, peer_id: str) -> float:
        """For how long nothing was heard of a process while this one reached a majority."""
        if self.contact_since_s is None:
            return 0.0
        return min(self.silent_s(peer_id), self.now_s - self.contact_since_s)

    def is_replaced(self, peer_id: str, name: str | None) -> bool:
        """Whether the machine runs as another incarnation by now."""
        if peer_id == self.me.id or self.absent_s(peer_id) <= LIVE_S:
            return False
        return name == self.me.name or self.peers.is_replaced(peer_id, name, self.now_s)

    def has_left(self, peer_id: str) -> bool:
        """Whether the process announced its end and has been silent since."""
        peer = self.peers.peers.get(peer_id)
        return peer is not None and peer.leaving and self.absent_s(peer_id) > LIVE_S

    def joined_lately(self, peer: Peer) -> bool:
        """Whether the process came while this one was already there, and not long ago."""
        earliest_s = max(self.started_s + SUCCESSOR_UNCERTAIN_S, self.now_s - SUCCESSOR_JOINED_WITHIN_S)
        return peer.first_heard_s >= earliest_s

    def patience_s(self, peer_id: str) -> float:
        """For how long a silent process is waited for where another can take its place: twice as long after each
        silence from which it came back lately, so that one that freezes again and again is not replaced each time."""
        peer = self.peers.peers.get(peer_id)
        interruptions = peer.interruptions(self.now_s) if peer is not None and not peer.leaving else 0
        return min(GONE_WITH_SUCCESSOR_S * 2.0**interruptions, GONE_S)

    def is_live(self, peer_id: str) -> bool:
        """Whether the process was heard just now."""
        return self.silent_s(peer_id) < LIVE_S

    def may_drive(self, peer_id: str) -> bool:
        """Whether the process is live and reaches a majority, by its own word."""
        if peer_id == self.me.id:
            return self.contact_since_s is not None
        peer = self.peers.peers.get(peer_id)
        return peer is not None and peer.reaches_majority and self.is_live(peer_id)


def drives(state: SystemState, knowledge: Knowledge) -> bool:
    """Whether this process is the one to make changes now."""
    candidates = [member for member in state["members"] if knowledge.may_drive(member)]
    return knowledge.me.id == min(candidates, default=None)


def due_change(state: SystemState, knowledge: Knowledge) -> Change | None:
    """The change to make next, or None."""
    if not is_settled(state):
        return on_version(state["version"], successor)
    make = (
        _change_of_members(state, knowledge)
        or _change_of_stores(state, knowledge)
        or _retirement_that_is_done(state, knowledge)
    )
    return on_version(state["version"], make) if make is not None else None


def _newcomers(state: SystemState, knowledge: Knowledge) -> list[Peer]:
    """Live processes that may be taken in, the one with the least id first."""
    found = [
        peer
        for peer in knowledge.everyone()
        if knowledge.is_live(peer.id)
        and not peer.leaving
        and peer.name not in state["retiring"]
        and peer.name not in state["retired"]
    ]
    return sorted(found, key=lambda peer: peer.id)


def _change_of_members(state: SystemState, knowledge: Knowledge) -> Change | None:
    members = dict(state["members"])
    spare = [peer for peer in _newcomers(state, knowledge) if peer.control and peer.id not in members]
    for member in list(members):
        name = state["names"].get(member)
        if not spare or not _must_go(state, knowledge, member, name, knowledge.patience_s(member)):
            continue
        del members[member]
        successor_peer = next((peer for peer in spare if peer.name == name), _best_placed(spare, members, knowledge))
        members[successor_peer.id] = successor_peer.address
        return set_members(members, _names_of(knowledge))
    if len(members) < knowledge.full_count and spare:
        added = _best_placed(spare, members, knowledge)
        members[added.id] = added.address
        return set_members(members, _names_of(knowledge))
    return None


def _best_placed(spare: list[Peer], members: dict[str, str], knowledge: Knowledge) -> Peer:
    """The one of `spare` whose region and zone hold the fewest of `members`, and that was interrupted the least."""
    locations = _locations_of(knowledge)
    counted = LocationCount(locations.get(member, "") for member in members)
    return min(spare, key=lambda peer: (counted.crowding(peer.location), peer.interruptions(knowledge.now_s), peer.id))


def _must_go(state: SystemState, knowledge: Knowledge, peer_id: str, name: str | None, gone_s: float) -> bool:
    if knowledge.is_replaced(peer_id, name) or name in state["retiring"]:
        return True
    return knowledge.absent_s(peer_id) > gone_s


def _change_of_stores(state: SystemState, knowledge: Knowledge) -> Change | None:
    view = state["stores"]
    if not view["stable"]:
        return _first_stores(state, knowledge)
    wanted = _wanted_stores(state, knowledge)
    current = view["next"] if view["next"] is not None else view["stable"]
    if wanted != current:
        return move_stores(wanted, _names_of(knowledge), _locations_of(knowledge))
    if view["next"] is not None and _all_synced(view["next"], view["epoch"], knowledge):
        return finish_stores
    return None


def _first_stores(state: SystemState, knowledge: Knowledge) -> Change | None:
    stores = {peer.id: peer.address for peer in _newcomers(state, knowledge) if peer.store}
    waited = knowledge.now_s - knowledge.started_s > FIRST_STORES_WAIT_S
    if len(stores) >= knowledge.full_count or (stores and waited):
        return begin_stores(stores, _names_of(knowledge), _locations_of(knowledge))
    return None


def _wanted_stores(state: SystemState, knowledge: Knowledge) -> dict[str, str]:
    """The stores that should hold the records: those in the view that aren't gone, and newcomers."""
    view = state["stores"]
    held = {**view["stable"], **(view["next"] or {})}
    joining = {peer.id: peer.address for peer in _newcomers(state, knowledge) if peer.store}
    has_successor = any(store not in held for store in joining) or view["next"] is not None
    gone_s = {store: knowledge.patience_s(store) if has_successor else GONE_S for store in held}
    has_left = _who_left_for_a_successor(state, knowledge, held)
    kept = {
        store: address
        for store, address in held.items()
        if store not in has_left and not _must_go(state, knowledge, store, state["names"].get(store), gone_s[store])
    }
    wanted = dict(sorted({**kept, **joining}.items()))
    least = min(knowledge.full_count, len(view["stable"]))
    if len(wanted) < least:
        wanted = dict(sorted({**_not_replaced(state, knowledge, held), **joining}.items()))
    if len(wanted) < least:  # a machine's next incarnation is there, but may not join yet
        wanted = dict(sorted({**view["stable"], **joining}.items()))
    return wanted


def _who_left_for_a_successor(state: SystemState, knowledge: Knowledge, held: dict[str, str]) -> set[str]:
    """Stores that announced their end and stay away, one for each machine that joined lately and is in the view
    already: in a planned replacement the successor comes first."""
    successors = [
        peer
        for peer in _newcomers(state, knowledge)
        if peer.id in held and peer.store and knowledge.joined_lately(peer)
    ]
    left = sorted(store for store in held if knowledge.has_left(store))
    return set(left[: len(successors)])


def _not_replaced(state: SystemState, knowledge: Knowledge, held: dict[str, str]) -> dict[str, str]:
    return {
        store: address for store, address in held.items() if not knowledge.is_replaced(store, state["names"].get(store))
    }


def _all_synced(stores: dict[str, str], epoch: int, knowledge: Knowledge) -> bool:
    synced = {peer.id: peer.synced_epoch for peer in knowledge.everyone()}
    return all(synced.get(store, -1) >= epoch for store in stores)


def _retirement_that_is_done(state: SystemState, knowledge: Knowledge) -> Change | None:
    view = state["stores"]
    if view["next"] is not None:
        return None
    held = {state["names"].get(one) for one in (*view["stable"], *state["members"], *state["former_members"])}
    for name in state["retiring"]:
        if name not in held:
            return finish_retirement(name)
    return None


def _locations_of(knowledge: Knowledge) -> dict[str, str]:
    return {peer.id: peer.location for peer in knowledge.everyone()}


def _names_of(knowledge: Knowledge) -> dict[str, str]:
    return {peer.id: peer.name for peer in knowledge.everyone()}
