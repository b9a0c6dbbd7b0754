"""Receivers that send bytes without end, or nothing, until their caller closes the connection."""

import contextlib
import http.client
import time

import pytest
from crowds.behaviours import length_head
from crowds.crowd import Crowd
from crowds.process_monitor import ProcessMonitor
from crowds.small_tier import PORTS, check_process

from dewpin.cluster.rpc import split_address
from dewpin.standin.client import ClientRequest
from dewpin.standin.endless_response import EndlessForm
from dewpin.standin.protocol import FAULT_PATH, REQUESTS_PATH
from dewpin.standin.sample_configuration import HOST, PLAIN_PATH, PLAIN_SERVICE, STREAM_PATH, STREAM_SERVICE

pytestmark = pytest.mark.crowd

CALLERS = 24
WARM_UP_S = 3.0
ORDINARY_REQUESTS = 20
MAX_FAILURES = 2
"""How often an ordinary request may fail: once while the fault is noticed, and once as a probe of the receiver."""
CALL_TIMEOUT_S = 10.0
PATHS = (PLAIN_PATH, STREAM_PATH)


def call_receiver(entry, path, body=None):
    """Call an address of a stand-in receiver that only tests use; return the body of its response."""
    connection = http.client.HTTPConnection(*split_address(entry["address"]), timeout=CALL_TIMEOUT_S)
    with contextlib.closing(connection):
        connection.request("GET" if body is None else "POST", path, body)
        response = connection.getresponse()
        assert response.status == http.client.OK
        return response.read()


def set_fault(entries, form, status):
    for entry in entries:
        call_receiver(entry, FAULT_PATH, f"{form.value} {status}".encode())


def repair(entries):
    for entry in entries:
        call_receiver(entry, FAULT_PATH, b"")


async def request_plain(connection):
    await connection.send(length_head(0, "Connection: close", path=PLAIN_PATH))
    await connection.read_to_end()


async def request_stream(connection):
    fields = ("Connection: close", "X-Dewpin-Token-Usage: 1,20")
    await connection.send(length_head(0, *fields, path=STREAM_PATH))
    await connection.read_to_end()


def ordinary_request(path):
    return ClientRequest(HOST, f"{path}ordinary", b"ordinary", fields={"X-Dewpin-Token-Usage": "1,20"})


def check_ordinary_requests(small_tier, paths):
    """Send requests in turn at each path; each must be served, if its client repeats it MAX_FAILURES times at most."""
    for _ in range(ORDINARY_REQUESTS):
        for path in paths:
            small_tier.serve(ordinary_request(path), MAX_FAILURES)


def play(small_tier, faulty, form, status, served_paths=PATHS):
    """Let receivers be faulty, without other callers, then beside many; check the sender during the fault and after."""
    sender = small_tier.sender
    with ProcessMonitor(sender.process.pid, PORTS) as monitor:
        set_fault(faulty, form, status)
        check_ordinary_requests(small_tier, served_paths)
        with (
            Crowd(sender.client_address, CALLERS // 2, request_plain) as plain,
            Crowd(sender.client_address, CALLERS // 2, request_stream) as streams,
        ):
            time.sleep(WARM_UP_S)
            check_ordinary_requests(small_tier, served_paths)
        print(f"answers to the callers: plain {dict(plain.answers)}, streams {dict(streams.answers)}")
        repair(faulty)
        check_ordinary_requests(small_tier, PATHS)
    check_process(sender, monitor)


@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize("form", EndlessForm, ids=lambda form: form.value)
def test_one_receiver_of_each_service_responds_without_end(small_tier, form, status):
    tier = small_tier.tier
    faulty = [tier.receivers_of(service)[0] for service in (PLAIN_SERVICE, STREAM_SERVICE)]
    play(small_tier, faulty, form, status)


@pytest.mark.parametrize("status", [200, 500])
@pytest.mark.parametrize("form", EndlessForm, ids=lambda form: form.value)
def test_all_receivers_of_a_service_respond_without_end(small_tier, form, status):
    """Callers of the other service are served meanwhile."""
    play(small_tier, small_tier.tier.receivers_of(STREAM_SERVICE), form, status, served_paths=[PLAIN_PATH])


def test_repaired_receiver_gets_requests_again(small_tier):
    faulty = small_tier.tier.receivers_of(PLAIN_SERVICE)[0]
    play(small_tier, [faulty], EndlessForm.DECLARED_LENGTH, 200)
    seen = len(call_receiver(faulty, REQUESTS_PATH))
    ends_s = time.monotonic() + CALL_TIMEOUT_S
    while len(call_receiver(faulty, REQUESTS_PATH)) == seen and time.monotonic() < ends_s:
        small_tier.serve(ordinary_request(PLAIN_PATH))
    assert len(call_receiver(faulty, REQUESTS_PATH)) > seen
