"""Tells the operator that the register's majority is out of reach, and which members it waits for."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from dewpin.controlplane.membership.peers import ALIVE_WITHIN_S, PeerTable
from dewpin.controlplane.register.system_state import SystemState

log = logging.getLogger(__name__)

LOSS_TIMEOUT_S = 5.0
"""Without contact to a majority for so long, a process says so."""
LOG_INTERVAL_S = 30.0


@dataclass(frozen=True, slots=True)
class MissingMembers:
    """The members of the register that do not answer, as `id (machine)`.

    Attributes:
        silent: nothing is heard of their machines.
        without_disk: their machines are heard as another incarnation: what they held is lost.
    """

    silent: tuple[str, ...]
    without_disk: tuple[str, ...]


def missing_members(state: SystemState, own_member: str, peers: PeerTable, now_s: float) -> MissingMembers:
    """Returns the members of a state that have not been heard lately."""
    silent: list[str] = []
    without_disk: list[str] = []
    for member in sorted({*state["members"], *state["former_members"]} - {own_member}):
        if peers.since_last_received_s(member, now_s) <= ALIVE_WITHIN_S:
            continue
        name = state["names"].get(member)
        described = f"{member} ({name or 'unknown machine'})"
        (without_disk if peers.is_replaced(member, name, now_s) else silent).append(described)
    return MissingMembers(tuple(silent), tuple(without_disk))


class MajorityLossLog:
    """Logs `register.majority_lost` while there is no contact to a majority, not too often."""

    def __init__(self, started_at_s: float) -> None:
        self._last_contact_s = started_at_s
        self._logged_at_s = float("-inf")

    def update(
        self, state: SystemState, own_member: str, peers: PeerTable, has_contact: bool, now_s: float
    ) -> MissingMembers | None:
        """Takes note of the contact; returns what was logged, None if nothing was."""
        if has_contact:
            self._last_contact_s = now_s
            self._logged_at_s = float("-inf")
            return None
        if now_s - self._last_contact_s < LOSS_TIMEOUT_S or now_s - self._logged_at_s < LOG_INTERVAL_S:
            return None
        self._logged_at_s = now_s
        missing = missing_members(state, own_member, peers, now_s)
        fields = {"silent": missing.silent, "without_disk": missing.without_disk}
        log.warning("register.majority_lost", extra={**fields, "seconds": round(now_s - self._last_contact_s, 1)})
        return missing
