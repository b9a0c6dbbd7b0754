"""A model of receivers: concurrency, queue, rate limit, warm-up and overload, without I/O or a clock.

It is given each call and the time in ms, and returns the result of the call. Random numbers are seeded, so the same
calls always have the same results.
"""

import random
from bisect import insort
from collections import deque
from enum import Enum
from math import sqrt
from typing import NamedTuple

from .scenario import Receivers

FULLY_WARM_SINCE_MS = -1e12
MIN_INFORMED_SHARE = 2.0 / 3.0  # of the calls in an overload; above it the overload is the senders' fault


class ReceiverStatus(Enum):
    """Whether a receiver serves calls."""

    UP = "up"
    DOWN = "down"
    HANGING = "hanging"


class CallResult(NamedTuple):
    """The result of a call.

    Attributes:
        status: status of the response; 0: there will be no response.
        retry_after_ms: delay that the response requests before a retry; 0: none.
        duration_ms: time until the response.
    """

    status: int
    retry_after_ms: float = 0.0
    duration_ms: float = 0.0


class Overload(NamedTuple):
    """The failure of a cold receiver under more calls than it can serve.

    Attributes:
        at_ms: time of the failure.
        multiple: the number of calls, as a multiple of the limit.
        is_senders_fault: whether most calls came from senders that knew of the outage.
    """

    at_ms: float
    multiple: float
    is_senders_fault: bool


class _RecentCall(NamedTuple):
    at_ms: float
    sender: int
    knew_of_outage: bool


class DestinationQuota:
    """The rate limit shared by the receivers of a destination: a count per second.

    Attributes:
        rate_limit: calls per second; 0: no limit.
    """

    def __init__(self, rate_limit: float) -> None:
        self.rate_limit = rate_limit
        self._second = -1
        self._count = 0

    def acquire(self, now_ms: float) -> float | None:
        """Count a call; return None if it is within the limit, else the time in ms until the next call is permitted."""
        second = int(now_ms // 1000.0)
        if second != self._second:
            self._second, self._count = second, 0
        if self.rate_limit and self._count >= self.rate_limit:
            return (second + 1) * 1000.0 - now_ms
        self._count += 1
        return None


class ReceiverModel:
    """The model of one receiver.

    Attributes:
        status: whether it serves calls.
        slowdown: factor by which its service time is multiplied.
        overload: its failure under too many calls while it was cold; None: none. It stays down after an overload.
    """

    def __init__(self, parameters: Receivers, quota: DestinationQuota, seed: int) -> None:
        self.status = ReceiverStatus.UP
        self.slowdown = 1.0
        self.overload: Overload | None = None
        self._parameters = parameters
        self._quota = quota
        self._random = random.Random(seed)
        self._up_since_ms = FULLY_WARM_SINCE_MS
        self._call_ends_ms: list[float] = []  # of the calls in flight, sorted
        self._recent_calls: deque[_RecentCall] = deque()  # since it recovered
        self._informed_senders: set[int] = set()  # with a failed call during the outage

    def fail(self, status: ReceiverStatus) -> None:
        """Go down or hang."""
        self.status = status
        self.overload = None
        self._call_ends_ms.clear()
        self._informed_senders.clear()

    def recover(self, up_since_ms: float) -> None:
        """Serve again, warming up since `up_since_ms`, unless it is down because of an overload."""
        if not self.overload:
            self.status = ReceiverStatus.UP
            self._up_since_ms = up_since_ms
            self._recent_calls.clear()

    def call(self, now_ms: float, sender: int) -> CallResult:
        """Return the result of a call by a sender."""
        if self.status == ReceiverStatus.HANGING:
            self._informed_senders.add(sender)
            return CallResult(0)
        if self.status == ReceiverStatus.DOWN or self._check_overload(now_ms, sender):
            self._informed_senders.add(sender)
            return CallResult(503)
        while self._call_ends_ms and self._call_ends_ms[0] <= now_ms:
            del self._call_ends_ms[0]
        retry_after_ms = self._quota.acquire(now_ms)
        capacity = self._capacity(now_ms)
        max_calls = (self._parameters.concurrency + self._parameters.queue_length) * capacity
        if retry_after_ms is None and len(self._call_ends_ms) >= max_calls:
            retry_after_ms = 0.0
        if retry_after_ms is not None:
            sends_retry_after = retry_after_ms > 0.0 and self._random.random() < self._parameters.retry_after_share
            return CallResult(429, retry_after_ms) if sends_retry_after else CallResult(503)
        return CallResult(200, duration_ms=self._serve(now_ms, capacity))

    def _serve(self, now_ms: float, capacity: float) -> float:
        """Start or queue a call; return the time in ms until its response."""
        variation = 1.0 + self._parameters.service_variation * self._random.uniform(-1.0, 1.0)
        service_ms = self._parameters.service_ms * self.slowdown / capacity * variation
        excess = len(self._call_ends_ms) - self._parameters.concurrency
        start_ms = self._call_ends_ms[excess] if excess >= 0 else now_ms  # once enough earlier calls have ended
        end_ms = start_ms + service_ms
        insort(self._call_ends_ms, end_ms)
        return end_ms - now_ms

    def _capacity(self, now_ms: float) -> float:
        """Return the share of its full capacity that is available now."""
        cold = self._parameters.cold_capacity
        return min(1.0, cold + (1.0 - cold) * max(0.0, now_ms - self._up_since_ms) / self._parameters.warm_up_ms)

    def _check_overload(self, now_ms: float, sender: int) -> bool:
        """Count a call to a cold receiver; return whether too many calls within the window have brought it down."""
        if self.overload:
            return True
        if now_ms - self._up_since_ms > self._parameters.warm_up_ms:
            return False
        window_ms = self._parameters.overload_window_ms
        self._recent_calls.append(_RecentCall(now_ms, sender, sender in self._informed_senders))
        while self._recent_calls[0].at_ms < now_ms - window_ms:
            self._recent_calls.popleft()
        full_rate = self._parameters.concurrency * 1000.0 / self._parameters.service_ms
        max_recent_calls = full_rate * self._capacity(now_ms) * window_ms / 1000.0
        max_recent_calls *= self._parameters.overload_multiple
        count = len(self._recent_calls)
        if count <= max_recent_calls + 3.0 * sqrt(max_recent_calls) + 3.0:
            return False
        informed_share = sum(call.knew_of_outage for call in self._recent_calls) / count
        self.overload = Overload(now_ms, count / max_recent_calls, informed_share > MIN_INFORMED_SHARE)
        self.status = ReceiverStatus.DOWN
        return True
