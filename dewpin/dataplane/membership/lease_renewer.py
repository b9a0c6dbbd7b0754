"""The lease of a sender: renews it at the control servers in rotation and applies their grants."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable

from dewpin.cluster.errors import ErrorKind
from dewpin.cluster.relay_messages import LEASE_RELEASE, LeaseGrant, RelayUpdate, RenewRequest
from dewpin.cluster.rpc import Message, RpcClient, RpcError
from dewpin.cluster.settings import Settings
from dewpin.dataplane.membership.cluster_knowledge import ClusterKnowledge
from dewpin.dataplane.membership.control_server_list import ControlServerList
from dewpin.dataplane.membership.relay_subscription import WATCH_TIMEOUT_S
from dewpin.dataplane.membership.sender_count import SenderCount
from dewpin.dataplane.membership.update_sources import UpdateSources

log = logging.getLogger(__name__)

RENEWALS_PER_APPLY_TIME = 5
"""Number of renewals within the time limit for applying a configuration."""
MISSED_RENEWALS_UNTIL_CUT_OFF = 4
"""Number of consecutive missed renewals after which a sender considers itself cut off from the control plane."""
UNCONFIRMED_PERIOD_S = 0.1
"""Maximum renewal period before the first confirmed state: the next grant may contain the confirmation."""
MAX_REFUSALS_COUNTED = 8
RENEW_TIMEOUT_S = 0.35
MIN_RENEWAL_DELAY_S = 0.02


def renewal_period_s(settings: Settings) -> float:
    """Return the renewal period of a lease."""
    return settings.bounds.config_apply_ms / 1000 / RENEWALS_PER_APPLY_TIME


class LeaseRenewer:
    """Renews the lease of one sender; requests the update if a grant reveals a newer state or receiver list.

    sender_id: identifies this process to the control servers.
    sender_count: number of live senders, including this one; 0 if it is unknown.
    settings: returns the current settings.
    on_sender_count: called after a change of `sender_count`.
    clock: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        client: RpcClient,
        sender_id: str,
        address: str,
        settings: Callable[[], Settings],
        control_servers: ControlServerList,
        sources: UpdateSources,
        knowledge: ClusterKnowledge,
        on_sender_count: Callable[[int], None],
        rng: random.Random,
        clock: Callable[[], float],
    ) -> None:
        self.sender_id = sender_id
        self.sender_count = 0
        self._client = client
        self._address = address
        self._settings = settings
        self._control_servers = control_servers
        self._sources = sources
        self._knowledge = knowledge
        self._on_sender_count = on_sender_count
        self._rng = rng
        self._clock = clock
        self._sender_counts = SenderCount()
        self._last_answer_s = float("-inf")
        self._consecutive_refusals = 0

    @property
    def has_control_plane_contact(self) -> bool:
        """Whether a control server has recently answered a renewal, including refusals for lack of a majority."""
        max_age_s = MISSED_RENEWALS_UNTIL_CUT_OFF * renewal_period_s(self._settings())
        return self._clock() - self._last_answer_s < max_age_s

    async def renew_and_wait(self) -> None:
        """Renew the lease once, then wait until the next renewal is due."""
        period_s = renewal_period_s(self._settings())
        started_s = self._clock()
        if not await self._renew(self._control_servers.choose_next(started_s)):
            await asyncio.sleep(self._failure_backoff_s())
            return
        if not self._knowledge.confirmation.is_confirmed:
            period_s = min(period_s / 4, UNCONFIRMED_PERIOD_S)
        delay_s = period_s * (0.9 + 0.2 * self._rng.random()) - (self._clock() - started_s)
        await asyncio.sleep(max(delay_s, MIN_RENEWAL_DELAY_S))

    async def release(self) -> None:
        """Release the lease at all control servers."""
        message: Message = {"type": LEASE_RELEASE, "sender": self.sender_id}
        calls = [
            self._client.call(control_server, message, RENEW_TIMEOUT_S)
            for control_server in self._control_servers.all()
        ]
        await asyncio.gather(*calls, return_exceptions=True)

    def _failure_backoff_s(self) -> float:
        """Return a short delay if another control server is usable.

        Otherwise the delay doubles with each refusal, so that all senders together do not overload a refusing server.
        """
        period_s = renewal_period_s(self._settings())
        if self._control_servers.usable(self._clock()):
            return period_s / 8
        return min(period_s, period_s / 4 * float(2**self._consecutive_refusals))

    async def _renew(self, control_server: str) -> bool:
        """Renew the lease at one control server and fetch its newer updates; return whether this succeeded."""
        asked_s = self._clock()
        settings = self._settings()
        knowledge = self._knowledge
        receivers_version = knowledge.receiver_list.directory.version
        request = RenewRequest(self.sender_id, self._address, settings.zone, receivers_version)
        try:
            grant = LeaseGrant.decode(await self._client.call(control_server, request.encode(), RENEW_TIMEOUT_S))
            self._apply_grant(grant)
            if knowledge.is_behind(grant):
                await self._fetch_update(control_server)
            else:
                knowledge.receiver_list.record_read_time(grant.receivers_version, asked_s - grant.list_age_s)
            if knowledge.system_state.newest_version >= grant.state_version:
                knowledge.confirmation.confirm(asked_s - grant.knowledge_age_s)
        except (RpcError, KeyError, TypeError, ValueError) as error:
            self._record_failure(control_server, error)
            return False
        self._control_servers.record_answer(control_server, self._clock())
        self._consecutive_refusals = 0
        return True

    def _record_failure(self, control_server: str, error: Exception) -> None:
        log.debug("lease.not_renewed", extra={"control_server": control_server, "why": repr(error)})
        now_s = self._clock()
        if isinstance(error, RpcError) and error.kind == ErrorKind.NO_QUORUM:
            self._last_answer_s = now_s
            self._consecutive_refusals = min(self._consecutive_refusals + 1, MAX_REFUSALS_COUNTED)
            self._control_servers.record_refusal(control_server, now_s)
        else:
            self._control_servers.record_failure(control_server, now_s)

    def _apply_grant(self, grant: LeaseGrant) -> None:
        self._control_servers.add(grant.control_addresses, self._clock())
        self._sources.set_parents(grant.parents)
        sender_count = self._sender_counts.update(grant.senders, grant.duration_s, self._clock())
        if sender_count != self.sender_count:
            self.sender_count = sender_count
            self._on_sender_count(sender_count)
        self._last_answer_s = self._clock()

    async def _fetch_update(self, control_server: str) -> None:
        """Request newer updates from a control server and apply them."""
        asked_s = self._clock()
        request = self._knowledge.watch_request(is_long_poll=False)
        answer = await self._client.call(control_server, request.encode(), WATCH_TIMEOUT_S)
        self._knowledge.apply_update(RelayUpdate.decode(answer), asked_s)
