"""Retry policy: decides what follows each outcome of an attempt, as a state machine without I/O.

The driver calls `RetryStateMachine.next_action`, performs the action and reports its result by one of the `record`
methods, until an action is final.

An idempotent request may be executed more than once. Any other request is retried only if its last attempt proves that
it was not executed. A failed attempt blocks its receiver for this request, with exponential backoff. After a proof of
no effect another receiver may be tried immediately, otherwise only after a backoff.

All times are seconds of one monotonic clock.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass
from http import HTTPStatus

from dewpin.dataplane.upstream.outcome import Outcome

SAME_RECEIVER_BACKOFF_S = 0.25
"""Initial backoff before a retry at the same receiver; doubles with each failure."""
OTHER_RECEIVER_BACKOFF_S = 0.05
"""Initial backoff before a retry at another receiver after an unknown effect; doubles with each failure."""
BACKOFF_JITTER = 0.5
"""Relative jitter: a backoff is multiplied by a random factor in `1 - BACKOFF_JITTER` to `1 + BACKOFF_JITTER`."""
CONNECTS_PER_ATTEMPT = 2
"""Number of failed connects allowed for each attempt that the route allows."""
MIN_SHARE_OF_TARGET = 0.1
"""A request is not sent if the time until its deadline is at most this share of its latency target."""
MIN_RETRY_AFTER_S = 0.02


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """The retries that a route allows.

    Attributes:
        is_idempotent: whether the request may be executed more than once.
        max_attempts: maximum number of times that the request is sent.
        latency_target_s: latency target of the route.
    """

    is_idempotent: bool
    max_attempts: int
    latency_target_s: float


@dataclass(frozen=True, slots=True)
class SendToReceiver:
    """Send the request to a receiver.

    Attributes:
        avoid_until: by receiver id, the time before which the request must not be sent to that receiver.
        may_have_run: whether an earlier attempt may have been executed, so that rejecting the request is ruled out.
    """

    avoid_until: Mapping[str, float]
    may_have_run: bool


@dataclass(frozen=True, slots=True)
class WaitUntil:
    """Wait until `time`, then call `next_action` again."""

    time: float


@dataclass(frozen=True, slots=True)
class ForwardResponse:
    """Final: forward the last forwardable response of a receiver to the client."""


@dataclass(frozen=True, slots=True)
class RejectRequest:
    """Final: tell the client that the request was not executed; it may retry after `retry_after_s`."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final: respond with an error that leaves open whether the request was executed.

    `status` is BAD_GATEWAY, or GATEWAY_TIMEOUT after the deadline.
    """

    status: HTTPStatus


FinalAction = ForwardResponse | RejectRequest | FailRequest
RetryAction = SendToReceiver | WaitUntil | FinalAction


class RetryStateMachine:
    """The retry state of one request.

    Invariants: a request that may have been executed is never rejected as not executed; a request that is not
    idempotent is never sent again after an attempt with unknown effect.
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
        """Return how many times the request was sent to a receiver."""
        return self._attempts

    def next_action(self, now: float) -> RetryAction:
        """Return the action to perform at `now`."""
        if self._has_succeeded:
            return ForwardResponse()
        if not self._may_send(now):
            return self._final_action(now)
        if self._next_send_at > now:
            return WaitUntil(self._next_send_at)
        return SendToReceiver(dict(self._avoid_until), self._may_have_run)

    def record_call(self, receiver_id: str, outcome: Outcome, now: float, is_forwardable: bool = False) -> None:
        """Record the outcome of a call.

        If `is_forwardable`, the client may get its response if all further attempts fail.
        """
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
        is_final = outcome in (Outcome.TIMED_OUT, Outcome.CLIENT_DISCONNECTED, Outcome.NO_MEMORY)
        self._may_continue = self._policy.is_idempotent and not is_final
        self._next_send_at = now + self._draw_backoff_s(OTHER_RECEIVER_BACKOFF_S)

    def record_no_slot(self, retry_after_s: float) -> None:
        """Record that no receiver had a free slot in time; one is expected to be free after `retry_after_s`."""
        self._may_continue = False
        self._retry_after_s = max(MIN_RETRY_AFTER_S, retry_after_s)

    def record_client_disconnected(self) -> None:
        """Record that the client has disconnected; no further attempt is made."""
        self._may_continue = False

    def record_expected_wait(self, retry_after_s: float) -> None:
        """Record the expected wait for a free slot, which becomes `Retry-After` of a rejection."""
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
