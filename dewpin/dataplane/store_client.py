"""A sender's client of the stores: budget ledgers and turns over the replicas of each program.

All of it runs on one event loop; `BlockingStoreClient` is its face towards the threads of requests.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import logging
import random
import secrets
import time
from collections import OrderedDict
from collections.abc import Callable, Coroutine, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from dewpin.cluster import store_messages as wire
from dewpin.cluster.rpc import Message
from dewpin.cluster.store_messages import ChainLinks, TurnRecord
from dewpin.cluster.store_view import StoreView
from dewpin.consensus import Accept, Ballot, Outcome, Proposal, Request, Result
from dewpin.consensus.messages import decode_reply
from dewpin.consensus.proposal import has_majorities
from dewpin.consensus.replica import ZERO_BALLOT
from dewpin.dataplane import ledger
from dewpin.dataplane.chain_cache import ChainCache, Link
from dewpin.dataplane.ledger import Ledger
from dewpin.dataplane.program_store import BudgetSpent, Reservation, StoreUnavailable, Turn, TurnUnknown
from dewpin.dataplane.replica_calls import Calls, ReplicaCalls, Round, ViewHolder, ViewMoved

HEDGE_S = 0.06
"""A read that has no answer for this long is asked of further stores."""
HAND_OFF_S = 10.0
"""For how long a turn is offered to replicas that did not answer."""
MOST_HAND_OFF_BYTES = 8 * 1024 * 1024
SETTLE_FOR_S = 60.0
"""For how long a settlement is tried; after that the reservation counts at its most for good."""
READ_CACHE_S = 10.0
FIRST_BACKOFF_S = 0.005
MOST_BACKOFF_S = 0.1
MOST_PREPARED = 4000
FACADE_SLACK_S = 0.25
_PROPOSER_BYTES = 6

log = logging.getLogger(__name__)
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class _Prepared:
    """A ledger as chosen last by this sender, and the ballot that its replicas promised beside."""

    epoch: int
    ballot: Ballot
    value: Ledger | None
    value_ballot: Ballot


class StoreClient:
    """The calls of one sender; see `dewpin.dataplane.program_store.ProgramStore` for what each does."""

    def __init__(
        self,
        calls: Calls,
        replica_count: int,
        rng: random.Random | None = None,
        cache: ChainCache | None = None,
        proposer: str | None = None,
        wall_clock_ms: Callable[[], int] = lambda: int(time.time() * 1000),
    ) -> None:
        """Make the client, on a running loop; each program lives on `replica_count` stores (2 f + 1)."""
        self._rng = rng or random.Random()
        self.cache = cache or ChainCache()
        self._views = ViewHolder()
        self._calls = ReplicaCalls(calls, self._views, self._rng)
        self._count = replica_count
        self._proposer = proposer or secrets.token_hex(_PROPOSER_BYTES)
        self._wall_clock_ms = wall_clock_ms
        self._counter = 0
        self._prepared: OrderedDict[str, _Prepared] = OrderedDict()
        self._locks: dict[str, _ProgramLock] = {}
        self._behind: set[asyncio.Task[None]] = set()
        self._hand_off_bytes = 0
        self._unsettled: dict[str, dict[str, int]] = {}

    def adopt(self, view: StoreView) -> None:
        """Use `view` from now on, if it is newer."""
        if view.stable:
            self._views.adopt(view)

    def close(self) -> None:
        """Give up all that runs behind."""
        for task in self._behind:
            task.cancel()
        self._calls.close()

    async def reserve(self, program: str, turn: str, most: int, budget: int, timeout_s: float) -> Reservation:
        """Keep `most` tokens of the program's budget for a turn. Raises BudgetSpent, StoreUnavailable."""
        reservation = Reservation(program, turn, most)
        try:
            await _in_time(self._reserve(program, turn, most, budget), timeout_s)
        except BudgetSpent:
            raise
        except BaseException:  # the reservation may have been made: nothing runs under it, so it is taken back
            self.settle(reservation, 0)
            raise
        return reservation

    def settle(self, reservation: Reservation, used: int) -> None:
        """Replace a reservation by the tokens that were handed out, behind or with the program's next change."""
        self._unsettled.setdefault(reservation.program, {})[reservation.turn] = used
        self._start_behind(self._settle(reservation))

    async def chain(self, program: str, previous: str, timeout_s: float) -> bytes:
        """Return the bytes of the chain that ends with `previous`. Raises TurnUnknown, StoreUnavailable."""
        return await _in_time(self._chain(program, previous), timeout_s)

    async def append(self, turn: Turn, timeout_s: float) -> None:
        """Make a turn durable. Raises StoreUnavailable."""
        record = TurnRecord(turn.id, turn.program, turn.previous, int(turn.retain_s * 1000), turn.input, turn.output)
        await _in_time(self._put(turn.program, [record]), timeout_s)
        self.cache.put(turn.program, turn.id, Link(turn.previous, turn.input + turn.output), turn.retain_s)

    async def settled(self) -> None:
        """Return once nothing runs behind any more."""
        while self._behind:
            await asyncio.wait(set(self._behind))

    def _start_behind(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._behind.add(task)
        task.add_done_callback(self._behind.discard)

    # Ledgers

    async def _reserve(self, program: str, turn: str, most: int, budget: int) -> None:
        while True:
            try:
                await self._change(program, ledger.reserve(turn, most, budget))
                return
            except BudgetSpent:
                self._prepared.pop(program, None)
                proved = await self._change(program, ledger.read)
                if not ledger.fits(proved, turn, most, budget):
                    raise

    async def _settle(self, reservation: Reservation) -> None:
        program, turn = reservation.program, reservation.turn
        try:
            await _in_time(self._change(program, ledger.read, only_if_unsettled=turn), SETTLE_FOR_S)
        except StoreUnavailable:
            log.warning("store_client.not_settled", extra={"program": program, "turn": turn})
            self._forget_settled(program, [turn])

    def _forget_settled(self, program: str, turns: Iterable[str]) -> None:
        """Note that settlements are made, or given up."""
        unsettled = self._unsettled.get(program, {})
        for turn in turns:
            unsettled.pop(turn, None)
        if not unsettled:
            self._unsettled.pop(program, None)

    async def _change(self, program: str, change: ledger.Change, only_if_unsettled: str | None = None) -> Ledger | None:
        """Make a change of the program's ledger, in as many ballots as it takes; return the chosen value.

        With `only_if_unsettled`, nothing is done if an earlier change has settled that turn.
        """
        lock = self._locks.setdefault(program, _ProgramLock())
        lock.users += 1
        try:
            async with lock.lock:
                if only_if_unsettled is not None and only_if_unsettled not in self._unsettled.get(program, {}):
                    return None
                return await self._change_locked(program, change)
        finally:
            lock.users -= 1
            if lock.users == 0:
                self._locks.pop(program, None)

    async def _change_locked(self, program: str, change: ledger.Change) -> Ledger | None:
        backoff_s = FIRST_BACKOFF_S
        while True:
            view = await self._views.current()
            settlements = dict(self._unsettled.get(program, {}))
            had_promise = program in self._prepared
            try:
                result = await self._one_ballot(program, view, ledger.after_settlements(settlements, change))
            except ViewMoved:
                continue
            if result is not None and result.outcome in (Outcome.CHOSEN, Outcome.UNCHANGED):
                self._forget_settled(program, settlements)
                value: Ledger | None = result.value
                return value
            if result is not None and result.outcome is Outcome.CONFIRMED:
                continue
            if result is not None and had_promise:  # another sender has used the ledger since: no race with it yet
                continue
            await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))
            backoff_s = min(2 * backoff_s, MOST_BACKOFF_S)

    async def _one_ballot(self, program: str, view: StoreView, change: ledger.Change) -> Result | None:
        """Run one ballot; the promise that it leaves behind is kept for the program's next change."""
        prepared = self._prepared.pop(program, None)
        if prepared is not None and prepared.epoch != view.epoch:
            prepared = None
        sets = view.write_sets(program, self._count)
        ballot = prepared.ballot if prepared is not None else self._new_ballot()
        following = self._new_ballot()
        proposal = Proposal(
            ballot,
            None if prepared is None else prepared.value,
            lambda value: sets,
            change,
            ZERO_BALLOT if prepared is None else prepared.value_ballot,
            prepared=prepared is not None,
            next_ballot=following,
        )
        await self._drive(proposal, program, view)
        result = proposal.result
        if result is None:
            return None
        self._counter = max(self._counter, result.ballot.counter)
        if result.outcome in (Outcome.CHOSEN, Outcome.CONFIRMED):
            self._keep_prepared(program, _Prepared(view.epoch, following, result.value, ballot))
        elif result.outcome is Outcome.UNCHANGED:
            self._keep_prepared(program, _Prepared(view.epoch, ballot, result.value, result.ballot))
        return result

    async def _drive(self, proposal: Proposal, program: str, view: StoreView) -> None:
        """Send the proposal's requests and feed it the replies, until it ends or nobody is left to answer."""
        until_s = asyncio.get_running_loop().time() + SETTLE_FOR_S
        with Round(self._calls, view) as task_round:

            def send(requests: Sequence[Request]) -> None:
                for request in requests:
                    kind, fields = _ledger_message(request, program)
                    task_round.ask(request.member, kind, fields, until_s)

            send(proposal.start())
            while proposal.result is None and task_round.unanswered:
                answer = await task_round.next_answer()
                if answer.message is not None:
                    send(proposal.receive(answer.member, decode_reply(answer.message)))

    def _new_ballot(self) -> Ballot:
        """Return a ballot above all that this sender has used or heard of."""
        self._counter = max(self._counter + 1, self._wall_clock_ms())
        return Ballot(self._counter, self._proposer)

    def _keep_prepared(self, program: str, prepared: _Prepared) -> None:
        self._prepared[program] = prepared
        while len(self._prepared) > MOST_PREPARED:
            self._prepared.popitem(last=False)

    # Turns

    async def _put(self, program: str, records: Sequence[TurnRecord]) -> None:
        """Return once majorities of the program's replicas hold the turns."""
        while True:
            view = await self._views.current()
            try:
                await self._put_under(view, program, records)
                return
            except ViewMoved:
                continue

    async def _put_under(self, view: StoreView, program: str, records: Sequence[TurnRecord]) -> None:
        sets = view.write_sets(program, self._count)
        size = sum(len(record.input) + len(record.output) for record in records)
        until_s = asyncio.get_running_loop().time() + HAND_OFF_S
        fields = {"turns": [record.to_json() for record in records]}
        stored: set[str] = set()
        with Round(self._calls, view, hand_off=self._hand_off_bytes < MOST_HAND_OFF_BYTES) as task_round:
            for member in frozenset().union(*sets):
                task_round.ask(member, wire.TURN_PUT, fields, until_s)
            while not has_majorities(sets, stored):
                if not task_round.unanswered:
                    raise StoreUnavailable("too few replicas took the turn")
                answer = await task_round.next_answer()
                if answer.message is not None:
                    stored.add(answer.member)
        if task_round.unanswered:
            self._start_behind(self._count_hand_off(task_round, size))

    async def _count_hand_off(self, task_round: Round, size: int) -> None:
        """Count the bytes that wait for replicas which have not answered yet."""
        self._hand_off_bytes += size
        try:
            while task_round.unanswered:
                await task_round.next_answer()
        except ViewMoved:
            pass
        finally:
            self._hand_off_bytes -= size

    async def _chain(self, program: str, previous: str) -> bytes:
        links: list[TurnRecord] = []
        copies: list[TurnRecord] = []
        bodies: list[bytes] = []
        following: str | None = previous
        while following is not None:
            cached = self.cache.get(program, following)
            if cached is not None:
                bodies.append(cached.body)
                following = cached.previous
                continue
            try:
                found = await self._read_links(program, following)
            except TurnUnknown:
                if not bodies:
                    raise
                raise StoreUnavailable(f"a link of the chain is gone: {following}") from None
            links += found.links
            bodies += [link.input + link.output for link in found.links]
            copies += [_copy_for(program, link) for link in found.links if link.turn in found.foreign]
            following = found.following
        if copies:
            await self._put(program, copies)
        for link in links:
            self.cache.put(program, link.turn, Link(link.previous, link.input + link.output), READ_CACHE_S)
        return b"".join(reversed(bodies))

    async def _read_links(self, program: str, last: str) -> ChainLinks:
        """Return the links that end with turn `last`, from whichever store has them."""
        while True:
            view = await self._views.current()
            try:
                return await self._read_links_under(view, program, last)
            except ViewMoved:
                continue

    async def _read_links_under(self, view: StoreView, program: str, last: str) -> ChainLinks:
        until_s = asyncio.get_running_loop().time() + SETTLE_FOR_S
        fields = {"program": program, "previous": last}
        stages = self._reading_stages(view, program)
        absent: set[str] = set()
        with Round(self._calls, view) as task_round:
            while len(view.stable) - len(absent) > view.most_silent(self._count):
                if not task_round.unanswered:
                    if not stages:
                        raise StoreUnavailable("too few stores could tell of the turn")
                    for member in stages.pop(0):
                        task_round.ask(member, wire.TURN_CHAIN, fields, until_s)
                try:
                    answer = await asyncio.wait_for(task_round.next_answer(), HEDGE_S if stages else None)
                except TimeoutError:
                    for member in stages.pop(0):
                        task_round.ask(member, wire.TURN_CHAIN, fields, until_s)
                    continue
                if answer.message is None:
                    continue
                found = ChainLinks.from_json(answer.message)
                if found.links:
                    return found
                absent.add(answer.member)
        raise TurnUnknown(last)

    def _reading_stages(self, view: StoreView, program: str) -> list[list[str]]:
        """Return whom to ask, one group after the other: the fastest replica, the other ones, all other stores."""
        replicas = self._calls.fastest_first(view.stable_replicas(program, self._count))
        others = [member for member in view.stable_ids if member not in replicas]
        return [group for group in (replicas[:1], replicas[1:], others) if group]


