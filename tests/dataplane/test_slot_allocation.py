"""Selection of receivers and order of queued requests, at times given by the tests."""

import random
from collections import Counter

import pytest
from dataplane.peers import SERVICE, configuration

from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.load_balancing.receiver_load import (
    ERROR_HALF_LIFE_S,
    INITIAL_UNREACHABLE_BACKOFF_S,
    MAX_FULL_BACKOFF_S,
    MAX_UNREACHABLE_BACKOFF_S,
    MIN_UNRESPONSIVE_S,
    REPORTED_LOAD_HALF_LIFE_S,
    UNRESPONSIVE_RESPONSE_TIMES,
    ReceiverLoad,
    ServerLoad,
    parse_server_load,
)
from dewpin.dataplane.load_balancing.slot_allocation import (
    MAX_RETRY_AFTER_S,
    MIN_RETRY_AFTER_S,
    PRIORITY_STEP_S,
    WAIT_JITTER,
    WARM_UP_CAPACITY_SHARE,
    SlotAllocator,
    SlotRequest,
    rendezvous_rank,
)

SERVICES = configuration().services
NOW = 50.0


def receiver(id, zone="here", capacity=4, draining=False, warm_up_left_ms=0.0):
    return Receiver(id, SERVICE, f"10.0.0.1:{8000 + len(id)}", zone, capacity, draining, warm_up_left_ms, "v1")


def make_allocator(*receivers):
    new_allocator = SlotAllocator("here", random.Random(3))
    new_allocator.update_receivers(SERVICE, receivers)
    return new_allocator


def slot_request(route="route", priority=0, key=None, avoid_until=None, wait_until=NOW + 1, latency_target_s=0.1):
    return SlotRequest(SERVICES[SERVICE], route, priority, latency_target_s, wait_until, key, avoid_until or {})


def acquired_ids(allocator, times, request=None, now=NOW):
    return [
        acquired.id if (acquired := allocator.acquire(request or slot_request(), now)) else None for _ in range(times)
    ]


def test_calls_spread_over_receivers_of_own_zone():
    assert Counter(acquired_ids(make_allocator(receiver("a"), receiver("b")), 8)) == {"a": 4, "b": 4}


def test_calls_spread_by_capacity():
    counts = Counter(acquired_ids(make_allocator(receiver("a", capacity=2), receiver("b", capacity=6)), 8))
    assert counts == {"a": 2, "b": 6}


def test_own_zone_is_preferred_up_to_its_load():
    allocator = make_allocator(receiver("a", zone="here", capacity=8), receiver("b", zone="there", capacity=8))
    order = acquired_ids(allocator, 10)
    assert order[:2] == ["a", "a"]
    assert "b" in order[2:5]


def test_receiver_that_is_warming_up_gets_fewer_calls():
    counts = Counter(
        acquired_ids(make_allocator(receiver("a", capacity=8), receiver("b", capacity=8, warm_up_left_ms=500)), 9)
    )
    assert counts["b"] == pytest.approx(counts["a"] * WARM_UP_CAPACITY_SHARE, abs=1)


def test_draining_receiver_gets_no_calls():
    allocator = make_allocator(receiver("a", draining=True), receiver("b"))
    assert set(acquired_ids(allocator, 3)) == {"b"}
    allocator.update_receivers(SERVICE, (receiver("a", draining=True), receiver("b", draining=True)))
    assert acquired_ids(allocator, 1) == [None]


def test_service_without_receivers_has_no_slot():
    assert acquired_ids(make_allocator(), 1) == [None]


def test_slots_are_acquired_until_queue_at_receiver_is_full():
    assert acquired_ids(make_allocator(receiver("a", capacity=4)), 7) == ["a"] * 6 + [None]


@pytest.mark.parametrize(
    ("call_time_s", "latency_target_s", "taken_at_most"),
    [(0.1, 0.1, 6), (0.1, 0.2, 8), (0.05, 0.2, 12), (0.01, 2.0, 16), (2.0, 0.1, 5)],
)
def test_queue_at_receiver_is_bounded_by_latency_target(call_time_s, latency_target_s, taken_at_most):
    config = configuration()
    allocator = make_allocator(receiver("a", capacity=4))
    allocator.load_of("a").min_call_time_s = call_time_s
    allocator.sender_count = 1
    assert config.services[SERVICE].max_conns > taken_at_most
    assert acquired_ids(allocator, 20, slot_request(latency_target_s=latency_target_s)).count("a") == taken_at_most


