"""Fleets of independent senders: recovery after an outage, and load balancing over equal receivers."""

import heapq
import random

import pytest
from core.dispatcher_driver import DispatcherDriver

from dewpin.core.model import Outcome, Receiver, ReceiverState
from driver import settings


def make_senders(count, receivers=2, rate=None, **setting_changes):
    """Creates independent dispatchers, each with its own clock and its own object for the same destination."""
    sender_settings = settings(fleet_size=count, **setting_changes)
    sender_settings["Rules"] |= {"FallMultiple": 1.5, "ColdFrom": 0.28, "OverloadFor": 3000.0, "WarmAfter": 14000.0}
    sender_settings["Weights"] = "nominal" if rate else "off"
    drivers = [DispatcherDriver(sender_settings, receivers=receivers, seed=seed) for seed in range(count)]
    for driver in drivers:
        for receiver in driver.destination.receivers:
            receiver.weight = rate or 1.0
    return drivers


def simulate_outage(
    fleet, rng, outage_ms, after_ms, messages_per_s, failure, replaces_receivers=False, success_share=0.0
):
    """Simulates senders during an outage of `outage_ms` and for `after_ms` after it; `messages_per_s` is the total.

    Returns (ms since the return, weight) of each call after the outage. Calls during the outage end with `failure`,
    except for a share `success_share` of them."""
    weighted_calls, start = [], fleet[0].now
    while (elapsed_ms := fleet[0].now - start) < outage_ms + after_ms:
        for driver in fleet:
            if rng.random() < messages_per_s / len(fleet) / 50.0:
                driver.submit(dispatches=False)
            if (
                replaces_receivers
                and elapsed_ms >= outage_ms - 20.0
                and driver.destination.receivers[-1].state == ReceiverState.READY
                and len(driver.destination.receivers) < 3
            ):
                for receiver in driver.destination.receivers:
                    receiver.state = ReceiverState.GONE
                Receiver(9, driver.destination, weight=driver.destination.receivers[0].weight)
            driver.dispatch_due()
            calls = set()
            for message, (receiver, sent, _) in list(driver.in_flight.items()):
                if sent == driver.now and elapsed_ms >= outage_ms:
                    weighted_calls.append((elapsed_ms - outage_ms, 0.16 if receiver in calls else 1.0))
                    calls.add(receiver)
                if driver.now - sent >= 100.0:
                    fails = elapsed_ms < outage_ms and rng.random() >= success_share
                    driver.end_attempt(message, failure if fails else Outcome.DELIVERED, 100.0, advances=False)
            driver.advance(20.0)
    return weighted_calls


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
    fleet = make_senders(
        40, rate=limit, max_bundle=bundle, effects=("keyed",), retry_window_ms=25000.0, max_open=30, call_slots=4
    )
    rules = fleet[0].settings["Rules"]
    weighted_calls = simulate_outage(
        fleet, random.Random(3), 9000.0, 12000.0, 28.0 if joined else 75.0, bad, joined, well
    )
    for end in range(3000, 12001, 500):
        sent = sum(weight for at, weight in weighted_calls if end - rules["OverloadFor"] <= at < end)
        warm = rules["ColdFrom"] + (1.0 - rules["ColdFrom"]) * (end - rules["OverloadFor"] / 2) / rules["WarmAfter"]
        assert sent < rules["FallMultiple"] * limit * warm * rules["OverloadFor"] / 1000.0, end


@pytest.mark.parametrize("numbered, off, zones", [(True, 0.25, False), (False, 0.45, False), (True, 0.35, True)])
def test_hundreds_of_senders_load_equal_receivers_evenly_and_a_new_one_at_once(numbered, off, zones):
    """300 dispatchers, 12 equal receivers, 120 messages per second in total, calls of 200 ms; one receiver is added
    after 20 s. With zones, senders are evenly distributed over three zones, but receivers are not."""
    rng, fleet, over, calls, came, now = random.Random(5), [], [], {}, {}, 1000.0
    for number in range(300):
        sender_settings = settings(fleet_size=300)
        sender_settings["Allowed"]["IdleClose"] = 15000.0
        if numbered:
            sender_settings["SlotNo"] = number
        if zones:
            sender_settings["Az"], sender_settings["Zones"] = number % 3, ["a", "b", "c"]
        fleet.append(DispatcherDriver(sender_settings, receivers=12, seed=number))
        for receiver in fleet[-1].destination.receivers if zones else ():
            receiver.zone = (0, 0, 1, 1, 1, 1)[receiver.receiver_id % 6]  # 4 and 8 receivers, none in the third zone
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
