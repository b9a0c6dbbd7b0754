"""This sender's estimate of the load and the health of one receiver.

The load of a receiver is the sum of this sender's own calls, which are known exactly, and the calls of other senders,
which the receiver reports in its responses and which are weighted down as the report ages. After failures the sender
backs off from the receiver exponentially, with jitter.

All times are seconds of one monotonic clock.
"""

import math
from dataclasses import dataclass, field

from dewpin.dataplane.load_balancing.outlier_ejection import OutlierEjection

REPORTED_LOAD_HALF_LIFE_S = 0.25
"""Half-life of the reported calls of other senders."""
INITIAL_CALL_TIME_S = 0.1
"""Initial estimate of the call time and the response time, before the first measurement."""
CALL_TIME_WEIGHT = 0.2
"""Weight of the newest measurement in the moving averages of times."""
MIN_CALL_TIME_RISE = 0.02
"""Weight of a measurement above `min_call_time_s`; a measurement below replaces it immediately."""
ERROR_WEIGHT = 0.1
"""Weight of the newest call in the error rate."""
ERROR_HALF_LIFE_S = 5.0
"""Half-life of the error rate between calls; the decay lets a receiver that failed be used again."""
MIN_FULL_BACKOFF_S = 0.005
MAX_FULL_BACKOFF_S = 0.5
"""Bounds of the backoff from a full receiver that sends no `Retry-After`."""
INITIAL_UNREACHABLE_BACKOFF_S = 0.25
MAX_UNREACHABLE_BACKOFF_S = 2.0
"""Bounds of the backoff from an unreachable receiver."""
MAX_BACKOFF_DOUBLINGS = 16
"""Limits the exponent of a backoff; the bounds above take effect long before."""
MIN_UNRESPONSIVE_S = 0.3
UNRESPONSIVE_RESPONSE_TIMES = 4.0
"""A receiver is unresponsive after this multiple of its average response time without a response."""


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """The load that a receiver reports in `X-Dewpin-Server-Load`: running and waiting requests, and its slots."""

    running: int
    waiting: int
    slots: int


def parse_server_load(value: str | None) -> ServerLoad | None:
    """Parse `X-Dewpin-Server-Load`; return None if the field is missing or invalid."""
    if value is None:
        return None
    parts = [part.strip() for part in value.split(",")]
    if len(parts) != 3 or not all(part.isascii() and part.isdigit() for part in parts):
        return None
    running, waiting, slots = (int(part) for part in parts)
    return ServerLoad(running, waiting, slots)


