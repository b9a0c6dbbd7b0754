"""This process's part in the register: its replica on disk, and proposals over the members' replicas."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections.abc import Callable
from typing import Any, Protocol

from dewpin.cluster.rpc import Handler, Message, RpcClient, RpcError
from dewpin.consensus import Accept, Accepted, Ballot, Conflict, Outcome, Prepare, Promise, Proposal, Replica, Reply
from dewpin.consensus.proposal import Request
from dewpin.consensus.replica import ZERO_BALLOT

from .order_history import ORDERS, OrderHistory, OrderPage, OrdersRequest
from .storage import StorageFailed
from .system_state import Change, ChangeRefused, SystemState, quorum_sets

log = logging.getLogger(__name__)

REGISTER_KEY = "system"
PROMISE_KEY = "system/promise"
"""A row of its own for the newest promise: reads make promises, and must not write the whole state each time."""
MEMBER_TIMEOUT_S = 0.6
BACKOFF_FIRST_S = 0.01
BACKOFF_MOST_S = 0.2


class RegisterUnavailable(Exception):
    """No majority answered in time; the change may or may not have been made."""


class WritesRows(Protocol):
    """The part of the storage that the register needs."""

    async def write(self, statements: list[tuple[str, tuple[Any, ...]]]) -> None: ...

    async def query(self, sql: str, arguments: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]: ...


class SystemRegister:
    """The replica of one member, and the newest state known to be chosen."""

    def __init__(self, member: str, address: str, storage: WritesRows, client: RpcClient, rng: random.Random) -> None:
        self.member = member
        self.address = address
        self.chosen: SystemState | None = None
        self.chosen_ballot = ZERO_BALLOT
        self.on_chosen: Callable[[SystemState], None] = lambda state: None
        self._storage = storage
        self._client = client
        self._rng = rng
        self._replica = Replica()
        self.durable_version = -1
        """The version of the newest value that the replica has accepted and that is on disk."""
        self._durable_ballot = ZERO_BALLOT
        self._is_loaded = False
        self._counter = 0
        self._proposing = asyncio.Lock()
        self._addresses: dict[str, str] = {}
        self._history = OrderHistory(storage, self._ask_for_orders)
        self._notes: set[asyncio.Task[None]] = set()

    @property
    def handlers(self) -> dict[str, Handler]:
        """The handlers of the register's messages, by type."""
        return {
            "register.prepare": self.handle_prepare,
            "register.accept": self.handle_accept,
            ORDERS: self._handle_orders,
        }

    async def load(self) -> None:
        """Takes up what the disk holds. Before, the replica takes part in nothing: it would forget its promises."""
        rows = await self._storage.query(
            "SELECT promised, accepted_ballot, value FROM register_replica WHERE key IN (?, ?)",
            (REGISTER_KEY, PROMISE_KEY),
        )
        for promised, accepted, value in rows:
            self._replica.promised = max(self._replica.promised, _ballot(json.loads(promised)))
            if value is not None:
                self._replica.accepted = _ballot(json.loads(accepted))
                self._replica.value = json.loads(value)
        self._durable_ballot = self._replica.accepted
        self._counter = self._replica.promised.counter
        if self._replica.value is not None:
            self.durable_version = self._replica.value["version"]
            self._learn_addresses(self._replica.value)
        await self._history.load()
        self._is_loaded = True

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
            await self._persist()
        self.observe(ZERO_BALLOT, state)

    def observe(self, ballot: Ballot, state: SystemState) -> None:
        """Takes a state that is known to be chosen."""
        self._learn_addresses(state)
        if self.chosen is not None and state["version"] <= self.chosen["version"]:
            return
        self.chosen = state
        self.chosen_ballot = max(ballot, self.chosen_ballot)
        self.on_chosen(state)
        note = asyncio.ensure_future(self._note_orders(state))
        self._notes.add(note)
        note.add_done_callback(self._notes.discard)

    async def was_taken(self, generation: int, digest: str, timeout_s: float) -> bool | None:
        """Whether an order that the newest state has forgotten was taken; None if that can't be told in time."""
        if self.chosen is None:
            return None
        try:
            async with asyncio.timeout(timeout_s):
                await self._history.note(self.chosen)
                return await self._history.was_taken(generation, digest)
        except (TimeoutError, StorageFailed):
            return None

    async def _note_orders(self, state: SystemState) -> None:
        try:
            await self._history.note(state)
        except StorageFailed as fault:  # the next state tells of these orders too
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
        self._check_addressee(message)
        reply = self._replica.prepare(_ballot(message["ballot"]))
        if isinstance(reply, Promise):
            await self._persist_promise()
        return encode_reply(reply)

    async def handle_accept(self, message: Message) -> Message:
        """Second round, as a member."""
        self._check_addressee(message)
        reply = self._replica.accept(_ballot(message["ballot"]), message["value"])
        if isinstance(reply, Accepted):
            self._learn_addresses(message["value"])
            await self._persist()
        return encode_reply(reply)

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
        await self._drive(proposal)
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

    async def _drive(self, proposal: Proposal) -> None:
        """Sends requests and feeds replies until the proposal ends or nobody is left to answer."""
        replies: asyncio.Queue[tuple[str, Reply | None]] = asyncio.Queue()
        tasks: set[asyncio.Task[None]] = set()

        def send(requests: list[Request]) -> int:
            for request in requests:
                tasks.add(asyncio.ensure_future(self._ask(request, replies)))
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

    async def _ask(self, request: Request, replies: asyncio.Queue[tuple[str, Reply | None]]) -> None:
        reply: Reply | None = None
        try:
            reply = decode_reply(await self._deliver(request))
        except Exception as fault:  # an unreachable member, a bad reply, a failed disk: no vote from there
            log.debug("register.no_reply", extra={"member": request.member, "why": repr(fault)})
        finally:
            replies.put_nowait((request.member, reply))

    async def _deliver(self, request: Request) -> Message:
        message = encode_request(request)
        if request.member == self.member:
            local = self.handle_prepare if isinstance(request.body, Prepare) else self.handle_accept
            return await local(message)
        address = self._addresses.get(request.member)
        if address is None:
            raise RpcError("unknown_member", request.member)
        return await self._client.call(address, message, MEMBER_TIMEOUT_S)

    def _check_addressee(self, message: Message) -> None:
        if not self._is_loaded:
            raise RpcError("starting", self.member)
        if message.get("to") != self.member:
            raise RpcError("another_incarnation", self.member)

    def _learn_addresses(self, state: SystemState) -> None:
        self._addresses.update(state["former_members"])
        self._addresses.update(state["members"])

    async def _persist(self) -> None:
        accepted, value = self._replica.accepted, self._replica.value
        promised = json.dumps(self._replica.promised)
        await self._write((REGISTER_KEY, promised, json.dumps(accepted), json.dumps(value)))
        if accepted >= self._durable_ballot and value is not None:
            self._durable_ballot = accepted
            self.durable_version = value["version"]

    async def _persist_promise(self) -> None:
        """Writes the promise alone, unless what was accepted is not on disk yet: the reply tells of that as well."""
        if self._replica.accepted > self._durable_ballot:
            await self._persist()
            return
        await self._write((PROMISE_KEY, json.dumps(self._replica.promised), None, None))

    async def _write(self, row: tuple[str, str, str | None, str | None]) -> None:
        statement = "INSERT OR REPLACE INTO register_replica(key, promised, accepted_ballot, value) VALUES (?,?,?,?)"
        try:
            await self._storage.write([(statement, row)])
        except StorageFailed as fault:
            raise RpcError("storage_failed", str(fault)) from fault


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


def encode_request(request: Request) -> Message:
    """The message of a proposal's request."""
    body = request.body
    if isinstance(body, Accept):
        return {"type": "register.accept", "to": request.member, "ballot": body.ballot, "value": body.value}
    return {"type": "register.prepare", "to": request.member, "ballot": body.ballot}


def encode_reply(reply: Reply) -> Message:
    """The message of a replica's reply."""
    if isinstance(reply, Promise):
        return {"type": "register.promise", "accepted": reply.accepted, "value": reply.value}
    if isinstance(reply, Accepted):
        return {"type": "register.accepted", "ballot": reply.ballot}
    return {"type": "register.conflict", "promised": reply.promised}


def decode_reply(message: Message) -> Reply:
    """The replica's reply of a message. KeyError, TypeError or ValueError if it is none."""
    if message["type"] == "register.promise":
        return Promise(_ballot(message["accepted"]), message["value"])
    if message["type"] == "register.accepted":
        return Accepted(_ballot(message["ballot"]))
    if message["type"] == "register.conflict":
        return Conflict(_ballot(message["promised"]))
    raise ValueError(str(message["type"]))


def _ballot(pair: Any) -> Ballot:
    counter, proposer = pair
    return Ballot(int(counter), str(proposer))
