"""What receivers can do: one model of places, queue, limit, connections, cold start and falling over. Free of I/O.

It owns no socket and no clock: it is told of each call with its time in ms and says what becomes of it. The dice are a
seed's, so that two runs of the same calls end alike.
"""
import random
from bisect import insort
from collections import deque
from math import sqrt

from .scenario import Receivers

UP, DOWN, HUNG = "up", "down", "hung"


class Place:
    """One receiver: what it serves, and since when it is cold."""

    def __init__(self, told: Receivers, destination: "Destination", seed: int) -> None:
        self.told, self.destination, self.dice = told, destination, random.Random(seed)
        self.state, self.times, self.since = UP, 1.0, -1e12
        self.ends: list[float] = []             # when the calls in hand are over, in order
        self.connections = 0
        self.lately: deque[tuple[float, int, bool]] = deque()   # (time, sender, told of the outage) after a return
        self.told_of: set[int] = set()          # senders that saw a call fail during the outage
        self.fallen: tuple[float, float, bool] | None = None    # (time, times what it bears, the senders' fault)

    def fails(self, now: float, state: str) -> None:
        self.state, self.fallen = state, None
        self.ends.clear()
        self.told_of.clear()

    def returns(self, now: float) -> None:
        if not self.fallen:
            self.state, self.since = UP, now
            self.lately.clear()

    def capacity(self, now: float) -> float:
        """The share of its calls that it can do at this moment."""
        cold = self.told.cold_from + (1.0 - self.told.cold_from) * max(0.0, now - self.since) / self.told.warm_ms
        return min(1.0, cold)

    def call(self, now: float, sender: int) -> tuple[int, float, float]:
        """(status, ms to wait that is told, ms until the answer); status 0: none ever comes."""
        if self.state == HUNG:
            self.told_of.add(sender)
            return 0, 0.0, 0.0
        if self.state == DOWN or self._falls(now, sender):
            self.told_of.add(sender)
            return 503, 0.0, 0.0
        while self.ends and self.ends[0] <= now:
            del self.ends[0]
        turned = self.destination.turns_away(now)
        share = self.capacity(now)
        if turned is None and len(self.ends) >= (self.told.at_once + self.told.queue) * share:
            turned = 0.0
        if turned is not None:
            tells = turned > 0.0 and self.dice.random() < self.told.tells_wait
            return (429, turned, 0.0) if tells else (503, 0.0, 0.0)
        took = self.told.service_ms * self.times / share * (1.0 + self.told.vary * self.dice.uniform(-1.0, 1.0))
        busy = len(self.ends) - self.told.at_once
        end = (self.ends[busy] if busy >= 0 else now) + took        # once so many before it are over
        insort(self.ends, end)
        return 200, 0.0, end - now

    def _falls(self, now: float, sender: int) -> bool:
        """Guards the fourth rule: what reaches a cold one within `fall_ms`, beside what it bears."""
        if self.fallen:
            return True
        if now - self.since > self.told.warm_ms:
            return False
        self.lately.append((now, sender, sender in self.told_of))
        while self.lately[0][0] < now - self.told.fall_ms:
            self.lately.popleft()
        bears = self.told.at_once * 1000.0 / self.told.service_ms * self.capacity(now) * self.told.fall_ms / 1000.0
        bears *= self.told.fall_multiple
        if len(self.lately) <= bears + 3.0 * sqrt(bears) + 3.0:
            return False
        knew = sum(one[2] for one in self.lately) / len(self.lately)
        self.fallen, self.state = (now, len(self.lately) / bears, knew > 2.0 / 3.0), DOWN
        return True


class Destination:
    """The limit that a destination's receivers share: a count in each second."""

    def __init__(self, limit: float) -> None:
        self.limit, self.span, self.count = limit, -1, 0

    def turns_away(self, now: float) -> float | None:
        """None: the call goes on; else the ms until there is room again."""
        span = int(now // 1000.0)
        if span != self.span:
            self.span, self.count = span, 0
        if self.limit and self.count >= self.limit:
            return (span + 1) * 1000.0 - now
        self.count += 1
        return None
