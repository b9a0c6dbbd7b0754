"""This process's part in the register: its replica on disk, and proposals over the members' replicas."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from dewpin.cluster.rpc import Handler, Message, RpcClient, RpcError
from dewpin.consensus import Accept, Accepted, Ballot, Conflict, Outcome, Prepare, Promise, Proposal, Replica, Reply
from dewpin.consensus.messages import decode_reply, encode_reply
from dewpin.consensus.proposal import Request
from dewpin.consensus.replica import ZERO_BALLOT
from dewpin.controlplane.register.change_history import ORDERS, OrderHistory, OrderPage, OrdersRequest
from dewpin.controlplane.register.configuration_bodies import ConfigurationBodies
from dewpin.controlplane.register.messages import ACCEPT, BODY, PREPARE, AcceptCall, PrepareCall, WireState
from dewpin.controlplane.register.replica_storage import ReplicaStorage, WritesRows
from dewpin.controlplane.register.system_state import Change, ChangeRefused, SystemState, quorum_sets
from dewpin.controlplane.storage import StorageError

log = logging.getLogger(__name__)

MEMBER_TIMEOUT_S = 0.6
BACKOFF_FIRST_S = 0.01
BACKOFF_MOST_S = 0.2


class RegisterUnavailable(Exception):
    """No majority answered in time; the change may or may not have been made."""


class SystemRegister:
    """The replica of one member, and the newest state known to be chosen."""

    def __init__(self, member: str, address: str, storage: WritesRows, client: RpcClient, rng: random.Random) -> None:
        self.member = member
        self.address = address
        self.chosen: SystemState | None = None
        self.chosen_ballot = ZERO_BALLOT
        self.on_chosen: Callable[[SystemState], None] = lambda state: None
        self._client = client
        self._rng = rng
        self._replica = Replica()
        self._disk = ReplicaStorage(storage, self._replica)
        self._bodies = ConfigurationBodies(client)
        self._is_loaded = False
        self._counter = 0
        self._proposing = asyncio.Lock()
        self._taking = asyncio.Lock()
        self._addresses: dict[str, str] = {}
        self._history = OrderHistory(storage, self._ask_for_orders)
        self._notes: set[asyncio.Task[None]] = set()

    @property
    def handlers(self) -> dict[str, Handler]:
        """The handlers of the register's messages, by type."""
        return {
            PREPARE: self.handle_prepare,
            ACCEPT: self.handle_accept,
            BODY: self._bodies.handle_request,
            ORDERS: self._handle_orders,
        }

    async def load(self) -> None:
        """Takes up what the disk holds. Before, the replica takes part in nothing: it would forget its promises."""
        await self._disk.load()
        self._counter = self._replica.promised.counter
        if self._replica.value is not None:
            self._learn_addresses(self._replica.value)
            self._bodies.add(self._replica.value)
        await self._history.load()
        self._is_loaded = True

    @property
    def durable_version(self) -> int:
        """The version of the newest value that the replica has accepted and that is on disk; -1 without."""
        return self._disk.durable_version

    @property
    def newest(self) -> SystemState | None:
        """The newest state seen here, chosen or not: where to ask for the register."""
        return self.chosen or self._replica.value

    @property
    def has_unfinished_value(self) -> bool:
        """Whether the replica accepted a version above the newest that is known to be chosen."""
        if self._replica.value is None:
            return False
        return self.chosen is None or bool(self._replica.value["version"] > self.chosen["version"])

    async def begin(self, state: SystemState) -> None:
        """Takes the first state, the same at all first members, as chosen."""
        if self._replica.value is None and self._replica.accepted == ZERO_BALLOT:
            self._replica.value = state
            await self._synced(self._disk.persist())
        self.observe(ZERO_BALLOT, state)

    def observe(self, ballot: Ballot, state: SystemState) -> None:
        """Takes a state that is known to be chosen."""
        self._learn_addresses(state)
        if self.chosen is not None and state["version"] <= self.chosen["version"]:
            if state["version"] == self.chosen["version"]:
                self.chosen_ballot = max(ballot, self.chosen_ballot)
            return
        self._bodies.add(state)
        self.chosen = state
        self.chosen_ballot = max(ballot, self.chosen_ballot)
        self.on_chosen(state)
        note = asyncio.ensure_future(self._note_orders(state))
        self._notes.add(note)
        note.add_done_callback(self._notes.discard)

    def body(self, digest: str) -> str | None:
        """The body of a configuration by its digest, if it is held here."""
        return self._bodies.body(digest)

    def held_bodies(self) -> tuple[str, ...]:
        """The digests of the configurations' bodies that this process holds."""
        return self._bodies.held()

    def to_wire(self, state: SystemState, held: tuple[str, ...]) -> WireState:
        """A state for a process that holds these bodies."""
        return self._bodies.to_wire(state, held)

    async def take(self, ballot: Ballot, state: WireState, source: str) -> None:
        """Takes a state that the process at `source` knows to be chosen, once its body is here. RpcError if it can't
        be had now: what came of it is kept for the next try."""
        async with self._taking:
            if self.chosen is None or state["version"] > self.chosen["version"]:
                self.observe(ballot, await self._bodies.from_wire(state, source))

    async def was_taken(self, generation: int, digest: str, timeout_s: float) -> bool | None:
        """Whether an order that the newest state has forgotten was taken; None if that can't be told in time."""
        if self.chosen is None:
            return None
        try:
            async with asyncio.timeout(timeout_s):
                await self._history.note(self.chosen)
                return await self._history.was_taken(generation, digest)
        except (TimeoutError, StorageError):
            return None

    async def _note_orders(self, state: SystemState) -> None:
        try:
            await self._history.note(state)
        except StorageError as fault:  # the next state tells of these orders too
            log.warning("register.orders_not_noted", extra={"why": repr(fault)})

    async def _handle_orders(self, message: Message) -> Message:
        return (await self._history.page(OrdersRequest.decode(message))).encode()

    async def _ask_for_orders(self, request: OrdersRequest) -> OrderPage | None:
        best: OrderPage | None = None
        for address in sorted(set(self._addresses.values()) - {self.address}):
            try:
                page = OrderPage.decode(await self._client.call(address, request.encode(), MEMBER_TIMEOUT_S))
            except (RpcError, LookupError, TypeError, ValueError) as fault:
                log.debug("register.no_orders", extra={"address": address, "why": repr(fault)})
                continue
            if best is None or (page.orders and (not best.orders or page.orders[0].number < best.orders[0].number)):
                best = page
            if best.orders and best.orders[0].number == request.after + 1:
                return best
        return best

    async def handle_prepare(self, message: Message) -> Message:
        """First round, as a member."""
        call = PrepareCall.decode(message)
        self._check_addressee(call.to)
        reply = await self._prepare(call.ballot, call.known)
        if isinstance(reply, Promise) and reply.value is not None:
            reply = replace(reply, value=self._bodies.to_wire(reply.value, call.held))
        return encode_reply(reply)

    async def handle_accept(self, message: Message) -> Message:
        """Second round, as a member."""
        call = AcceptCall.decode(message)
        self._check_addressee(call.to)
        if call.ballot < self._replica.promised:
            return encode_reply(Conflict(self._replica.promised))
        state = await self._bodies.from_wire(call.value, call.source)
        return encode_reply(await self._accept(call.ballot, state))

    async def _prepare(self, ballot: Ballot, known: Ballot | None) -> Promise | Conflict:
        reply = self._replica.prepare(ballot, known)
        if isinstance(reply, Promise):
            await self._synced(self._disk.persist_promise())
        return reply

    async def _accept(self, ballot: Ballot, state: SystemState) -> Accepted | Conflict:
        reply = self._replica.accept(ballot, state)
        if isinstance(reply, Accepted):
            self._learn_addresses(state)
            await self._synced(self._disk.persist())
        return reply

    async def _synced(self, write: Coroutine[Any, Any, None]) -> None:
        try:
            await write
        except StorageError as fault:
            raise RpcError("storage_failed", str(fault)) from fault

    async def propose(self, change: Change, timeout_s: float) -> SystemState:
        """Makes `change`, in as many ballots as it takes. RegisterUnavailable when the time is over; what the change
        raises goes to the caller, a ChangeRefused only for a state that is chosen.

        The proposals of one process take turns: side by side they would overtake each other's ballots."""
        try:
            return await asyncio.wait_for(self._propose_in_turn(change), timeout_s)
        except TimeoutError:
            raise RegisterUnavailable("no majority in time") from None

    async def _propose_in_turn(self, change: Change) -> SystemState:
        async with self._proposing:
            return await self._propose(change)

    async def _propose(self, change: Change) -> SystemState:
        if not self._is_loaded:
            raise RegisterUnavailable("the state on disk was not read yet")
        backoff_s = BACKOFF_FIRST_S
        while True:
            result = await self._one_ballot(change)
            if result is not None:
                return result
            await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))
            backoff_s = min(2 * backoff_s, BACKOFF_MOST_S)

    async def _one_ballot(self, change: Change) -> SystemState | None:
        initial = self.chosen or self._replica.value
        if initial is None:
            raise RegisterUnavailable("no state is known yet")
        self._counter = max(self._counter, self._replica.promised.counter) + 1
        attempt = _Attempt(change)
        proposal = Proposal(
            Ballot(self._counter, self.member), initial, quorum_sets, attempt.make, self._initial_ballot(initial)
        )
        await self._drive(proposal, _digests_of(initial))
        result = proposal.result
        if result is None:
            return None
        self._counter = max(self._counter, result.ballot.counter)
        if result.outcome is Outcome.CONFLICT:
            return None
        self.observe(result.ballot, result.value)
        if result.outcome is Outcome.CONFIRMED:
            return None
        if attempt.refusal is not None:
            raise attempt.refusal
        state: SystemState = result.value
        return state

    def _initial_ballot(self, initial: SystemState) -> Ballot:
        return self.chosen_ballot if initial is self.chosen else self._replica.accepted

    async def _drive(self, proposal: Proposal, held: tuple[str, ...]) -> None:
        """Sends requests and feeds replies until the proposal ends or nobody is left to answer. `held`: the bodies
        that the members are taken to hold; one that doesn't fetches it."""
        replies: asyncio.Queue[tuple[str, Reply | None]] = asyncio.Queue()
        tasks: set[asyncio.Task[None]] = set()

        def send(requests: list[Request]) -> int:
            for request in requests:
                tasks.add(asyncio.ensure_future(self._ask(request, held, replies)))
            return len(requests)

        waiting = send(proposal.start())
        try:
            while proposal.result is None and waiting:
                member, reply = await replies.get()
                waiting -= 1
                if reply is None:
                    continue
                if isinstance(reply, Promise) and reply.value is not None:
                    self._learn_addresses(reply.value)
                waiting += send(proposal.receive(member, reply))
        finally:
            if proposal.result is None or proposal.result.outcome is not Outcome.CHOSEN:
                for task in tasks:
                    task.cancel()

    async def _ask(
        self, request: Request, held: tuple[str, ...], replies: asyncio.Queue[tuple[str, Reply | None]]
    ) -> None:
        reply: Reply | None = None
        try:
            reply = await self._deliver(request, held)
        except Exception as fault:  # an unreachable member, a bad reply, a failed disk: no vote from there
            log.debug("register.no_reply", extra={"member": request.member, "why": repr(fault)})
        finally:
            replies.put_nowait((request.member, reply))

    async def _deliver(self, request: Request, held: tuple[str, ...]) -> Reply:
        body = request.body
        if request.member == self.member:
            if isinstance(body, Prepare):
                return await self._prepare(body.ballot, body.known)
            return await self._accept(body.ballot, body.value)
        address = self._addresses.get(request.member)
        if address is None:
            raise RpcError("unknown_member", request.member)
        call = self._call_of(request.member, body, held)
        reply = decode_reply(await self._client.call(address, call.encode(), MEMBER_TIMEOUT_S))
        if isinstance(reply, Promise) and reply.value is not None:
            return replace(reply, value=await self._bodies.from_wire(reply.value, address))
        return reply

    def _call_of(self, member: str, body: Prepare | Accept, held: tuple[str, ...]) -> PrepareCall | AcceptCall:
        if isinstance(body, Prepare):
            return PrepareCall(member, body.ballot, body.known, self._bodies.held())
        return AcceptCall(member, body.ballot, self._bodies.to_wire(body.value, held), self.address)

    def _check_addressee(self, member: str) -> None:
        if not self._is_loaded:
            raise RpcError("starting", self.member)
        if member != self.member:
            raise RpcError("another_incarnation", self.member)

    def _learn_addresses(self, state: SystemState) -> None:
        self._addresses.update(state["former_members"])
        self._addresses.update(state["members"])


def _digests_of(state: SystemState) -> tuple[str, ...]:
    configuration = state["configuration"]
    return (configuration["digest"],) if configuration is not None else ()


class _Attempt:
    """A change under one ballot. A refusal is kept back while the ballot reads: the state that it was given for may be
    one that was never chosen, and the caller is to hear only of chosen ones."""

    def __init__(self, change: Change) -> None:
        self.refusal: ChangeRefused | None = None
        self._change = change

    def make(self, state: SystemState) -> SystemState:
        """The changed state, or the same one where the change is refused."""
        try:
            return self._change(state)
        except ChangeRefused as refusal:
            self.refusal = refusal
            return state
