"""Calls of a sender to the replicas of a key: many at once, repeated while it is of use, first majority wins.

A `Round` hands out the answers as they come. What is still unanswered when its owner has enough goes on in the
background, so that a slow replica neither holds the owner up nor misses the record.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

from dewpin.cluster import store_messages as wire
from dewpin.cluster.rpc import Message, RpcError
from dewpin.cluster.running_tasks import forget_current_task
from dewpin.cluster.store_view import StoreView

ATTEMPT_TIMEOUT_S = 0.6
FIRST_PAUSE_S = 0.03
MOST_PAUSE_S = 1.0
_LATENCY_WEIGHT = 0.2

log = logging.getLogger(__name__)


class Calls(Protocol):
    """The part of an RpcClient that is needed here."""

    async def call(self, address: str, message: Message, timeout_s: float) -> Message:
        """Return the answer; raises RpcError."""


class ViewMoved(Exception):
    """A newer view of the stores is known: what was begun under the old one begins anew."""


@dataclass(frozen=True, slots=True)
class Answer:
    """What came of one member: its message, or None when it failed for good; `moved` for a newer view."""

    member: str
    message: Message | None
    moved: bool = False


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

    def __init__(self, calls: Calls, views: ViewHolder, rng: random.Random) -> None:
        self._calls = calls
        self._views = views
        self._rng = rng
        self._latency_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def fastest_first(self, members: Iterable[str]) -> list[str]:
        """Return the members in the order of their usual time to answer; unknown ones come first."""
        return sorted(members, key=lambda member: (self._latency_s.get(member, 0.0), member))

    def start(self, task_round: Round, member: str, kind: str, fields: Message, until_s: float) -> None:
        """Ask one member, again and again until `until_s` of the loop's clock; the round gets one answer."""
        self._tasks.add(asyncio.ensure_future(self._run(task_round, member, kind, fields, until_s)))

    def close(self) -> None:
        """Give all calls up."""
        for task in self._tasks:
            task.cancel()

    async def _run(self, task_round: Round, member: str, kind: str, fields: Message, until_s: float) -> None:
        answer = Answer(member, None)
        try:
            answer = Answer(member, await self._ask(task_round, member, kind, fields, until_s))
        except ViewMoved:
            answer = Answer(member, None, moved=True)
        except RpcError:
            pass  # the silence of one replica is no event: the owner of the round counts the others
        except Exception as fault:
            log.exception("replica_calls.fault", extra={"member": member, "why": repr(fault)})
        finally:
            task_round.answers.put_nowait(answer)
            forget_current_task(self._tasks)

    async def _ask(self, task_round: Round, member: str, kind: str, fields: Message, until_s: float) -> Message:
        """Return the member's answer. Raises ViewMoved, or RpcError when the time is over or nobody waits."""
        loop = asyncio.get_running_loop()
        view = task_round.view
        pause_s = FIRST_PAUSE_S
        while True:
            self._check_epoch(view)
            begun_s = loop.time()
            timeout_s = min(ATTEMPT_TIMEOUT_S, until_s - begun_s)
            if timeout_s <= 0:
                raise RpcError("timeout", member)
            message = wire.request(kind, view, member, **fields)
            try:
                answer = await self._calls.call(view.members[member].address, message, timeout_s)
            except RpcError as failure:
                self._note_latency(member, ATTEMPT_TIMEOUT_S)
                if failure.kind == wire.STALE_EPOCH:
                    self._learn_view(failure)
                    self._check_epoch(view)
                    if "view" not in fields:  # the store is behind: it takes the view from the next request
                        fields = {**fields, "view": view.to_json()}
                        continue
                if task_round.finished and not task_round.hand_off:
                    raise
                await asyncio.sleep(pause_s * (0.5 + self._rng.random()))
                pause_s = min(2 * pause_s, MOST_PAUSE_S)
                continue
            self._note_latency(member, loop.time() - begun_s)
            return answer

    def _check_epoch(self, view: StoreView) -> None:
        newest = self._views.view
        if newest is not None and newest.epoch > view.epoch:
            raise ViewMoved

    def _learn_view(self, failure: RpcError) -> None:
        """Take the view that a store told when it refused an epoch."""
        told = failure.message.get("view")
        if told is not None:
            self._views.adopt(StoreView.from_json(told))

    def _note_latency(self, member: str, took_s: float) -> None:
        before_s = self._latency_s.get(member, took_s)
        self._latency_s[member] = before_s + _LATENCY_WEIGHT * (took_s - before_s)


class Round:
    """The answers of several members to one question under one view.

    With `hand_off`, members that have not answered are asked on after the owner has enough.
    """

    def __init__(self, calls: ReplicaCalls, view: StoreView, hand_off: bool = False) -> None:
        self.view = view
        self.hand_off = hand_off
        self.finished = False
        self.answers: asyncio.Queue[Answer] = asyncio.Queue()
        self.unanswered = 0
        self._calls = calls

    def ask(self, member: str, kind: str, fields: Message, until_s: float) -> None:
        """Ask one member more."""
        self.unanswered += 1
        self._calls.start(self, member, kind, fields, until_s)

    async def next_answer(self) -> Answer:
        """Return the next answer. Raises ViewMoved once any member is known to be of a newer view."""
        answer = await self.answers.get()
        self.unanswered -= 1
        if answer.moved:
            raise ViewMoved
        return answer

    def __enter__(self) -> Round:
        return self

    def __exit__(self, *details: object) -> None:
        self.finished = True
