"""What a sender knows of the replicas from its own calls: which ones answer, and how soon. Times are in seconds of the
event loop's clock.

A replica is *proven* once it has answered, and until a call to it fails or is silent for too long. Rounds rely on
proven replicas first; the others are asked beside them now and then, to prove themselves while nobody waits for them.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from dewpin.cluster.store_view import StoreView

ANSWER_TIME_WEIGHT = 0.2
ANSWER_TIME_HALF_LIFE_S = 5.0
"""How fast a replica's usual time is forgotten while it is not asked, so that one that was slow is tried again."""
OTHER_ZONE_TIMES = 2.0
"""A replica of another zone is nearer if it answers in less than one part in so many of the time of one of this."""
LEAST_TIME_S = 0.001
"""Replicas that answer faster are equally near."""
PROBE_PERIOD_S = 2.0
"""Between two requests that ask a replica only to see whether it answers."""


@dataclass(slots=True)
class _Replica:
    """One replica. `tie` orders those of which as much is known, differently at each sender."""

    tie: float
    usual_s: float = 0.0
    noted_s: float = 0.0
    has_answered: bool = False
    is_suspected: bool = False
    probed_s: float = -math.inf


class ReplicaHealth:
    """The replicas met so far, by member id, as seen from a process at `location`."""

    def __init__(self, location: str, rng: random.Random) -> None:
        self._location = location
        self._rng = rng
        self._replicas: dict[str, _Replica] = {}

    def note_answer(self, member: str, took_s: float, now_s: float) -> None:
        """Take in that a replica answered."""
        replica = self._replica(member)
        before_s = self.usual_s(member, now_s) if replica.has_answered else took_s
        replica.usual_s = before_s + ANSWER_TIME_WEIGHT * (took_s - before_s)
        replica.noted_s = now_s
        replica.has_answered = True
        replica.is_suspected = False

    def note_failure(self, member: str, now_s: float) -> None:
        """Take in that a replica gave no answer, or has not given one for too long."""
        replica = self._replica(member)
        replica.is_suspected = True
        replica.probed_s = now_s

    def forget_all_but(self, members: Collection[str]) -> None:
        """Forget the replicas that are no members any more."""
        for member in self._replicas.keys() - members:
            del self._replicas[member]

    def usual_s(self, member: str, now_s: float) -> float:
        """Return how long a replica usually takes to answer, as far as that still counts; 0 where it is not known."""
        replica = self._replica(member)
        return replica.usual_s * math.exp2((replica.noted_s - now_s) / ANSWER_TIME_HALF_LIFE_S)

    def nearest_first(self, view: StoreView, members: Iterable[str], now_s: float) -> list[str]:
        """Return members in the order in which to rely on them: proven ones by their usual time, where one of this zone
        may take longer, then those never heard, then suspected ones. A sender's ties are drawn in the order of ids, so
        that a seeded run repeats itself."""

        def rank(member: str) -> tuple[bool, bool, float, float]:
            replica = self._replica(member)
            is_near = view.members[member].location == self._location
            time_s = max(self.usual_s(member, now_s), LEAST_TIME_S) * (1.0 if is_near else OTHER_ZONE_TIMES)
            return replica.is_suspected, not replica.has_answered, time_s, replica.tie

        return sorted(sorted(members), key=rank)

    def take_due_probes(self, members: Iterable[str], now_s: float) -> frozenset[str]:
        """Return the members that are not proven and were not asked lately; they count as asked now."""
        due = frozenset(member for member in members if self._is_due(member, now_s))
        for member in due:
            self._replica(member).probed_s = now_s
        return due

    def _is_due(self, member: str, now_s: float) -> bool:
        replica = self._replica(member)
        is_proven = replica.has_answered and not replica.is_suspected
        return not is_proven and now_s - replica.probed_s >= PROBE_PERIOD_S

    def _replica(self, member: str) -> _Replica:
        replica = self._replicas.get(member)
        if replica is None:
            replica = self._replicas[member] = _Replica(self._rng.random())
        return replica
