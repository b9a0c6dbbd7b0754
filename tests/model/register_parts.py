"""A control process as a component of the register model: the real `SystemRegister` on a disk of the model.

It is a member and a proposer. Only its environment is modelled: the disk is a set of rows in memory, and a ballot's
requests are queued in the model's network instead of an `RpcClient`. A row counts as synced at once, as no reply is
sent before. An operation ends with an unknown outcome once its process has used up its ballots.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Coroutine
from typing import Any, NamedTuple

from dewpin.cluster.background_tasks import BackgroundTasks
from dewpin.cluster.rpc import RpcError
from dewpin.consensus import Ballot, Prepare, Proposal, Request
from dewpin.consensus.messages import decode_reply
from dewpin.controlplane.register.change_errors import ChangeRejectedError
from dewpin.controlplane.register.messages import AcceptRequest, PrepareRequest
from dewpin.controlplane.register.proposer import RegisterProposer
from dewpin.controlplane.register.register import SystemRegister
from dewpin.controlplane.register.system_state import (
    ChangeFunction,
    SystemState,
    initial_state,
    put_configuration,
    require_version,
    set_members,
    successor,
)
from tests.model.component import Event, await_position, freeze, freeze_proposal
from tests.model.coroutines import Suspension, ZeroBackoff, resume, run_to_completion

FIRST_MEMBERS = ("a", "b", "c")
Operation = tuple[Any, ...]
"""`put GENERATION BASE BODY`, `read`, `members NAMES`, or `settle` (finish a member change)."""


class ProcessFingerprint(NamedTuple):
    """The state that a process's behaviour depends on. `ballot`: the ballot in progress, None while idle."""

    member: str
    promised: Ballot
    ballot: Ballot | None
    is_accepting: bool
    ballots: int
    completed: int
    chosen: str | None
    chosen_ballot: Ballot
    held: str | None
    rest: Any


