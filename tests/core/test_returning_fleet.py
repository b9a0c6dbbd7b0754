"""Many senders beside each other: after an outage, and on equal receivers."""

import heapq
import random

import pytest

from dewpin.core import model
from driver import Driver, settings


def senders(count, receivers=2, rate=None, **told):
    """Modules that share nothing, each with an account of the same destination, and their clocks."""
    drawn = settings(fleet=count, **told)
    drawn["Rules"] |= {"FallMultiple": 1.5, "ColdFrom": 0.28, "OverloadFor": 3000.0, "WarmAfter": 14000.0}
    drawn["Weights"] = "nominal" if rate else "off"
    made = [Driver(drawn, receivers=receivers, seed=seed) for seed in range(count)]
    for d in made:
        for receiver in d.destination.receivers:
            receiver.weight = rate or 1.0
    return made


def returning(fleet, dice, down, after, mails, bad, joined=False, well=0.0):
    """Plays senders through an outage of `down` ms and so long `after`; the calls of the later part, with
    what each weighs: (ms since the return, weight). `mails` a second come in all, `bad` is how calls fail, but
    for a share that goes `well`."""
    weighed, start = [], fleet[0].now
    while (spent := fleet[0].now - start) < down + after:
        for d in fleet:
            if dice.random() < mails / len(fleet) / 50.0:
                d.mail(ask=False)
            if (
                joined
                and spent >= down - 20.0
                and d.destination.receivers[-1].state == model.ReceiverState.READY
                and len(d.destination.receivers) < 3
            ):
                for receiver in d.destination.receivers:
                    receiver.state = model.ReceiverState.GONE
                model.Receiver(9, d.destination, weight=d.destination.receivers[0].weight)
            d.ask()
            calls = set()
            for mail, (receiver, sent, _) in list(d.out.items()):
                if sent == d.now and spent >= down:
                    weighed.append((spent - down, 0.16 if receiver in calls else 1.0))
                    calls.add(receiver)
                if d.now - sent >= 100.0:
                    fails = spent < down and dice.random() >= well
                    d.outcome(mail, bad if fails else model.Outcome.DELIVERED, 100.0, run=False)
            d.run(20.0)
    return weighed


@pytest.mark.parametrize(
    "bundle,joined,bad,well",
    [
        (1, False, model.Outcome.CONNECT_FAILED, 0.0),
        (20, False, model.Outcome.CONNECT_FAILED, 0.0),
        (1, True, model.Outcome.CONNECT_FAILED, 0.0),
        (1, False, model.Outcome.ERROR, 0.2),
    ],
)
def test_senders_that_saw_an_outage_stay_under_what_a_cold_one_bears_together(bundle, joined, bad, well):
    limit = 30.0
    fleet = senders(40, rate=limit, bundle=bundle, effects=("keyed",), window=25000.0, room=30, slots=4)
    rules = fleet[0].settings["Rules"]
    weighed = returning(fleet, random.Random(3), 9000.0, 12000.0, 28.0 if joined else 75.0, bad, joined, well)
    for end in range(3000, 12001, 500):
        sent = sum(weight for at, weight in weighed if end - rules["OverloadFor"] <= at < end)
        warm = rules["ColdFrom"] + (1.0 - rules["ColdFrom"]) * (end - rules["OverloadFor"] / 2) / rules["WarmAfter"]
        assert sent < rules["FallMultiple"] * limit * warm * rules["OverloadFor"] / 1000.0, end


@pytest.mark.parametrize("numbered, off, zones", [(True, 0.25, False), (False, 0.45, False), (True, 0.35, True)])
def test_hundreds_of_senders_that_see_little_load_equal_receivers_alike_and_a_newcomer_at_once(numbered, off, zones):
    """300 modules, 12 equal receivers, 120 mails a second in all, calls of 200 ms; one more receiver after 20 s.
    With zones, senders stand evenly over three, the receivers don't."""
    dice, fleet, over, calls, came, now = random.Random(5), [], [], {}, {}, 1000.0
    for number in range(300):
        drawn = settings(fleet=300)
        drawn["Allowed"]["IdleClose"] = 15000.0
        if numbered:
            drawn["SlotNo"] = number
        if zones:
            drawn["Az"], drawn["Zones"] = number % 3, ["a", "b", "c"]
        fleet.append(Driver(drawn, receivers=12, seed=number))
        for receiver in fleet[-1].destination.receivers if zones else ():
            receiver.zone = (0, 0, 1, 1, 1, 1)[receiver.receiver_id % 6]  # 4 and 8, and none in the third
    while now < 41000.0:
        now += dice.expovariate(0.12)
        while over and over[0][0] <= now:
            at, number, mail = heapq.heappop(over)
            fleet[number].now = at
            fleet[number].outcome(mail, model.Outcome.DELIVERED, 200.0, run=False)
        d = fleet[number := dice.randrange(300)]
        d.now = now
        if now > 21000.0 and len(d.destination.receivers) == 12:
            model.Receiver(99, d.destination)
        receiver = d.sent(mail := d.mail())
        counts = calls if now < 21000.0 else came
        counts[receiver.receiver_id] = counts.get(receiver.receiver_id, 0) + 1
        heapq.heappush(over, (now + 200.0, number, mail))
    for counts, places in ((calls, 12), (came, 13)):
        share = sum(counts.values()) / places
        assert len(counts) == places
        assert max(counts.values()) < (1.0 + off) * share and min(counts.values()) > (1.0 - off) * share
