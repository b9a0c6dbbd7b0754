"""The retry stage: what follows each outcome of a request, as a state machine without I/O.

A request is *repeatable* if it may run more than once. Everything else is repeated only after proof of no effect. Each
failed call pauses its receiver for this request; another receiver may be tried at once after a proof of no effect, and
after a short pause otherwise. All times are seconds of one monotonic clock.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass

from dewpin.dataplane.upstream.outcome import Outcome

REPEAT_PAUSE_S = 0.25
"""First pause before the same receiver is tried again; doubles with each failure."""
OTHER_RECEIVER_PAUSE_S = 0.05
"""First pause before another receiver is tried after an unknown effect; doubles with each failure."""
PAUSE_JITTER = 0.5
"""A pause is drawn between `1 - PAUSE_JITTER` and `1 + PAUSE_JITTER` times its length."""
CONNECTS_PER_ATTEMPT = 2
"""How many connections may fail to come up for each attempt that a route allows."""
LEAST_SHARE_OF_AIM = 0.1
"""A request with less than this share of its aim left is not sent."""
LEAST_RETRY_AFTER_S = 0.02
GATEWAY_FAILED = 502
GATEWAY_TIMED_OUT = 504


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """What a route allows. `attempts` bounds the receivers sent to, `aim_s` is the latency objective."""

    repeatable: bool
    attempts: int
    aim_s: float


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to a receiver, but to none in `avoid` before the time given there.

    `effect_unknown` tells that an earlier call may have run, so that the request cannot be refused any more.
    """

    avoid: Mapping[str, float]
    effect_unknown: bool


@dataclass(frozen=True, slots=True)
class Pause:
    """Wait until a time, then ask again."""

    until: float


@dataclass(frozen=True, slots=True)
class PassOn:
    """Give the client the newest signed answer of a receiver."""


@dataclass(frozen=True, slots=True)
class Refuse:
    """End with a promise that the request has not run; the client may come back after `retry_after_s`."""

    retry_after_s: float


@dataclass(frozen=True, slots=True)
class EndUnknown:
    """End without a promise: the request may have run. `status` is 502, or 504 once the time has ended."""

    status: int


Step = Send | Pause | PassOn | Refuse | EndUnknown


class RetryStage:
    """The course of one request; ask `next_step`, act, tell the result with one of the `record` methods."""

    def __init__(self, policy: RetryPolicy, deadline: float, randomness: random.Random) -> None:
        self._policy = policy
        self._deadline = deadline
        self._random = randomness
        self._attempts = 0
        self._connects_failed = 0
        self._failures = 0
        self._effect_unknown = False
        self._has_answer = False
        self._succeeded = False
        self._may_go_on = True
        self._earliest_send = 0.0
        self._paused_receivers: dict[str, float] = {}
        self._retry_after_s = LEAST_RETRY_AFTER_S

    @property
    def attempts(self) -> int:
        """Return how many receivers the request was sent to."""
        return self._attempts

    def next_step(self, now: float) -> Step:
        """Return what to do at `now`."""
        if self._succeeded:
            return PassOn()
        if not self._may_send(now):
            return self._end(now)
        if self._earliest_send > now:
            return Pause(self._earliest_send)
        return Send(dict(self._paused_receivers), self._effect_unknown)

    def record_call(self, receiver_id: str, outcome: Outcome, now: float, may_pass_on: bool = False) -> None:
        """Take in how a call ended; `may_pass_on` tells that it brought an answer for the client, if need be."""
        if outcome is Outcome.NEVER_SENT:
            self._connects_failed += 1
        else:
            self._attempts += 1
        if outcome is Outcome.SUCCESS:
            self._succeeded = True
            return
        self._failures += 1
        self._has_answer = self._has_answer or may_pass_on
        self._paused_receivers[receiver_id] = now + self._drawn_pause(REPEAT_PAUSE_S)
        if outcome.proves_no_effect:
            return
        self._effect_unknown = True
        self._may_go_on = self._policy.repeatable and outcome not in (Outcome.TIMED_OUT, Outcome.CLIENT_GONE)
        self._earliest_send = now + self._drawn_pause(OTHER_RECEIVER_PAUSE_S)

    def record_no_place(self, retry_after_s: float) -> None:
        """Take in that no receiver had room in time; the wait expected until one has is `retry_after_s`."""
        self._may_go_on = False
        self._retry_after_s = max(LEAST_RETRY_AFTER_S, retry_after_s)

    def record_client_gone(self) -> None:
        """Take in that nobody waits for the answer any more: nothing further is sent."""
        self._may_go_on = False

    def expect_wait(self, retry_after_s: float) -> None:
        """Take in the wait that is expected until a receiver has room, for the client's `Retry-After`."""
        self._retry_after_s = max(LEAST_RETRY_AFTER_S, retry_after_s)

    def _may_send(self, now: float) -> bool:
        if not self._may_go_on or self._attempts >= self._policy.attempts:
            return False
        if self._connects_failed >= CONNECTS_PER_ATTEMPT * self._policy.attempts:
            return False
        earliest = max(now, self._earliest_send)
        return self._deadline - earliest > LEAST_SHARE_OF_AIM * self._policy.aim_s

    def _end(self, now: float) -> Step:
        if self._has_answer:
            return PassOn()
        if not self._effect_unknown:
            return Refuse(self._retry_after_s)
        return EndUnknown(GATEWAY_TIMED_OUT if now >= self._deadline else GATEWAY_FAILED)

    def _drawn_pause(self, base_s: float) -> float:
        doubled = base_s * float(2 ** (self._failures - 1))
        return doubled * self._random.uniform(1 - PAUSE_JITTER, 1 + PAUSE_JITTER)
