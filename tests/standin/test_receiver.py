"""A stand-in receiver over real connections: responses to executed and to rejected requests."""

import http.client
import json
import threading

import pytest

from dewpin.standin.client import parse_events
from dewpin.standin.event_stream import event_count, event_data
from dewpin.standin.receiver import ReceiverOptions, ReceiverServer
from dewpin.standin.slot_pool import AcquireResult, SlotPool


@pytest.fixture
def start_receiver():
    """Return a function that starts a receiver, which is stopped after the test."""
    started = []

    def start(**options):
        receiver = ReceiverServer(("127.0.0.1", 0), ReceiverOptions("i-1", "service", work_ms=0, event_ms=0, **options))
        receiver.start()
        started.append(receiver)
        return receiver

    yield start
    for receiver in started:
        receiver.hold_released.set()
        receiver.stop()


def send_request(receiver, path="/a/b", method="POST", body=b"x\n", **fields):
    connection = http.client.HTTPConnection(*receiver.server.server_address, timeout=5.0)
    headers = {"X-Dewpin-Request-Id": "r1", **{name.replace("_", "-"): value for name, value in fields.items()}}
    connection.request(method, path, body, {name: value for name, value in headers.items() if value})
    response = connection.getresponse()
    return response, response.read()


def test_response_to_an_executed_request_is_signed_and_has_its_id(start_receiver):
    response, body = send_request(start_receiver(), X_Dewpin_Target_Instance="i-1")
    assert response.status == 200 and body == b"i-1 did POST /a/b with 2 bytes\n"
    assert response.headers["X-Dewpin-Request-Id"] == "r1"
    assert response.headers["X-Dewpin-Response-Signature"]
    assert response.headers["X-Dewpin-Server-Load"] == "1,0,4"
    assert response.headers["X-Dewpin-Not-Executed"] is None


@pytest.mark.parametrize(
    "fields, status", [({"X_Dewpin_Target_Instance": "i-2"}, 421), ({"X_Dewpin_Request_Id": ""}, 400)]
)
def test_response_to_a_rejected_request_has_the_not_executed_field(start_receiver, fields, status):
    receiver = start_receiver()
    response, _ = send_request(receiver, **fields)
    assert response.status == status and response.headers["X-Dewpin-Not-Executed"]
    assert response.headers["X-Dewpin-Response-Signature"] is None
    assert not receiver.executed_requests


def test_full_receiver_rejects_requests_without_executing_them(start_receiver):
    receiver = start_receiver(slots=1, max_waiting=0)
    assert receiver.slots.acquire(0.0) is AcquireResult.ACQUIRED
    response, _ = send_request(receiver)
    assert response.status == 503 and response.headers["X-Dewpin-Not-Executed"] == "full"
    assert not receiver.executed_requests
    receiver.slots.release()
    assert send_request(receiver)[0].status == 200


def test_request_whose_deadline_passes_while_it_waits_is_rejected(start_receiver):
    receiver = start_receiver(slots=1, max_waiting=1)
    receiver.slots.acquire(0.0)
    response, _ = send_request(receiver, X_Dewpin_Request_Deadline="1")
    assert response.status == 503 and response.headers["X-Dewpin-Not-Executed"] == "too late"


def test_slots_are_granted_in_the_order_of_requests():
    slots = SlotPool(1, 2)
    order = []
    slots.acquire(0.0)

    def wait_for_slot(name):
        assert slots.acquire(5.0) is AcquireResult.ACQUIRED
        order.append(name)
        slots.release()

    waiting = []
    for number in (1, 2):
        waiting.append(threading.Thread(target=wait_for_slot, args=(number,)))
        waiting[-1].start()
        while slots.waiting < number:
            threading.Event().wait(0.001)
    assert slots.acquire(0.0) is AcquireResult.FULL
    slots.release()
    for thread in waiting:
        thread.join(5.0)
    assert order == [1, 2] and slots.running == 0


def test_stream_has_increasing_ids_and_the_number_of_events_of_its_token_usage(start_receiver):
    response, body = send_request(start_receiver(is_streaming=True, chunk_size=10), X_Dewpin_Token_Usage="1840,50")
    assert response.headers["Content-Type"] == "text/event-stream"
    assert [number for number, _ in parse_events(body)] == [1, 2, 3, 4, 5]


def test_another_receiver_resumes_a_stream_after_an_event(start_receiver):
    complete = list(parse_events(send_request(start_receiver(is_streaming=True))[1]))
    resumed = list(parse_events(send_request(start_receiver(is_streaming=True), Last_Event_Id="2")[1]))
    assert resumed == complete[2:]


def test_paused_stream_continues_when_released(start_receiver):
    receiver = start_receiver(is_streaming=True)
    connection = http.client.HTTPConnection(*receiver.server.server_address, timeout=5.0)
    connection.request("POST", "/a", b"x", {"X-Dewpin-Request-Id": "r1", "Standin-Hold-After": "1"})
    response = connection.getresponse()
    assert response.readline() == b"id: 1\n"
    assert send_request(receiver, "/standin/release")[0].status == 200
    assert [number for number, _ in parse_events(b"id: 1\n" + response.read())] == [1, 2, 3, 4]


def test_health_report_and_executed_requests(start_receiver):
    receiver = start_receiver()
    send_request(receiver, body=b"kept\n")
    assert send_request(receiver, "/health", "GET")[0].headers["X-Dewpin-Instance-Id"] == "i-1"
    assert json.loads(send_request(receiver, "/dewpin/report", "GET")[1])["running"] == 0
    assert json.loads(send_request(receiver, "/standin/requests", "GET")[1])[0]["body"] == "kept\n"
    send_request(receiver, "/standin/drain")
    response, _ = send_request(receiver, "/health", "GET")
    assert response.status == 503 and response.headers["Connection"] == "close"


@pytest.mark.parametrize("usage, count", [("1,40", 4), ("1,45", 4), ("1,3", 1), (None, 4)])
def test_event_count_for_a_token_usage(usage, count):
    assert event_count(usage, 10) == count
    assert len(event_data(b"", count)) == count
