"""The subscription to updates: watches one parent in the relay tree and switches to another source if it fails."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from dewpin.cluster.relay_messages import RelayUpdate
from dewpin.cluster.rpc import RpcClient, RpcError
from dewpin.dataplane.membership.cluster_knowledge import ClusterKnowledge
from dewpin.dataplane.membership.update_sources import UpdateSources

log = logging.getLogger(__name__)

WATCH_TIMEOUT_S = 1.7
WATCH_RETRY_S = 0.05
FAILED_SOURCE_RETRY_S = 3.0
"""How long a failed source is avoided."""


class RelaySubscription:
    """Watches the nearest source that has not failed recently, and applies its updates.

    retry_all_s: returns the delay before the next watch if all sources have failed.
    clock: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        client: RpcClient,
        sources: UpdateSources,
        knowledge: ClusterKnowledge,
        retry_all_s: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self._client = client
        self._sources = sources
        self._knowledge = knowledge
        self._retry_all_s = retry_all_s
        self._clock = clock
        self._failed_until_s: dict[str, float] = {}

    async def watch(self) -> None:
        """Wait for one reply and apply it; after a failure, wait before the next watch."""
        source, asked_s = self._choose_source(), self._clock()
        try:
            request = self._knowledge.watch_request(is_long_poll=True)
            answer = await self._client.call(source, request.encode(), WATCH_TIMEOUT_S)
            self._knowledge.apply_update(RelayUpdate.decode(answer), asked_s)
        except (RpcError, KeyError, TypeError, ValueError) as error:
            self._failed_until_s[source] = self._clock() + FAILED_SOURCE_RETRY_S
            log.debug("relay.parent_failed", extra={"parent": source, "why": repr(error)})
            has_others = self._choose_source() not in self._failed_until_s
            await asyncio.sleep(WATCH_RETRY_S if has_others else self._retry_all_s())

    def _choose_source(self) -> str:
        """Return the first source that has not failed recently; the last source if all have."""
        now_s = self._clock()
        self._failed_until_s = {source: until_s for source, until_s in self._failed_until_s.items() if until_s > now_s}
        sources = [*self._sources.parents(), *self._sources.control_servers()]
        return next((source for source in sources if source not in self._failed_until_s), sources[-1])
