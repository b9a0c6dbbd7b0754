"""What a sender knows of the replicas from its own calls: which ones reply, and how fast.

All times are in seconds of the event loop's clock.

A replica is *healthy* once it has replied, and until a call to it fails or exceeds its time. Quorum rounds rely on
healthy replicas first; the others are probed now and then, with requests that nobody waits for.
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
"""How fast a latency is forgotten without new samples, so that a replica that was slow is tried again."""
OTHER_ZONE_FACTOR = 2.0
"""A replica of another zone ranks as if its latency were so many times as long."""
MIN_LATENCY_S = 0.001
"""Replicas with a lower latency rank as equally near."""
PROBE_PERIOD_S = 2.0
"""Minimum time between two probes of a replica."""


@dataclass(slots=True)
class _ReplicaRecord:
    """What is known of one replica.

    tie_breaker: orders replicas of which as much is known, differently at each sender.
    latency_s: moving average as of `measured_at_s`; 0 before the first reply.
    has_replied: whether it ever did.
    is_suspected: whether a call has failed since its last reply.
    probed_at_s: when it was last probed or failed.
    """

    tie_breaker: float
    latency_s: float = 0.0
    measured_at_s: float = 0.0
    has_replied: bool = False
    is_suspected: bool = False
    probed_at_s: float = -math.inf


class ReplicaHealth:
    """The replicas that were called so far, by member id, as seen from a process at `location`."""

    def __init__(self, location: str, rng: random.Random) -> None:
        self._location = location
        self._rng = rng
        self._records: dict[str, _ReplicaRecord] = {}

    def record_reply(self, member: str, latency_s: float, now_s: float) -> None:
        """Record that a replica replied after `latency_s`."""
        record = self._record(member)
        average_s = self.expected_latency_s(member, now_s) if record.has_replied else latency_s
        record.latency_s = average_s + LATENCY_WEIGHT * (latency_s - average_s)
        record.measured_at_s = now_s
        record.has_replied = True
        record.is_suspected = False

    def record_failure(self, member: str, now_s: float) -> None:
        """Record that a call to a replica failed, or has had no reply for too long."""
        record = self._record(member)
        record.is_suspected = True
        record.probed_at_s = now_s

    def retain_only(self, members: Collection[str]) -> None:
        """Forget the replicas that are not among `members`."""
        for member in self._records.keys() - members:
            del self._records[member]

    def expected_latency_s(self, member: str, now_s: float) -> float:
        """Return how long a replica usually takes to reply, decayed by the age of the samples; 0 if it is unknown."""
        record = self._record(member)
        return record.latency_s * math.exp2((record.measured_at_s - now_s) / LATENCY_HALF_LIFE_S)

    def nearest_first(self, view: StoreView, members: Iterable[str], now_s: float) -> list[str]:
        """Return members in the order in which to rely on them.

        First healthy ones by latency, where those of other zones are penalized, then those that never replied, then
        suspected ones. Records are made in the order of member ids, so that the random tie breakers of a seeded run
        repeat.
        """

        def rank(member: str) -> tuple[bool, bool, float, float]:
            record = self._record(member)
            is_near = view.members[member].location == self._location
            latency_s = max(self.expected_latency_s(member, now_s), MIN_LATENCY_S)
            weighted_s = latency_s * (1.0 if is_near else OTHER_ZONE_FACTOR)
            return record.is_suspected, not record.has_replied, weighted_s, record.tie_breaker

        return sorted(sorted(members), key=rank)

    def claim_due_probes(self, members: Iterable[str], now_s: float) -> frozenset[str]:
        """Return the members that are not healthy and due for a probe; they count as probed now."""
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
