"""The register's acceptor: this member's durable replica and the handlers of proposers' requests."""

from __future__ import annotations

from collections.abc import Coroutine
from dataclasses import replace
from typing import Any

from dewpin.cluster.rpc import Handler, Message, RpcError
from dewpin.consensus import Accepted, Ballot, Conflict, Promise, Replica
from dewpin.consensus.messages import encode_reply
from dewpin.consensus.replica import ZERO_BALLOT
from dewpin.controlplane.register.learner import RegisterLearner
from dewpin.controlplane.register.messages import ACCEPT, PREPARE, AcceptRequest, PrepareRequest
from dewpin.controlplane.register.replica_storage import RegisterDatabase, ReplicaStorage
from dewpin.controlplane.register.system_state import SystemState
from dewpin.controlplane.storage import StorageError


class RegisterAcceptor:
    """The replica of one member. It replies only after its new state has been synced to disk.

    Attributes:
        member: the id of this member.
        replica: the newest promise and the value accepted last.
        is_loaded: whether the replica has been read from disk. Until then it rejects all requests, because an empty
            replica would disregard the promises on disk.
    """

    def __init__(self, member: str, storage: RegisterDatabase, learner: RegisterLearner) -> None:
        self.member = member
        self.replica = Replica()
        self.is_loaded = False
        self._storage = ReplicaStorage(storage, self.replica)
        self._learner = learner

    @property
    def handlers(self) -> dict[str, Handler]:
        """The handlers of proposers' requests by message type."""
        return {PREPARE: self.handle_prepare, ACCEPT: self.handle_accept}

    async def load(self) -> None:
        """Load the replica from disk. The caller sets `is_loaded` once the rest of the register is loaded as well."""
        await self._storage.load()
        if self.replica.value is not None:
            self._learner.learn_addresses(self.replica.value)
            self._learner.bodies.add(self.replica.value)

    @property
    def durable_version(self) -> int:
        """The version of the newest accepted value that is on disk; -1 if there is none."""
        return self._storage.durable_version

    @property
    def has_unfinished_value(self) -> bool:
        """Whether the accepted value is newer than the newest state known to be chosen."""
        if self.replica.value is None:
            return False
        chosen = self._learner.chosen
        return chosen is None or bool(self.replica.value["version"] > chosen["version"])

    async def bootstrap(self, state: SystemState) -> None:
        """Accept the initial state. It needs no ballot, since it is identical on all initial members."""
        if self.replica.value is None and self.replica.accepted == ZERO_BALLOT:
            self.replica.value = state
            await _synced(self._storage.persist())

    async def prepare(self, ballot: Ballot, known_ballot: Ballot | None) -> Promise | Conflict:
        """Handle the first round of a ballot. Raises RpcError if the promise cannot be synced to disk."""
        reply = self.replica.prepare(ballot, known_ballot)
        if isinstance(reply, Promise):
            await _synced(self._storage.persist_promise())
        return reply

    async def accept(self, ballot: Ballot, state: SystemState) -> Accepted | Conflict:
        """Handle the second round of a ballot. Raises RpcError if the value cannot be synced to disk."""
        reply = self.replica.accept(ballot, state)
        if isinstance(reply, Accepted):
            self._learner.learn_addresses(state)
            await _synced(self._storage.persist())
        return reply

    async def handle_prepare(self, message: Message) -> Message:
        """Reply to a prepare request from another process."""
        request = PrepareRequest.decode(message)
        self._check_addressee(request.member)
        reply = await self.prepare(request.ballot, request.known_ballot)
        if isinstance(reply, Promise) and reply.value is not None:
            reply = replace(reply, value=self._learner.bodies.to_wire(reply.value, request.body_digests))
        return encode_reply(reply)

    async def handle_accept(self, message: Message) -> Message:
        """Reply to an accept request from another process."""
        request = AcceptRequest.decode(message)
        self._check_addressee(request.member)
        if request.ballot < self.replica.promised:
            return encode_reply(Conflict(self.replica.promised))
        state = await self._learner.bodies.from_wire(request.value, request.body_source)
        return encode_reply(await self.accept(request.ballot, state))

    def _check_addressee(self, member: str) -> None:
        """Raise RpcError if this process is not ready or is not the incarnation that the request addresses."""
        if not self.is_loaded:
            raise RpcError("starting", self.member)
        if member != self.member:
            raise RpcError("another_incarnation", self.member)


async def _synced(write: Coroutine[Any, Any, None]) -> None:
    try:
        await write
    except StorageError as error:
        raise RpcError("storage_failed", str(error)) from error
