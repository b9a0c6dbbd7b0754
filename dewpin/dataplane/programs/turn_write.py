"""One write of turns under one store view.

A replica counts towards the majority only once it has the turns together with all that precede them: it keeps an
expired turn while it holds a turn that continues it, so a replica without gaps keeps a conversation as long as its
newest turn. A replica replies with the newest turn that it lacks, which the sender then supplies from the history.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import dataclass

from dewpin.cluster.message_fields import Message
from dewpin.cluster.store_messages import TurnRecord
from dewpin.cluster.store_requests import PutTurnsReply, PutTurnsRequest
from dewpin.cluster.store_view import StoreView
from dewpin.consensus import Reply
from dewpin.consensus.proposal import has_majorities
from dewpin.dataplane.programs.errors import StoreUnavailableError
from dewpin.dataplane.programs.history import History
from dewpin.dataplane.programs.ledger_ballot import PiggybackedBallot, ledger_reply
from dewpin.dataplane.programs.quorum_round import QuorumRound, ReplicaSet
from dewpin.dataplane.programs.replica_calls import ReplicaCalls, ReplicaReply, ReplicaRound

BACKGROUND_WRITE_S = 10.0
"""How long the write of a turn is retried at replicas that have not replied."""
MAX_SUPPLIED_BYTES = 512 * 1024
"""Supplied turns are added to one request until their bodies reach this size."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class StoredReply:
    """A replica has stored the turns.

    ledger_reply: its reply to the piggybacked ballot, if any.
    missing_turn: id of the newest preceding turn that it lacks; None if it has all of them.
    """

    ledger_reply: Reply | None
    missing_turn: str | None


def _decode_stored_reply(message: Message) -> StoredReply:
    """Decode a store's reply to a write of turns. Raises MalformedMessageError."""
    stored = PutTurnsReply.decode(message)
    return StoredReply(None if stored.reply is None else ledger_reply(stored.reply), stored.missing_turn)


class TurnWrite:
    """Writes turns of a program, with all that precede them, to a majority of each of its replica sets.

    records: the turns; their history is that of the newest one.
    history: the turns that precede `records`; turns that are in both are allowed.
    ballot: the ballot that the first request to each replica carries, if any.
    """

    def __init__(
        self,
        calls: ReplicaCalls,
        view: StoreView,
        quorum_sets: Sequence[ReplicaSet],
        records: Sequence[TurnRecord],
        history: History,
        ballot: PiggybackedBallot | None,
        continues_after_end: bool,
    ) -> None:
        self._view = view
        self._quorum_sets = quorum_sets
        self._records = tuple(records)
        self._history = history
        self._ballot = ballot
        self._complete: set[str] = set()
        self._supplied_turns: dict[str, int] = {}
        deadline_s = asyncio.get_running_loop().time() + BACKGROUND_WRITE_S
        self._round = QuorumRound(calls, view, _decode_stored_reply, quorum_sets, deadline_s, continues_after_end)

    async def run(self) -> ReplicaRound[StoredReply]:
        """Return once a majority of each set is complete; the returned calls may be unanswered.

        Raises StoreUnavailableError or StaleViewError. A write that fails or is cancelled does not continue in the
        background, where the turns would be held for nobody.
        """
        with self._round as quorum_round:
            try:
                await self._write(quorum_round)
            except BaseException:
                quorum_round.replica_round.continues_after_end = False
                raise
        return quorum_round.replica_round

    async def _write(self, quorum_round: QuorumRound[StoredReply]) -> None:
        quorum_round.ask({member: self._first_request(member) for member in self._members()})
        while not has_majorities(self._quorum_sets, self._complete):
            if not quorum_round.may_get_replies:
                raise StoreUnavailableError("too few replicas took the turn")
            self._process(await quorum_round.next_reply())

    def _members(self) -> list[str]:
        return sorted(frozenset().union(*self._quorum_sets))

    def _first_request(self, member: str) -> PutTurnsRequest:
        accept = None if self._ballot is None else self._ballot.accept_for(member, self._view)
        return PutTurnsRequest(self._records, accept)

    def _process(self, reply: ReplicaReply[StoredReply]) -> None:
        stored = reply.content
        if stored is None:
            return
        if self._ballot is not None and stored.ledger_reply is not None:
            self._ballot.receive(reply.member, stored.ledger_reply)
        if stored.missing_turn is None:
            self._complete.add(reply.member)
        else:
            self._supply(reply.member, stored.missing_turn)

    def _supply(self, member: str, missing_turn: str) -> None:
        """Send a replica the turns that it lacks, as far as they are known: twice as many with each request.

        Most gaps are of one turn, which another majority took; a replica that was out of use may lack them all.
        """
        count = self._supplied_turns.get(member, 0) + 1
        self._supplied_turns[member] = 2 * count - 1
        supplied: list[TurnRecord] = []
        size_bytes = 0
        for record in self._history.records_before(self._records[0].program, missing_turn):
            if len(supplied) == count or size_bytes >= MAX_SUPPLIED_BYTES:
                break
            supplied.append(record)
            size_bytes += len(record.input) + len(record.output)
        log.info("turn.supplied", extra={"member": member, "missing": missing_turn, "turns": len(supplied)})
        if supplied:
            self._round.ask_again(member, PutTurnsRequest(tuple(supplied)))
        else:
            self._round.ask_deferred()  # this replica cannot be completed
