"""Maintenance of the register: its initial state, unfinished values and due reconfigurations."""

from __future__ import annotations

import logging
from collections.abc import Callable

from dewpin.controlplane.membership.cluster_observation import ClusterObservation
from dewpin.controlplane.membership.local_peer import LocalPeer
from dewpin.controlplane.membership.majority_contact import StateFreshness
from dewpin.controlplane.membership.majority_loss import MajorityLossLog
from dewpin.controlplane.membership.peers import PeerTable
from dewpin.controlplane.membership.reconfiguration import is_coordinator, next_change
from dewpin.controlplane.register.change_errors import ChangeRejectedError
from dewpin.controlplane.register.proposer import RegisterUnavailableError
from dewpin.controlplane.register.register import SystemRegister
from dewpin.controlplane.register.system_state import SystemState, initial_state

log = logging.getLogger(__name__)

PROPOSE_TIMEOUT_S = 2.0
MAX_CHANGES_PER_STEP = 8
UNFINISHED_WAIT_S = 0.3
"""A value accepted locally but not known to be chosen is finished by a quorum read after this time."""


class RegisterMaintenance:
    """Maintains the register from one process. `replica_count`: the configured number of members and stores."""

    def __init__(
        self,
        register: SystemRegister,
        freshness: StateFreshness,
        peers: PeerTable,
        local_peer: LocalPeer,
        replica_count: int,
        clock: Callable[[], float],
    ) -> None:
        self._register = register
        self._freshness = freshness
        self._peers = peers
        self._local_peer = local_peer
        self._replica_count = replica_count
        self._clock = clock
        self._started_at_s = clock()
        self._unfinished_since_s: float | None = None
        self._majority_loss = MajorityLossLog(self._started_at_s)

    async def step(self) -> None:
        """Set the initial state, finish unfinished values and make due reconfigurations."""
        if self._register.newest is None:
            await self._bootstrap_if_all_seeds_are_present()
            return
        self._log_lost_majority(self._register.newest)
        if self._needs_quorum_read():
            await self._read_by_quorum()
        for _ in range(MAX_CHANGES_PER_STEP):
            if not await self._make_due_change():
                return

    def _log_lost_majority(self, state: SystemState) -> None:
        has_contact = self._freshness.contact_since_s() is not None
        self._majority_loss.update(state, self._register.member, self._peers, has_contact, self._clock())

    def _needs_quorum_read(self) -> bool:
        if self._register.chosen is None or self._has_unfinished_value_for_long():
            return True
        return self._freshness.needs_quorum_read()

    async def _make_due_change(self) -> bool:
        """Make the next reconfiguration if this process is the coordinator. Return whether one was made."""
        state, observation = self._register.chosen, self._observation()
        if state is None or not is_coordinator(state, observation):
            return False
        change = next_change(state, observation)
        if change is None:
            return False
        try:
            next_state = await self._register.propose(change, PROPOSE_TIMEOUT_S)
        except (ChangeRejectedError, RegisterUnavailableError) as error:
            log.info("register.change_not_made", extra={"why": repr(error)})
            return False
        log.warning("register.reconfigured", extra=_reconfiguration_fields(next_state))
        return True

    def _observation(self) -> ClusterObservation:
        return ClusterObservation(
            local_peer=self._local_peer.as_peer(),
            peers=self._peers,
            replica_count=self._replica_count,
            started_at_s=self._started_at_s,
            now_s=self._clock(),
            contact_since_s=self._freshness.contact_since_s(),
        )

    async def _bootstrap_if_all_seeds_are_present(self) -> None:
        """Set the initial state once all seeds were heard from, each without a state and started for bootstrap."""
        members: dict[str, str] = {}
        names: dict[str, str] = {}
        for address in self._local_peer.seed_addresses():
            peer = self._local_peer.as_peer() if address == self._register.address else self._peers.at_address(address)
            if peer is None or not peer.is_bootstrap or peer.version >= 0:
                return
            members[peer.id] = peer.address
            names[peer.id] = peer.name
        if self._register.member in members:
            await self._register.bootstrap(initial_state(members, names))

    def _has_unfinished_value_for_long(self) -> bool:
        if not self._register.has_unfinished_value:
            self._unfinished_since_s = None
            return False
        if self._unfinished_since_s is None:
            self._unfinished_since_s = self._clock()
        return self._clock() - self._unfinished_since_s > UNFINISHED_WAIT_S

    async def _read_by_quorum(self) -> None:
        """Perform a quorum read, which also finishes an unfinished value."""
        started_at_s = self._clock()
        try:
            await self._register.propose(lambda state: state, PROPOSE_TIMEOUT_S)
            self._freshness.record_quorum_read(started_at_s)
        except RegisterUnavailableError as error:
            log.info("register.state_unknown", extra={"why": repr(error)})


def _reconfiguration_fields(state: SystemState) -> dict[str, object]:
    return {
        "version": state["version"],
        "members": list(state["members"]),
        "stores": list(state["stores"]["stable"]),
        "next_stores": list(state["stores"]["next"] or {}),
    }
