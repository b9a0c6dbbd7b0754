"""Many senders beside each other: after an outage, and on equal receivers."""

import heapq
import random

import pytest
from core.dispatcher_driver import DispatcherDriver

from dewpin.core.model import Outcome, Receiver, ReceiverState
from driver import settings


def senders(count, receivers=2, rate=None, **drawn_settings):
    """Dispatchers that share nothing, each with an account of the same destination, and their clocks."""
    drawn = settings(fleet=count, **drawn_settings)
    drawn["Rules"] |= {"FallMultiple": 1.5, "ColdFrom": 0.28, "OverloadFor": 3000.0, "WarmAfter": 14000.0}
    drawn["Weights"] = "nominal" if rate else "off"
    made = [DispatcherDriver(drawn, receivers=receivers, seed=seed) for seed in range(count)]
    for driver in made:
        for receiver in driver.destination.receivers:
            receiver.weight = rate or 1.0
    return made


def returning(fleet, rng, down, after, messages, bad, joined=False, well=0.0):
    """Plays senders through an outage of `down` ms and so long `after`; the calls of the later part, with
    what each weighs: (ms since the return, weight). `messages` a second come in all, `bad` is how calls fail, but
    for a share that goes `well`."""
    weighed, start = [], fleet[0].now
    while (spent := fleet[0].now - start) < down + after:
        for driver in fleet:
            if rng.random() < messages / len(fleet) / 50.0:
                driver.submit(dispatches=False)
            if (
                joined
                and spent >= down - 20.0
                and driver.destination.receivers[-1].state == ReceiverState.READY
                and len(driver.destination.receivers) < 3
            ):
                for receiver in driver.destination.receivers:
                    receiver.state = ReceiverState.GONE
                Receiver(9, driver.destination, weight=driver.destination.receivers[0].weight)
            driver.dispatch_due()
            calls = set()
            for message, (receiver, sent, _) in list(driver.in_flight.items()):
                if sent == driver.now and spent >= down:
                    weighed.append((spent - down, 0.16 if receiver in calls else 1.0))
                    calls.add(receiver)
                if driver.now - sent >= 100.0:
                    fails = spent < down and rng.random() >= well
                    driver.end_attempt(message, bad if fails else Outcome.DELIVERED, 100.0, advances=False)
            driver.advance(20.0)
    return weighed


@pytest.mark.parametrize(
    "bundle,joined,bad,well",
    [
        (1, False, Outcome.CONNECT_FAILED, 0.0),
        (20, False, Outcome.CONNECT_FAILED, 0.0),
        (1, True, Outcome.CONNECT_FAILED, 0.0),
        (1, False, Outcome.ERROR, 0.2),
    ],
)
def test_senders_after_an_outage_stay_under_the_capacity_of_a_cold_destination(bundle, joined, bad, well):
    limit = 30.0
    fleet = senders(40, rate=limit, bundle=bundle, effects=("keyed",), window=25000.0, room=30, slots=4)
    rules = fleet[0].settings["Rules"]
    weighed = returning(fleet, random.Random(3), 9000.0, 12000.0, 28.0 if joined else 75.0, bad, joined, well)
    for end in range(3000, 12001, 500):
        sent = sum(weight for at, weight in weighed if end - rules["OverloadFor"] <= at < end)
        warm = rules["ColdFrom"] + (1.0 - rules["ColdFrom"]) * (end - rules["OverloadFor"] / 2) / rules["WarmAfter"]
        assert sent < rules["FallMultiple"] * limit * warm * rules["OverloadFor"] / 1000.0, end


@pytest.mark.parametrize("numbered, off, zones", [(True, 0.25, False), (False, 0.45, False), (True, 0.35, True)])
def test_hundreds_of_senders_load_equal_receivers_evenly_and_a_new_one_at_once(numbered, off, zones):
    """300 dispatchers, 12 equal receivers, 120 messages a second in all, calls of 200 ms; one more receiver after 20 s.
    With zones, senders stand evenly over three, the receivers don't."""
    rng, fleet, over, calls, came, now = random.Random(5), [], [], {}, {}, 1000.0
    for number in range(300):
        drawn = settings(fleet=300)
        drawn["Allowed"]["IdleClose"] = 15000.0
        if numbered:
            drawn["SlotNo"] = number
        if zones:
            drawn["Az"], drawn["Zones"] = number % 3, ["a", "b", "c"]
        fleet.append(DispatcherDriver(drawn, receivers=12, seed=number))
        for receiver in fleet[-1].destination.receivers if zones else ():
            receiver.zone = (0, 0, 1, 1, 1, 1)[receiver.receiver_id % 6]  # 4 and 8, and none in the third
    while now < 41000.0:
        now += rng.expovariate(0.12)
        while over and over[0][0] <= now:
            at, number, message = heapq.heappop(over)
            fleet[number].now = at
            fleet[number].end_attempt(message, Outcome.DELIVERED, 200.0, advances=False)
        driver = fleet[number := rng.randrange(300)]
        driver.now = now
        if now > 21000.0 and len(driver.destination.receivers) == 12:
            Receiver(99, driver.destination)
        receiver = driver.receiver_of(message := driver.submit())
        counts = calls if now < 21000.0 else came
        counts[receiver.receiver_id] = counts.get(receiver.receiver_id, 0) + 1
        heapq.heappush(over, (now + 200.0, number, message))
    for counts, places in ((calls, 12), (came, 13)):
        share = sum(counts.values()) / places
        assert len(counts) == places
        assert max(counts.values()) < (1.0 + off) * share and min(counts.values()) > (1.0 - off) * share
