"""The acceptor of the register: this member's replica, on disk, and the messages that other proposers send to it."""

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
    """The replica of one member. A reply leaves only after the state behind it is synced.

    Attributes:
        member: the id of this member.
        replica: the promise and the value that were accepted last.
        is_loaded: whether the disk has been read. Before that the replica answers nothing: it would forget promises.
    """

    def __init__(self, member: str, storage: RegisterDatabase, learner: RegisterLearner) -> None:
        self.member = member
        self.replica = Replica()
        self.is_loaded = False
        self._storage = ReplicaStorage(storage, self.replica)
        self._learner = learner

    @property
    def handlers(self) -> dict[str, Handler]:
        """The handlers of a proposer's messages, by type."""
        return {PREPARE: self.handle_prepare, ACCEPT: self.handle_accept}

    async def load(self) -> None:
        """Reads the replica from disk. The caller sets `is_loaded` once the rest of the register is loaded too."""
        await self._storage.load()
        if self.replica.value is not None:
            self._learner.learn_addresses(self.replica.value)
            self._learner.bodies.add(self.replica.value)

    @property
    def durable_version(self) -> int:
        """The version of the newest value that was accepted and is on disk; -1 without one."""
        return self._storage.durable_version

    @property
    def has_unfinished_value(self) -> bool:
        """Whether a version was accepted above the newest that is known to be chosen."""
        if self.replica.value is None:
            return False
        chosen = self._learner.chosen
        return chosen is None or bool(self.replica.value["version"] > chosen["version"])

    async def bootstrap(self, state: SystemState) -> None:
        """Accepts the initial state, which needs no ballot since it is the same at all first members."""
        if self.replica.value is None and self.replica.accepted == ZERO_BALLOT:
            self.replica.value = state
            await _synced(self._storage.persist())

    async def prepare(self, ballot: Ballot, known_ballot: Ballot | None) -> Promise | Conflict:
        """First round of a ballot. Raises RpcError if the promise can't be synced."""
        reply = self.replica.prepare(ballot, known_ballot)
        if isinstance(reply, Promise):
            await _synced(self._storage.persist_promise())
        return reply

    async def accept(self, ballot: Ballot, state: SystemState) -> Accepted | Conflict:
        """Second round of a ballot. Raises RpcError if the value can't be synced."""
        reply = self.replica.accept(ballot, state)
        if isinstance(reply, Accepted):
            self._learner.learn_addresses(state)
            await _synced(self._storage.persist())
        return reply

    async def handle_prepare(self, message: Message) -> Message:
        """Answers the first round of another process."""
        request = PrepareRequest.decode(message)
        self._check_addressee(request.member)
        reply = await self.prepare(request.ballot, request.known_ballot)
        if isinstance(reply, Promise) and reply.value is not None:
            reply = replace(reply, value=self._learner.bodies.to_wire(reply.value, request.body_digests))
        return encode_reply(reply)

    async def handle_accept(self, message: Message) -> Message:
        """Answers the second round of another process."""
        request = AcceptRequest.decode(message)
        self._check_addressee(request.member)
        if request.ballot < self.replica.promised:
            return encode_reply(Conflict(self.replica.promised))
        state = await self._learner.bodies.from_wire(request.value, request.body_source)
        return encode_reply(await self.accept(request.ballot, state))

    def _check_addressee(self, member: str) -> None:
        """Raises RpcError where this process isn't ready, or isn't the incarnation that the proposer means."""
        if not self.is_loaded:
            raise RpcError("starting", self.member)
        if member != self.member:
            raise RpcError("another_incarnation", self.member)


async def _synced(write: Coroutine[Any, Any, None]) -> None:
    try:
        await write
    except StorageError as error:
        raise RpcError("storage_failed", str(error)) from error
