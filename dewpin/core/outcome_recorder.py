"""Derives the state of the receiver, its destination and the network path from the outcome of an attempt."""

from __future__ import annotations

from typing import NamedTuple

from .call import Call
from .circuit_breaker import SUSTAINED_REJECTION_MS, CircuitBreaker
from .destination_limits import DestinationLimits, limits_of
from .model import READY, Message, Outcome
from .random_source import RandomSource
from .rate_control import RateControl
from .receiver_health import ReceiverHealth, health_of
from .sender_state import SenderState
from .settings import DispatcherSettings
from .slow_start import SlowStart

NO_ANSWER_OUTCOMES = frozenset((Outcome.TIMED_OUT, Outcome.RESET, Outcome.DROPPED, Outcome.CONNECT_FAILED))
FAILURE_OUTCOMES = NO_ANSWER_OUTCOMES | {Outcome.ERROR}

MIN_LONG_FAILURE_MS = 1000.0
"""A failure that took at least this long is stronger evidence than a quick one; no crash recovers sooner."""
MAX_RATE_LIMIT_WAIT_MS = 2500.0
"""A longer requested wait is not due to a rate limit: the destination is unavailable and will return cold."""
MIN_SUSTAINED_REJECTIONS = 3
"""This many rejections without a success, over `SUSTAINED_REJECTION_MS`, mean that a destination is unavailable."""
LOSSY_PATH_FAILURES = 3
"""This many consecutive failures are an outage even if calls are lost on the network path."""
FULL_TABLE_REFUSAL_SHARE = 0.1
"""Share of the calls to a kind of receiver whose connection is refused at once. Above this share, the connection tables
of that kind count as full, and no connection may stay idle for a message that has to wait."""
RETRY_AFTER_JITTER_MS = (1.0, 50.0)
GROWTH_START_JITTER = (0.2, 1.0)
MAX_TIMEOUT_DOUBLINGS = 2

# Weights of the newest value in exponential moving averages.
RECOVERY_WEIGHT = 0.2
FAILED_CONNECTION_WEIGHT = 0.05
SENDER_CALL_TIME_WEIGHT = 0.05
CALL_TIME_WEIGHT = 0.1
FIRST_CALL_TIME_WEIGHT = 0.5


class AttemptResult(NamedTuple):
    """The outcome of an attempt with the state it is evaluated against.

    limits, health: those of the receiver that was called.
    is_connection_refused: no connection was made, and the failure was quick.
    is_sparse: this sender has less than one message for the destination per overload window.
    """

    message: Message
    call: Call
    outcome: Outcome
    limits: DestinationLimits
    health: ReceiverHealth
    is_connection_refused: bool
    is_sparse: bool


