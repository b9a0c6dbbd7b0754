"""A destination fails for ten seconds and returns cold: what all senders of a fleet send together, summed over windows.

Each module is for itself. The destination answers in turn, slower while it is cold, and turns away what would wait too
long. The rule: in `OverloadFor` it gets no more than N + 2 x root of N + 2 calls, N being `FallMultiple` times what it
can do then; the sum breaks it where two thirds came from senders that had seen a call fail in the outage."""

import heapq
import random
from bisect import bisect_left
from math import sqrt

import pytest

from dewpin.core import model
from dewpin.core.dispatcher import Dispatcher
from driver import settings

FAILS, RETURNS, ENDS = 12000.0, 22000.0, 34000.0
DEPTH = 8  # calls that the destination lets wait
OUTAGES = {
    "silent": (model.Outcome.TIMED_OUT, None),
    "errors": (model.Outcome.ERROR, 60.0),
    "refuses": (model.Outcome.CONNECT_FAILED, 40.0),
    "shut": (model.Outcome.REJECTED, 60.0),
}  # the outcome of a call, and the ms that it takes; None: its time-out


class Fleet:
    """`capacity`: calls a second of the one destination, warm; `load`: mails a second, as a share of that."""

    def __init__(self, senders, capacity, load, outage, seed):
        self.dice, self.outage, self.capacity = random.Random(seed), OUTAGES[outage], capacity / 1000.0
        told = settings(fleet=senders)
        self.rules, self.modules = told["Rules"], []
        for number in range(senders):
            destination = model.Destination(1)
            for ident in range(2):
                model.Receiver(ident, destination)
            self.modules.append((Dispatcher(told | {"SlotNo": number}, self.dice.getrandbits(64)), destination))
        self.events, self.count, self.busy = [], 0, 0.0
        self.calls, self.told = [], set()  # (time, sender) of each call; senders that saw one fail in the outage
        uneven, at = [self.dice.uniform(0.3, 1.7) ** 2 for _ in self.modules], 0.0
        while at < ENDS:
            at += self.dice.expovariate(self.capacity * load)
            self.later(at, self.arrives, self.dice.choices(range(senders), uneven)[0])

    def later(self, at, what, *rest):
        self.count += 1
        heapq.heappush(self.events, (at, self.count, what, rest))

    def run(self):
        while self.events and self.events[0][0] < ENDS:
            now, _, what, rest = heapq.heappop(self.events)
            what(now, *rest)
        return self

    def arrives(self, now, sender):
        module, destination = self.modules[sender]
        if module.pending_messages < module.settings.max_pending:
            module.dispatch(model.Message(self.count, destination, now, now + 16000.0), now)
        self.ask(now, sender)

    def ask(self, now, sender):
        module, _ = self.modules[sender]
        while True:
            ms, mail = module.next_due(now)
            if mail is None:
                return
            if ms > 0.0:
                return self.later(now + ms, self.ask, sender)
            result = module.dispatch(mail, now)
            if result.decision == model.Decision.SEND:
                self.calls.append((now, sender))
                outcome, took = self.served(now, result.timeout_ms)
                self.later(now + took, self.ends, sender, mail, outcome, took)

    def now_can(self, now):
        """Calls a ms that the destination can do at this time."""
        cold, warm = self.rules["ColdFrom"], (now - RETURNS) / self.rules["WarmAfter"]
        return self.capacity * (1.0 if now < FAILS else min(1.0, cold + (1.0 - cold) * warm))

    def served(self, now, limit):
        outcome, took = self.outage
        if FAILS <= now < RETURNS:
            return outcome, took or limit
        can = self.now_can(now)
        self.busy = max(self.busy, now)
        if self.busy - now > DEPTH / can:
            return model.Outcome.REJECTED, 30.0
        self.busy += 1.0 / can
        took = self.busy - now + self.dice.lognormvariate(5.0, 0.5)
        if took > limit or now < FAILS <= now + took:
            return model.Outcome.TIMED_OUT, limit
        return model.Outcome.DELIVERED, took

    def ends(self, now, sender, mail, outcome, took):
        mail.duration_ms, mail.retry_after_ms = took, 0.0
        if outcome != model.Outcome.DELIVERED and FAILS <= now < RETURNS:
            self.told.add(sender)
        self.modules[sender][0].record_outcome(mail, outcome, now)
        self.ask(now, sender)

    def worst(self):
        """(calls over what the rule allows, calls, ms since the return) of the worst window that told senders made."""
        times, worst, span = [at for at, _ in self.calls], (0.0, 0, 0.0), self.rules["OverloadFor"]
        for last, (at, _) in enumerate(self.calls):
            if not RETURNS <= at < RETURNS + self.rules["WarmAfter"]:
                continue
            window = self.calls[bisect_left(times, max(at - span, RETURNS)) : last + 1]
            n = self.rules["FallMultiple"] * self.now_can(at) * span
            over = len(window) / (n + 2.0 * sqrt(n) + 2.0)
            if over > 1.0 and 3 * sum(sender in self.told for _, sender in window) < 2 * len(window):
                continue
            worst = max(worst, (over, len(window), at - RETURNS))
        return worst


@pytest.mark.parametrize("outage", OUTAGES)
@pytest.mark.parametrize("senders, capacity, load", [(3, 6, 0.5), (3, 20, 0.9), (25, 6, 0.5), (25, 20, 0.9)])
def test_all_senders_together_do_not_push_a_returning_destination_over(senders, capacity, load, outage):
    for seed in range(2):
        fleet = Fleet(senders, capacity, load, outage, seed).run()
        assert fleet.told and any(at > RETURNS + 5000.0 for at, _ in fleet.calls)
        assert fleet.worst()[0] <= 1.0


def test_two_hundred_senders_do_not_push_over_one_that_was_silent():
    for seed in range(2):
        assert Fleet(200, 20, 0.9, "silent", seed).run().worst()[0] <= 1.0


def test_two_hundred_senders_do_not_push_over_one_that_refused_connections():
    for seed in range(2):
        assert Fleet(200, 20, 0.9, "refuses", seed).run().worst()[0] <= 1.0
