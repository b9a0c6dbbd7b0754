"""A control process as a part of the register model: the real `SystemRegister` on a disk of the model's.

It takes part as a member and proposes. Only what surrounds it is the model's: rows in memory for the disk, and a
ballot's requests wait in the model's network instead of an `RpcClient`. A row counts as synced at once, as no reply
leaves before. An operation ends unclear once its process has used up its ballots.
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
from dewpin.controlplane.register.messages import AcceptRequest, PrepareRequest
from dewpin.controlplane.register.proposer import RegisterProposer
from dewpin.controlplane.register.register import SystemRegister
from dewpin.controlplane.register.system_state import (
    ChangeFunction,
    ChangeRejectedError,
    SystemState,
    initial_state,
    put_configuration,
    require_version,
    set_members,
    successor,
)
from tests.model.component import Event, freeze, freeze_proposal, position
from tests.model.coroutines import Suspension, ZeroBackoff, resume, run_to_completion

FIRST_MEMBERS = ("a", "b", "c")
Operation = tuple[Any, ...]
"""`put GENERATION BASE BODY`, `read`, `members NAMES`, or `settle`: finish what a change of members began."""


class ProcessFingerprint(NamedTuple):
    """What a process's behaviour depends on. `ballot`: of the round under way, None while it is idle."""

    member: str
    promised: Ballot
    ballot: Ballot | None
    is_accepting: bool
    ballots: int
    done: int
    chosen: str | None
    chosen_ballot: Ballot
    held: str | None
    rest: Any


class _Rows:
    """A disk that has synced everything that was written: the replica's rows and the bodies."""

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
    """The proposer whose ballots wait for the model."""

    proposal: Proposal | None = None
    ballots = 0

    async def _drive(self, proposal: Proposal, body_digests: tuple[str, ...]) -> None:
        self.ballots += 1
        self.proposal = proposal
        self.waiting = proposal.start()
        if proposal.result is None:
            await Suspension()


class _IgnoredTasks(BackgroundTasks):
    """Starts nothing: the change history, whose writes are all that is left, decides nothing here."""

    def start(self, work: Coroutine[Any, Any, None]) -> Any:
        work.close()


class _ModelRegister(SystemRegister):
    """The register with that proposer."""

    def __init__(self, member: str, address: str, disk: Any, client: Any, rng: random.Random) -> None:
        super().__init__(member, address, disk, client, rng)
        self._background = _IgnoredTasks()
        self.proposer = _ModelProposer(address, client, rng, self.acceptor, self._learner, self._background)
        self._proposer = self.proposer


