"""What receivers can do: one model of concurrency, queue, rate limit, warming up and overload, without I/O or a clock.

It is called with each call and the time in ms, and returns what becomes of the call. Random draws come from a seed, so
that two runs of the same calls end alike.
"""

import random
from bisect import insort
from collections import deque
from enum import Enum
from math import sqrt
from typing import NamedTuple

from .scenario import Receivers

LONG_AGO_MS = -1e12
MIN_INFORMED_SHARE = 2.0 / 3.0  # of the calls that overload a cold receiver, for it to be the senders' fault


class ReceiverStatus(Enum):
    """Whether a receiver serves."""

    UP = "up"
    DOWN = "down"
    HANGING = "hanging"


class CallResult(NamedTuple):
    """What becomes of a call.

    Attributes:
        status: of the response; 0: there will be none.
        retry_after_ms: that the response asks to wait.
        duration_ms: until the response.
    """

    status: int
    retry_after_ms: float = 0.0
    duration_ms: float = 0.0


class Overload(NamedTuple):
    """The failure of a cold receiver under more calls than it can bear.

    Attributes:
        at_ms: when.
        multiple: how many times what it can bear.
        is_senders_fault: most calls came from senders that knew of the outage.
    """

    at_ms: float
    multiple: float
    is_senders_fault: bool


class _RecentCall(NamedTuple):
    at_ms: float
    sender: int
    knew_of_outage: bool


class DestinationQuota:
    """The rate limit that a destination's receivers share: a count in each second.

    Attributes:
        rate_limit: calls a second; 0: no limit.
    """

    def __init__(self, rate_limit: float) -> None:
        self.rate_limit = rate_limit
        self._second = -1
        self._count = 0

    def take(self, now_ms: float) -> float | None:
        """Count a call; return None if it is within the limit, else the ms until there is capacity again."""
        second = int(now_ms // 1000.0)
        if second != self._second:
            self._second, self._count = second, 0
        if self.rate_limit and self._count >= self.rate_limit:
            return (second + 1) * 1000.0 - now_ms
        self._count += 1
        return None


class ReceiverModel:
    """One receiver.

    Attributes:
        status: whether it serves.
        slowdown: by what its service time is multiplied.
        overload: its failure under too many calls while it was cold, if there was one; it stays down then.
    """

    def __init__(self, parameters: Receivers, quota: DestinationQuota, seed: int) -> None:
        self.status = ReceiverStatus.UP
        self.slowdown = 1.0
        self.overload: Overload | None = None
        self._parameters = parameters
        self._quota = quota
        self._random = random.Random(seed)
        self._up_since_ms = LONG_AGO_MS
        self._call_ends_ms: list[float] = []  # of the calls in flight, in order
        self._recent_calls: deque[_RecentCall] = deque()  # since it came back
        self._informed_senders: set[int] = set()  # that saw a call fail during the outage

    def fail(self, status: ReceiverStatus) -> None:
        """Go down or hang from now on."""
        self.status = status
        self.overload = None
        self._call_ends_ms.clear()
        self._informed_senders.clear()

    def recover(self, up_since_ms: float) -> None:
        """Serve again, warming up since this time, unless it is down from an overload."""
        if not self.overload:
            self.status = ReceiverStatus.UP
            self._up_since_ms = up_since_ms
            self._recent_calls.clear()

    def call(self, now_ms: float, sender: int) -> CallResult:
        """Return what becomes of a call by this sender."""
        if self.status == ReceiverStatus.HANGING:
            self._informed_senders.add(sender)
            return CallResult(0)
        if self.status == ReceiverStatus.DOWN or self._is_overloaded_by(now_ms, sender):
            self._informed_senders.add(sender)
            return CallResult(503)
        while self._call_ends_ms and self._call_ends_ms[0] <= now_ms:
            del self._call_ends_ms[0]
        retry_after_ms = self._quota.take(now_ms)
        capacity = self._capacity(now_ms)
        max_calls = (self._parameters.concurrency + self._parameters.queue_length) * capacity
        if retry_after_ms is None and len(self._call_ends_ms) >= max_calls:
            retry_after_ms = 0.0
        if retry_after_ms is not None:
            says_how_long = retry_after_ms > 0.0 and self._random.random() < self._parameters.retry_after_share
            return CallResult(429, retry_after_ms) if says_how_long else CallResult(503)
        return CallResult(200, duration_ms=self._serve(now_ms, capacity))

    def _serve(self, now_ms: float, capacity: float) -> float:
        """Take a call into service or into the queue; return the ms until its response."""
        variation = 1.0 + self._parameters.service_variation * self._random.uniform(-1.0, 1.0)
        service_ms = self._parameters.service_ms * self.slowdown / capacity * variation
        excess = len(self._call_ends_ms) - self._parameters.concurrency
        start_ms = self._call_ends_ms[excess] if excess >= 0 else now_ms  # once so many calls before it are over
        end_ms = start_ms + service_ms
        insort(self._call_ends_ms, end_ms)
        return end_ms - now_ms

    def _capacity(self, now_ms: float) -> float:
        """Return the share of its calls that it can serve at this moment."""
        cold = self._parameters.cold_capacity
        return min(1.0, cold + (1.0 - cold) * max(0.0, now_ms - self._up_since_ms) / self._parameters.warm_up_ms)

    def _is_overloaded_by(self, now_ms: float, sender: int) -> bool:
        """Count a call that reaches a cold receiver; return whether it is down from too many within the window."""
        if self.overload:
            return True
        if now_ms - self._up_since_ms > self._parameters.warm_up_ms:
            return False
        window_ms = self._parameters.overload_window_ms
        self._recent_calls.append(_RecentCall(now_ms, sender, sender in self._informed_senders))
        while self._recent_calls[0].at_ms < now_ms - window_ms:
            self._recent_calls.popleft()
        full_rate = self._parameters.concurrency * 1000.0 / self._parameters.service_ms
        bearable = full_rate * self._capacity(now_ms) * window_ms / 1000.0
        bearable *= self._parameters.overload_multiple
        count = len(self._recent_calls)
        if count <= bearable + 3.0 * sqrt(bearable) + 3.0:
            return False
        informed_share = sum(call.knew_of_outage for call in self._recent_calls) / count
        self.overload = Overload(now_ms, count / bearable, informed_share > MIN_INFORMED_SHARE)
        self.status = ReceiverStatus.DOWN
        return True