def test_min_call_time_falls_at_once_and_rises_slowly():
    load = ReceiverLoad()
    load.record_success(0.02, 0.0)
    assert load.min_call_time_s == pytest.approx(0.02)
    load.record_success(0.5, 0.0)
    assert 0.02 < load.min_call_time_s < 0.04


def test_failing_receiver_gets_fewer_calls_and_is_tried_again_later():
    allocator = make_allocator(receiver("a", capacity=4), receiver("b", capacity=4))
    for _ in range(10):
        allocator.load_of("a").record_error(NOW)
    assert Counter(acquired_ids(allocator, 4)) == {"b": 4}
    later = NOW + 10 * ERROR_HALF_LIFE_S
    assert "a" in acquired_ids(allocator, 2, now=later)


def test_sticky_request_leaves_failing_receiver():
    receivers = [receiver(name, capacity=8) for name in ("a", "b", "c")]
    allocator = make_allocator(*receivers)
    first = min(receivers, key=lambda candidate: rendezvous_rank("session", candidate)).id
    for _ in range(10):
        allocator.load_of(first).record_error(NOW)
    assert first not in acquired_ids(allocator, 4, slot_request(key="session"))


def test_successful_calls_lower_error_rate():
    load = ReceiverLoad()
    for _ in range(10):
        load.record_error(NOW)
    before = load.error_rate(NOW)
    for _ in range(10):
        load.record_success(0.1, 0.0)
    assert load.error_rate(NOW) < before / 2


def test_connections_of_receiver_are_shared_by_senders():
    allocator = make_allocator(receiver("a", capacity=100))
    allocator.sender_count = 16
    assert acquired_ids(allocator, 5) == ["a"] * 4 + [None]


def test_reported_load_counts_and_decays():
    allocator = make_allocator(receiver("a", capacity=4), receiver("b", capacity=4))
    allocator.load_of("a").record_report(ServerLoad(4, 4, 4), NOW)
    assert set(acquired_ids(allocator, 3)) == {"b"}
    later = NOW + 20 * REPORTED_LOAD_HALF_LIFE_S
    assert "a" in acquired_ids(allocator, 3, now=later)


def test_own_calls_are_not_counted_twice():
    load = ReceiverLoad(own_calls=3)
    load.record_report(ServerLoad(4, 1, 4), NOW)
    assert load.total(NOW) == 5
    assert load.total(NOW + REPORTED_LOAD_HALF_LIFE_S) == 4


@pytest.mark.parametrize("value", [None, "", "1,2", "1,2,3,4", "a,b,c", "-1,0,1", "1.5,0,1"])
def test_invalid_server_load_is_ignored(value):
    assert parse_server_load(value) is None


def test_server_load_is_parsed():
    assert parse_server_load("3, 0,8") == ServerLoad(3, 0, 8)


def test_sticky_request_stays_with_receiver_while_load_allows():
    receivers = [receiver(name, capacity=8) for name in ("a", "b", "c")]
    allocator = make_allocator(*receivers)
    first = min(receivers, key=lambda candidate: rendezvous_rank("session", candidate)).id
    order = acquired_ids(allocator, 10, slot_request(key="session"))
    assert order[:6] == [first] * 6
    assert set(order[6:]) != {first}


def test_sticky_keys_spread_by_capacity():
    receivers = [receiver("a", capacity=4), receiver("b", capacity=12)]
    firsts = Counter(
        min(receivers, key=lambda candidate: rendezvous_rank(f"s{number}", candidate)).id for number in range(2000)
    )
    assert firsts["b"] == pytest.approx(1500, rel=0.05)


def test_removed_receiver_moves_only_its_own_sticky_keys():
    receivers = [receiver(name) for name in ("a", "b", "c", "d")]

    def preferred_id(candidates, number):
        return min(candidates, key=lambda candidate: rendezvous_rank(f"s{number}", candidate)).id

    for number in range(200):
        before = preferred_id(receivers, number)
        after = preferred_id(receivers[1:], number)
        assert after == before or before == "a"


