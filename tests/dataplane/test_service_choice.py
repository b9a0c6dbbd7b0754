"""Selection of a service on a route that splits traffic: by weight, and consistently for a sticky key."""

import json

import pytest
from dataplane.peers import configuration
from dataplane.request_handler_harness import RequestHandlerHarness

from dewpin.cluster.configuration import parse_configuration
from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.routing.service_choice import choose_service


def chosen_service(harness, route, key):
    state = harness.state
    return choose_service(state.configuration, route, state.receivers, key, harness.handler._random).name


def test_service_is_chosen_by_weight_and_kept_for_sticky_key():
    shares = [{"backend": "a", "weight": 90}, {"backend": "b", "weight": 10}, {"backend": "c", "weight": 0}]
    config = configuration(kind="stream", sticky=True)
    body = {**config.raw, "services": [{"name": name} for name in "abc"]}
    body["routes"] = [{**body["routes"][0], "split": shares, "backend": None}]
    harness = RequestHandlerHarness([])
    harness.state.configuration = parse_configuration(json.dumps(body).encode())
    route = harness.state.configuration.routes[0]
    selected = [chosen_service(harness, route, None) for _ in range(2000)]
    assert 1700 < selected.count("a") < 1900
    assert selected.count("c") == 0
    assert len({chosen_service(harness, route, "session") for _ in range(50)}) == 1


def harness_with_split(shares, listed):
    """Return a harness whose only route is split by (service, weight), and that route.

    `listed` holds the receivers by service.
    """
    config = configuration(kind="stream", sticky=True)
    body = {**config.raw, "services": [{"name": name} for name, _ in shares]}
    split = [{"backend": name, "weight": weight} for name, weight in shares]
    body["routes"] = [{**body["routes"][0], "split": split, "backend": None}]
    harness = RequestHandlerHarness([])
    harness.state.configuration = parse_configuration(json.dumps(body).encode())
    harness.state.receivers = listed
    return harness, harness.state.configuration.routes[0]


def receiver_of(service, number=1, draining=False, capacity=4):
    return Receiver(f"i-{service}-{number}", service, "127.0.0.1:1", "here", capacity, draining, 0.0, "v1")


REQUESTS_PER_ROUND = 200
MAX_DEVIATION = 0.2


@pytest.mark.parametrize("weights", [(90, 10), (50, 50), (30, 70)])
@pytest.mark.parametrize("key", ["none", "programs"])
def test_each_service_of_split_gets_its_weight_regardless_of_its_receivers(weights, key):
    """One service has a single small receiver, the other ten large ones; capacity must not affect the split."""
    shares = list(zip("ab", weights, strict=True))
    listed = {"a": (receiver_of("a", capacity=1),), "b": tuple(receiver_of("b", n, capacity=64) for n in range(10))}
    harness, route = harness_with_split(shares, listed)
    for round_number in range(20):
        keys = [None if key == "none" else f"p-{round_number}-{n}" for n in range(REQUESTS_PER_ROUND)]
        selected = [chosen_service(harness, route, sticky_key) for sticky_key in keys]
        assert abs(selected.count("a") / REQUESTS_PER_ROUND - weights[0] / 100) < MAX_DEVIATION


@pytest.mark.parametrize("away", [(), (receiver_of("a", draining=True),)])
def test_service_with_only_draining_receivers_is_not_chosen_while_another_has_some(away):
    harness, route = harness_with_split([("a", 90), ("b", 10)], {"a": away, "b": (receiver_of("b"),)})
    selected = {chosen_service(harness, route, None) for _ in range(100)}
    assert selected == {"b"}


def test_weights_hold_while_all_services_are_draining():
    listed = {name: (receiver_of(name, draining=True),) for name in "ab"}
    harness, route = harness_with_split([("a", 50), ("b", 50)], listed)
    selected = {chosen_service(harness, route, None) for _ in range(100)}
    assert selected == {"a", "b"}
