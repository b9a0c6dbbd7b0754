"""A store and a sender as components of the ledger model: the real `Store` and `LedgerClient`, unmodified.

Only their environment is modelled: the disk is an in-memory sqlite database, and a ballot's requests are queued in the
model's network instead of a `QuorumRound`.
"""

from __future__ import annotations

import json
from collections.abc import Coroutine
from typing import Any, NamedTuple

from scripted.disk import MemoryDisk

from dewpin.cluster.background_tasks import BackgroundTasks
from dewpin.cluster.rpc import RpcError
from dewpin.cluster.store_requests import LedgerAcceptRequest, LedgerPrepareRequest, RequestHeader
from dewpin.cluster.store_view import Member, StoreView
from dewpin.consensus import Ballot
from dewpin.consensus.messages import decode_reply
from dewpin.controlplane.store import ledger_replica
from dewpin.controlplane.store.ledger_replica import LedgerRecord
from dewpin.controlplane.store.store import Store
from dewpin.controlplane.store.view_guard import read_durable_view
from dewpin.dataplane.programs import ledger
from dewpin.dataplane.programs.errors import BudgetExceededError, StaleViewError
from dewpin.dataplane.programs.ledger_ballot import LedgerBallot
from dewpin.dataplane.programs.ledger_client import LedgerClient
from dewpin.dataplane.programs.store_view_tracker import StoreViewTracker
from tests.model.component import Event, await_position, freeze, freeze_proposal
from tests.model.coroutines import Suspension, ZeroBackoff, resume, run_to_completion

PROGRAM = "program"
REPLICA_COUNT = 3
NOW_MS = 1

Operation = tuple[str, str, int]
"""`reserve` or `settle`, the turn, its tokens; or `read`."""


def members(names: str) -> tuple[Member, ...]:
    """Members with single-letter names."""
    return tuple(Member(name, f"{name}:1") for name in names)


class StoreFingerprint(NamedTuple):
    """The state that a store's behaviour depends on; epoch 0 means no view."""

    epoch: int
    durable_epoch: int
    promised: Ballot
    accepted: Ballot
    rows: Any


class SenderFingerprint(NamedTuple):
    """The state that a sender's behaviour depends on. `ballot`: the ballot in progress, None while idle."""

    epoch: int
    completed: int
    ballots: int
    ballot: Ballot | None
    is_accepting: bool
    memory: Any
    pending: Any


class StorePart:
    """A store with one program's ledger; a crash clears its memory and keeps its disk. Without `may_crash`, states that
    differ only in what would survive a crash are merged."""

    def __init__(self, name: str, views: dict[int, StoreView], epoch: int | None, may_crash: bool) -> None:
        self._may_crash = may_crash
        self._name = name
        self._views = views
        self._disk = MemoryDisk()
        self._start()
        if epoch is not None:
            self._store.adopt(views[epoch])

    def _start(self) -> None:
        self._store = Store(self._disk, self._name, REPLICA_COUNT, wall_clock_ms=lambda: NOW_MS)

    def apply(self, event: Event) -> Any:
        """Events: `adopt EPOCH`, `request MESSAGE`, `pull MESSAGE`, `copying EPOCH` (the start of a copy),
        `merge RECORDS` and `crash`. Returns the reply, or the records of a pull."""
        kind, *rest = event
        if kind == "adopt":
            self._store.adopt(self._views[rest[0]])
            return None
        if kind == "crash":
            self._start()
            return run_to_completion(self._store.load())
        if kind == "copying":
            self._store.adopt(self._views[rest[0]])
            run_to_completion(self._store.make_view_durable())
            return None
        if kind == "merge":
            records = [LedgerRecord.from_json(record) for record in json.loads(rest[0])]
            return run_to_completion(
                self._disk.transact(lambda connection: ledger_replica.merge(connection, records, NOW_MS))
            )
        reply = self._handle_request(json.loads(rest[0]))
        if kind == "pull" and reply is not None:
            return json.dumps(json.loads(reply)["ledgers"])
        return reply

    def _handle_request(self, message: dict[str, Any]) -> str | None:
        """The reply as JSON, or None if the request is rejected."""
        try:
            return json.dumps(run_to_completion(self._store.handlers[message["type"]](message)))
        except RpcError:
            return None

    def fingerprint(self) -> StoreFingerprint:
        """The epochs in memory and on disk, and all ledger rows."""
        view = self._store.view
        durable = read_durable_view(self._disk.connection)
        held = ledger_replica.load(self._disk.connection, PROGRAM)
        rows = self._disk.connection.execute("SELECT * FROM register_replica").fetchall()
        epochs = (0 if view is None else view.epoch, 0 if durable is None or not self._may_crash else durable.epoch)
        return StoreFingerprint(*epochs, held.promised, held.accepted, freeze(rows))