def test_avoided_receiver_is_not_chosen_until_given_time():
    allocator = make_allocator(receiver("a"), receiver("b"))
    request = slot_request(avoid_until={"a": NOW + 0.5})
    assert set(acquired_ids(allocator, 2, request)) == {"b"}
    assert allocator.next_check_at(request, NOW) <= NOW + 0.5
    assert "a" in acquired_ids(allocator, 2, request, now=NOW + 0.5)


def test_backoff_from_full_receiver_grows_exponentially():
    load = ReceiverLoad(call_time_s=0.08)
    load.back_off_full(NOW, 8, None, 1.0)
    assert load.blocked_until == pytest.approx(NOW + 0.01)
    load.back_off_full(NOW, 8, None, 1.0)
    assert load.blocked_until == pytest.approx(NOW + 0.02)
    for _ in range(40):
        load.back_off_full(NOW, 8, None, 1.0)
    assert load.blocked_until == NOW + MAX_FULL_BACKOFF_S


def test_retry_after_of_full_receiver_is_not_shortened_by_backoff():
    load = ReceiverLoad()
    load.back_off_full(NOW, 4, 3.0, 1.0)
    load.back_off_full(NOW, 4, None, 1.0)
    assert load.blocked_until == NOW + 3.0


def test_backoff_from_unreachable_receiver_grows_until_it_serves_again():
    load = ReceiverLoad()
    load.back_off_unreachable(NOW, 1.0)
    assert load.blocked_until == NOW + INITIAL_UNREACHABLE_BACKOFF_S
    for _ in range(20):
        load.back_off_unreachable(NOW, 1.0)
    assert load.blocked_until == NOW + MAX_UNREACHABLE_BACKOFF_S
    load.record_success(0.1, 0.0)
    load.back_off_unreachable(NOW + 10, 1.0)
    assert load.blocked_until == NOW + 10 + INITIAL_UNREACHABLE_BACKOFF_S


def test_released_slot_goes_to_route_with_earliest_last_grant():
    allocator = make_allocator(receiver("a", capacity=1))
    assert acquired_ids(allocator, 1, slot_request("old"), now=NOW) == ["a"]
    assert acquired_ids(allocator, 1, slot_request("new"), now=NOW + 1) == ["a"]
    first_new, second_new = allocator.enqueue(slot_request("new")), allocator.enqueue(slot_request("new"))
    first_old, second_old = allocator.enqueue(slot_request("old")), allocator.enqueue(slot_request("old"))
    order = []
    for step in range(4):
        allocator.release("a")
        order += allocator.grant_queued(SERVICE, NOW + 2 + step)
    assert order == [first_old, first_new, second_old, second_new]


def test_slots_released_together_are_shared_by_routes():
    allocator = make_allocator(receiver("a", capacity=2))
    acquired_ids(allocator, 1, slot_request("old"), now=NOW)
    acquired_ids(allocator, 2, slot_request("new"), now=NOW + 1)
    queued = [allocator.enqueue(slot_request(route)) for route in ("old", "old", "new", "new")]
    allocator.release("a")
    allocator.release("a")
    assert allocator.grant_queued(SERVICE, NOW + 2) == [queued[0], queued[2]]


def test_priority_counts_as_waiting_time():
    allocator = make_allocator(receiver("a", capacity=1))
    acquired_ids(allocator, 1, slot_request("low", priority=1), now=NOW)
    acquired_ids(allocator, 1, slot_request("high", priority=0), now=NOW + PRIORITY_STEP_S / 2)
    low, high = allocator.enqueue(slot_request("low", priority=1)), allocator.enqueue(slot_request("high", priority=0))
    allocator.release("a")
    assert allocator.grant_queued(SERVICE, NOW + 1) == [high]
    allocator.release("a")
    assert allocator.grant_queued(SERVICE, NOW + 2) == [low]


def test_new_request_does_not_overtake_queued_ones():
    allocator = make_allocator(receiver("a", capacity=1))
    acquired_ids(allocator, 2)
    queued = allocator.enqueue(slot_request())
    allocator.release("a")
    assert acquired_ids(allocator, 1) == [None]
    assert allocator.grant_queued(SERVICE, NOW) == [queued]


