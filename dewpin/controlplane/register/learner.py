"""The learner of the register: the newest state that this process knows to be chosen, and what follows from it."""

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
    """Keeps the newest chosen state of one process.

    Attributes:
        chosen: the newest state known to be chosen, None before the first.
        chosen_ballot: a ballot under which `chosen` was chosen, or one below it.
        bodies: the bodies of the configurations in these states.

    Invariant: the addresses kept are those of members that `chosen` names, and that values name which may still become
    the next state.
    """

    def __init__(self, bodies: ConfigurationBodies, on_chosen: Callable[[SystemState], None]) -> None:
        self.chosen: SystemState | None = None
        self.chosen_ballot = ZERO_BALLOT
        self.bodies = bodies
        self._chosen_addresses: dict[str, str] = {}
        self._proposed_addresses: dict[str, _ProposedAddress] = {}
        self._on_chosen = on_chosen
        self._adopting = asyncio.Lock()

    def record_chosen(self, ballot: Ballot, state: SystemState) -> None:
        """Records a state that is known to be chosen. `on_chosen` is called if it is newer than the one known."""
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
        """Records a state that the process at `source` knows to be chosen, once its body has been fetched.

        Raises RpcError if the body can't be fetched now; the pages received so far are kept for the next attempt.
        """
        async with self._adopting:
            if self.chosen is None or state["version"] > self.chosen["version"]:
                self.record_chosen(ballot, await self.bodies.from_wire(state, source))

    def learn_addresses(self, state: SystemState) -> None:
        """Records the addresses of the members of a state that may still be chosen."""
        version = state["version"]
        if self.chosen is not None and version <= self.chosen["version"]:
            return
        for member, address in _addresses_in(state).items():
            known = self._proposed_addresses.get(member)
            if known is None or known.version <= version:
                self._proposed_addresses[member] = _ProposedAddress(address, version)

    def address_of(self, member: str) -> str | None:
        """The address of a member; None where no state that is chosen, or may be, names it."""
        proposed = self._proposed_addresses.get(member)
        return proposed.address if proposed is not None else self._chosen_addresses.get(member)

    def addresses(self) -> set[str]:
        """The addresses of all members that such a state names."""
        proposed = {known.address for known in self._proposed_addresses.values()}
        return proposed | set(self._chosen_addresses.values())

    def _forget_superseded_addresses(self, chosen_version: int) -> None:
        """Drops what only values have named that can't be chosen any more."""
        self._proposed_addresses = {
            member: known for member, known in self._proposed_addresses.items() if known.version > chosen_version
        }


@dataclass(frozen=True, slots=True)
class _ProposedAddress:
    """The address that a value names for a member; `version`: that of the newest such value."""

    address: str
    version: int


def _addresses_in(state: SystemState) -> dict[str, str]:
    return {**state["former_members"], **state["members"]}
