"""The upkeep of the register: its first state, values that others left half made, and the changes that are due."""

from __future__ import annotations

import logging
from collections.abc import Callable

from dewpin.controlplane.membership.majority_contact import RegisterConfirmation
from dewpin.controlplane.membership.peers import Peer, PeerTable
from dewpin.controlplane.membership.reconfiguration import Knowledge, drives, due_change
from dewpin.controlplane.register.register import RegisterUnavailable, SystemRegister
from dewpin.controlplane.register.system_state import ChangeRefused, SystemState, genesis

log = logging.getLogger(__name__)

PROPOSE_TIMEOUT_S = 2.0
MOST_CHANGES_AT_ONCE = 8
UNFINISHED_WAIT_S = 0.3


class RegisterUpkeep:
    """Keeps the register going on this process's part. `seed_addresses`: of the first members."""

    def __init__(
        self,
        register: SystemRegister,
        confirmation: RegisterConfirmation,
        peers: PeerTable,
        me: Callable[[], Peer],
        seed_addresses: Callable[[], list[str]],
        replica_count: int,
        clock: Callable[[], float],
    ) -> None:
        self._register = register
        self._confirmation = confirmation
        self._peers = peers
        self._me = me
        self._seed_addresses = seed_addresses
        self._replica_count = replica_count
        self._clock = clock
        self._started_s = clock()
        self._unfinished_since_s: float | None = None

    async def step(self) -> None:
        """Makes the first state, finishes what others left, and makes the changes that are due."""
        if self._register.newest is None:
            await self._begin_if_everyone_is_here()
            return
        if self._register.chosen is None or self._unfinished_for_long() or self._confirmation.needs_read():
            await self._learn_newest()
        for _ in range(MOST_CHANGES_AT_ONCE):
            if not await self._make_due_change():
                return

    async def _make_due_change(self) -> bool:
        """Makes the next change of members or stores, if this process drives them; whether one was made."""
        state, knowledge = self._register.chosen, self._knowledge()
        if state is None or not drives(state, knowledge):
            return False
        change = due_change(state, knowledge)
        if change is None:
            return False
        try:
            following = await self._register.propose(change, PROPOSE_TIMEOUT_S)
        except (ChangeRefused, RegisterUnavailable) as fault:
            log.info("register.change_not_made", extra={"why": repr(fault)})
            return False
        log.warning("register.reconfigured", extra=_reconfiguration_fields(following))
        return True

    def _knowledge(self) -> Knowledge:
        return Knowledge(
            me=self._me(),
            peers=self._peers,
            full_count=self._replica_count,
            started_s=self._started_s,
            now_s=self._clock(),
            contact_since_s=self._confirmation.contact_since_s(),
        )

    async def _begin_if_everyone_is_here(self) -> None:
        members: dict[str, str] = {}
        names: dict[str, str] = {}
        for address in self._seed_addresses():
            peer = self._me() if address == self._register.address else self._peers.at_address(address)
            if peer is None or not peer.bootstrap or peer.version >= 0:
                return
            members[peer.id] = peer.address
            names[peer.id] = peer.name
        if self._register.member in members:
            await self._register.begin(genesis(members, names))

    def _unfinished_for_long(self) -> bool:
        if not self._register.has_unfinished_value:
            self._unfinished_since_s = None
            return False
        if self._unfinished_since_s is None:
            self._unfinished_since_s = self._clock()
        return self._clock() - self._unfinished_since_s > UNFINISHED_WAIT_S

    async def _learn_newest(self) -> None:
        asked_s = self._clock()
        try:
            await self._register.propose(lambda state: state, PROPOSE_TIMEOUT_S)
            self._confirmation.confirmed_by_read(asked_s)
        except RegisterUnavailable as fault:
            log.info("register.state_unknown", extra={"why": repr(fault)})


def _reconfiguration_fields(state: SystemState) -> dict[str, object]:
    return {
        "version": state["version"],
        "members": list(state["members"]),
        "stores": list(state["stores"]["stable"]),
        "next_stores": list(state["stores"]["next"] or {}),
    }