def test_queued_request_that_avoids_free_receiver_does_not_block_others():
    allocator = make_allocator(receiver("a", capacity=1))
    acquired_ids(allocator, 2)
    avoiding = allocator.enqueue(slot_request("first", avoid_until={"a": NOW + 9}))
    other = allocator.enqueue(slot_request("second"))
    allocator.release("a")
    assert allocator.grant_queued(SERVICE, NOW) == [other]
    assert avoiding.receiver is None


def test_cancelled_request_gets_no_slot():
    allocator = make_allocator(receiver("a", capacity=1))
    acquired_ids(allocator, 2)
    allocator.cancel(allocator.enqueue(slot_request()))
    allocator.release("a")
    assert allocator.grant_queued(SERVICE, NOW) == []
    assert acquired_ids(allocator, 1) == ["a"]


def test_slots_of_removed_receiver_are_discarded():
    allocator = make_allocator(receiver("a"), receiver("b"))
    acquired_ids(allocator, 4)
    allocator.update_receivers(SERVICE, (receiver("b"),))
    allocator.release("a")
    allocator.load_of("a").back_off_unreachable(NOW, 1.0)
    assert set(acquired_ids(allocator, 2)) == {"b"}


def test_expected_wait_grows_with_queue_and_is_bounded():
    allocator = make_allocator(receiver("a", capacity=1))
    allocator.load_of("a").call_time_s = 0.1
    initial_wait_s = allocator.expected_wait_s(SERVICE, NOW)
    assert 0.1 * (1 - WAIT_JITTER) <= initial_wait_s <= 0.1 * (1 + WAIT_JITTER)
    for _ in range(4):
        allocator.enqueue(slot_request())
    assert 0.5 * (1 - WAIT_JITTER) <= allocator.expected_wait_s(SERVICE, NOW) <= 0.5 * (1 + WAIT_JITTER)
    for _ in range(100):
        allocator.enqueue(slot_request())
    assert allocator.expected_wait_s(SERVICE, NOW) <= MAX_RETRY_AFTER_S * (1 + WAIT_JITTER)


def test_expected_wait_has_lower_bound():
    allocator = make_allocator(receiver("a", capacity=1000))
    assert allocator.expected_wait_s(SERVICE, NOW) >= MIN_RETRY_AFTER_S * (1 - WAIT_JITTER)


def test_sticky_request_prefers_own_zone_while_load_allows():
    other_zone = [receiver(f"far-{number}", zone="there") for number in range(8)]
    allocator = make_allocator(receiver("near", zone="here"), *other_zone)
    chosen = [allocator.acquire(slot_request(key=f"session-{number}"), NOW).id for number in range(3)]
    assert chosen == ["near"] * 3
    assert allocator.acquire(slot_request(key="session-9"), NOW).id != "near"


def test_unresponsive_receiver_gets_no_calls_while_others_can():
    allocator = make_allocator(receiver("hung"), receiver("sound"))
    hung_load = allocator.load_of("hung")
    hung_load.record_sent(NOW)
    assert not hung_load.is_unresponsive(NOW + MIN_UNRESPONSIVE_S)
    later = NOW + 2 * MIN_UNRESPONSIVE_S + UNRESPONSIVE_RESPONSE_TIMES * hung_load.response_time_s
    assert hung_load.is_unresponsive(later)
    assert {allocator.acquire(slot_request(key=f"session-{number}"), later).id for number in range(3)} == {"sound"}
    assert {allocator.acquire(slot_request(), later).id for _ in range(3)} == {"sound"}


def test_response_to_any_call_makes_receiver_responsive():
    allocator = make_allocator(receiver("slow"))
    slow = allocator.load_of("slow")
    slow.record_sent(NOW)
    slow.record_sent(NOW + 1)
    slow.record_response(NOW + 1, NOW + 1.1)
    assert not slow.is_unresponsive(NOW + 1.2)
    assert slow.is_unresponsive(NOW + 3)
    slow.forget_call(NOW)
    assert not slow.is_unresponsive(NOW + 3)
