"""The register's proposer: changes the system state by running ballots on the members' replicas."""

from __future__ import annotations

import asyncio
import logging
import random
from dataclasses import replace

from dewpin.cluster.background_tasks import BackgroundTasks
from dewpin.cluster.errors import DewpinError
from dewpin.cluster.rpc import RpcClient, RpcError
from dewpin.consensus import Accept, Ballot, Outcome, Prepare, Promise, Proposal, Reply
from dewpin.consensus.messages import decode_reply
from dewpin.consensus.proposal import Request
from dewpin.controlplane.register.acceptor import RegisterAcceptor
from dewpin.controlplane.register.change_errors import ChangeRejectedError
from dewpin.controlplane.register.learner import RegisterLearner
from dewpin.controlplane.register.messages import AcceptRequest, PrepareRequest
from dewpin.controlplane.register.system_state import ChangeFunction, SystemState, quorum_sets

log = logging.getLogger(__name__)

MEMBER_TIMEOUT_S = 0.6
"""Timeout of one request to one member."""
INITIAL_BACKOFF_S = 0.01
MAX_BACKOFF_S = 0.2

_Replies = asyncio.Queue[tuple[str, Reply | None]]
"""Pairs of a member and its reply; None if the request failed."""


class RegisterUnavailableError(DewpinError):
    """No majority replied before the timeout; the change may or may not have been made."""


