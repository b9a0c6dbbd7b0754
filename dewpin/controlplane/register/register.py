"""The register of the system state in one process: acceptor, proposer, learner and change history."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable

from dewpin.cluster.background_tasks import BackgroundTasks
from dewpin.cluster.rpc import Handler, Message, RpcClient, RpcError
from dewpin.consensus import Ballot
from dewpin.consensus.replica import ZERO_BALLOT
from dewpin.controlplane.register.acceptor import RegisterAcceptor
from dewpin.controlplane.register.change_history import (
    CHANGE_HISTORY,
    ChangeHistory,
    ChangeHistoryPage,
    ChangeHistoryRequest,
)
from dewpin.controlplane.register.configuration_bodies import ConfigurationBodies
from dewpin.controlplane.register.learner import RegisterLearner
from dewpin.controlplane.register.messages import BODY, WireState
from dewpin.controlplane.register.proposer import MEMBER_TIMEOUT_S, RegisterProposer
from dewpin.controlplane.register.replica_storage import RECOVERY_KEY, RegisterDatabase
from dewpin.controlplane.register.system_state import ChangeFunction, SystemState
from dewpin.controlplane.storage import StorageError

log = logging.getLogger(__name__)


def _ignore_chosen(state: SystemState) -> None:
    pass


class SystemRegister:
    """The local interface to the replicated register.

    `member` is the id of this process and `address` its address for peers. `on_chosen` is called with each state newly
    known to be chosen.
    """

    def __init__(
        self,
        member: str,
        address: str,
        storage: RegisterDatabase,
        client: RpcClient,
        rng: random.Random,
        on_chosen: Callable[[SystemState], None] = _ignore_chosen,
    ) -> None:
        self.member = member
        self.address = address
        self._client = client
        self._storage = storage
        self._bodies = ConfigurationBodies(client)
        self._learner = RegisterLearner(self._bodies, self._handle_chosen)
        self.acceptor = RegisterAcceptor(member, storage, self._learner)
        self._background = BackgroundTasks()
        self._proposer = RegisterProposer(address, client, rng, self.acceptor, self._learner, self._background)
        self._history = ChangeHistory(storage, self._query_peers)
        self._on_chosen = on_chosen

    @property
    def handlers(self) -> dict[str, Handler]:
        """The handlers of the register's requests by message type."""
        return {
            **self.acceptor.handlers,
            BODY: self._bodies.handle_request,
            CHANGE_HISTORY: self._handle_history_request,
        }

    async def load(self) -> None:
        """Load the register from disk. Until then the replica rejects all ballots."""
        await self.acceptor.load()
        self._proposer.resume()
        await self._history.load()
        await self._log_recovery()
        self.acceptor.is_loaded = True

    async def stop(self) -> None:
        """Cancel ballot requests and change history writes. The next chosen state lists these changes again."""
        await self._background.stop()

    async def _log_recovery(self) -> None:
        """Log a recovery that an operator performed on this disk (`recovery.py`)."""
        for (plan,) in await self._storage.query("SELECT value FROM meta WHERE name = ?", (RECOVERY_KEY,)):
            log.warning("register.recovered", extra={"plan": json.loads(plan)})

    @property
    def chosen(self) -> SystemState | None:
        """The newest state known to be chosen."""
        return self._learner.chosen

    @property
    def chosen_ballot(self) -> Ballot:
        """A ballot under which `chosen` was chosen, or a smaller one."""
        return self._learner.chosen_ballot

    @property
    def newest(self) -> SystemState | None:
        """The newest state known here, whether chosen or not. It names the members to contact."""
        return self.chosen or self.acceptor.replica.value

    @property
    def durable_version(self) -> int:
        """The version of the newest accepted value that is on disk; -1 if there is none."""
        return self.acceptor.durable_version

    @property
    def has_unfinished_value(self) -> bool:
        """Whether the accepted value is newer than the newest state known to be chosen."""
        return self.acceptor.has_unfinished_value

    async def bootstrap(self, state: SystemState) -> None:
        """Record the initial state, identical on all initial members, as chosen."""
        await self.acceptor.bootstrap(state)
        self.record_chosen(ZERO_BALLOT, state)

    def record_chosen(self, ballot: Ballot, state: SystemState) -> None:
        """Record a state known to be chosen."""
        self._learner.record_chosen(ballot, state)

    async def adopt_chosen(self, ballot: Ballot, state: WireState, source: str) -> None:
        """Record a chosen state received from the address `source`. Raises RpcError if its body cannot be fetched."""
        await self._learner.adopt_chosen(ballot, state, source)

    async def propose(self, change: ChangeFunction, timeout_s: float) -> SystemState:
        """Propose a change; see `RegisterProposer.propose`."""
        return await self._proposer.propose(change, timeout_s)

    def body(self, digest: str) -> str | None:
        """Return a configuration body by its digest; None if it is unknown."""
        return self._bodies.body(digest)

    def body_digests(self) -> tuple[str, ...]:
        """Return the digests of the known configuration bodies."""
        return self._bodies.digests()

    def to_wire(self, state: SystemState, body_digests: tuple[str, ...]) -> WireState:
        """Return the state to send to a process that has these bodies."""
        return self._bodies.to_wire(state, body_digests)

    async def was_accepted(self, generation: int, digest: str, timeout_s: float) -> bool | None:
        """Return whether a change no longer listed in the newest state was accepted; None if unknown on timeout."""
        if self.chosen is None:
            return None
        try:
            async with asyncio.timeout(timeout_s):
                await self._history.record(self.chosen)
                return await self._history.was_accepted(generation, digest)
        except (TimeoutError, StorageError):
            return None

    def _handle_chosen(self, state: SystemState) -> None:
        self._on_chosen(state)
        self._background.start(self._record_changes(state))

    async def _record_changes(self, state: SystemState) -> None:
        try:
            await self._history.record(state)
        except StorageError as error:  # the next chosen state lists these changes again
            log.warning("register.orders_not_noted", extra={"why": repr(error)})

    async def _handle_history_request(self, message: Message) -> Message:
        return (await self._history.page(ChangeHistoryRequest.decode(message))).encode()

    async def _query_peers(self, request: ChangeHistoryRequest) -> ChangeHistoryPage | None:
        """Return the page that starts with the oldest of the requested changes; None if no peer replies."""
        oldest_page: ChangeHistoryPage | None = None
        for address in sorted(self._learner.addresses() - {self.address}):
            try:
                reply = await self._client.call(address, request.encode(), MEMBER_TIMEOUT_S)
                page = ChangeHistoryPage.decode(reply)
            except (RpcError, LookupError, TypeError, ValueError) as error:
                log.debug("register.no_orders", extra={"address": address, "why": repr(error)})
                continue
            if oldest_page is None or page.starts_before(oldest_page):
                oldest_page = page
            if oldest_page.changes and oldest_page.changes[0].number == request.after + 1:
                return oldest_page
        return oldest_page
