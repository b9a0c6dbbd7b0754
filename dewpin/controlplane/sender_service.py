"""The service of a control server to senders: grants leases and answers watches."""

from __future__ import annotations

from collections.abc import Callable

from dewpin.cluster.body_messages import RELAY_BODY
from dewpin.cluster.body_pages import BodyPageService, KnownBody
from dewpin.cluster.errors import ErrorKind
from dewpin.cluster.relay_messages import (
    LEASE_RELEASE,
    LEASE_RENEW,
    RELAY_WATCH,
    LeaseGrant,
    RenewRequest,
    StateJson,
    rounded_up_s,
)
from dewpin.cluster.relay_service import RelayedKnowledge, RelayService
from dewpin.cluster.rpc import Handler, Message, RpcError
from dewpin.controlplane.membership.leases import LeaseTable
from dewpin.controlplane.membership.majority_contact import StateFreshness
from dewpin.controlplane.membership.peers import PeerTable
from dewpin.controlplane.platform_list_reader import PlatformListReader
from dewpin.controlplane.register.register import SystemRegister
from dewpin.controlplane.register.system_state import SystemState, base_generation_of

CONTROL_SERVER_EXPIRY_S = 5.0
"""How long the address of a control server is sent to senders after the last message received from it."""


class SenderService:
    """Grants sender leases and serves updates at the root of the relay tree."""

    def __init__(
        self,
        leases: LeaseTable,
        register: SystemRegister,
        freshness: StateFreshness,
        list_reader: PlatformListReader,
        peers: PeerTable,
        clock: Callable[[], float],
    ) -> None:
        self._leases = leases
        self._register = register
        self._freshness = freshness
        self._list_reader = list_reader
        self._peers = peers
        self._clock = clock
        self._relay = RelayService(self._relayed_knowledge)
        self._pages = BodyPageService(self._known_body, clock)
        self._state_cache: tuple[SystemState, StateJson] | None = None
        """The newest chosen state and its representation for senders."""

    @property
    def handlers(self) -> dict[str, Handler]:
        """Handlers for messages from senders, by message type."""
        return {
            LEASE_RENEW: self._handle_renew,
            LEASE_RELEASE: self._handle_release,
            RELAY_WATCH: self._relay.handle_watch,
            RELAY_BODY: self._pages.handle,
        }

    def announce(self) -> None:
        """Complete the watches that are waiting for an update."""
        self._relay.announce()
        self._pages.announce()

    async def _handle_renew(self, message: Message) -> Message:
        request = RenewRequest.decode(message)
        if not self._freshness.is_current():
            raise RpcError(ErrorKind.NO_QUORUM, "no majority has confirmed what is known here")
        now_s = self._clock()
        control_addresses = self._control_addresses()
        grantors = len(control_addresses)
        self._leases.renew(request.sender, request.address, request.zone, now_s, grantors)
        self._list_reader.directory.observe_version(request.receivers_version)
        state = self._register.chosen
        grant = LeaseGrant(
            duration_s=self._leases.duration_s(grantors),
            state_version=state["version"] if state is not None else -1,
            receivers_version=self._list_reader.directory.version,
            list_age_s=self._list_reader.age_s(),
            knowledge_age_s=rounded_up_s(self._freshness.age_s()),
            parents=tuple(self._leases.parents(request.sender, now_s)),
            control_addresses=control_addresses,
            senders=self._leases.count(now_s),
        )
        return grant.encode()

    async def _handle_release(self, message: Message) -> Message:
        self._leases.release(str(message["sender"]), self._clock())
        return {"type": "lease.released"}

    def _control_addresses(self) -> tuple[str, ...]:
        now_s = self._clock()
        live_addresses = [
            peer.address
            for peer in self._peers.peers.values()
            if peer.serves_control and peer.since_last_received_s(now_s) < CONTROL_SERVER_EXPIRY_S
        ]
        return tuple(sorted({self._register.address, *live_addresses}))

    def _relayed_knowledge(self) -> RelayedKnowledge:
        return RelayedKnowledge(
            state=self._state_for_senders(),
            directory=self._list_reader.directory,
            list_age_s=self._list_reader.age_s(),
            age_s=self._freshness.age_s(),
            is_current=self._freshness.is_current(),
        )

    def _state_for_senders(self) -> StateJson | None:
        """Return the chosen state without the list of accepted operator changes, which senders do not need.

        It includes the base generation of the configuration, which senders need to verify a fetched body.
        """
        state = self._register.chosen
        if state is None:
            return None
        if self._state_cache is None or self._state_cache[0] is not state:
            self._state_cache = state, _relayed_state(state)
        return self._state_cache[1]

    def _known_body(self, digest: str) -> KnownBody | None:
        body = self._register.body(digest)
        return KnownBody(body, len(body)) if body is not None else None


def _relayed_state(state: SystemState) -> StateJson:
    relayed: StateJson = {name: value for name, value in state.items() if name != "accepted"}
    if state["configuration"] is not None:
        relayed["configuration"] = {**state["configuration"], "base": base_generation_of(state)}
    return relayed
