"""Retries: what follows each outcome of an attempt, as a state machine without I/O.

The driver asks `RetryStateMachine.next_action`, performs the action and reports the result by one of the `record`
methods, until the action is a final one.

An idempotent request may run more than once. Any other request is retried only if its last attempt proves that it has
not run. A failed attempt blocks its receiver for this request, with exponential backoff. After a proof of no effect
another receiver may be tried at once, otherwise only after a backoff.

All times are seconds of one monotonic clock.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus

from dewpin.dataplane.upstream.outcome import Outcome

SAME_RECEIVER_BACKOFF_S = 0.25
"""First backoff before the same receiver is tried again; doubles with each failure."""
OTHER_RECEIVER_BACKOFF_S = 0.05
"""First backoff before another receiver is tried after an attempt with unknown effect; doubles with each failure."""
BACKOFF_JITTER = 0.5
"""A backoff is drawn between `1 - BACKOFF_JITTER` and `1 + BACKOFF_JITTER` times its length."""
CONNECTS_PER_ATTEMPT = 2
"""How many connects may fail for each attempt that a route allows."""
MIN_SHARE_OF_TARGET = 0.1
"""A request is not sent if less than this share of its latency target is left until its deadline."""
MIN_RETRY_AFTER_S = 0.02


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """What a route allows.

    Attributes:
        is_idempotent: whether the request may run more than once.
        max_attempts: bounds the receivers that the request is sent to.
        latency_target_s: latency target of the route.
    """

    is_idempotent: bool
    max_attempts: int
    latency_target_s: float


@dataclass(frozen=True, slots=True)
class SendToReceiver:
    """Send the request to a receiver.

    Attributes:
        avoid_until: receivers, by id, that the request may not be sent to before the given time.
        may_have_run: whether an earlier attempt may have run, so that the request cannot be rejected any more.
    """

    avoid_until: Mapping[str, float]
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class WaitUntil:
    """Wait until `time`, then ask for the next action again."""

    time: float


@dataclass(frozen=True, slots=True)
class ForwardResponse:
    """Final: give the client the last response of a receiver that may be forwarded."""


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final: promise the client that the request has not run; it may retry after `retry_after_s`."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final: an error without that promise, since the request may have run.

    `status` is BAD_GATEWAY, or GATEWAY_TIMEOUT after the deadline.
    """

    status: HTTPStatus


FinalAction = ForwardResponse | RejectRequest | FailRequest
RetryAction = SendToReceiver | WaitUntil | FinalAction


class RetryStateMachine:
    """The attempts of one request.

    Invariants: a request whose effect is unknown is never rejected with the promise that it has not run; a request that
    is not idempotent is sent to no receiver after an attempt with unknown effect.
    """

    def __init__(self, policy: RetryPolicy, deadline: float, randomness: random.Random) -> None:
        self._policy = policy
        self._deadline = deadline
        self._random = randomness
        self._attempts = 0
        self._failed_connects = 0
        self._failures = 0
        self._may_have_run = False
        self._has_response = False
        self._has_succeeded = False
        self._may_continue = True
        self._next_send_at = 0.0
        self._avoid_until: dict[str, float] = {}
        self._retry_after_s = MIN_RETRY_AFTER_S

    @property
    def attempts(self) -> int:
        """Return how many receivers the request was sent to."""
        return self._attempts

    def next_action(self, now: float) -> RetryAction:
        """Return what to do at `now`."""
        if self._has_succeeded:
            return ForwardResponse()
        if not self._may_send(now):
            return self._final_action(now)
        if self._next_send_at > now:
            return WaitUntil(self._next_send_at)
        return SendToReceiver(dict(self._avoid_until), self._may_have_run)

    def record_call(self, receiver_id: str, outcome: Outcome, now: float, is_forwardable: bool = False) -> None:
        """Record how a call ended; `is_forwardable`: the client may get its response if all further attempts fail."""
        if outcome is Outcome.NOT_SENT:
            self._failed_connects += 1
        else:
            self._attempts += 1
        if outcome is Outcome.SUCCESS:
            self._has_succeeded = True
            return
        self._failures += 1
        self._has_response = self._has_response or is_forwardable
        self._avoid_until[receiver_id] = now + self._draw_backoff_s(SAME_RECEIVER_BACKOFF_S)
        if outcome.proves_no_effect:
            return
        self._may_have_run = True
        is_final = outcome in (Outcome.TIMED_OUT, Outcome.CLIENT_DISCONNECTED)
        self._may_continue = self._policy.is_idempotent and not is_final
        self._next_send_at = now + self._draw_backoff_s(OTHER_RECEIVER_BACKOFF_S)

    def record_no_slot(self, retry_after_s: float) -> None:
        """Record that no receiver had a free slot in time; one is expected to have after `retry_after_s`."""
        self._may_continue = False
        self._retry_after_s = max(MIN_RETRY_AFTER_S, retry_after_s)

    def record_client_disconnected(self) -> None:
        """Record that nobody waits for the response any more: nothing further is sent."""
        self._may_continue = False

    def record_expected_wait(self, retry_after_s: float) -> None:
        """Record the expected wait for a free slot, for `Retry-After` of a rejection."""
        self._retry_after_s = max(MIN_RETRY_AFTER_S, retry_after_s)

    def _may_send(self, now: float) -> bool:
        if not self._may_continue or self._attempts >= self._policy.max_attempts:
            return False
        if self._failed_connects >= CONNECTS_PER_ATTEMPT * self._policy.max_attempts:
            return False
        send_at = max(now, self._next_send_at)
        return self._deadline - send_at > MIN_SHARE_OF_TARGET * self._policy.latency_target_s

    def _final_action(self, now: float) -> FinalAction:
        if self._has_response:
            return ForwardResponse()
        if not self._may_have_run:
            return RejectRequest(self._retry_after_s)
        return FailRequest(HTTPStatus.GATEWAY_TIMEOUT if now >= self._deadline else HTTPStatus.BAD_GATEWAY)

    def _draw_backoff_s(self, base_s: float) -> float:
        doubled_s = base_s * float(2 ** (self._failures - 1))
        return doubled_s * self._random.uniform(1 - BACKOFF_JITTER, 1 + BACKOFF_JITTER)
