"""Concurrent calls of a sender to the replicas of a program, each retried while its reply is needed.

The owner of a `ReplicaRound` decides which members to ask (see `quorum_round`) and when it has enough replies. The
round delivers replies as they arrive. With `continues_after_end`, calls that are unanswered at the end of the round
continue in the background, so that a slow replica neither delays the owner nor misses the write.
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
from dewpin.dataplane.programs.errors import StaleViewError
from dewpin.dataplane.programs.replica_health import ReplicaHealth
from dewpin.dataplane.programs.store_view_tracker import StoreViewTracker

ATTEMPT_TIMEOUT_S = 0.6
FIRST_BACKOFF_S = 0.03
MAX_BACKOFF_S = 1.0
MALFORMED_REPLY = "malformed_answer"
"""Kind of the RpcError for a reply that cannot be decoded."""

log = logging.getLogger(__name__)
Content = TypeVar("Content")
"""Type of the decoded replies of a round."""


class RpcCaller(Protocol):
    """The interface of `RpcClient` that this module uses."""

    async def call(self, address: str, message: Message, timeout_s: float) -> Message:
        """Send a request and return the reply. Raises RpcError."""


@dataclass(frozen=True, slots=True)
class ReplicaReply(Generic[Content]):
    """The result of a call to one member.

    content: the decoded reply; None if the call failed permanently.
    has_newer_view: whether the call failed because a newer store view is known.
    """

    member: str
    content: Content | None
    has_newer_view: bool = False


@dataclass(frozen=True, slots=True)
class _EncodedRequest:
    """The type and fields of a request, encoded once for all members."""

    kind: str
    fields: Message

    def for_member(self, view: StoreView, member: str, includes_view: bool) -> Message:
        """Return the message to one member; `includes_view` adds the view itself, for a member with an older one."""
        return RequestHeader(view.epoch, member, view if includes_view else None).encode(self.kind, self.fields)


class ReplicaCalls:
    """Makes the calls of a process at `location` and tracks the health of each member (`health`)."""

    def __init__(self, rpc: RpcCaller, views: StoreViewTracker, rng: random.Random, location: str = "") -> None:
        self._rpc = rpc
        self._views = views
        self._rng = rng
        self.health = ReplicaHealth(location, rng)
        self._tasks: set[asyncio.Task[None]] = set()

    def start(
        self, replica_round: ReplicaRound[Content], member: str, request: _EncodedRequest, deadline_s: float
    ) -> None:
        """Start a call to one member, with retries until `deadline_s`; the round gets exactly one `ReplicaReply`."""
        self._tasks.add(asyncio.ensure_future(self._run(replica_round, member, request, deadline_s)))

    def close(self) -> None:
        """Cancel all calls."""
        for task in self._tasks:
            task.cancel()

    async def _run(
        self, replica_round: ReplicaRound[Content], member: str, request: _EncodedRequest, deadline_s: float
    ) -> None:
        reply: ReplicaReply[Content] = ReplicaReply(member, None)
        try:
            content = await self._call_with_retries(replica_round, member, request, deadline_s)
            reply = ReplicaReply(member, content)
        except StaleViewError:
            reply = ReplicaReply(member, None, has_newer_view=True)
        except RpcError:
            pass  # a replica that does not reply is tolerated: the owner of the round counts the replies of the others
        except Exception as error:
            log.exception("replica_calls.fault", extra={"member": member, "why": repr(error)})
        finally:
            replica_round.replies.put_nowait(reply)
            forget_current_task(self._tasks)

    async def _call_with_retries(
        self, replica_round: ReplicaRound[Content], member: str, request: _EncodedRequest, deadline_s: float
    ) -> Content:
        """Call a member until it replies and return the decoded reply.

        Raises StaleViewError, or RpcError if the deadline has passed, the round has ended or the member rejects the
        request as malformed.
        """
        loop = asyncio.get_running_loop()
        backoff_s = FIRST_BACKOFF_S
        includes_view = False
        while True:
            self._raise_if_stale(replica_round.view)
            started_s = loop.time()
            timeout_s = min(ATTEMPT_TIMEOUT_S, deadline_s - started_s)
            if timeout_s <= 0:
                raise RpcError("timeout", member)
            try:
                content = await self._call_once(replica_round, member, request, includes_view, timeout_s)
            except RpcError as error:
                self.health.record_failure(member, loop.time())
                replica_round.on_failure()
                if error.kind == wire.MALFORMED:
                    log.error("replica_calls.refused", extra={"member": member, "why": error.detail})
                    raise
                if error.kind == wire.STALE_EPOCH:
                    self._adopt_view_of(error)
                    self._raise_if_stale(replica_round.view)
                    if not includes_view:  # the store's view is older: the next attempt includes the newer one
                        includes_view = True
                        continue
                if replica_round.has_ended and not replica_round.continues_after_end:
                    raise
                await asyncio.sleep(backoff_s * (0.5 + self._rng.random()))
                backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
                continue
            self.health.record_reply(member, loop.time() - started_s, loop.time())
            return content

    async def _call_once(
        self,
        replica_round: ReplicaRound[Content],
        member: str,
        request: _EncodedRequest,
        includes_view: bool,
        timeout_s: float,
    ) -> Content:
        """Make one attempt and return the decoded reply. Raises RpcError, also if the reply cannot be decoded."""
        view = replica_round.view
        message = request.for_member(view, member, includes_view)
        reply = await self._rpc.call(view.members[member].address, message, timeout_s)
        try:
            return replica_round.decode(reply)
        except MalformedMessageError as error:
            log.error("replica_calls.malformed_answer", extra={"member": member, "why": str(error)})
            raise RpcError(MALFORMED_REPLY, str(error)) from error

    def _raise_if_stale(self, view: StoreView) -> None:
        newest = self._views.newest
        if newest is not None and newest.epoch > view.epoch:
            raise StaleViewError

    def _adopt_view_of(self, error: RpcError) -> None:
        """Adopt the view that a store included in its rejection of an older epoch."""
        view = error.message.get("view")
        if view is not None:
            self._views.adopt(StoreView.from_json(view))


def _ignore_failure() -> None:
    """Default of `on_failure`: ignore a failed attempt."""


class ReplicaRound(Generic[Content]):
    """The replies of several members to requests under one view; a context manager that ends with its block.

    view: the store view of the requests.
    decode: decodes the message of a reply; raises MalformedMessageError.
    on_failure: called for each failed attempt, even if it is retried.
    continues_after_end: whether calls that are unanswered at the end of the round continue to be retried.
    replies: receives exactly one reply for each member that was asked.
    unanswered: number of members that were asked and whose reply `next_reply` has not returned.
    has_ended: whether the owner has left the block.
    """

    def __init__(
        self,
        calls: ReplicaCalls,
        view: StoreView,
        decode: Callable[[Message], Content],
        on_failure: Callable[[], None] = _ignore_failure,
        continues_after_end: bool = False,
    ) -> None:
        self.view = view
        self.decode = decode
        self.on_failure = on_failure
        self.continues_after_end = continues_after_end
        self.has_ended = False
        self.replies: asyncio.Queue[ReplicaReply[Content]] = asyncio.Queue()
        self.unanswered = 0
        self._calls = calls

    def ask(self, members: Iterable[str], request: SenderRequest, deadline_s: float) -> None:
        """Send a request to further members, with retries until `deadline_s` of the loop's clock."""
        encoded = _EncodedRequest(request.kind, request.fields())
        for member in members:
            self.unanswered += 1
            self._calls.start(self, member, encoded, deadline_s)

    async def next_reply(self) -> ReplicaReply[Content]:
        """Wait for the next reply. Raises StaleViewError once a newer view is known."""
        reply = await self.replies.get()
        self.unanswered -= 1
        if reply.has_newer_view:
            raise StaleViewError
        return reply

    def __enter__(self) -> ReplicaRound[Content]:
        return self

    def __exit__(self, *details: object) -> None:
        self.has_ended = True