def change_of(operation: Operation, newest: SystemState | None) -> ChangeFunction:
    """The change that an operation makes; a change of members is planned on the newest state known."""
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
    """A process that makes its operations one after the other; a crash takes its memory, a wipe its disk as well."""

    def __init__(
        self,
        name: str,
        operations: tuple[Operation, ...],
        most_ballots: int,
        first_members: tuple[str, ...] = FIRST_MEMBERS,
    ) -> None:
        self._most_ballots = most_ballots
        self._operations = operations
        self._disk = _Rows()
        self._done = 0
        self._running: Coroutine[Any, Any, SystemState] | None = None
        self._start(name)
        if name in first_members:
            first = initial_state({member: f"{member}:1" for member in first_members}, {})
            run_to_completion(self._register.bootstrap(first))

    def add(self, operation: Operation) -> None:
        """One more operation, after all others."""
        self._operations = (*self._operations, operation)

    def _start(self, member: str, ballots: int = 0) -> None:
        self._register = _ModelRegister(member, f"{member}:1", self._disk, None, ZeroBackoff())
        self._register.proposer.ballots = ballots
        run_to_completion(self._register.load())

    def apply(self, event: Event) -> Any:
        """`request TEXT` gives the answer's text. `begin SKIPPED` (so many ballots), `reply MEMBER TEXT`, `give_up` (no
        answer comes any more) and `time_out` (of the operation) give the requests sent and how the operation ended
        where it did. `crash`, `wipe NAME` and `hear BALLOT STATE` (known elsewhere to be chosen) give nothing."""
        kind, *rest = event
        if kind == "request":
            return self._answer(json.loads(rest[0]))
        if kind == "hear":
            self._register.record_chosen(Ballot(*rest[0]), json.loads(rest[1]))
            return None
        if kind in ("crash", "wipe"):
            return self._end(*rest)
        self._register.proposer.waiting = []
        if kind == "begin":
            self._register.proposer._counter += rest[0]
            change = change_of(self._operations[self._done], self._register.newest)
            self._running = self._register.proposer.propose_in_turn(change)
            return self._resume()
        if kind == "reply":
            return self._reply(*rest)
        return self._resume(asyncio.CancelledError() if kind == "time_out" else None)

    def _end(self, new_name: str | None = None) -> None:
        """Ends the process; the next one starts on the same disk, or under a new name on an empty one."""
        if self._running is not None:
            self._running.close()
            self._done += 1
        self._running = None
        if new_name is not None:
            self._disk = _Rows()
        self._start(new_name or self._register.member, self._register.proposer.ballots)

    def _answer(self, message: dict[str, Any]) -> str | None:
        handlers = {
            "register.prepare": self._register.acceptor.handle_prepare,
            "register.accept": self._register.acceptor.handle_accept,
        }
        try:
            return json.dumps(run_to_completion(handlers[message["type"]](message)))
        except RpcError:
            return None

    def _reply(self, member: str, text: str) -> Any:
        proposal = self._register.proposer.proposal
        assert proposal is not None
        try:
            requests = proposal.receive(member, decode_reply(json.loads(text)))
        except ChangeRejectedError as refusal:  # it would rise through the driver of the ballot
            return self._resume(refusal)
        return self._resume() if proposal.result is not None else (_texts(requests), None)

    def _resume(self, failure: BaseException | None = None) -> Any:
        assert self._running is not None
        outcome = None
        try:
            while True:  # a back-off between two ballots passes at once
                resume(self._running, failure)
                failure = None
                if self._register.proposer.ballots > self._most_ballots:
                    failure = asyncio.CancelledError()
                elif position(self._running)[-1][0] == "_drive":
                    return _texts(self._register.proposer.waiting), None
        except StopIteration:
            outcome = "made"
        except ChangeRejectedError as refusal:
            outcome = type(refusal).__name__
        except asyncio.CancelledError:
            outcome = "unclear"
        proposal = self._register.proposer.proposal
        value = None
        if outcome != "unclear" and proposal is not None and proposal.result is not None:
            value = _text_of(proposal.result.value)
        self._register.proposer.proposal, self._running = None, None
        self._done += 1
        return (), (outcome, value)

    def fingerprint(self) -> ProcessFingerprint:
        """Where the process stands, and all that it keeps."""
        register = self._register
        replica, proposal = register.acceptor.replica, register.proposer.proposal if self._running is not None else None
        rejection = None if proposal is None else type(_guarded_change_of(proposal).rejection).__name__
        return ProcessFingerprint(
            register.member,
            replica.promised,
            None if proposal is None else proposal.ballot,
            proposal is not None and proposal._accept is not None,
            register.proposer.ballots,
            self._done,
            None if register.chosen is None else _text_of(register.chosen),
            register.chosen_ballot,
            None if replica.value is None else _text_of(replica.value),
            (
                replica.accepted,
                register.proposer._counter,
                register.acceptor._storage._durable_ballot,
                freeze(self._disk.rows),
                freeze(self._disk.bodies),
                rejection,
                position(self._running),
                freeze_proposal(proposal),
            ),
        )


def _guarded_change_of(proposal: Proposal) -> Any:
    return proposal._change.__self__  # type: ignore[attr-defined]


def _text_of(state: SystemState) -> str:
    return json.dumps(state, sort_keys=True)


def _texts(requests: list[Request]) -> tuple[str, ...]:
    return tuple(json.dumps(_call_of(request).encode(), sort_keys=True) for request in requests)


def _call_of(request: Request) -> PrepareRequest | AcceptRequest:
    """The call of a request, with bodies: where the other side has to fetch one is no matter here."""
    body = request.body
    if isinstance(body, Prepare):
        return PrepareRequest(request.member, body.ballot, body.known)
    return AcceptRequest(request.member, body.ballot, body.value)
