"""A round of calls that asks no more replicas than a quorum needs, and the others once that takes too long.

Of each replica set the nearest majority is asked first, and beside it the replicas that are due for a probe. The others
are asked (hedged requests) as soon as one of the first fails or takes longer than the slowest of them usually does. To
the protocol, a request that is never made is like one that the network lost, so what holds for a round that asks all
replicas holds for this one.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Mapping, Sequence
from typing import Generic, TypeVar

from dewpin.cluster.placement import majority
from dewpin.cluster.rpc import Message
from dewpin.cluster.store_requests import SenderRequest
from dewpin.cluster.store_view import StoreView
from dewpin.dataplane.programs.replica_calls import ReplicaCalls, ReplicaReply, ReplicaRound

HEDGE_LATENCY_FACTOR = 3.0
"""The others are asked after so many times the latency of the slowest replica that was asked."""
MIN_HEDGE_DELAY_S = 0.02
MAX_HEDGE_DELAY_S = 0.2

Content = TypeVar("Content")
ReplicaSet = frozenset[str]


class QuorumRound(Generic[Content]):
    """Asks the nearest majorities of the quorum sets, and then the other members; a context manager.

    calls, view, decode, continues_after_end: as of `ReplicaRound`.
    quorum_sets: the replica sets of which a majority each is wanted.
    until_s: end of all retries, by the loop's clock.
    replica_round: the calls themselves; it ends with the block.

    Invariant: `_deferred` holds the requests of the last `ask` that were not sent to anybody yet.
    """

    def __init__(
        self,
        calls: ReplicaCalls,
        view: StoreView,
        decode: Callable[[Message], Content],
        quorum_sets: Sequence[ReplicaSet],
        until_s: float,
        continues_after_end: bool = False,
    ) -> None:
        self.replica_round = ReplicaRound(calls, view, decode, self._ask_deferred, continues_after_end)
        self._health = calls.health
        self._quorum_sets = quorum_sets
        self._members: frozenset[str] = frozenset().union(*quorum_sets)
        self._until_s = until_s
        self._deferred: Mapping[str, SenderRequest] = {}
        self._awaited: set[str] = set()
        self._hedge_at_s = 0.0

    def __enter__(self) -> QuorumRound[Content]:
        self.replica_round.__enter__()
        return self

    def __exit__(self, *details: object) -> None:
        self.replica_round.__exit__(*details)

    @property
    def may_get_replies(self) -> bool:
        """Whether a further reply may come."""
        return bool(self.replica_round.unanswered or self._deferred)

    def ask(self, requests: Mapping[str, SenderRequest]) -> None:
        """Send requests, by member id, to the nearest members; the deferred ones of the last call are dropped."""
        if not requests:
            return
        now_s = asyncio.get_running_loop().time()
        ranked = self._health.nearest_first(self.replica_round.view, self._members, now_s)
        nearest = nearest_majorities(self._quorum_sets, ranked)
        probed = self._health.claim_due_probes(requests.keys() - nearest, now_s)
        first = {member: request for member, request in requests.items() if member in nearest or member in probed}
        self._deferred = {member: request for member, request in requests.items() if member not in first}
        latency_s = max((self._health.expected_latency_s(member, now_s) for member in nearest), default=0.0)
        delay_s = min(MAX_HEDGE_DELAY_S, max(MIN_HEDGE_DELAY_S, HEDGE_LATENCY_FACTOR * latency_s))
        self._hedge_at_s = now_s + delay_s
        self._awaited = set(nearest)
        self._send(first)

    async def next_reply(self) -> ReplicaReply[Content]:
        """Return the next reply. Raises StaleViewError once any member is known to have a newer view."""
        if self._deferred and self.replica_round.unanswered:
            try:
                async with asyncio.timeout_at(self._hedge_at_s):
                    return self._checked(await self.replica_round.next_reply())
            except TimeoutError:
                for member in self._awaited:
                    self._health.record_failure(member, self._hedge_at_s)
        self._ask_deferred()
        return self._checked(await self.replica_round.next_reply())

    def _checked(self, reply: ReplicaReply[Content]) -> ReplicaReply[Content]:
        """Return the reply, after asking the other members if it stands for a failure."""
        self._awaited.discard(reply.member)
        if reply.content is None:
            self._ask_deferred()
        return reply

    def _ask_deferred(self) -> None:
        deferred, self._deferred = self._deferred, {}
        if not self.replica_round.has_ended:
            self._send(deferred)

    def _send(self, requests: Mapping[str, SenderRequest]) -> None:
        for member, request in requests.items():
            self.replica_round.ask([member], request, self._until_s)


def nearest_majorities(quorum_sets: Sequence[ReplicaSet], ranked: Sequence[str]) -> Collection[str]:
    """Return members that make a majority of each set, chosen by their rank; the sets share as many as they can."""
    chosen: set[str] = set()
    for members in quorum_sets:
        missing = majority(len(members)) - len(chosen & members)
        candidates = [member for member in ranked if member in members and member not in chosen]
        chosen.update(candidates[: max(0, missing)])
    return chosen
