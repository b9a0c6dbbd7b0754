"""Calls of a sender to the replicas of a key: many at once, each repeated while it is of use.

Whoever owns a `Round` chooses whom to ask (`quorum_round`) and when it has enough. The round hands out the answers as
they come; with `hand_off`, what is still unanswered then goes on in the background, so that a slow replica neither
holds the owner up nor misses the record.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Generic, Protocol, TypeVar

from dewpin.cluster import store_messages as wire
from dewpin.cluster.message_fields import MalformedMessageError
from dewpin.cluster.rpc import Message, RpcError
from dewpin.cluster.running_tasks import forget_current_task
from dewpin.cluster.store_requests import RequestHeader, SenderRequest
from dewpin.cluster.store_view import StoreView
from dewpin.dataplane.programs.replica_health import ReplicaHealth

ATTEMPT_TIMEOUT_S = 0.6
FIRST_PAUSE_S = 0.03
MOST_PAUSE_S = 1.0
MALFORMED_ANSWER = "malformed_answer"
"""The kind of the error that stands for an answer which is none to its question."""

log = logging.getLogger(__name__)
Content = TypeVar("Content")
"""What an answer says."""


class Calls(Protocol):
    """The part of an RpcClient that is needed here."""

    async def call(self, address: str, message: Message, timeout_s: float) -> Message:
        """Return the answer; raises RpcError."""


class ViewMoved(Exception):
    """A newer view of the stores is known: what was begun under the old one begins anew."""


@dataclass(frozen=True, slots=True)
class Answer(Generic[Content]):
    """What came of one member: what its answer says, or None when it failed for good; `moved` for a newer view."""

    member: str
    content: Content | None
    moved: bool = False


@dataclass(frozen=True, slots=True)
class _EncodedRequest:
    """A request's type and fields, made once for all members that are asked."""

    kind: str
    fields: Message

    def to_member(self, view: StoreView, member: str, tells_view: bool) -> Message:
        """The message for one member; with the view itself where the member is behind."""
        return RequestHeader(view.epoch, member, view if tells_view else None).encode(self.kind, self.fields)


class ViewHolder:
    """The newest view that this sender knows."""

    def __init__(self) -> None:
        self.view: StoreView | None = None
        self._known = asyncio.Event()

    def adopt(self, view: StoreView) -> None:
        """Take a view if it is newer."""
        if self.view is None or view.epoch > self.view.epoch:
            self.view = view
            self._known.set()

    async def current(self) -> StoreView:
        """Return the newest view, once there is one with members."""
        await self._known.wait()
        assert self.view is not None
        return self.view


class ReplicaCalls:
    """Makes the calls, and remembers how long each member takes."""

    def __init__(self, calls: Calls, views: ViewHolder, rng: random.Random, location: str = "") -> None:
        """Make them for a process at `location`."""
        self._calls = calls
        self._views = views
        self._rng = rng
        self.health = ReplicaHealth(location, rng)
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, task_round: Round[Content], member: str, request: _EncodedRequest, until_s: float) -> None:
        """Ask one member, again and again until `until_s` of the loop's clock; the round gets one answer."""
        self._tasks.add(asyncio.ensure_future(self._run(task_round, member, request, until_s)))

    def close(self) -> None:
        """Give all calls up."""
        for task in self._tasks:
            task.cancel()

    async def _run(self, task_round: Round[Content], member: str, request: _EncodedRequest, until_s: float) -> None:
        answer: Answer[Content] = Answer(member, None)
        try:
            content = await self._ask(task_round, member, request, until_s)
            answer = Answer(member, content)
        except ViewMoved:
            answer = Answer(member, None, moved=True)
        except RpcError:
            pass  # the silence of one replica is no event: the owner of the round counts the others
        except Exception as fault:
            log.exception("replica_calls.fault", extra={"member": member, "why": repr(fault)})
        finally:
            task_round.answers.put_nowait(answer)
            forget_current_task(self._tasks)

    async def _ask(self, task_round: Round[Content], member: str, request: _EncodedRequest, until_s: float) -> Content:
        """Return what the member answers. Raises ViewMoved, or RpcError when the time is over, nobody waits, or the
        member takes the request for malformed."""
        loop = asyncio.get_running_loop()
        view = task_round.view
        pause_s = FIRST_PAUSE_S
        tells_view = False
        while True:
            self._check_epoch(view)
            begun_s = loop.time()
            timeout_s = min(ATTEMPT_TIMEOUT_S, until_s - begun_s)
            if timeout_s <= 0:
                raise RpcError("timeout", member)
            message = request.to_member(view, member, tells_view)
            try:
                answer = await self._calls.call(view.members[member].address, message, timeout_s)
                content = _content_of(answer, task_round.decode, member)
            except RpcError as failure:
                self.health.note_failure(member, loop.time())
                task_round.on_failure()
                if failure.kind == wire.MALFORMED:
                    log.error("replica_calls.refused", extra={"member": member, "why": failure.detail})
                    raise
                if failure.kind == wire.STALE_EPOCH:
                    self._learn_view(failure)
                    self._check_epoch(view)
                    if not tells_view:  # the store is behind: it takes the view from the next request
                        tells_view = True
                        continue
                if task_round.finished and not task_round.hand_off:
                    raise
                await asyncio.sleep(pause_s * (0.5 + self._rng.random()))
                pause_s = min(2 * pause_s, MOST_PAUSE_S)
                continue
            self.health.note_answer(member, loop.time() - begun_s, loop.time())
            return content

    def _check_epoch(self, view: StoreView) -> None:
        newest = self._views.view
        if newest is not None and newest.epoch > view.epoch:
            raise ViewMoved

    def _learn_view(self, failure: RpcError) -> None:
        """Take the view that a store told when it refused an epoch."""
        told = failure.message.get("view")
        if told is not None:
            self._views.adopt(StoreView.from_json(told))


class Round(Generic[Content]):
    """The answers of several members to one question under one view; `decode` reads an answer and raises
    MalformedMessageError if it is none.

    With `hand_off`, members that have not answered are asked on after the owner has enough.
    """

    def __init__(
        self, calls: ReplicaCalls, view: StoreView, decode: Callable[[Message], Content], hand_off: bool = False
    ) -> None:
        self.view = view
        self.decode = decode
        self.hand_off = hand_off
        self.finished = False
        self.on_failure: Callable[[], None] = lambda: None
        """Called when a member gives no answer to an attempt, although it is asked again."""
        self.answers: asyncio.Queue[Answer[Content]] = asyncio.Queue()
        self.unanswered = 0
        self._calls = calls

    def ask(self, members: Iterable[str], request: SenderRequest, until_s: float) -> None:
        """Ask some members more."""
        encoded = _EncodedRequest(request.kind, request.fields())
        for member in members:
            self.unanswered += 1
            self._calls.start(self, member, encoded, until_s)

    async def next_answer(self) -> Answer[Content]:
        """Return the next answer. Raises ViewMoved once any member is known to be of a newer view."""
        answer = await self.answers.get()
        self.unanswered -= 1
        if answer.moved:
            raise ViewMoved
        return answer

    def __enter__(self) -> Round[Content]:
        return self

    def __exit__(self, *details: object) -> None:
        self.finished = True


def _content_of(answer: Message, decode: Callable[[Message], Content], member: str) -> Content:
    """Return what an answer says; RpcError for one that is malformed, which counts as none."""
    try:
        return decode(answer)
    except MalformedMessageError as fault:
        log.error("replica_calls.malformed_answer", extra={"member": member, "why": str(fault)})
        raise RpcError(MALFORMED_ANSWER, str(fault)) from fault
