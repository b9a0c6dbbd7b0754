"""Route priority: receivers get it as a header field, and the slot queue is ordered by it."""

import random

import pytest
from dataplane.peers import SERVICE, ScriptedReceiver, configuration, event, full_response, receivers, stream
from dataplane.request_handler_harness import RequestHandlerHarness, read

from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.load_balancing.slot_allocation import PRIORITY_STEP_S, SlotAllocator, SlotRequest


@pytest.mark.parametrize(("priority", "told"), [(0, "0"), (1, "1"), (9, "9"), (40, "9")])
@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "stream"])
def test_receiver_gets_priority_of_route(kind, priority, told):
    script = stream(event(1)) if kind == "stream" else full_response()
    peer = ScriptedReceiver(script)
    with receivers(peer) as listed:
        response = RequestHandlerHarness(listed, kind=kind, priority=priority)()
        assert response.status == 200
        read(response)
    assert [received.headers["priority"] for received in peer.requests] == [told]


def test_priority_of_client_is_forwarded_unchanged():
    peer = ScriptedReceiver(full_response())
    with receivers(peer) as listed:
        assert RequestHandlerHarness(listed, priority=0)(("Priority", "7")).status == 200
    (received,) = peer.requests
    assert [value for name, value in received.fields if name.lower() == "priority"] == ["7"]


def test_resuming_call_has_priority_of_first_call():
    interrupted = ScriptedReceiver(stream(event(1), is_complete=False), id="i-1")
    healthy = ScriptedReceiver(stream(event(2)), id="i-2", zone="there")
    with receivers(interrupted, healthy) as listed:
        assert read(RequestHandlerHarness(listed, frozen=True, kind="stream", resumable=True, priority=3)()) == (
            event(1) + event(2),
            False,
        )
    assert [received.headers["priority"] for received in interrupted.requests + healthy.requests] == ["3", "3"]
    assert healthy.requests[0].headers["last-event-id"] == "1"


def test_higher_priority_goes_first_under_load_without_starving_others():
    """A slot is released every 10 ms while requests of both routes are queued."""
    allocator = SlotAllocator("here", random.Random(1))
    allocator.update_receivers(SERVICE, (Receiver("i-1", SERVICE, "10.0.0.1:80", "here", 1, False, 0.0, "v1"),))
    service = configuration().services[SERVICE]
    now = 1000.0

    def slot_request(route, priority):
        return SlotRequest(service, route, priority, 0.1, now + 100.0)

    while allocator.acquire(slot_request("urgent", 0), now) is not None:
        pass
    waiting = [allocator.enqueue(slot_request(route, priority)) for route, priority in (("usual", 1), ("urgent", 0))]
    served = {"urgent": 0, "usual": 0}
    max_wait_s, last_grant_s = 0.0, now
    for _ in range(1000):
        now += 0.01
        allocator.release("i-1")
        (queued,) = allocator.grant_queued(SERVICE, now)
        route = queued.request.route
        served[route] += 1
        if route == "usual":
            max_wait_s, last_grant_s = max(max_wait_s, now - last_grant_s), now
        waiting.append(allocator.enqueue(slot_request(route, queued.request.priority)))
    assert served["urgent"] > 5 * served["usual"]
    assert 0 < max_wait_s <= PRIORITY_STEP_S + 0.02


def test_receivers_of_other_versions_are_skipped_without_penalty():
    other = ScriptedReceiver(full_response(b"", "421 Misdirected Request", "Versions: 3", signed=False), id="i-1")
    matching = ScriptedReceiver(stream(b"versions: 4\nid: 1\ndata: a\n\n", event(2)), id="i-2", zone="there")
    with receivers(other, matching) as listed:
        harness = RequestHandlerHarness(listed, frozen=True, kind="stream")
        for _ in range(2):
            response = harness(("Expect-Version", "4"))
            assert read(response) == (b"versions: 4\nid: 1\ndata: a\n\n" + event(2), False)
        load = harness.handler._shared.balancer._allocator.load_of("i-1")
        assert (load.unreachable_count, load.rejections, load.blocked_until) == (0, 0, 0.0)
        assert load.error_rate(1000.0) == 0.0
    assert len(other.requests) == 2
    assert {received.headers["expect-version"] for received in other.requests + matching.requests} == {"4"}


def test_request_for_version_without_receiver_gets_503():
    peer = ScriptedReceiver(full_response(b"", "421 Misdirected Request", "Versions: 3", signed=False))
    with receivers(peer) as listed:
        response = RequestHandlerHarness(listed, kind="non_idempotent", retries=1)(("Expect-Version", "4"))
    assert response.status == 503