class _ModelClient(LedgerClient):
    """A client whose ballots suspend until the model delivers replies."""

    ballot: LedgerBallot | None = None
    ballots = 0

    async def _exchange_messages(self, ballot: LedgerBallot) -> None:
        self.ballots += 1
        self.ballot = ballot
        self.waiting = ballot.start()
        if not ballot.has_ended:
            await Suspension()


class SenderPart:
    """A sender that performs its operations one after the other, each in as many ballots as needed."""

    def __init__(
        self, name: str, views: dict[int, StoreView], operations: tuple[Operation, ...], budget: int, clock_ms: int
    ) -> None:
        self._views = views
        self._operations = operations
        self._budget = budget
        tracker = StoreViewTracker()
        tracker.adopt(views[1])
        background = BackgroundTasks()
        self._client = _ModelClient(None, tracker, REPLICA_COUNT, name, ZeroBackoff(), lambda: clock_ms, background)
        self._completed = 0
        self._running: Coroutine[Any, Any, Any] | None = None

    def add(self, operation: Operation) -> None:
        """Appends an operation."""
        self._operations = (*self._operations, operation)

    def apply(self, event: Event) -> Any:
        """Events: `begin EPOCH`, `move EPOCH` (a newer view ends the ballot), `reply MEMBER MESSAGE`, `give_up` and
        `time_out`. Returns the requests sent, and the outcome if the operation has ended."""
        kind, *rest = event
        self._client.waiting = {}
        if kind == "time_out":
            return self._abandon()
        if kind == "begin":
            self._client._views.adopt(self._views[rest[0]])
            self._running = self._operation(self._operations[self._completed])
            return self._resume()
        if kind == "move":
            self._client._views.adopt(self._views[rest[0]])
            return self._resume(StaleViewError())
        if kind == "give_up":
            return self._resume()
        member, reply = rest
        ballot = self._client.ballot
        assert ballot is not None
        try:
            requests = ballot.receive(member, decode_reply(json.loads(reply)))
        except BudgetExceededError as spent:  # propagates through the driver of the ballot
            return self._resume(spent)
        if not ballot.has_ended:
            return self._encode_requests(requests), None
        return self._resume()

    def _abandon(self) -> Any:
        assert self._running is not None
        self._running.close()
        self._client.ballot, self._running = None, None
        self._completed += 1
        return (), None

    def _operation(self, operation: Operation) -> Coroutine[Any, Any, Any]:
        kind, turn, tokens = operation
        if kind == "reserve":
            return self._client._reserve(PROGRAM, turn, tokens, self._budget)
        if kind == "settle":
            self._client._pending_settlements.setdefault(PROGRAM, {})[turn] = tokens
            return self._client.change(PROGRAM, ledger.read, only_if_unsettled=turn)
        return self._client.read(PROGRAM)

    def _resume(self, failure: Exception | None = None) -> Any:
        assert self._running is not None
        ended = None
        try:
            while True:  # a back-off between two ballots takes no time
                resume(self._running, failure)
                failure = None
                if await_position(self._running)[-1][0] == "_exchange_messages":
                    break
        except StopIteration:
            ended = "made"
        except BudgetExceededError:
            ended = "spent"
        if ended is None:
            return self._encode_requests(self._client.waiting), None
        assert self._client.ballot is not None and self._client.ballot.proposal.result is not None
        value = self._client.ballot.proposal.result.value
        self._client.ballot, self._running = None, None
        self._completed += 1
        return (), (ended, json.dumps(value))

    def _encode_requests(self, requests: dict[str, LedgerPrepareRequest | LedgerAcceptRequest]) -> tuple[str, ...]:
        assert self._client.ballot is not None
        view = self._client.ballot.view
        texts = []
        for member, request in requests.items():
            header = RequestHeader(view.epoch, member, view)
            texts.append(json.dumps(header.encode(request.kind, request.fields())))
        return tuple(texts)

    def fingerprint(self) -> SenderFingerprint:
        """The sender's suspension point and its whole state."""
        client, proposer = self._client, self._client._proposer
        proposal = None if client.ballot is None else client.ballot.proposal
        view = client._views.newest
        assert view is not None
        memory = (proposer._counter, freeze(dict(proposer._promises)), freeze(client._pending_settlements))
        return SenderFingerprint(
            view.epoch,
            self._completed,
            client.ballots,
            None if proposal is None else proposal.ballot,
            proposal is not None and proposal._accept is not None,
            memory,
            (await_position(self._running), freeze_proposal(proposal)),
        )
