"""The platform's list (pages, lag, draining, rate limit) and the availability of senders."""

import pytest

from dewpin.standin.call_rate_limiter import CallRateLimiter
from dewpin.standin.errors import UnknownPageTokenError
from dewpin.standin.instances import Instance, InstanceList
from dewpin.standin.sender_health import SenderHealth


def create_instance(number, zone="zone-a"):
    return Instance(f"one-{number}", "service", f"127.0.0.{number}:80", zone, 4)


def instance_ids(page):
    return [entry["id"] for entry in page["instances"]]


def test_all_pages_show_the_list_at_the_time_of_the_first_page():
    instances = InstanceList(page_size=2)
    for number in range(5):
        instances.put(create_instance(number), now_s=float(number))
    first = instances.page(10.0)
    instances.remove("one-2", 11.0)
    second = instances.page(12.0, first["next_token"])
    third = instances.page(12.0, second["next_token"])
    assert [instance_ids(page) for page in (first, second, third)] == [
        ["one-0", "one-1"],
        ["one-2", "one-3"],
        ["one-4"],
    ]
    assert third["next_token"] is None
    assert instance_ids(instances.page(12.0)) == ["one-0", "one-1"]


@pytest.mark.parametrize("token", ["", "p-1", "p-99-0", "q-0-0", "p-x-0"])
def test_unknown_page_token_is_rejected(token):
    with pytest.raises(UnknownPageTokenError):
        InstanceList().page(0.0, token)


def test_zone_filter_lists_only_receivers_of_the_zone():
    instances = InstanceList()
    instances.put(create_instance(1, "zone-a"), 0.0)
    instances.put(create_instance(2, "zone-b"), 0.0)
    assert instance_ids(instances.page(1.0, zone="zone-b")) == ["one-2"]


def test_change_becomes_visible_after_the_lag():
    instances = InstanceList(lag_s=2.0)
    instances.put(create_instance(1), 10.0)
    instances.drain("one-1", 20.0)
    assert instance_ids(instances.page(11.9)) == []
    assert [entry["state"] for entry in instances.page(21.9)["instances"]] == ["ready"]
    assert [entry["state"] for entry in instances.page(22.0)["instances"]] == ["draining"]
    with pytest.raises(KeyError):
        instances.drain("one-2", 23.0)


def test_remaining_warm_up_time_decreases_to_zero():
    instances = InstanceList()
    instances.put(Instance("cold", "service", "127.0.0.1:80", "zone-a", 4, warm_at_s=12.0), 10.0)
    assert [instances.page(now_s)["instances"][0]["cold_left_ms"] for now_s in (10.0, 11.5, 13.0)] == [
        2000.0,
        500.0,
        0.0,
    ]


def test_calls_above_the_rate_limit_are_rejected():
    rate = CallRateLimiter(2.0)
    assert [rate.try_acquire(10.0) for _ in range(3)] == [True, True, False]
    assert [rate.try_acquire(10.5), rate.try_acquire(10.5)] == [True, False]


def test_sender_is_unavailable_after_two_failed_probes_until_one_succeeds():
    health = SenderHealth(["a"])
    availability = [health.availability()["a"]]
    for is_ready in (True, False, False, True):
        health.record("a", is_ready)
        availability.append(health.availability()["a"])
    assert availability == [False, True, True, False, True]