@dataclass(slots=True)
class _ProgramLock:
    """Makes the changes of one program's ledger at this sender one after the other."""

    lock: asyncio.Lock
    users: int

    def __init__(self) -> None:
        self.lock = asyncio.Lock()
        self.users = 0


def _copy_for(program: str, link: TurnRecord) -> TurnRecord:
    """Return a turn of another program, to be kept for `program`, which goes on from it."""
    return TurnRecord(link.turn, program, link.previous, link.retain_ms, link.input, link.output)


def _ledger_message(request: Request, program: str) -> tuple[str, Message]:
    """Return type and fields of the message that carries a proposal's request."""
    body = request.body
    if not isinstance(body, Accept):
        return wire.LEDGER_PREPARE, {"program": program, "ballot": list(body.ballot)}
    following = None if body.next_ballot is None else list(body.next_ballot)
    return wire.LEDGER_ACCEPT, {
        "program": program,
        "ballot": list(body.ballot),
        "value": body.value,
        "next_ballot": following,
    }


async def _in_time(work: Coroutine[Any, Any, T], timeout_s: float) -> T:
    """Return what `work` returns. Raises StoreUnavailable once `timeout_s` are over."""
    try:
        async with asyncio.timeout(timeout_s):
            return await work
    except TimeoutError:
        raise StoreUnavailable(f"no majority of the replicas answered within {timeout_s:.3f} s") from None


