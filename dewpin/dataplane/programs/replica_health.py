"""Health and latency of the replicas, as observed by a sender's own calls.

All times are in seconds of the event loop's clock.

A replica is *healthy* from its first reply until a call to it fails or exceeds the hedge delay. Quorum rounds prefer
healthy replicas; the others are probed periodically, with requests whose replies are not waited for.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from dewpin.cluster.store_view import StoreView

LATENCY_WEIGHT = 0.2
"""Weight of a new sample in the exponentially weighted moving average of a replica's latency."""
LATENCY_HALF_LIFE_S = 5.0
"""Half-life of a latency without new samples; the decay lets a formerly slow replica be tried again."""
OTHER_ZONE_FACTOR = 2.0
"""The latency of a replica in another zone is multiplied by this factor for ranking."""
MIN_LATENCY_S = 0.001
"""Replicas with a lower latency rank equally."""
PROBE_PERIOD_S = 2.0
"""Minimum interval between two probes of a replica."""


@dataclass(slots=True)
class _ReplicaRecord:
    """The observations of one replica.

    tie_breaker: random order of replicas that rank equally, which differs between senders.
    latency_s: moving average as of `measured_at_s`; 0 before the first reply.
    has_replied: whether it has replied at least once.
    is_suspected: whether a call has failed since the last reply.
    probed_at_s: time of the last probe or failure.
    """

    tie_breaker: float
    latency_s: float = 0.0
    measured_at_s: float = 0.0
    has_replied: bool = False
    is_suspected: bool = False
    probed_at_s: float = -math.inf


class ReplicaHealth:
    """The health of the replicas called so far, by member id, as observed from a process at `location`."""

    def __init__(self, location: str, rng: random.Random) -> None:
        self._location = location
        self._rng = rng
        self._records: dict[str, _ReplicaRecord] = {}

    def record_reply(self, member: str, latency_s: float, now_s: float) -> None:
        """Record a reply and its latency."""
        record = self._record(member)
        average_s = self.expected_latency_s(member, now_s) if record.has_replied else latency_s
        record.latency_s = average_s + LATENCY_WEIGHT * (latency_s - average_s)
        record.measured_at_s = now_s
        record.has_replied = True
        record.is_suspected = False

    def record_failure(self, member: str, now_s: float) -> None:
        """Record that a call to a replica failed or exceeded the hedge delay."""
        record = self._record(member)
        record.is_suspected = True
        record.probed_at_s = now_s

    def retain_only(self, members: Collection[str]) -> None:
        """Remove the records of replicas that are not in `members`."""
        for member in self._records.keys() - members:
            del self._records[member]

    def expected_latency_s(self, member: str, now_s: float) -> float:
        """Return the average latency of a replica, decayed by the age of the last sample; 0 if it is unknown."""
        record = self._record(member)
        return record.latency_s * math.exp2((record.measured_at_s - now_s) / LATENCY_HALF_LIFE_S)

    def nearest_first(self, view: StoreView, members: Iterable[str], now_s: float) -> list[str]:
        """Return members in order of preference.

        Healthy replicas come first, by latency with a penalty for other zones, then those that have never replied, then
        suspected ones. Records are created in the order of member ids, which makes the random tie breakers of a seeded
        run reproducible.
        """

        def rank(member: str) -> tuple[bool, bool, float, float]:
            record = self._record(member)
            is_near = view.members[member].location == self._location
            latency_s = max(self.expected_latency_s(member, now_s), MIN_LATENCY_S)
            weighted_s = latency_s * (1.0 if is_near else OTHER_ZONE_FACTOR)
            return record.is_suspected, not record.has_replied, weighted_s, record.tie_breaker

        return sorted(sorted(members), key=rank)

    def claim_due_probes(self, members: Iterable[str], now_s: float) -> frozenset[str]:
        """Return the unhealthy members that are due for a probe, and record them as probed at `now_s`."""
        due = frozenset(member for member in members if self._is_probe_due(member, now_s))
        for member in due:
            self._record(member).probed_at_s = now_s
        return due

    def _is_probe_due(self, member: str, now_s: float) -> bool:
        record = self._record(member)
        is_healthy = record.has_replied and not record.is_suspected
        return not is_healthy and now_s - record.probed_at_s >= PROBE_PERIOD_S

    def _record(self, member: str) -> _ReplicaRecord:
        record = self._records.get(member)
        if record is None:
            record = self._records[member] = _ReplicaRecord(self._rng.random())
        return record
