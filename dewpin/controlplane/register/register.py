"""One process's part in the register that holds the system state: acceptor, proposer, learner and change history."""

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


def _ignore(state: SystemState) -> None:
    pass


class SystemRegister:
    """The register as one process sees it. `member` is its id, `address` the one that peers reach it at.

    `on_chosen` is called with each state that is newly known to be chosen.
    """

    def __init__(
        self,
        member: str,
        address: str,
        storage: RegisterDatabase,
        client: RpcClient,
        rng: random.Random,
        on_chosen: Callable[[SystemState], None] = _ignore,
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
        """The handlers of the register's messages, by type."""
        return {
            **self.acceptor.handlers,
            BODY: self._bodies.handle_request,
            CHANGE_HISTORY: self._handle_history_request,
        }

    async def load(self) -> None:
        """Reads what the disk holds. The replica takes part in no ballot before that."""
        await self.acceptor.load()
        self._proposer.resume()
        await self._history.load()
        await self._log_recovery()
        self.acceptor.is_loaded = True

    async def stop(self) -> None:
        """Ends requests of ballots and writes of the change history: the next state tells of these changes too."""
        await self._background.stop()

    async def _log_recovery(self) -> None:
        """Tells of a recovery that an operator has made on this disk (`recovery.py`)."""
        for (plan,) in await self._storage.query("SELECT value FROM meta WHERE name = ?", (RECOVERY_KEY,)):
            log.warning("register.recovered", extra={"plan": json.loads(plan)})

    @property
    def chosen(self) -> SystemState | None:
        """The newest state known to be chosen."""
        return self._learner.chosen

    @property
    def chosen_ballot(self) -> Ballot:
        """A ballot under which `chosen` was chosen, or one below it."""
        return self._learner.chosen_ballot

    @property
    def newest(self) -> SystemState | None:
        """The newest state seen here, chosen or not: it names the members to ask."""
        return self.chosen or self.acceptor.replica.value

    @property
    def durable_version(self) -> int:
        """The version of the newest value that the replica has accepted and that is on disk; -1 without one."""
        return self.acceptor.durable_version

    @property
    def has_unfinished_value(self) -> bool:
        """Whether the replica accepted a version above the newest that is known to be chosen."""
        return self.acceptor.has_unfinished_value

    async def bootstrap(self, state: SystemState) -> None:
        """Takes the initial state, the same at all first members, as chosen."""
        await self.acceptor.bootstrap(state)
        self.record_chosen(ZERO_BALLOT, state)

    def record_chosen(self, ballot: Ballot, state: SystemState) -> None:
        """Records a state that is known to be chosen."""
        self._learner.record_chosen(ballot, state)

    async def adopt_chosen(self, ballot: Ballot, state: WireState, source: str) -> None:
        """Records a state that the process at `source` knows to be chosen. RpcError if its body can't be fetched."""
        await self._learner.adopt_chosen(ballot, state, source)

    async def propose(self, change: ChangeFunction, timeout_s: float) -> SystemState:
        """Makes a change; see `RegisterProposer.propose`."""
        return await self._proposer.propose(change, timeout_s)

    def body(self, digest: str) -> str | None:
        """The body of a configuration by its digest, if it is known here."""
        return self._bodies.body(digest)

    def body_digests(self) -> tuple[str, ...]:
        """The digests of the configurations' bodies that are known here."""
        return self._bodies.digests()

    def to_wire(self, state: SystemState, body_digests: tuple[str, ...]) -> WireState:
        """A state for a process that has these bodies."""
        return self._bodies.to_wire(state, body_digests)

    async def was_accepted(self, generation: int, digest: str, timeout_s: float) -> bool | None:
        """Whether a change that the newest state no longer tells of was accepted; None if unknown in time."""
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
        except StorageError as error:  # the next state tells of these changes too
            log.warning("register.orders_not_noted", extra={"why": repr(error)})

    async def _handle_history_request(self, message: Message) -> Message:
        return (await self._history.page(ChangeHistoryRequest.decode(message))).encode()

    async def _query_peers(self, request: ChangeHistoryRequest) -> ChangeHistoryPage | None:
        """The page of the peer that knows the oldest changes asked for; None where no peer answers."""
        best: ChangeHistoryPage | None = None
        for address in sorted(self._learner.addresses() - {self.address}):
            try:
                reply = await self._client.call(address, request.encode(), MEMBER_TIMEOUT_S)
                page = ChangeHistoryPage.decode(reply)
            except (RpcError, LookupError, TypeError, ValueError) as error:
                log.debug("register.no_orders", extra={"address": address, "why": repr(error)})
                continue
            if best is None or page.starts_before(best):
                best = page
            if best.changes and best.changes[0].number == request.after + 1:
                return best
        return best