class BlockingStoreClient:
    """The ProgramStore of request threads: hands each call to the loop on which `client` lives, and waits."""

    def __init__(self, client: StoreClient, loop: asyncio.AbstractEventLoop) -> None:
        self._client = client
        self._loop = loop

    def reserve(self, program: str, turn: str, most: int, budget: int, timeout_s: float) -> Reservation:
        """Keep `most` tokens of the program's budget for a turn. Raises BudgetSpent, StoreUnavailable."""
        return self._wait(self._client.reserve(program, turn, most, budget, timeout_s), timeout_s)

    def settle(self, reservation: Reservation, used: int) -> None:
        """Replace a reservation by the tokens that were handed out; returns at once."""
        self._loop.call_soon_threadsafe(self._client.settle, reservation, used)

    def chain(self, program: str, previous: str, timeout_s: float) -> bytes:
        """Return the bytes of the chain that ends with `previous`. Raises TurnUnknown, StoreUnavailable."""
        cached = self._client.cache.whole_chain(program, previous)
        if cached is not None:
            return cached
        return self._wait(self._client.chain(program, previous, timeout_s), timeout_s)

    def append(self, turn: Turn, timeout_s: float) -> None:
        """Make a turn durable. Raises StoreUnavailable."""
        self._wait(self._client.append(turn, timeout_s), timeout_s)

    def _wait(self, work: Coroutine[Any, Any, T], timeout_s: float) -> T:
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        try:
            return future.result(timeout_s + FACADE_SLACK_S)
        except concurrent.futures.TimeoutError:
            future.cancel()
            raise StoreUnavailable("the loop of the store client is held up") from None
