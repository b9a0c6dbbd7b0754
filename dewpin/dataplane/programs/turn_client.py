"""Writes turns to a majority of the program's replicas and reads conversation histories."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import dataclass

from dewpin.cluster.background_tasks import BackgroundTasks
from dewpin.cluster.message_fields import Message
from dewpin.cluster.placement import majority
from dewpin.cluster.store_messages import HistoryPage, TurnRecord
from dewpin.cluster.store_requests import HistoryRequest, PutTurnsReply, PutTurnsRequest
from dewpin.cluster.store_view import StoreView
from dewpin.consensus import Reply
from dewpin.consensus.proposal import has_majorities
from dewpin.dataplane.programs.errors import StaleViewError, StoreUnavailableError, TurnNotFoundError
from dewpin.dataplane.programs.history_cache import CachedTurn, HistoryCache
from dewpin.dataplane.programs.ledger_ballot import PiggybackedBallot, ledger_reply
from dewpin.dataplane.programs.quorum_round import QuorumRound
from dewpin.dataplane.programs.replica_calls import ReplicaCalls, ReplicaRound
from dewpin.dataplane.programs.store_view_tracker import StoreViewTracker

READ_HEDGE_DELAY_S = 0.06
"""A read that has had no reply for this time is also sent to further stores."""
BACKGROUND_WRITE_S = 10.0
"""How long the write of a turn is retried at replicas that have not replied."""
MAX_BACKGROUND_WRITE_BYTES = 8 * 1024 * 1024
"""While background writes total at least this size, the write of a further turn ends with its majority."""
READ_RETRY_S = 60.0
"""How long a read is retried at one store; the caller's time-out is shorter."""
READ_CACHE_S = 10.0
"""How long turns that were read are cached; their retention time is unknown to the reader."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class _StoredReply:
    """A replica has stored the turns; `ledger_reply` is its reply to the piggybacked ballot, if any."""

    ledger_reply: Reply | None


def _decode_stored_reply(message: Message) -> _StoredReply:
    """Decode a store's reply to a write of turns. Raises MalformedMessageError."""
    stored = PutTurnsReply.decode(message)
    return _StoredReply(None if stored.reply is None else ledger_reply(stored.reply))


class TurnClient:
    """Writes turns and reads conversation histories; each program has `replica_count` replicas."""

    def __init__(
        self,
        calls: ReplicaCalls,
        views: StoreViewTracker,
        replica_count: int,
        cache: HistoryCache,
        background: BackgroundTasks,
    ) -> None:
        self.cache = cache
        self._calls = calls
        self._views = views
        self._replica_count = replica_count
        self._background = background
        self._background_write_bytes = 0

    async def put(self, program: str, records: Sequence[TurnRecord], ballot: PiggybackedBallot | None = None) -> None:
        """Write turns; return once a majority of each replica set of the program has stored them.

        A piggybacked ballot may not have ended by then. Raises StoreUnavailableError.
        """
        while True:
            view = await self._views.wait_for_view()
            try:
                await self._put_under_view(view, program, records, ballot)
                return
            except StaleViewError:
                continue

    async def _put_under_view(
        self, view: StoreView, program: str, records: Sequence[TurnRecord], ballot: PiggybackedBallot | None
    ) -> None:
        quorum_sets = view.write_sets(program, self._replica_count)
        turns = tuple(records)
        requests = {
            member: PutTurnsRequest(turns, None if ballot is None else ballot.accept_for(member, view))
            for member in sorted(frozenset().union(*quorum_sets))
        }
        size_bytes = sum(len(record.input) + len(record.output) for record in records)
        deadline_s = asyncio.get_running_loop().time() + BACKGROUND_WRITE_S
        stored: set[str] = set()
        continues = self._background_write_bytes < MAX_BACKGROUND_WRITE_BYTES
        with QuorumRound(self._calls, view, _decode_stored_reply, quorum_sets, deadline_s, continues) as quorum_round:
            quorum_round.ask(requests)
            while not has_majorities(quorum_sets, stored):
                if not quorum_round.may_get_replies:
                    raise StoreUnavailableError("too few replicas took the turn")
                reply = await quorum_round.next_reply()
                if reply.content is None:
                    continue
                stored.add(reply.member)
                if ballot is not None and reply.content.ledger_reply is not None:
                    ballot.receive(reply.member, reply.content.ledger_reply)
        if quorum_round.replica_round.unanswered:
            self._background.start(self._track_background_write(quorum_round.replica_round, size_bytes))

    async def _track_background_write(self, replica_round: ReplicaRound[_StoredReply], size_bytes: int) -> None:
        """Include a write in the size of the background writes until all replicas have replied."""
        self._background_write_bytes += size_bytes
        try:
            while replica_round.unanswered:
                await replica_round.next_reply()
        except StaleViewError:
            pass
        finally:
            self._background_write_bytes -= size_bytes

    async def read_history(self, program: str, previous_id: str) -> bytes:
        """Return the concatenated input and output of all turns up to `previous_id`, oldest first.

        Turns of another program that this one continues are first copied to this program. Raises TurnNotFoundError or
        StoreUnavailableError.
        """
        records: list[TurnRecord] = []
        copies: list[TurnRecord] = []
        contents: list[bytes] = []
        next_id: str | None = previous_id
        while next_id is not None:
            cached = self.cache.get(program, next_id)
            if cached is not None:
                contents.append(cached.content)
                next_id = cached.previous_id
                continue
            try:
                found = await self._read_turns(program, next_id)
            except TurnNotFoundError:
                if not contents:
                    raise
                log.warning("turn.history_incomplete", extra={"turn": previous_id, "missing": next_id})
                raise StoreUnavailableError(f"a link of the chain is gone: {next_id}") from None
            records += found.turns
            contents += [record.input + record.output for record in found.turns]
            copies += [_copy_for(program, record) for record in found.turns if record.turn in found.other_program_turns]
            next_id = found.next_turn
        if copies:
            await self.put(program, copies)
        for record in records:
            turn = CachedTurn(record.previous, record.input + record.output)
            self.cache.put(program, record.turn, turn, READ_CACHE_S)
        return b"".join(reversed(contents))

    async def _read_turns(self, program: str, last_id: str) -> HistoryPage:
        """Read a page of turns that starts with `last_id`, newest first, from any store that has them."""
        while True:
            view = await self._views.wait_for_view()
            try:
                return await _HistoryRead(self._calls, view, self._replica_count, program, last_id).run()
            except StaleViewError:
                continue