class OutcomeRecorder:
    """Updates health, limits and averages; opens and closes circuit breakers; sets rate limits."""

    def __init__(
        self,
        settings: DispatcherSettings,
        random: RandomSource,
        sender: SenderState,
        breaker: CircuitBreaker,
        rates: RateControl,
    ) -> None:
        self.settings = settings
        self.random = random
        self.sender = sender
        self.breaker = breaker
        self.rates = rates

    def record(self, message: Message, call: Call, outcome: Outcome, now: float) -> None:
        """Record the outcome of an attempt."""
        health = health_of(call.receiver)
        arrival_rate = message.destination.queue.arrival_rate(now)
        result = AttemptResult(
            message,
            call,
            outcome,
            limits_of(call.receiver, self.settings.kinds_with_own_limits),
            health,
            is_connection_refused=outcome == Outcome.CONNECT_FAILED and message.duration_ms < MIN_LONG_FAILURE_MS,
            is_sparse=arrival_rate * self.settings.overload_window_ms < 1000.0,
        )
        is_delivered = outcome == Outcome.DELIVERED
        if call.follows_unanswered and not call.is_failure_counted and (is_delivered or outcome in NO_ANSWER_OUTCOMES):
            self.sender.recovery_share += RECOVERY_WEIGHT * (is_delivered - self.sender.recovery_share)
        health.is_unanswered = health.is_unanswered and not (is_delivered or outcome == Outcome.ERROR)
        if outcome in FAILURE_OUTCOMES:
            health.failed_at = now
        if not call.is_failure_counted:
            self._update_failed_connection_share(result)
        if is_delivered:
            self._record_delivery(result, now)
        elif outcome == Outcome.REJECTED or result.is_connection_refused:
            self._record_rejection(result, now)
        elif outcome in FAILURE_OUTCOMES and not call.is_failure_counted:
            self._record_failure(result, now)

    def _update_failed_connection_share(self, result: AttemptResult) -> None:
        shares, kind = self.sender.failed_connection_shares, result.call.receiver.kind
        share = shares.get(kind, 0.0)
        shares[kind] = share + FAILED_CONNECTION_WEIGHT * (result.is_connection_refused - share)

    # -- deliveries ---------------------------------------------------------------------------------------------------

    def _record_delivery(self, result: AttemptResult, now: float) -> None:
        limits, health, receiver = result.limits, result.health, result.call.receiver
        limits.good_answers.add(now)
        limits.timeouts = limits.rejections = 0
        limits.good_at = now
        if not health.slow_start and now - health.connect_failed_at < MIN_LONG_FAILURE_MS:
            self.sender.full_table_kinds.add(receiver.kind)  # it refused a connection just before: full table, no crash
        self._update_call_time(limits, result.message.duration_ms)
        # a success offsets one failure, so a receiver that fails most but not all calls is ejected as well
        health.failures = 0 if self.sender.is_path_lossy else max(0, health.failures - 1)
        health.good_at = now
        health.failed_classes.discard(result.message.queue_class)
        self._grow_limiters(limits, health, now)
        if health.slow_start and self._is_warmed_up(health.slow_start, now):
            health.slow_start = None
            self.sender.ejected_receivers.discard(receiver)

    def _is_warmed_up(self, slow_start: SlowStart, now: float) -> bool:
        """Return whether a receiver has full capacity again; on a lossy network path it was never at fault."""
        assert slow_start.growing_since is not None  # set by the first success
        return self.sender.is_path_lossy or now - slow_start.growing_since > self.settings.warm_up_ms

    def _update_call_time(self, limits: DestinationLimits, duration_ms: float) -> None:
        sender = self.sender
        if sender.usual_call_ms is None:
            sender.usual_call_ms = duration_ms
        else:
            sender.usual_call_ms += SENDER_CALL_TIME_WEIGHT * (duration_ms - sender.usual_call_ms)
        usual_ms = limits.usual_call_ms or sender.usual_call_ms
        weight = CALL_TIME_WEIGHT if limits.usual_call_ms else FIRST_CALL_TIME_WEIGHT
        limits.usual_call_ms = usual_ms + weight * (duration_ms - usual_ms)

    def _grow_limiters(self, limits: DestinationLimits, health: ReceiverHealth, now: float) -> None:
        """Grow the rate limits after a success; the receiver recovered between the latest failure and this success."""
        for limiter in (limits.rate_limiter, health.slow_start):
            if not limiter:
                continue
            limiter.good_answers += 1
            if limiter.growing_since is None:
                is_slow_start = limiter is health.slow_start
                last_failure_at = max(health.failed_at, health.rejected_at) if is_slow_start else now
                limiter.growing_since = (max(last_failure_at, limiter.created_at) + now) / 2.0
                next_at = limiter.time_after(now, self.random.uniform(*GROWTH_START_JITTER))
                limiter.next_at = min(limiter.next_at, next_at)

    # -- rejections ---------------------------------------------------------------------------------------------------

    def _record_rejection(self, result: AttemptResult, now: float) -> None:
        """Record a rejection, or a connection that was refused at once."""
        limits, health, receiver = result.limits, result.health, result.call.receiver
        # no success since its last rejection: the rejection concerns the receiver, not its destination
        is_receiver_specific = health.good_at <= health.rejected_at
        health.rejected_at = now
        is_repeated_failure = result.is_connection_refused and limits.failed_at > limits.good_at
        if result.outcome == Outcome.REJECTED:
            self._reduce_rate(result, is_receiver_specific, now)
        else:
            health.connect_failed_at = limits.failed_at = now
            if result.is_sparse:  # this sender observes few of the calls that follow, and needs no idle connections
                self.sender.full_table_kinds.add(receiver.kind)
        if limits.rejections == 0:
            limits.first_rejected_at = now
        limits.rejections += 1  # counted for all receivers under these limits
        is_unavailable = (
            limits.rejections >= MIN_SUSTAINED_REJECTIONS
            and now - limits.first_rejected_at > SUSTAINED_REJECTION_MS
            or result.message.retry_after_ms > MAX_RATE_LIMIT_WAIT_MS
        )
        is_down = (
            is_repeated_failure
            and result.is_sparse
            and self.sender.failed_connection_shares[receiver.kind] < FULL_TABLE_REFUSAL_SHARE
        )
        if is_unavailable or is_down:
            self.breaker.open(receiver, health, now, result.is_sparse)
        if is_down:
            self._eject_unreachable_receivers(result, now)

    def _reduce_rate(self, result: AttemptResult, is_receiver_specific: bool, now: float) -> None:
        limits, call, wait_ms = result.limits, result.call, result.message.retry_after_ms
        if wait_ms > 0:
            wait_until = now + wait_ms + self.random.uniform(*RETRY_AFTER_JITTER_MS)
            limits.retry_after_until = max(limits.retry_after_until, wait_until)
        started_before_limiter = limits.rate_limiter is not None and call.sent_at < limits.rate_limiter.created_at
        if started_before_limiter:
            return
        if not is_receiver_specific or self._all_receivers_reject(result, now):
            self.rates.reduce_rate(call.receiver, limits, now)

    def _all_receivers_reject(self, result: AttemptResult, now: float) -> bool:
        kinds_with_own_limits = self.settings.kinds_with_own_limits
        return all(
            self.breaker.rejected_recently(receiver, now)
            for receiver in result.message.destination.receivers
            if receiver.state == READY and limits_of(receiver, kinds_with_own_limits) is result.limits
        )

    def _eject_unreachable_receivers(self, result: AttemptResult, now: float) -> None:
        """Eject the other receivers of a destination that also refused their latest connection."""
        kinds_with_own_limits = self.settings.kinds_with_own_limits
        for receiver in result.message.destination.receivers:
            health = receiver.health  # None: `check_new_receiver` decides on first use
            if (
                health
                and not health.slow_start
                and health.connect_failed_at > health.good_at
                and limits_of(receiver, kinds_with_own_limits) is result.limits
            ):
                self.breaker.open(receiver, health, now, result.is_sparse)

    # -- failures -----------------------------------------------------------------------------------------------------

    def _record_failure(self, result: AttemptResult, now: float) -> None:
        limits, call = result.limits, result.call
        result.health.failed_classes.add(result.message.queue_class)
        limits.failed_at = now
        call.is_failure_counted = True
        is_timeout = result.outcome == Outcome.TIMED_OUT
        # a destination that has responded to other calls since is not slow
        if is_timeout and call.sent_at >= max(limits.timed_out_at, limits.good_at) and not self.sender.is_path_lossy:
            limits.timeouts = min(limits.timeouts + 1, MAX_TIMEOUT_DOUBLINGS)
            limits.timed_out_at = now
        has_response = result.outcome == Outcome.ERROR
        is_slow_failure = result.message.duration_ms >= MIN_LONG_FAILURE_MS and not has_response
        threshold = (
            LOSSY_PATH_FAILURES if self.sender.is_path_lossy else 1 if is_slow_failure and result.is_sparse else 2
        )
        for receiver in result.message.destination.receivers:  # the other receivers need one more failure
            health = health_of(receiver)
            is_called = receiver is call.receiver
            if health.good_at < call.sent_at and (is_called or is_slow_failure):
                health.failures = min(health.failures + 1, LOSSY_PATH_FAILURES)
                health.is_unanswered = not has_response
                if health.failures >= threshold + (not is_called):
                    self.breaker.open(receiver, health, now)
