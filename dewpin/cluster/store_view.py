"""The view of the stores: which members hold turns and budget ledgers, and under which epoch.

While `next` is set the view is changing: writes go to majorities of the stable and of the next replicas of a key,
reads are answered by the stable ones.
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

    `id`: incarnation of its data folder.
    `address`: `ip:port`.
    `location`: `region/zone`; empty if unknown.
    """

    id: str
    address: str
    location: str = ""


@dataclass(frozen=True)
class StoreView:
    """The members under one epoch.

    `epoch`: a greater one is newer.
    `stable`: the members that answer reads.
    `next`: the members after the change; None while the view is not changing.
    """

    epoch: int
    stable: tuple[Member, ...]
    next: tuple[Member, ...] | None = None

    @cached_property
    def members(self) -> dict[str, Member]:
        """All members by id, those of `next` included."""
        return {member.id: member for member in (*self.stable, *(self.next or ()))}

    @cached_property
    def stable_ids(self) -> tuple[str, ...]:
        """The ids of the stable members, in a fixed order."""
        return tuple(sorted(member.id for member in self.stable))

    @cached_property
    def next_ids(self) -> tuple[str, ...]:
        """The ids of the next members, in a fixed order; empty when the view is not changing."""
        return tuple(sorted(member.id for member in self.next or ()))

    @cached_property
    def _stable_locations(self) -> tuple[str, ...]:
        return tuple(self.members[member].location for member in self.stable_ids)

    @cached_property
    def _next_locations(self) -> tuple[str, ...]:
        return tuple(self.members[member].location for member in self.next_ids)

    def stable_replicas(self, key: str, count: int) -> frozenset[str]:
        """Return the members that answer reads of `key`."""
        return replicas(key, self.stable_ids, count, self._stable_locations)

    def next_replicas(self, key: str, count: int) -> frozenset[str]:
        """Return the members that will hold `key` after the change; empty when the view is not changing."""
        return replicas(key, self.next_ids, count, self._next_locations)

    def write_sets(self, key: str, count: int) -> tuple[frozenset[str], ...]:
        """Return the replica sets of which a write of `key` needs a majority each."""
        sets = [self.stable_replicas(key, count)]
        if self.next_ids:
            sets.append(self.next_replicas(key, count))
        return tuple(sets)

    def holds(self, member: str, key: str, count: int) -> bool:
        """Return whether `member` is a replica of `key` before or after the change."""
        return any(member in replica_set for replica_set in self.write_sets(key, count))

    def max_unreachable(self, count: int) -> int:
        """Return how many stable members may be unreachable while every key still has a majority of its replicas."""
        return max_unreachable(len(self.stable), count)

    def to_json(self) -> dict[str, Any]:
        """Return the view as the JSON object that the system state holds: addresses by member id."""
        return {
            "epoch": self.epoch,
            "stable": {member.id: member.address for member in self.stable},
            "next": None if self.next is None else {member.id: member.address for member in self.next},
            "locations": {member.id: member.location for member in self.members.values()},
        }

    @staticmethod
    def from_json(value: JsonObject) -> StoreView:
        """Return the view of a JSON object made by `to_json`. Raises ValueError for anything else."""
        try:
            following = value["next"]
            locations = value.get("locations", {})
            return StoreView(
                int(value["epoch"]),
                _members(value["stable"], locations),
                None if following is None else _members(following, locations),
            )
        except (AttributeError, KeyError, TypeError) as error:
            raise ValueError(f"not a view of stores: {error!r}") from error


def _members(addresses: Any, locations: Any) -> tuple[Member, ...]:
    return tuple(
        Member(str(identity), str(address), str(locations.get(identity, "")))
        for identity, address in sorted(addresses.items())
    )
