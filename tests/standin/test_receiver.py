"""A stand-in receiver over real connections: what it says when it runs a request and when it does not."""

import http.client
import json
import threading

import pytest

from dewpin.standin.client import parse_events
from dewpin.standin.receiver import ReceiverOptions, ReceiverServer, event_count, stream_words
from dewpin.standin.slots import Admission, Slots


@pytest.fixture
def start():
    """Start receivers that are stopped behind the test."""
    started = []

    def start_one(**options):
        receiver = ReceiverServer(("127.0.0.1", 0), ReceiverOptions("i-1", "service", work_ms=0, event_ms=0, **options))
        receiver.start()
        started.append(receiver)
        return receiver

    yield start_one
    for receiver in started:
        receiver.released.set()
        receiver.stop()


def ask(receiver, path="/a/b", method="POST", body=b"x\n", **fields):
    connection = http.client.HTTPConnection(*receiver.server.server_address, timeout=5.0)
    named = {"X-Dewpin-Request-Id": "r1", **{name.replace("_", "-"): value for name, value in fields.items()}}
    connection.request(method, path, body, {name: value for name, value in named.items() if value})
    response = connection.getresponse()
    return response, response.read()


def test_a_request_is_run_signed_and_told_by_its_id(start):
    response, body = ask(start(), X_Dewpin_Target_Instance="i-1")
    assert response.status == 200 and body == b"i-1 did POST /a/b with 2 bytes\n"
    assert response.headers["X-Dewpin-Request-Id"] == "r1"
    assert response.headers["X-Dewpin-Response-Signature"]
    assert response.headers["X-Dewpin-Server-Load"] == "1,0,4"
    assert response.headers["X-Dewpin-Not-Executed"] is None


@pytest.mark.parametrize(
    "fields, status", [({"X_Dewpin_Target_Instance": "i-2"}, 421), ({"X_Dewpin_Request_Id": ""}, 400)]
)
def test_a_request_that_is_not_run_says_so(start, fields, status):
    receiver = start()
    response, _ = ask(receiver, **fields)
    assert response.status == status and response.headers["X-Dewpin-Not-Executed"]
    assert response.headers["X-Dewpin-Response-Signature"] is None
    assert not receiver.seen


def test_a_full_receiver_refuses_without_running(start):
    receiver = start(slots=1, most_waiting=0)
    assert receiver.slots.acquire(0.0) is Admission.RUNS
    response, _ = ask(receiver)
    assert response.status == 503 and response.headers["X-Dewpin-Not-Executed"] == "full"
    assert not receiver.seen
    receiver.slots.release()
    assert ask(receiver)[0].status == 200


def test_a_request_whose_time_ends_in_the_queue_is_refused(start):
    receiver = start(slots=1, most_waiting=1)
    receiver.slots.acquire(0.0)
    response, _ = ask(receiver, X_Dewpin_Request_Deadline="1")
    assert response.status == 503 and response.headers["X-Dewpin-Not-Executed"] == "too late"


def test_slots_are_handed_out_in_the_order_of_asking():
    slots = Slots(1, 2)
    order = []
    slots.acquire(0.0)

    def wait_for_slot(name):
        assert slots.acquire(5.0) is Admission.RUNS
        order.append(name)
        slots.release()

    waiting = []
    for number in (1, 2):
        waiting.append(threading.Thread(target=wait_for_slot, args=(number,)))
        waiting[-1].start()
        while slots.waiting < number:
            threading.Event().wait(0.001)
    assert slots.acquire(0.0) is Admission.FULL
    slots.release()
    for thread in waiting:
        thread.join(5.0)
    assert order == [1, 2] and slots.running == 0


def test_the_events_of_a_stream_rise_and_number_what_the_usage_allows(start):
    response, body = ask(start(stream=True, chunk_size=10), X_Dewpin_Token_Usage="1840,50")
    assert response.headers["Content-Type"] == "text/event-stream"
    assert [number for number, _ in parse_events(body)] == [1, 2, 3, 4, 5]


def test_a_stream_goes_on_from_an_event_at_any_receiver(start):
    whole = list(parse_events(ask(start(stream=True))[1]))
    rest = list(parse_events(ask(start(stream=True), Last_Event_Id="2")[1]))
    assert rest == whole[2:]


def test_a_held_stream_goes_on_when_released(start):
    receiver = start(stream=True)
    connection = http.client.HTTPConnection(*receiver.server.server_address, timeout=5.0)
    connection.request("POST", "/a", b"x", {"X-Dewpin-Request-Id": "r1", "Standin-Hold-After": "1"})
    response = connection.getresponse()
    assert response.readline() == b"id: 1\n"
    assert ask(receiver, "/standin/release")[0].status == 200
    assert [number for number, _ in parse_events(b"id: 1\n" + response.read())] == [1, 2, 3, 4]


def test_health_report_and_what_was_run(start):
    receiver = start()
    ask(receiver, body=b"kept\n")
    assert ask(receiver, "/health", "GET")[0].headers["X-Dewpin-Instance-Id"] == "i-1"
    assert json.loads(ask(receiver, "/dewpin/report", "GET")[1])["running"] == 0
    assert json.loads(ask(receiver, "/standin/requests", "GET")[1])[0]["body"] == "kept\n"
    ask(receiver, "/standin/drain")
    response, _ = ask(receiver, "/health", "GET")
    assert response.status == 503 and response.headers["Connection"] == "close"


@pytest.mark.parametrize("usage, count", [("1,40", 4), ("1,45", 4), ("1,3", 1), (None, 4)])
def test_how_many_events_a_usage_makes(usage, count):
    assert event_count(usage, 10) == count
    assert len(stream_words(b"", count)) == count
