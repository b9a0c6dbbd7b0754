"""Total load of a fleet of senders on a destination that fails for ten seconds and returns cold.

The dispatchers share no state. The destination processes calls one after the other, more slowly while it is cold, and
rejects calls that would wait too long. In each window of `OverloadFor` it may get at most N + 2 x sqrt(N) + 2 calls,
where N is `FallMultiple` times its capacity at that time. A window violates this rule only if two thirds of its calls
came from senders that observed a failed call during the outage.
"""

import heapq
import random
from bisect import bisect_left
from math import sqrt

import pytest

from dewpin.core.dispatcher import Dispatcher
from dewpin.core.model import Decision, Destination, Message, Outcome, Receiver
from driver import settings

FAILS_AT, RETURNS_AT, ENDS_AT = 12000.0, 22000.0, 34000.0
QUEUE_DEPTH = 8  # calls that may wait at the destination
OUTAGES = {
    "silent": (Outcome.TIMED_OUT, None),
    "errors": (Outcome.ERROR, 60.0),
    "refuses": (Outcome.CONNECT_FAILED, 40.0),
    "shut": (Outcome.REJECTED, 60.0),
}  # outcome of a call and its duration in ms; None: until its time-out


class Fleet:
    """`capacity`: calls per second of the warm destination; `load`: messages per second, as a share of it."""

    def __init__(self, senders, capacity, load, outage, seed):
        self.rng, self.outage, self.capacity = random.Random(seed), OUTAGES[outage], capacity / 1000.0
        sender_settings = settings(fleet_size=senders)
        self.rules, self.dispatchers = sender_settings["Rules"], []
        for number in range(senders):
            destination = Destination(1)
            for receiver_id in range(2):
                Receiver(receiver_id, destination)
            self.dispatchers.append(
                (Dispatcher(sender_settings | {"SlotNo": number}, self.rng.getrandbits(64)), destination)
            )
        self.events, self.count, self.busy_until = [], 0, 0.0
        self.calls, self.senders_with_failures = (
            [],
            set(),
        )  # (time, sender) of each call; senders with a failed call in the outage
        sender_weights, at = [self.rng.uniform(0.3, 1.7) ** 2 for _ in self.dispatchers], 0.0
        while at < ENDS_AT:
            at += self.rng.expovariate(self.capacity * load)
            self.schedule(at, self.submit, self.rng.choices(range(senders), sender_weights)[0])

    def schedule(self, at, handler, *arguments):
        self.count += 1
        heapq.heappush(self.events, (at, self.count, handler, arguments))

    def run(self):
        while self.events and self.events[0][0] < ENDS_AT:
            now, _, handler, arguments = heapq.heappop(self.events)
            handler(now, *arguments)
        return self

    def submit(self, now, sender):
        dispatcher, destination = self.dispatchers[sender]
        if dispatcher.pending_messages < dispatcher.settings.max_pending:
            dispatcher.dispatch(Message(self.count, destination, now, now + 16000.0), now)
        self.dispatch_due(now, sender)

    def dispatch_due(self, now, sender):
        dispatcher, _ = self.dispatchers[sender]
        while True:
            delay_ms, message = dispatcher.next_due(now)
            if message is None:
                return
            if delay_ms > 0.0:
                return self.schedule(now + delay_ms, self.dispatch_due, sender)
            result = dispatcher.dispatch(message, now)
            if result.decision == Decision.SEND:
                self.calls.append((now, sender))
                outcome, duration_ms = self.serve(now, result.timeout_ms)
                self.schedule(now + duration_ms, self.end_attempt, sender, message, outcome, duration_ms)

    def capacity_at(self, now):
        """Returns the capacity of the destination in calls per ms."""
        cold, warm = self.rules["ColdFrom"], (now - RETURNS_AT) / self.rules["WarmAfter"]
        return self.capacity * (1.0 if now < FAILS_AT else min(1.0, cold + (1.0 - cold) * warm))

    def serve(self, now, timeout_ms):
        outcome, duration_ms = self.outage
        if FAILS_AT <= now < RETURNS_AT:
            return outcome, duration_ms or timeout_ms
        capacity = self.capacity_at(now)
        self.busy_until = max(self.busy_until, now)
        if self.busy_until - now > QUEUE_DEPTH / capacity:
            return Outcome.REJECTED, 30.0
        self.busy_until += 1.0 / capacity
        duration_ms = self.busy_until - now + self.rng.lognormvariate(5.0, 0.5)
        if duration_ms > timeout_ms or now < FAILS_AT <= now + duration_ms:
            return Outcome.TIMED_OUT, timeout_ms
        return Outcome.DELIVERED, duration_ms

    def end_attempt(self, now, sender, message, outcome, duration_ms):
        message.duration_ms, message.retry_after_ms = duration_ms, 0.0
        if outcome != Outcome.DELIVERED and FAILS_AT <= now < RETURNS_AT:
            self.senders_with_failures.add(sender)
        self.dispatchers[sender][0].record_outcome(message, outcome, now)
        self.dispatch_due(now, sender)

    def worst_window(self):
        """Returns (ratio of calls to the limit, calls, ms since the return) of the worst window that counts."""
        times, worst, span = [at for at, _ in self.calls], (0.0, 0, 0.0), self.rules["OverloadFor"]
        for last, (at, _) in enumerate(self.calls):
            if not RETURNS_AT <= at < RETURNS_AT + self.rules["WarmAfter"]:
                continue
            window = self.calls[bisect_left(times, max(at - span, RETURNS_AT)) : last + 1]
            n = self.rules["FallMultiple"] * self.capacity_at(at) * span
            over = len(window) / (n + 2.0 * sqrt(n) + 2.0)
            if over > 1.0 and 3 * sum(sender in self.senders_with_failures for _, sender in window) < 2 * len(window):
                continue
            worst = max(worst, (over, len(window), at - RETURNS_AT))
        return worst


@pytest.mark.parametrize("outage", OUTAGES)
@pytest.mark.parametrize("senders, capacity, load", [(3, 6, 0.5), (3, 20, 0.9), (25, 6, 0.5), (25, 20, 0.9)])
def test_calls_of_all_senders_stay_under_overload_of_a_returning_destination(senders, capacity, load, outage):
    for seed in range(2):
        fleet = Fleet(senders, capacity, load, outage, seed).run()
        assert fleet.senders_with_failures and any(at > RETURNS_AT + 5000.0 for at, _ in fleet.calls)
        assert fleet.worst_window()[0] <= 1.0


def test_calls_of_two_hundred_senders_stay_under_overload_after_a_silent_outage():
    for seed in range(2):
        assert Fleet(200, 20, 0.9, "silent", seed).run().worst_window()[0] <= 1.0


def test_calls_of_two_hundred_senders_stay_under_overload_after_refused_connections():
    for seed in range(2):
        assert Fleet(200, 20, 0.9, "refuses", seed).run().worst_window()[0] <= 1.0
