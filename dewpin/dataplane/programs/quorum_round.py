"""A round of calls to the replicas required for a quorum, with hedged requests to the others after a delay.

The nearest majority of each replica set is asked first, together with the replicas that are due for a probe. The others
are sent hedged requests as soon as a call to a replica asked first fails, or after the hedge delay, a multiple of the
latency of the slowest replica in these majorities. For the protocol, a request that is never sent is equivalent to one
that the network lost, so the guarantees of a round that asks all replicas apply to this one, too.
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
"""The hedge delay is the expected latency of the slowest replica in the nearest majorities times this factor."""
MIN_HEDGE_DELAY_S = 0.02
MAX_HEDGE_DELAY_S = 0.2

Content = TypeVar("Content")
ReplicaSet = frozenset[str]


class QuorumRound(Generic[Content]):
    """Context manager that asks the nearest majorities of the quorum sets first and the other members later.

    calls, view, decode, continues_after_end: see `ReplicaRound`.
    quorum_sets: the replica sets; a majority of each is required.
    deadline_s: when retries end, in seconds of the loop's clock.
    replica_round: the underlying calls; it ends with the block.

    Invariant: `_deferred` holds the requests of the last `ask` that have not been sent.
    """

    def __init__(
        self,
        calls: ReplicaCalls,
        view: StoreView,
        decode: Callable[[Message], Content],
        quorum_sets: Sequence[ReplicaSet],
        deadline_s: float,
        continues_after_end: bool = False,
    ) -> None:
        self.replica_round = ReplicaRound(calls, view, decode, self.ask_deferred, continues_after_end)
        self._health = calls.health
        self._quorum_sets = quorum_sets
        self._members: frozenset[str] = frozenset().union(*quorum_sets)
        self._deadline_s = deadline_s
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
        """Whether further replies are possible."""
        return bool(self.replica_round.unanswered or self._deferred)

    def ask(self, requests: Mapping[str, SenderRequest]) -> None:
        """Send requests, by member id, to the nearest members first; drop those deferred by the previous call."""
        if not requests:
            return
        now_s = asyncio.get_running_loop().time()
        ranked = self._health.nearest_first(self.replica_round.view, self._members, now_s)
        preferred = nearest_majorities(self._quorum_sets, ranked)
        probed = self._health.claim_due_probes(requests.keys() - preferred, now_s)
        first = {member: request for member, request in requests.items() if member in preferred or member in probed}
        self._deferred = {member: request for member, request in requests.items() if member not in first}
        latency_s = max((self._health.expected_latency_s(member, now_s) for member in preferred), default=0.0)
        delay_s = min(MAX_HEDGE_DELAY_S, max(MIN_HEDGE_DELAY_S, HEDGE_LATENCY_FACTOR * latency_s))
        self._hedge_at_s = now_s + delay_s
        self._awaited = set(preferred)
        self._send(first)

    def ask_again(self, member: str, request: SenderRequest) -> None:
        """Send a further request to a member that has replied."""
        self._send({member: request})

    async def next_reply(self) -> ReplicaReply[Content]:
        """Wait for the next reply. Raises StaleViewError once a newer view is known."""
        if self._deferred and self.replica_round.unanswered:
            try:
                async with asyncio.timeout_at(self._hedge_at_s):
                    return self._hedge_if_failed(await self.replica_round.next_reply())
            except TimeoutError:
                for member in self._awaited:
                    self._health.record_failure(member, self._hedge_at_s)
        self.ask_deferred()
        return self._hedge_if_failed(await self.replica_round.next_reply())

    def _hedge_if_failed(self, reply: ReplicaReply[Content]) -> ReplicaReply[Content]:
        """Return the reply; send the deferred requests first if the call failed."""
        self._awaited.discard(reply.member)
        if reply.content is None:
            self.ask_deferred()
        return reply

    def ask_deferred(self) -> None:
        """Send the deferred requests at once."""
        deferred, self._deferred = self._deferred, {}
        if not self.replica_round.has_ended:
            self._send(deferred)

    def _send(self, requests: Mapping[str, SenderRequest]) -> None:
        for member, request in requests.items():
            self.replica_round.ask([member], request, self._deadline_s)


def nearest_majorities(quorum_sets: Sequence[ReplicaSet], ranked: Sequence[str]) -> Collection[str]:
    """Choose the highest-ranked members that form a majority of each set; members of several sets count for each."""
    chosen: set[str] = set()
    for members in quorum_sets:
        missing = majority(len(members)) - len(chosen & members)
        candidates = [member for member in ranked if member in members and member not in chosen]
        chosen.update(candidates[: max(0, missing)])
    return chosen
