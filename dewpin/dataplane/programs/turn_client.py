"""A sender's part in the turns: they are written to a majority of the program's replicas, and chains are read back."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

from dewpin.cluster.message_fields import Message
from dewpin.cluster.placement import majority
from dewpin.cluster.store_messages import HistoryPage, TurnRecord
from dewpin.cluster.store_requests import HistoryRequest, PutTurnsReply, PutTurnsRequest
from dewpin.cluster.store_view import StoreView
from dewpin.consensus import Reply
from dewpin.consensus.proposal import has_majorities
from dewpin.dataplane.programs.background import BackgroundTasks
from dewpin.dataplane.programs.history_cache import ChainCache, Link
from dewpin.dataplane.programs.ledger_ballot import CarriedBallot, ledger_reply
from dewpin.dataplane.programs.program_store import StoreUnavailable, TurnUnknown
from dewpin.dataplane.programs.quorum_round import QuorumRound
from dewpin.dataplane.programs.replica_calls import ReplicaCalls, Round, ViewHolder, ViewMoved

HEDGE_S = 0.06
"""A read that has no answer for this long is asked of further stores."""
HAND_OFF_S = 10.0
"""For how long a turn is offered to replicas that did not answer."""
MOST_HAND_OFF_BYTES = 8 * 1024 * 1024
READ_FOR_S = 60.0
"""For how long one store is asked; whoever wants the chain gives up before."""
READ_CACHE_S = 10.0


@dataclass(frozen=True, slots=True)
class _Stored:
    """A replica holds the turns; `reply`: its reply to the ballot that they carried."""

    reply: Reply | None


def _stored(message: Message) -> _Stored:
    """Return what a store's answer to turns tells. MalformedMessageError if it tells nothing of them."""
    told = PutTurnsReply.decode(message)
    return _Stored(None if told.reply is None else ledger_reply(told.reply))


class TurnClient:
    """Writes turns and reads chains."""

    def __init__(
        self,
        calls: ReplicaCalls,
        views: ViewHolder,
        replica_count: int,
        cache: ChainCache,
        background: BackgroundTasks,
    ) -> None:
        self.cache = cache
        self._calls = calls
        self._views = views
        self._count = replica_count
        self._background = background
        self._hand_off_bytes = 0

    async def put(self, program: str, records: Sequence[TurnRecord], carried: CarriedBallot | None = None) -> None:
        """Return once majorities of the program's replicas hold the turns; a ballot that they carry may not have ended
        by then."""
        while True:
            view = await self._views.current()
            try:
                await self._put_under(view, program, records, carried)
                return
            except ViewMoved:
                continue

    async def _put_under(
        self, view: StoreView, program: str, records: Sequence[TurnRecord], carried: CarriedBallot | None
    ) -> None:
        sets = view.write_sets(program, self._count)
        turns = tuple(records)
        requests = {
            member: PutTurnsRequest(turns, None if carried is None else carried.accept_for(member, view))
            for member in sorted(frozenset().union(*sets))
        }
        size = sum(len(record.input) + len(record.output) for record in records)
        until_s = asyncio.get_running_loop().time() + HAND_OFF_S
        stored: set[str] = set()
        hands_off = self._hand_off_bytes < MOST_HAND_OFF_BYTES
        with Round(self._calls, view, _stored, hands_off) as task_round:
            quorum_round = QuorumRound(self._calls, task_round, sets, until_s)
            quorum_round.ask(requests)
            while not has_majorities(sets, stored):
                if not quorum_round.may_answer:
                    raise StoreUnavailable("too few replicas took the turn")
                answer = await quorum_round.next_answer()
                if answer.content is None:
                    continue
                stored.add(answer.member)
                if carried is not None and answer.content.reply is not None:
                    carried.receive(answer.member, answer.content.reply)
        if task_round.unanswered:
            self._background.start(self._count_hand_off(task_round, size))

    async def _count_hand_off(self, task_round: Round[_Stored], size: int) -> None:
        """Count the bytes that wait for replicas which have not answered yet."""
        self._hand_off_bytes += size
        try:
            while task_round.unanswered:
                await task_round.next_answer()
        except ViewMoved:
            pass
        finally:
            self._hand_off_bytes -= size

    async def chain(self, program: str, previous: str) -> bytes:
        """Return the bytes of the chain that ends with `previous`. Raises TurnUnknown, StoreUnavailable."""
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
            await self.put(program, copies)
        for link in links:
            self.cache.put(program, link.turn, Link(link.previous, link.input + link.output), READ_CACHE_S)
        return b"".join(reversed(bodies))

    async def _read_links(self, program: str, last: str) -> HistoryPage:
        """Return the links that end with turn `last`, from whichever store has them."""
        while True:
            view = await self._views.current()
            try:
                return await self._read_links_under(view, program, last)
            except ViewMoved:
                continue

    async def _read_links_under(self, view: StoreView, program: str, last: str) -> HistoryPage:
        until_s = asyncio.get_running_loop().time() + READ_FOR_S
        request = HistoryRequest(program, last)
        stages = self._reading_stages(view, program)
        absent: set[str] = set()
        with Round(self._calls, view, HistoryPage.from_json) as task_round:

            def ask_next_stage() -> None:
                if stages and not task_round.finished:
                    task_round.ask(stages.pop(0), request, until_s)

            task_round.on_failure = ask_next_stage
            while len(view.stable) - len(absent) > view.max_unreachable(self._count):
                if not task_round.unanswered:
                    if not stages:
                        raise StoreUnavailable("too few stores could tell of the turn")
                    ask_next_stage()
                try:
                    answer = await asyncio.wait_for(task_round.next_answer(), HEDGE_S if stages else None)
                except TimeoutError:
                    ask_next_stage()
                    continue
                found = answer.content
                if found is None:
                    continue
                if found.links:
                    return found
                absent.add(answer.member)
        raise TurnUnknown(last)

    def _reading_stages(self, view: StoreView, program: str) -> list[list[str]]:
        """Return whom to ask, one group after the other: so many replicas, one by one and the nearest first, that one
        of them holds what a majority holds, then the other replicas, then all other stores."""
        now_s = asyncio.get_running_loop().time()
        replicas = self._calls.health.nearest_first(view, view.stable_replicas(program, self._count), now_s)
        one_by_one = majority(len(replicas))
        others = [member for member in view.stable_ids if member not in replicas]
        stages = [[member] for member in replicas[:one_by_one]]
        return [group for group in (*stages, replicas[one_by_one:], others) if group]


def _copy_for(program: str, link: TurnRecord) -> TurnRecord:
    """Return a turn of another program, to be kept for `program`, which goes on from it."""
    return TurnRecord(link.turn, program, link.previous, link.retain_ms, link.input, link.output)