@dataclass(slots=True)
class ReceiverLoad:
    """Load, backoff and health of one receiver.

    Attributes:
        own_calls: calls of this sender that hold a slot at the receiver.
        other_calls: calls of other senders at `reported_at`.
        reported_at: time of the receiver's last load report.
        blocked_until: no call is sent to the receiver before this time.
        rejections: consecutive calls that the receiver rejected because it was full.
        unreachable_count: consecutive failures to reach the receiver.
        call_time_s: moving average of the duration of successful calls.
        min_call_time_s: estimate of the duration of a call without queueing at the receiver.
        response_time_s: moving average of the time from sending a call to the start of its response.
        ejection: whether the receiver is ejected.
    """

    own_calls: int = 0
    other_calls: float = 0.0
    reported_at: float = 0.0
    blocked_until: float = 0.0
    rejections: int = 0
    unreachable_count: int = 0
    call_time_s: float = INITIAL_CALL_TIME_S
    min_call_time_s: float = INITIAL_CALL_TIME_S
    response_time_s: float = INITIAL_CALL_TIME_S
    ejection: OutlierEjection = field(default_factory=OutlierEjection)
    _error_rate: float = 0.0
    _error_rate_at: float = 0.0
    _pending_since: list[float] = field(default_factory=list)
    _last_response_at: float = 0.0

    def total(self, now: float) -> float:
        """Return the estimated number of requests running or waiting at the receiver."""
        if not self.other_calls:
            return self.own_calls
        return self.own_calls + self.other_calls * math.exp2((self.reported_at - now) / REPORTED_LOAD_HALF_LIFE_S)

    def record_report(self, load: ServerLoad, now: float) -> None:
        """Record the load reported in a response; `own_calls` must still include the call of that response."""
        self.other_calls = max(0.0, float(load.running + load.waiting - self.own_calls))
        self.reported_at = now

    def record_sent(self, now: float) -> None:
        """Record that a call was sent at `now`."""
        self._pending_since.append(now)

    def record_response(self, sent_at: float, now: float) -> None:
        """Record that the response to the call sent at `sent_at` has started, whatever its status."""
        self.forget_call(sent_at)
        self._last_response_at = now
        self.response_time_s += CALL_TIME_WEIGHT * (now - sent_at - self.response_time_s)

    def forget_call(self, sent_at: float) -> None:
        """Stop tracking the call sent at `sent_at` if it has had no response."""
        if sent_at in self._pending_since:
            self._pending_since.remove(sent_at)

    def is_unresponsive(self, now: float) -> bool:
        """Return whether calls are pending and the receiver has responded to no call for too long."""
        if not self._pending_since:
            return False
        silence_s = now - max(min(self._pending_since), self._last_response_at)
        return silence_s > self.patience_s

    @property
    def patience_s(self) -> float:
        """Return the time without a response after which the receiver is unresponsive."""
        return max(MIN_UNRESPONSIVE_S, UNRESPONSIVE_RESPONSE_TIMES * self.response_time_s)

    def reset_backoff(self) -> None:
        """Record that the receiver accepts calls; the next rejection or failure starts from the initial backoff."""
        self.rejections = 0
        self.unreachable_count = 0

    def record_success(self, call_time_s: float, now: float) -> None:
        """Record a successful call and its duration."""
        self.reset_backoff()
        self.ejection.record_success(now)
        self.call_time_s += CALL_TIME_WEIGHT * (call_time_s - self.call_time_s)
        delta_s = call_time_s - self.min_call_time_s
        self.min_call_time_s += delta_s if delta_s < 0 else MIN_CALL_TIME_RISE * delta_s
        self._error_rate *= 1 - ERROR_WEIGHT

    def record_error(self, now: float) -> None:
        """Record that a call failed after it was sent."""
        self._error_rate = self.error_rate(now) * (1 - ERROR_WEIGHT) + ERROR_WEIGHT
        self._error_rate_at = now

    def error_rate(self, now: float) -> float:
        """Return the moving average of the share of calls that failed after being sent."""
        if not self._error_rate:
            return 0.0
        return self._error_rate * math.exp2((self._error_rate_at - now) / ERROR_HALF_LIFE_S)

    def back_off_full(self, now: float, capacity: int, retry_after_s: float | None, jitter: float) -> None:
        """Block a full receiver for the delay that it requested, or for the expected time until a slot becomes free."""
        doublings = min(self.rejections, MAX_BACKOFF_DOUBLINGS)
        self.rejections += 1
        expected_s = self.call_time_s / max(1, capacity) * 2.0**doublings
        backoff_s = min(MAX_FULL_BACKOFF_S, max(MIN_FULL_BACKOFF_S, expected_s)) * jitter
        self._block(now + (backoff_s if retry_after_s is None else retry_after_s))

    def back_off_unreachable(self, now: float, jitter: float) -> None:
        """Block an unreachable receiver for an exponential backoff."""
        doublings = min(self.unreachable_count, MAX_BACKOFF_DOUBLINGS)
        self.unreachable_count += 1
        backoff_s = min(MAX_UNREACHABLE_BACKOFF_S, INITIAL_UNREACHABLE_BACKOFF_S * 2.0**doublings)
        self._block(now + backoff_s * jitter)

    def _block(self, until: float) -> None:
        self.blocked_until = max(self.blocked_until, until)
