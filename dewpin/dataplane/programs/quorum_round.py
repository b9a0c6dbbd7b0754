"""A round of calls that asks no more replicas than are needed, and the others once that takes too long.

Of each replica set the nearest majority is asked first, and beside it whoever has to prove now that it answers. The
others are asked as soon as one of the first fails or takes longer than the slowest of them usually does. To the
replicas a request that is never made is one that was lost on its way, so what holds for a round that asks all of them
holds for this one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Collection, Mapping, Sequence
from typing import Generic, TypeVar

from dewpin.cluster.placement import majority
from dewpin.cluster.store_requests import SenderRequest
from dewpin.dataplane.programs.replica_calls import Answer, ReplicaCalls, Round

HEDGE_TIMES = 3.0
"""The others are asked after so many usual times of the slowest replica that was asked."""
LEAST_HEDGE_S = 0.02
MOST_HEDGE_S = 0.2

Content = TypeVar("Content")
ReplicaSet = frozenset[str]


class QuorumRound(Generic[Content]):
    """Asks the nearest majorities of `sets` in a round, and then the other members."""

    def __init__(
        self, calls: ReplicaCalls, task_round: Round[Content], sets: Sequence[ReplicaSet], until_s: float
    ) -> None:
        self._health = calls.health
        self._round = task_round
        self._sets = sets
        self._members = frozenset().union(*sets)
        self._until_s = until_s
        self._held_back: Mapping[str, SenderRequest] = {}
        self._unanswered: set[str] = set()
        self._hedge_at_s = 0.0
        task_round.on_failure = self._ask_the_others

    @property
    def may_answer(self) -> bool:
        """Tell whether an answer may still come."""
        return bool(self._round.unanswered or self._held_back)

    def ask(self, requests: Mapping[str, SenderRequest]) -> None:
        """Ask the nearest members, by id; what was held back of the requests before is asked of nobody any more."""
        if not requests:
            return
        now_s = asyncio.get_running_loop().time()
        ranked = self._health.nearest_first(self._round.view, self._members, now_s)
        nearest = nearest_majorities(self._sets, ranked)
        probed = self._health.take_due_probes(requests.keys() - nearest, now_s)
        first = {member: request for member, request in requests.items() if member in nearest or member in probed}
        self._held_back = {member: request for member, request in requests.items() if member not in first}
        usual_s = max((self._health.usual_s(member, now_s) for member in nearest), default=0.0)
        self._hedge_at_s = now_s + min(MOST_HEDGE_S, max(LEAST_HEDGE_S, HEDGE_TIMES * usual_s))
        self._unanswered = set(nearest)
        self._ask_now(first)

    async def next_answer(self) -> Answer[Content]:
        """Return the next answer. Raises ViewMoved once any member is known to be of a newer view."""
        if self._held_back and self._round.unanswered:
            try:
                async with asyncio.timeout_at(self._hedge_at_s):
                    return self._looked_at(await self._round.next_answer())
            except TimeoutError:
                for member in self._unanswered:
                    self._health.note_failure(member, self._hedge_at_s)
        self._ask_the_others()
        return self._looked_at(await self._round.next_answer())

    def _looked_at(self, answer: Answer[Content]) -> Answer[Content]:
        self._unanswered.discard(answer.member)
        if answer.content is None:
            self._ask_the_others()
        return answer

    def _ask_the_others(self) -> None:
        held_back, self._held_back = self._held_back, {}
        if not self._round.finished:
            self._ask_now(held_back)

    def _ask_now(self, requests: Mapping[str, SenderRequest]) -> None:
        for member, request in requests.items():
            self._round.ask([member], request, self._until_s)


def nearest_majorities(sets: Sequence[ReplicaSet], ranked: Sequence[str]) -> Collection[str]:
    """Return members that make a majority of each set, by their rank; the sets share as many as they have to."""
    chosen: set[str] = set()
    for members in sets:
        missing = majority(len(members)) - len(chosen & members)
        candidates = [member for member in ranked if member in members and member not in chosen]
        chosen.update(candidates[: max(0, missing)])
    return chosen
