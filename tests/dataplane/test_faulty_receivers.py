"""Receivers that reset, reject, truncate responses and send extra bytes: the guarantees to clients still hold."""

import random
import threading
from collections import Counter

import pytest
from dataplane.ingress_harness import RawClient
from dataplane.peers import (
    END,
    HOST,
    PATIENCE_S,
    SERVICE,
    STREAM_FIELDS,
    MemoryStore,
    ScriptedReceiver,
    chunk,
    configuration,
    head,
    receivers,
)

from dewpin.dataplane.ingress.server import IngressServer
from dewpin.dataplane.membership.cluster_state import ClusterState
from dewpin.dataplane.routing.request_handler import RequestHandler

CLIENTS = 6
REQUESTS = 40
EVENTS = 4
NOT_EXECUTED_STATUSES = {408, 421, 429, 503}


class FaultyReceiver:
    """A receiver with seeded random faults that records which requests it executed."""

    def __init__(self, id, seed, kind):
        self._random = random.Random(f"{seed}/{id}")
        self._lock = threading.Lock()
        self._kind = kind
        self.executed = Counter()
        self.scripted = ScriptedReceiver(self._respond, id=id, capacity=8)

    def _respond(self, connection, request):
        with self._lock:
            fault = self._random.random()
            cut_position = self._random.random()
        if fault < 0.15:
            connection.send(head(request, "503 Full", "X-Dewpin-Not-Executed: 1", "Content-Length: 0") + b"\r\n")
            return False
        if fault < 0.2:
            connection.reset()
            return True
        self.executed[request.id] += 1
        response = self._complete_response(request)
        if fault < 0.3:
            connection.send(response[: int(len(response) * cut_position)])
            return True
        if fault < 0.35:
            connection.send(response[: int(len(response) * cut_position)])
            connection.reset()
            return True
        if fault < 0.4:
            connection.send(b"bytes that are no answer\r\n\r\n")
            return True
        if fault < 0.45:
            connection.send(response + response)
            return False
        if fault < 0.5:
            connection.send(response + b"too much")
            return False
        if fault < 0.55:
            connection.send(head(request, "500 Internal Server Error", "Content-Length: 2") + b"\r\nno")
            return False
        connection.send(response)
        return False

    def _complete_response(self, request):
        if self._kind != "stream":
            return head(request, "200 OK", "Content-Length: 64") + b"\r\n" + request.id.encode().ljust(64)
        first = int(request.headers.get("last-event-id", "0")) + 1
        events = b"".join(chunk(event_of(request.id, number)) for number in range(first, EVENTS + 1))
        return head(request, "200 OK", *STREAM_FIELDS) + b"\r\n" + events + END


def event_of(request_id, number):
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()


class SequentialClient(threading.Thread):
    """Sends requests sequentially, reuses its connection as long as possible and records the responses."""

    def __init__(self, address, name):
        super().__init__(daemon=True)
        self._address = address
        self._name = name
        self._connection = None
        self.responses = {}

    def run(self):
        for number in range(REQUESTS):
            request_id = f"{self._name}-{number}"
            try:
                self.responses[request_id] = self._send(request_id)
            except (OSError, EOFError):
                self.responses[request_id] = (0, {}, b"")
                self._connection = None

    def _send(self, request_id):
        if self._connection is None:
            self._connection = RawClient(self._address)
        lines = [f"POST /work/{request_id} HTTP/1.1", f"Host: {HOST}", f"X-Dewpin-Request-Id: {request_id}"]
        self._connection.send(*lines, "Content-Length: 2", "X-Dewpin-Request-Deadline: 5000", body=b"hi")
        return self._connection.read("POST")


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize(
    ("kind", "resumable"), [("idempotent", False), ("non_idempotent", False), ("stream", False), ("stream", True)]
)
def test_guarantees_hold_with_faulty_receivers(kind, resumable, seed, monkeypatch):
    monkeypatch.setattr("dewpin.dataplane.routing.retry.OTHER_RECEIVER_BACKOFF_S", 0.0)
    monkeypatch.setattr("dewpin.dataplane.routing.retry.SAME_RECEIVER_BACKOFF_S", 0.001)
    monkeypatch.setattr("dewpin.dataplane.load_balancing.receiver_load.INITIAL_UNREACHABLE_BACKOFF_S", 0.001)
    faulty = [FaultyReceiver(f"i-{number}", seed, kind) for number in range(3)]
    with receivers(*(receiver.scripted for receiver in faulty)) as listed:
        config = configuration(kind=kind, retries=3, resumable=resumable, target_ms=500)
        state = ClusterState(config, {SERVICE: tuple(listed)})
        handler = RequestHandler(state, MemoryStore(), "here", randomness=random.Random(seed))
        ingress = IngressServer(state, handler.handle, accept_poll_s=0.01)
        ingress.start(("127.0.0.1", 0))
        clients = [SequentialClient(ingress.address, f"c{number}") for number in range(CLIENTS)]
        for client in clients:
            client.start()
        for client in clients:
            client.join(PATIENCE_S * 3)
        assert ingress.stop(PATIENCE_S)
        handler.close()

    responses = {request_id: response for client in clients for request_id, response in client.responses.items()}
    assert len(responses) == CLIENTS * REQUESTS
    executed = sum((receiver.executed for receiver in faulty), Counter())
    is_idempotent = kind == "idempotent" or resumable
    for request_id, (status, headers, body) in responses.items():
        check_response(request_id, status, headers, body, kind)
        if status in NOT_EXECUTED_STATUSES:
            assert executed[request_id] == 0
        if not is_idempotent:
            assert executed[request_id] <= 1
    successful = sum(status == 200 for status, _, _ in responses.values())
    assert successful > len(responses) * (0.7 if is_idempotent else 0.4)


def check_response(request_id, status, headers, body, kind):
    if status == 200:
        assert headers["x-dewpin-response-signature"] == f"signed-{request_id}"
        if kind == "stream":
            assert body == b"".join(event_of(request_id, number) for number in range(1, EVENTS + 1))
        else:
            assert body == request_id.encode().ljust(64)
    elif "x-dewpin-response-signature" in headers:
        assert status == 500
    else:
        assert status in (0, 502, 503, 504)
