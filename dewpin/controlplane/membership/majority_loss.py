"""Logs a loss of contact with the register's majority, including which members are missing."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from dewpin.controlplane.membership.peers import ALIVE_WITHIN_S, PeerTable
from dewpin.controlplane.register.system_state import SystemState

log = logging.getLogger(__name__)

LOSS_TIMEOUT_S = 5.0
"""Time without contact with a majority after which the loss is logged."""
LOG_INTERVAL_S = 30.0


@dataclass(frozen=True, slots=True)
class MissingMembers:
    """Members of the register that do not reply, each as `id (machine)`.

    Attributes:
        silent: members whose machines are silent.
        without_disk: members whose machines run as another incarnation, so their data is lost.
    """

    silent: tuple[str, ...]
    without_disk: tuple[str, ...]


def missing_members(state: SystemState, own_member: str, peers: PeerTable, now_s: float) -> MissingMembers:
    """Return the members of a state that are currently silent."""
    silent: list[str] = []
    without_disk: list[str] = []
    for member in sorted({*state["members"], *state["former_members"]} - {own_member}):
        if peers.since_last_received_s(member, now_s) <= ALIVE_WITHIN_S:
            continue
        name = state["names"].get(member)
        description = f"{member} ({name or 'unknown machine'})"
        (without_disk if peers.is_replaced(member, name, now_s) else silent).append(description)
    return MissingMembers(tuple(silent), tuple(without_disk))


class MajorityLossLog:
    """Logs `register.majority_lost` at a limited rate while there is no contact with a majority."""

    def __init__(self, started_at_s: float) -> None:
        self._last_contact_s = started_at_s
        self._logged_at_s = float("-inf")

    def update(
        self, state: SystemState, own_member: str, peers: PeerTable, has_contact: bool, now_s: float
    ) -> MissingMembers | None:
        """Record the contact status. Return the logged members, or None if nothing was logged."""
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