class _MemoryRows:
    """A disk on which every write is synced at once: the replica's rows and the bodies."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[Any, ...]] = {}
        self.bodies: dict[str, str] = {}

    async def write(self, statements: list[tuple[str, tuple[Any, ...]]]) -> None:
        for sql, row in statements:
            if "INTO register_replica" in sql:
                self.rows[row[0]] = row
            elif "INTO register_bodies" in sql:
                self.bodies[row[0]] = row[1]
            else:
                assert sql.startswith("DELETE FROM register_bodies")
                self.bodies = {digest: body for digest, body in self.bodies.items() if digest == row[0]}

    async def query(self, sql: str, arguments: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
        if "FROM register_replica" in sql:
            return [self.rows[key][1:] for key in arguments if key in self.rows]
        if "FROM register_bodies" in sql:
            return [(self.bodies[arguments[0]],)] if arguments[0] in self.bodies else []
        if "FROM meta" in sql:
            return []
        assert "FROM orders" in sql
        return [(0,)]


class _ModelProposer(RegisterProposer):
    """A proposer whose ballots suspend until the model delivers replies."""

    proposal: Proposal | None = None
    ballots = 0

    async def _drive(self, proposal: Proposal, body_digests: tuple[str, ...]) -> None:
        self.ballots += 1
        self.proposal = proposal
        self.waiting = proposal.start()
        if proposal.result is None:
            await Suspension()


class _IgnoredTasks(BackgroundTasks):
    """Starts no task: only writes of the change history would run, which have no effect in the model."""

    def start(self, work: Coroutine[Any, Any, None]) -> Any:
        work.close()


class _ModelRegister(SystemRegister):
    """A register with a model proposer and without background tasks."""

    def __init__(self, member: str, address: str, disk: Any, client: Any, rng: random.Random) -> None:
        super().__init__(member, address, disk, client, rng)
        self._background = _IgnoredTasks()
        self.proposer = _ModelProposer(address, client, rng, self.acceptor, self._learner, self._background)
        self._proposer = self.proposer


def change_function(operation: Operation, newest: SystemState | None) -> ChangeFunction:
    """The change function of an operation; a member change is based on the newest known state."""
    kind, *rest = operation
    if kind == "put":
        generation, base, body = rest
        return put_configuration(body.encode(), generation, base)
    if kind == "read" or newest is None:
        return lambda state: state
    if kind == "settle":
        return require_version(newest["version"], successor)
    members = {name: f"{name}:1" for name in rest[0]}
    return require_version(newest["version"], set_members(members, {}))


class ProcessPart:
    """A process that performs its operations one after the other; a crash clears its memory, a wipe also its disk."""

    def __init__(
        self,
        name: str,
        operations: tuple[Operation, ...],
        max_ballots: int,
        first_members: tuple[str, ...] = FIRST_MEMBERS,
    ) -> None:
        self._max_ballots = max_ballots
        self._operations = operations
        self._disk = _MemoryRows()
        self._completed = 0
        self._running: Coroutine[Any, Any, SystemState] | None = None
        self._start(name)
        if name in first_members:
            first = initial_state({member: f"{member}:1" for member in first_members}, {})
            run_to_completion(self._register.bootstrap(first))

    def add(self, operation: Operation) -> None:
        """Appends an operation."""
        self._operations = (*self._operations, operation)

    def _start(self, member: str, ballots: int = 0) -> None:
        self._register = _ModelRegister(member, f"{member}:1", self._disk, None, ZeroBackoff())
        self._register.proposer.ballots = ballots
        run_to_completion(self._register.load())

    def apply(self, event: Event) -> Any:
        """Events: `request TEXT` returns the reply's text. `begin SKIPPED` (a number of ballots), `reply MEMBER TEXT`,
        `give_up` (no further reply arrives) and `time_out` (of the operation) return the requests sent, and the outcome
        if the operation has ended. `crash`, `wipe NAME` and `hear BALLOT STATE` (a state known elsewhere to be chosen)
        return nothing."""
        kind, *rest = event
        if kind == "request":
            return self._handle_request(json.loads(rest[0]))
        if kind == "hear":
            self._register.record_chosen(Ballot(*rest[0]), json.loads(rest[1]))
            return None
        if kind in ("crash", "wipe"):
            return self._restart(*rest)
        self._register.proposer.waiting = []
        if kind == "begin":
            self._register.proposer._counter += rest[0]
            change = change_function(self._operations[self._completed], self._register.newest)
            self._running = self._register.proposer.propose_in_turn(change)
            return self._resume()
        if kind == "reply":
            return self._receive_reply(*rest)
        return self._resume(asyncio.CancelledError() if kind == "time_out" else None)

    def _restart(self, new_name: str | None = None) -> None:
        """Restarts the process on the same disk, or under a new name on an empty one."""
        if self._running is not None:
            self._running.close()
            self._completed += 1
        self._running = None
        if new_name is not None:
            self._disk = _MemoryRows()
        self._start(new_name or self._register.member, self._register.proposer.ballots)

    def _handle_request(self, message: dict[str, Any]) -> str | None:
        handlers = {
            "register.prepare": self._register.acceptor.handle_prepare,
            "register.accept": self._register.acceptor.handle_accept,
        }
        try:
            return json.dumps(run_to_completion(handlers[message["type"]](message)))
        except RpcError:
            return None

    def _receive_reply(self, member: str, text: str) -> Any:
        proposal = self._register.proposer.proposal
        assert proposal is not None
        try:
            requests = proposal.receive(member, decode_reply(json.loads(text)))
        except ChangeRejectedError as rejection:  # would propagate through the driver of the ballot
            return self._resume(rejection)
        return self._resume() if proposal.result is not None else (_encode_requests(requests), None)

    def _resume(self, failure: BaseException | None = None) -> Any:
        assert self._running is not None
        outcome = None
        try:
            while True:  # a back-off between two ballots takes no time
                resume(self._running, failure)
                failure = None
                if self._register.proposer.ballots > self._max_ballots:
                    failure = asyncio.CancelledError()
                elif await_position(self._running)[-1][0] == "_drive":
                    return _encode_requests(self._register.proposer.waiting), None
        except StopIteration:
            outcome = "made"
        except ChangeRejectedError as rejection:
            outcome = type(rejection).__name__
        except asyncio.CancelledError:
            outcome = "unclear"
        proposal = self._register.proposer.proposal
        value = None
        if outcome != "unclear" and proposal is not None and proposal.result is not None:
            value = _encode_state(proposal.result.value)
        self._register.proposer.proposal, self._running = None, None
        self._completed += 1
        return (), (outcome, value)

    def fingerprint(self) -> ProcessFingerprint:
        """The process's suspension point and its whole state."""
        register = self._register
        replica, proposal = register.acceptor.replica, register.proposer.proposal if self._running is not None else None
        rejection = None if proposal is None else type(_guarded_change(proposal).rejection).__name__
        return ProcessFingerprint(
            register.member,
            replica.promised,
            None if proposal is None else proposal.ballot,
            proposal is not None and proposal._accept is not None,
            register.proposer.ballots,
            self._completed,
            None if register.chosen is None else _encode_state(register.chosen),
            register.chosen_ballot,
            None if replica.value is None else _encode_state(replica.value),
            (
                replica.accepted,
                register.proposer._counter,
                register.acceptor._storage._durable_ballot,
                freeze(self._disk.rows),
                freeze(self._disk.bodies),
                rejection,
                await_position(self._running),
                freeze_proposal(proposal),
            ),
        )


def _guarded_change(proposal: Proposal) -> Any:
    return proposal._change.__self__  # type: ignore[attr-defined]


def _encode_state(state: SystemState) -> str:
    return json.dumps(state, sort_keys=True)


def _encode_requests(requests: list[Request]) -> tuple[str, ...]:
    return tuple(json.dumps(_rpc_request(request).encode(), sort_keys=True) for request in requests)


def _rpc_request(request: Request) -> PrepareRequest | AcceptRequest:
    """The RPC message of a request, with bodies included: fetching them separately is not modelled."""
    body = request.body
    if isinstance(body, Prepare):
        return PrepareRequest(request.member, body.ballot, body.known)
    return AcceptRequest(request.member, body.ballot, body.value)
