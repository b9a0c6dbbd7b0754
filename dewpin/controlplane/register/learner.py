"""The register's learner: the newest state known to be chosen and the member addresses derived from it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from dewpin.consensus import Ballot
from dewpin.consensus.replica import ZERO_BALLOT
from dewpin.controlplane.register.configuration_bodies import ConfigurationBodies
from dewpin.controlplane.register.messages import WireState
from dewpin.controlplane.register.system_state import SystemState


class RegisterLearner:
    """Keeps the newest chosen state known to one process.

    Attributes:
        chosen: the newest state known to be chosen; None before the first.
        chosen_ballot: a ballot under which `chosen` was chosen, or a smaller one.
        bodies: the configuration bodies of these states.

    Invariant: addresses are kept only for members named in `chosen` or in a value that may still become the next chosen
    state.
    """

    def __init__(self, bodies: ConfigurationBodies, on_chosen: Callable[[SystemState], None]) -> None:
        self.chosen: SystemState | None = None
        self.chosen_ballot = ZERO_BALLOT
        self.bodies = bodies
        self._chosen_addresses: dict[str, str] = {}
        self._proposed_addresses: dict[str, _ProposedAddress] = {}
        self._on_chosen = on_chosen
        self._adopt_lock = asyncio.Lock()

    def record_chosen(self, ballot: Ballot, state: SystemState) -> None:
        """Record a state known to be chosen. Call `on_chosen` if it is newer than the current one."""
        if self.chosen is not None and state["version"] <= self.chosen["version"]:
            if state["version"] == self.chosen["version"]:
                self.chosen_ballot = max(ballot, self.chosen_ballot)
            return
        self.bodies.add(state)
        self.chosen = state
        self.chosen_ballot = max(ballot, self.chosen_ballot)
        self._chosen_addresses = _addresses_in(state)
        self._forget_superseded_addresses(state["version"])
        self._on_chosen(state)

    async def adopt_chosen(self, ballot: Ballot, state: WireState, source: str) -> None:
        """Record a chosen state received from the process at `source`, after fetching its body.

        Raises RpcError if the body cannot be fetched; pages received so far are kept for the next attempt.
        """
        async with self._adopt_lock:
            if self.chosen is None or state["version"] > self.chosen["version"]:
                self.record_chosen(ballot, await self.bodies.from_wire(state, source))

    def learn_addresses(self, state: SystemState) -> None:
        """Record the member addresses in a state that may still be chosen."""
        version = state["version"]
        if self.chosen is not None and version <= self.chosen["version"]:
            return
        for member, address in _addresses_in(state).items():
            known = self._proposed_addresses.get(member)
            if known is None or known.version <= version:
                self._proposed_addresses[member] = _ProposedAddress(address, version)

    def address_of(self, member: str) -> str | None:
        """Return the address of a member; None if no chosen or possibly chosen state names it."""
        proposed = self._proposed_addresses.get(member)
        return proposed.address if proposed is not None else self._chosen_addresses.get(member)

    def addresses(self) -> set[str]:
        """Return the addresses of all members named in chosen or possibly chosen states."""
        proposed = {known.address for known in self._proposed_addresses.values()}
        return proposed | set(self._chosen_addresses.values())

    def _forget_superseded_addresses(self, chosen_version: int) -> None:
        """Remove addresses that are named only in values that can no longer be chosen."""
        self._proposed_addresses = {
            member: known for member, known in self._proposed_addresses.items() if known.version > chosen_version
        }


@dataclass(frozen=True, slots=True)
class _ProposedAddress:
    """A member's address in a proposed value. `version` is that of the newest value naming the member."""

    address: str
    version: int


def _addresses_in(state: SystemState) -> dict[str, str]:
    return {**state["former_members"], **state["members"]}
