"""The store view: the members that hold turns and budget ledgers in one epoch.

While `next` is set, a view change is in progress: a write of a key needs a majority of its stable replicas and one of
its next replicas; reads are served by the stable replicas.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from functools import cached_property
from typing import Any

from dewpin.cluster.placement import max_unreachable, replicas

JsonObject = Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class Member:
    """One incarnation of a store.

    `id`: id of the incarnation of its data folder.
    `address`: `ip:port`.
    `location`: `region/zone`; empty if unknown.
    """

    id: str
    address: str
    location: str = ""


@dataclass(frozen=True)
class StoreView:
    """The members of one epoch.

    `epoch`: number of the epoch; greater is newer.
    `stable`: the members that serve reads.
    `next`: the members after the view change in progress; None if there is none.
    """

    epoch: int
    stable: tuple[Member, ...]
    next: tuple[Member, ...] | None = None

    @cached_property
    def members(self) -> dict[str, Member]:
        """All members by id, including those of `next`."""
        return {member.id: member for member in (*self.stable, *(self.next or ()))}

    @cached_property
    def stable_ids(self) -> tuple[str, ...]:
        """The ids of the stable members, sorted."""
        return tuple(sorted(member.id for member in self.stable))

    @cached_property
    def next_ids(self) -> tuple[str, ...]:
        """The ids of the next members, sorted; empty if no view change is in progress."""
        return tuple(sorted(member.id for member in self.next or ()))

    @cached_property
    def _stable_locations(self) -> tuple[str, ...]:
        return tuple(self.members[member].location for member in self.stable_ids)

    @cached_property
    def _next_locations(self) -> tuple[str, ...]:
        return tuple(self.members[member].location for member in self.next_ids)

    def stable_replicas(self, key: str, count: int) -> frozenset[str]:
        """Return the members that serve reads of `key`."""
        return replicas(key, self.stable_ids, count, self._stable_locations)

    def next_replicas(self, key: str, count: int) -> frozenset[str]:
        """Return the replicas of `key` after the view change; empty if none is in progress."""
        return replicas(key, self.next_ids, count, self._next_locations)

    def write_sets(self, key: str, count: int) -> tuple[frozenset[str], ...]:
        """Return the replica sets of `key`; a write needs a majority of each."""
        sets = [self.stable_replicas(key, count)]
        if self.next_ids:
            sets.append(self.next_replicas(key, count))
        return tuple(sets)

    def holds(self, member: str, key: str, count: int) -> bool:
        """Return whether `member` is a replica of `key` before or after the view change."""
        return any(member in replica_set for replica_set in self.write_sets(key, count))

    def max_unreachable(self, count: int) -> int:
        """Return how many stable members may be unreachable without costing any key the majority of its replicas."""
        return max_unreachable(len(self.stable), count)

    def to_json(self) -> dict[str, Any]:
        """Return the view as the JSON object in the system state, with addresses by member id."""
        return {
            "epoch": self.epoch,
            "stable": {member.id: member.address for member in self.stable},
            "next": None if self.next is None else {member.id: member.address for member in self.next},
            "locations": {member.id: member.location for member in self.members.values()},
        }

    @staticmethod
    def from_json(value: JsonObject) -> StoreView:
        """Decode a view encoded by `to_json`. Raises ValueError if it is invalid."""
        try:
            next_members = value["next"]
            locations = value.get("locations", {})
            return StoreView(
                int(value["epoch"]),
                _members(value["stable"], locations),
                None if next_members is None else _members(next_members, locations),
            )
        except (AttributeError, KeyError, TypeError) as error:
            raise ValueError(f"not a store view: {error!r}") from error


def _members(addresses: Any, locations: Any) -> tuple[Member, ...]:
    return tuple(
        Member(str(member_id), str(address), str(locations.get(member_id, "")))
        for member_id, address in sorted(addresses.items())
    )
