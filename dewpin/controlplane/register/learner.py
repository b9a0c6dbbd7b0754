"""The learner of the register: the newest state that this process knows to be chosen, and what follows from it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

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
        addresses: the address of each member that a state has named.
        bodies: the bodies of the configurations in these states.
    """

    def __init__(self, bodies: ConfigurationBodies, on_chosen: Callable[[SystemState], None]) -> None:
        self.chosen: SystemState | None = None
        self.chosen_ballot = ZERO_BALLOT
        self.addresses: dict[str, str] = {}
        self.bodies = bodies
        self._on_chosen = on_chosen
        self._adopting = asyncio.Lock()

    def record_chosen(self, ballot: Ballot, state: SystemState) -> None:
        """Records a state that is known to be chosen. `on_chosen` is called if it is newer than the one known."""
        self.learn_addresses(state)
        if self.chosen is not None and state["version"] <= self.chosen["version"]:
            if state["version"] == self.chosen["version"]:
                self.chosen_ballot = max(ballot, self.chosen_ballot)
            return
        self.bodies.add(state)
        self.chosen = state
        self.chosen_ballot = max(ballot, self.chosen_ballot)
        self._on_chosen(state)

    async def adopt_chosen(self, ballot: Ballot, state: WireState, source: str) -> None:
        """Records a state that the process at `source` knows to be chosen, once its body has been fetched.

        Raises RpcError if the body can't be fetched now; the pages received so far are kept for the next attempt.
        """
        async with self._adopting:
            if self.chosen is None or state["version"] > self.chosen["version"]:
                self.record_chosen(ballot, await self.bodies.from_wire(state, source))

    def learn_addresses(self, state: SystemState) -> None:
        """Records the addresses of a state's members, chosen or not."""
        self.addresses.update(state["former_members"])
        self.addresses.update(state["members"])
