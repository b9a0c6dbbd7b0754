"""One read of a page of turns under one store view."""

from __future__ import annotations

import asyncio
import logging

from dewpin.cluster.placement import majority
from dewpin.cluster.store_messages import HistoryPage
from dewpin.cluster.store_requests import HistoryRequest
from dewpin.cluster.store_view import StoreView
from dewpin.dataplane.programs.errors import StoreUnavailableError, TurnNotFoundError
from dewpin.dataplane.programs.replica_calls import ReplicaCalls, ReplicaRound

READ_HEDGE_DELAY_S = 0.06
"""A read that has had no reply for this time is also sent to further stores."""
READ_RETRY_S = 60.0
"""How long a read is retried at one store; the caller's time-out is shorter."""

log = logging.getLogger(__name__)


class HistoryRead:
    """Reads turns, newest first, from any store that has them; asks further stores while none replies.

    Invariant: `_remaining_groups` holds the groups of members that have not been asked, in the order to ask them.
    """

    def __init__(self, calls: ReplicaCalls, view: StoreView, replica_count: int, program: str, last_id: str) -> None:
        self._view = view
        self._replica_count = replica_count
        self._last_id = last_id
        self._deadline_s = asyncio.get_running_loop().time() + READ_RETRY_S
        self._request = HistoryRequest(program, last_id)
        self._remaining_groups = _groups_to_ask(calls, view, program, replica_count)
        self._round = ReplicaRound(calls, view, HistoryPage.from_json, self._ask_next_group)

    async def run(self) -> HistoryPage:
        """Return the turns. Raises TurnNotFoundError, StoreUnavailableError or StaleViewError."""
        without_turn: set[str] = set()
        with self._round as replica_round:
            while len(self._view.stable) - len(without_turn) > self._view.max_unreachable(self._replica_count):
                if not replica_round.unanswered:
                    if not self._remaining_groups:
                        raise StoreUnavailableError("too few stores could tell of the turn")
                    self._ask_next_group()
                try:
                    hedge_delay_s = READ_HEDGE_DELAY_S if self._remaining_groups else None
                    reply = await asyncio.wait_for(replica_round.next_reply(), hedge_delay_s)
                except TimeoutError:
                    self._ask_next_group()
                    continue
                found = reply.content
                if found is None:
                    continue
                if found.turns:
                    return found
                without_turn.add(reply.member)
        log.info("turn.not_found", extra={"turn": self._last_id, "stores_without_it": sorted(without_turn)})
        raise TurnNotFoundError(self._last_id)

    def _ask_next_group(self) -> None:
        if self._remaining_groups and not self._round.has_ended:
            self._round.ask(self._remaining_groups.pop(0), self._request, self._deadline_s)


def _groups_to_ask(calls: ReplicaCalls, view: StoreView, program: str, replica_count: int) -> list[list[str]]:
    """Return the groups of members in the order to ask them.

    The first groups are single replicas, nearest first, and form a majority, so that at least one of them has each
    durable turn. The other replicas follow as one group, and all other stores as another.
    """
    now_s = asyncio.get_running_loop().time()
    replicas = calls.health.nearest_first(view, view.stable_replicas(program, replica_count), now_s)
    majority_count = majority(len(replicas))
    others = [member for member in view.stable_ids if member not in replicas]
    groups = [[member] for member in replicas[:majority_count]]
    return [group for group in (*groups, replicas[majority_count:], others) if group]
