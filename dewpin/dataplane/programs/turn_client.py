"""Writes turns to a majority of the program's replicas and reads conversation histories."""

from __future__ import annotations

import logging
from collections.abc import Sequence
from dataclasses import replace

from dewpin.cluster.background_tasks import BackgroundTasks
from dewpin.cluster.store_messages import HistoryPage, TurnRecord
from dewpin.cluster.store_view import StoreView
from dewpin.dataplane.programs.errors import StaleViewError, StoreUnavailableError, TurnNotFoundError
from dewpin.dataplane.programs.history import EMPTY_HISTORY, History
from dewpin.dataplane.programs.history_cache import HistoryCache
from dewpin.dataplane.programs.history_read import HistoryRead
from dewpin.dataplane.programs.ledger_ballot import PiggybackedBallot
from dewpin.dataplane.programs.replica_calls import ReplicaCalls, ReplicaRound
from dewpin.dataplane.programs.store_view_tracker import StoreViewTracker
from dewpin.dataplane.programs.turn_write import StoredReply, TurnWrite

MAX_BACKGROUND_WRITE_BYTES = 8 * 1024 * 1024
"""While background writes total at least this size, the write of a further turn ends with its majority."""
READ_CACHE_S = 10.0
"""How long turns that were read are cached; their retention time is unknown to the reader."""

log = logging.getLogger(__name__)


class _FoundTurns:
    """The turns of a history that were found so far, as turns of the program that reads it.

    newest_first: all of them.
    read: those that were read from a store.
    other_program_turns: those of `read` that the store has for other programs only.
    """

    def __init__(self, program: str) -> None:
        self.program = program
        self.newest_first: list[TurnRecord] = []
        self.read: list[TurnRecord] = []
        self.other_program_turns: list[TurnRecord] = []

    def add_page(self, page: HistoryPage) -> None:
        """Add the turns of a page."""
        records = [replace(record, program=self.program) for record in page.turns]
        self.newest_first += records
        self.read += records
        self.other_program_turns += [record for record in records if record.turn in page.other_program_turns]


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

    async def put(
        self,
        program: str,
        records: Sequence[TurnRecord],
        history: History = EMPTY_HISTORY,
        ballot: PiggybackedBallot | None = None,
    ) -> None:
        """Write turns; return once a majority of each replica set of the program has them and all preceding turns.

        `history` has the preceding turns. A piggybacked ballot may not have ended by then. Raises
        StoreUnavailableError.
        """
        while True:
            view = await self._views.wait_for_view()
            try:
                await self._put_under_view(view, program, records, history, ballot)
                return
            except StaleViewError:
                continue

    async def _put_under_view(
        self,
        view: StoreView,
        program: str,
        records: Sequence[TurnRecord],
        history: History,
        ballot: PiggybackedBallot | None,
    ) -> None:
        quorum_sets = view.write_sets(program, self._replica_count)
        continues = self._background_write_bytes < MAX_BACKGROUND_WRITE_BYTES
        write = TurnWrite(self._calls, view, quorum_sets, records, history, ballot, continues)
        replica_round = await write.run()
        if replica_round.unanswered:
            size_bytes = sum(len(record.input) + len(record.output) for record in records)
            self._background.start(self._track_background_write(replica_round, size_bytes))

    async def _track_background_write(self, replica_round: ReplicaRound[StoredReply], size_bytes: int) -> None:
        """Include a write in the size of the background writes until all replicas have replied."""
        self._background_write_bytes += size_bytes
        try:
            while replica_round.unanswered:
                await replica_round.next_reply()
        except StaleViewError:
            pass
        finally:
            self._background_write_bytes -= size_bytes

    async def read_history(self, program: str, previous_id: str) -> History:
        """Return the history up to `previous_id`.

        Turns of another program that this one continues are first copied to this program. Raises TurnNotFoundError or
        StoreUnavailableError.
        """
        found = _FoundTurns(program)
        next_id: str | None = previous_id
        while next_id is not None:
            cached = self.cache.get(program, next_id)
            if cached is not None:
                found.newest_first.append(cached)
                next_id = cached.previous
            else:
                next_id = await self._read_further(found, next_id)
        history = History.of(reversed(found.newest_first))
        if found.other_program_turns:
            await self.put(program, found.other_program_turns, history)
        for record in found.read:
            self.cache.put(record, READ_CACHE_S)
        return history

    async def _read_further(self, found: _FoundTurns, next_id: str) -> str | None:
        """Read a page of turns that starts with `next_id`; return the turn that precedes the page, if any.

        Raises TurnNotFoundError for the newest turn of a history, StoreUnavailableError for an earlier one.
        """
        try:
            page = await self._read_turns(found.program, next_id)
        except TurnNotFoundError:
            if not found.newest_first:
                raise
            newest_id = found.newest_first[0].turn
            log.warning("turn.history_incomplete", extra={"turn": newest_id, "missing": next_id})
            raise StoreUnavailableError(f"a link of the chain is gone: {next_id}") from None
        found.add_page(page)
        return page.next_turn

    async def _read_turns(self, program: str, last_id: str) -> HistoryPage:
        """Read a page of turns that starts with `last_id`, newest first, from any store that has them."""
        while True:
            view = await self._views.wait_for_view()
            try:
                return await HistoryRead(self._calls, view, self._replica_count, program, last_id).run()
            except StaleViewError:
                continue
