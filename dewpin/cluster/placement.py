"""Replica placement by rendezvous hashing: every process computes the replicas of a key without communication.

The replicas of a key are spread over regions and zones as evenly as the members allow, so that the loss of one region
or zone affects as few of them as possible. A member's location is `region/zone`.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping
from functools import lru_cache
from hashlib import blake2b

_SCORE_BYTES = 8
_CACHED_KEYS = 4096


def _score(key: str, member: str) -> bytes:
    return blake2b(f"{key}\0{member}".encode(), digest_size=_SCORE_BYTES).digest()


class LocationCount:
    """Counts the members chosen so far in each region and zone."""

    def __init__(self, locations: Iterable[str] = ()) -> None:
        self._zones: Counter[str] = Counter()
        self._regions: Counter[str] = Counter()
        for location in locations:
            self.add(location)

    def add(self, location: str) -> None:
        """Count a member at `location`."""
        self._zones[location] += 1
        self._regions[region_of(location)] += 1

    def occupancy(self, location: str) -> tuple[int, int]:
        """Return the numbers of members in the region and the zone of `location`; the lowest pair is chosen next."""
        return self._regions[region_of(location)], self._zones[location]


def location_of(region: str, zone: str) -> str:
    """Return the location of a machine in a zone of a region."""
    return f"{region}/{zone}"


def region_of(location: str) -> str:
    """Return the region of a location."""
    return location.rpartition("/")[0]


@lru_cache(maxsize=_CACHED_KEYS)
def replicas(key: str, members: tuple[str, ...], count: int, locations: tuple[str, ...] = ()) -> frozenset[str]:
    """Return the `count` members (or all, if there are fewer) that hold the records of `key`.

    `locations` are those of the members, in the same order; if empty, all members count as being in one location.
    """
    if len(members) <= count:
        return frozenset(members)
    ranked = sorted(members, key=lambda member: _score(key, member), reverse=True)
    return frozenset(_spread(ranked, count, dict(zip(members, locations, strict=False))))


def _spread(ranked: list[str], count: int, locations: Mapping[str, str]) -> list[str]:
    """Choose `count` members one by one, each the highest-ranked of those in the least occupied location."""
    counts = LocationCount()
    remaining = list(ranked)
    chosen: list[str] = []
    while len(chosen) < count:
        member = min(remaining, key=lambda candidate: counts.occupancy(locations.get(candidate, "")))
        remaining.remove(member)
        chosen.append(member)
        counts.add(locations.get(member, ""))
    return chosen


def replica_count(machines: int, zones: int, regions: int) -> int:
    """Return the number of replicas whose majority survives the loss of this many machines, zones or regions."""
    return 2 * max(machines, zones, regions) + 1


def majority(size: int) -> int:
    """Return the smallest number of members that is a majority of `size`."""
    return size // 2 + 1


def max_unreachable(members: int, count: int) -> int:
    """Return how many members may be unreachable without costing any key the majority of its `count` replicas."""
    size = min(members, count)
    return size - majority(size)