class _HistoryRead:
    """One read of turns under one view; it asks further stores while no store replies.

    Invariant: `_remaining_groups` holds the groups of members that have not been asked, in the order to ask them.
    """

    def __init__(self, calls: ReplicaCalls, view: StoreView, replica_count: int, program: str, last_id: str) -> None:
        self._view = view
        self._replica_count = replica_count
        self._last_id = last_id
        self._deadline_s = asyncio.get_running_loop().time() + READ_RETRY_S
        self._request = HistoryRequest(program, last_id)
        self._remaining_groups = _groups_to_ask(calls, view, program, replica_count)
        self._round = ReplicaRound(calls, view, HistoryPage.from_json, self._ask_next_group)

    async def run(self) -> HistoryPage:
        """Return the turns. Raises TurnNotFoundError, StoreUnavailableError or StaleViewError."""
        without_turn: set[str] = set()
        with self._round as replica_round:
            while len(self._view.stable) - len(without_turn) > self._view.max_unreachable(self._replica_count):
                if not replica_round.unanswered:
                    if not self._remaining_groups:
                        raise StoreUnavailableError("too few stores could tell of the turn")
                    self._ask_next_group()
                try:
                    hedge_delay_s = READ_HEDGE_DELAY_S if self._remaining_groups else None
                    reply = await asyncio.wait_for(replica_round.next_reply(), hedge_delay_s)
                except TimeoutError:
                    self._ask_next_group()
                    continue
                found = reply.content
                if found is None:
                    continue
                if found.turns:
                    return found
                without_turn.add(reply.member)
        log.info("turn.not_found", extra={"turn": self._last_id, "stores_without_it": sorted(without_turn)})
        raise TurnNotFoundError(self._last_id)

    def _ask_next_group(self) -> None:
        if self._remaining_groups and not self._round.has_ended:
            self._round.ask(self._remaining_groups.pop(0), self._request, self._deadline_s)


def _groups_to_ask(calls: ReplicaCalls, view: StoreView, program: str, replica_count: int) -> list[list[str]]:
    """Return the groups of members in the order to ask them.

    The first groups are single replicas, nearest first, and form a majority, so that at least one of them has each
    durable turn. The other replicas follow as one group, and all other stores as another.
    """
    now_s = asyncio.get_running_loop().time()
    replicas = calls.health.nearest_first(view, view.stable_replicas(program, replica_count), now_s)
    majority_count = majority(len(replicas))
    others = [member for member in view.stable_ids if member not in replicas]
    groups = [[member] for member in replicas[:majority_count]]
    return [group for group in (*groups, replicas[majority_count:], others) if group]


def _copy_for(program: str, record: TurnRecord) -> TurnRecord:
    """Convert a turn of another program to a turn of `program`, which continues it."""
    return TurnRecord(record.turn, program, record.previous, record.retain_ms, record.input, record.output)