class RegisterProposer:
    """Proposes changes on behalf of one process, one at a time.

    `background` owns the requests of each ballot; accept requests of a chosen value continue after the ballot ends.
    """

    def __init__(
        self,
        address: str,
        client: RpcClient,
        rng: random.Random,
        acceptor: RegisterAcceptor,
        learner: RegisterLearner,
        background: BackgroundTasks,
    ) -> None:
        self._address = address
        self._client = client
        self._rng = rng
        self._acceptor = acceptor
        self._learner = learner
        self._background = background
        self._counter = 0
        self._proposal_lock = asyncio.Lock()

    def resume(self) -> None:
        """Continue above the ballots that the replica on disk has promised."""
        self._counter = self._acceptor.replica.promised.counter

    async def propose(self, change: ChangeFunction, timeout_s: float) -> SystemState:
        """Make a change, retrying with new ballots until one succeeds, and return the chosen state.

        Raises RegisterUnavailableError on timeout and propagates exceptions of `change`; a ChangeRejectedError is
        raised only on the basis of a chosen state. Proposals of one process run one at a time: concurrent ones would
        preempt each other's ballots.
        """
        try:
            return await asyncio.wait_for(self.propose_in_turn(change), timeout_s)
        except TimeoutError:
            raise RegisterUnavailableError("no majority in time") from None

    async def propose_in_turn(self, change: ChangeFunction) -> SystemState:
        """Same as `propose`, but without a timeout."""
        async with self._proposal_lock:
            return await self._propose(change)

    async def _propose(self, change: ChangeFunction) -> SystemState:
        if not self._acceptor.is_loaded:
            raise RegisterUnavailableError("the state on disk was not read yet")
        backoff_s = INITIAL_BACKOFF_S
        while True:
            state = await self._run_ballot(change)
            if state is not None:
                return state
            await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)

    async def _run_ballot(self, change: ChangeFunction) -> SystemState | None:
        """Propose the change under one ballot. Return None if it has to be proposed again."""
        guarded_change = _GuardedChange(change)
        initial, proposal = self._new_proposal(guarded_change)
        await self._drive(proposal, _body_digests_of(initial))
        result = proposal.result
        if result is None:
            return None
        self._counter = max(self._counter, result.ballot.counter)
        if result.outcome is Outcome.CONFLICT:
            return None
        self._learner.record_chosen(result.ballot, result.value)
        if result.outcome is Outcome.CONFIRMED:
            return None
        if guarded_change.rejection is not None:
            raise guarded_change.rejection
        state: SystemState = result.value
        return state

    def _new_proposal(self, guarded_change: _GuardedChange) -> tuple[SystemState, Proposal]:
        """Return the newest known state and a proposal based on it, with a ballot greater than all seen."""
        replica, learner = self._acceptor.replica, self._learner
        initial = learner.chosen or replica.value
        if initial is None:
            raise RegisterUnavailableError("no state is known yet")
        self._counter = max(self._counter, replica.promised.counter) + 1
        ballot = Ballot(self._counter, self._acceptor.member)
        initial_ballot = learner.chosen_ballot if initial is learner.chosen else replica.accepted
        return initial, Proposal(ballot, initial, quorum_sets, guarded_change.apply, initial_ballot)

    async def _drive(self, proposal: Proposal, body_digests: tuple[str, ...]) -> None:
        """Send the proposal's requests and pass it the replies until it ends or no reply is pending.

        `body_digests`: the bodies that members are assumed to have; a member that lacks one fetches it.
        """
        replies: _Replies = asyncio.Queue()
        tasks: set[asyncio.Task[None]] = set()

        def send(requests: list[Request]) -> int:
            for request in requests:
                tasks.add(self._background.start(self._request_reply(request, body_digests, replies)))
            return len(requests)

        pending = send(proposal.start())
        try:
            while proposal.result is None and pending:
                member, reply = await replies.get()
                pending -= 1
                if reply is None:
                    continue
                if isinstance(reply, Promise) and reply.value is not None:
                    self._learner.learn_addresses(reply.value)
                pending += send(proposal.receive(member, reply))
        finally:
            # Accept requests of a chosen value continue, since they bring slower members up to date.
            if proposal.result is None or proposal.result.outcome is not Outcome.CHOSEN:
                for task in tasks:
                    task.cancel()

    async def _request_reply(self, request: Request, body_digests: tuple[str, ...], replies: _Replies) -> None:
        reply: Reply | None = None
        try:
            reply = await self._send(request, body_digests)
        except Exception as error:  # an unreachable member, an invalid reply or a failed disk gives no vote
            log.debug("register.no_reply", extra={"member": request.member, "why": repr(error)})
        finally:
            replies.put_nowait((request.member, reply))

    async def _send(self, request: Request, body_digests: tuple[str, ...]) -> Reply:
        """Return a member's reply; call the local replica directly, without a message."""
        body = request.body
        if request.member == self._acceptor.member:
            if isinstance(body, Prepare):
                return await self._acceptor.prepare(body.ballot, body.known)
            return await self._acceptor.accept(body.ballot, body.value)
        address = self._learner.address_of(request.member)
        if address is None:
            raise RpcError("unknown_member", request.member)
        message = self._message_for(request.member, body, body_digests).encode()
        reply = decode_reply(await self._client.call(address, message, MEMBER_TIMEOUT_S))
        if isinstance(reply, Promise) and reply.value is not None:
            return replace(reply, value=await self._learner.bodies.from_wire(reply.value, address))
        return reply

    def _message_for(
        self, member: str, body: Prepare | Accept, body_digests: tuple[str, ...]
    ) -> PrepareRequest | AcceptRequest:
        bodies = self._learner.bodies
        if isinstance(body, Prepare):
            return PrepareRequest(member, body.ballot, body.known, bodies.digests())
        return AcceptRequest(member, body.ballot, bodies.to_wire(body.value, body_digests), self._address)


def _body_digests_of(state: SystemState) -> tuple[str, ...]:
    configuration = state["configuration"]
    return (configuration["digest"],) if configuration is not None else ()


class _GuardedChange:
    """Wraps a change function for one ballot and defers a rejection until the ballot has ended.

    The state that led to the rejection may never have been chosen, and callers may only be rejected on the basis of a
    chosen state. So the ballot performs a read instead, and the rejection is raised if the state it read is chosen.
    """

    def __init__(self, change: ChangeFunction) -> None:
        self.rejection: ChangeRejectedError | None = None
        self._change = change

    def apply(self, state: SystemState) -> SystemState:
        """Return the changed state, or the same state if the change is rejected."""
        try:
            return self._change(state)
        except ChangeRejectedError as rejection:
            self.rejection = rejection
            return state
