"""Clients that disconnect: their calls in progress are aborted, and nothing more is sent for them."""

import socket
import threading
import time

import pytest
from dataplane.peers import (
    PATIENCE_S,
    STREAM_FIELDS,
    DisconnectingClient,
    ScriptedReceiver,
    chunk,
    full_response,
    head,
    receivers,
    request,
    reset,
)
from dataplane.request_handler_harness import RequestHandlerHarness, read

from dewpin.dataplane.ingress.client_connection import ClientConnection
from dewpin.dataplane.upstream.call import Call

LONG_MS = 10 * PATIENCE_S * 1000
"""Longer than any test waits: what ends sooner ended because the client disconnected."""


@pytest.fixture
def client():
    leaving = DisconnectingClient()
    yield leaving
    leaving.ours.close()


class Work:
    """A script that begins a response, then records whether the caller closes the connection."""

    def __init__(self, begin):
        self._begin = begin
        self.started = threading.Event()
        self.ended = False

    def __call__(self, connection, got):
        self._begin(connection, got)
        self.started.set()
        self.ended = connection.wait_for_close()
        return True


def nothing(connection, got):
    """Stay silent."""


def half_a_head(connection, got):
    connection.send(head(got, "200 OK", "Content-Length: 9")[:-4])


def half_a_body(connection, got):
    connection.send(head(got, "200 OK", "Content-Length: 9") + b"\r\nhalf")


def half_of_the_chunks(connection, got):
    connection.send(head(got, "200 OK", *STREAM_FIELDS) + b"\r\n" + chunk(b"half"))


@pytest.mark.parametrize("begin", [nothing, half_a_head, half_a_body, half_of_the_chunks])
def test_idempotent_call_is_aborted_when_client_disconnects(begin, client):
    work = Work(begin)
    peer = ScriptedReceiver(work)
    with receivers(peer) as listed:
        harness = RequestHandlerHarness(listed, kind="idempotent", retries=3, timeout_ms=LONG_MS)
        serving = threading.Thread(target=lambda: harness(client=client))
        serving.start()
        assert work.started.wait(PATIENCE_S)
        client.disconnect()
        serving.join(PATIENCE_S)
        assert not serving.is_alive()
    assert len(peer.requests) == 1


@pytest.mark.parametrize("begin", [nothing, half_a_body])
def test_non_idempotent_call_continues_when_client_disconnects(begin, client):
    started, go_on = threading.Event(), threading.Event()

    def work(connection, got):
        begin(connection, got)
        started.set()
        assert go_on.wait(PATIENCE_S)
        connection.send(b" done" if begin is half_a_body else head(got, "200 OK", "Content-Length: 4") + b"\r\ndone")

    responses = []
    with receivers(ScriptedReceiver(work)) as listed:
        harness = RequestHandlerHarness(listed, kind="non_idempotent")
        serving = threading.Thread(target=lambda: responses.append(harness(client=client)))
        serving.start()
        assert started.wait(PATIENCE_S)
        client.disconnect()
        go_on.set()
        serving.join(PATIENCE_S)
    assert [response.status for response in responses] == [200]


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "stream"])
def test_request_of_disconnected_client_is_not_sent(kind, client):
    peer = ScriptedReceiver(full_response())
    client.disconnect()
    with receivers(peer) as listed:
        harness = RequestHandlerHarness(listed, kind=kind)
        assert harness(client=client).status == 503
    assert peer.requests == []
    assert harness.handler.metrics.attempts == 0


def test_client_that_disconnects_during_backoff_gets_no_retry(client):
    peers = [ScriptedReceiver(reset, id=name) for name in ("i-1", "i-2")]
    with receivers(*peers) as listed:
        harness = RequestHandlerHarness(listed, kind="idempotent", retries=3)
        shared = harness.handler._shared
        harness.handler._shared = type(shared)(
            shared.balancer,
            shared.receiver_client,
            shared.clock,
            lambda seconds: client.disconnect(),
            shared.randomness,
            shared.metrics,
        )
        assert harness(client=client).status == 502
    assert sum(len(peer.requests) for peer in peers) == 1


MOST_CALLS = 4
"""The calls that a receiver with one slot gets from a route with a long latency target."""


def test_client_that_disconnects_while_request_is_queued_ends_the_wait(client):
    started, go_on = threading.Semaphore(0), threading.Event()

    def hold(connection, got):
        started.release()
        assert go_on.wait(PATIENCE_S)
        full_response()(connection, got)

    peer = ScriptedReceiver(hold, capacity=1)
    with receivers(peer) as listed:
        harness = RequestHandlerHarness(listed, target_ms=LONG_MS, timeout_ms=LONG_MS)
        serving = [threading.Thread(target=harness) for _ in range(MOST_CALLS)]
        for each in serving:
            each.start()
            assert started.acquire(timeout=PATIENCE_S)
        waiting = threading.Thread(target=lambda: harness(client=client))
        waiting.start()
        client.disconnect()
        waiting.join(PATIENCE_S)
        gave_up = not waiting.is_alive()
        go_on.set()
        for each in [*serving, waiting]:
            each.join(PATIENCE_S)
    assert gave_up
    assert len(peer.requests) == MOST_CALLS


def test_connection_established_after_client_disconnected_carries_nothing(client):
    peer = ScriptedReceiver(full_response())
    with receivers(peer) as (receiver,):
        harness = RequestHandlerHarness([receiver], kind="idempotent")
        receiver_client = harness.handler._shared.receiver_client
        asked = request(now=harness._clock(), client=client)
        connections = receiver_client._pool_of(receiver)
        connect = connections.connect
        connections.connect = lambda timeout_s: (connect(timeout_s), client.disconnect())[0]
        receiver_client.call(receiver, Call(asked, harness._clock() + PATIENCE_S, is_idempotent=True))
    assert peer.requests == []


class ConnectionPair:
    """Both ends of a client's connection to the ingress server."""

    def __init__(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.theirs = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
        listener.close()
        self.ours = ClientConnection(ours, 0, time.monotonic)


@pytest.fixture
def connection():
    made = ConnectionPair()
    yield made
    made.theirs.close()
    made.ours.close()


def test_pipelining_client_is_not_disconnected(connection):
    assert not connection.ours.has_disconnected()
    connection.theirs.sendall(b"GET /next HTTP/1.1\r\n")
    assert not connection.ours.has_disconnected()


@pytest.mark.parametrize("sent", [b"", b"GET /next HTTP/1.1\r\n"])
def test_client_that_closed_is_disconnected_even_with_unread_bytes(connection, sent):
    connection.theirs.sendall(sent)
    connection.theirs.close()
    assert connection.ours.has_disconnected()


def test_call_continues_for_pipelining_client(connection):
    started, go_on = threading.Event(), threading.Event()

    def respond(receiving, got):
        started.set()
        assert go_on.wait(PATIENCE_S)
        full_response(b"done")(receiving, got)

    responses = []
    connection.theirs.sendall(b"GET /next HTTP/1.1\r\n\r\n")
    with receivers(ScriptedReceiver(respond)) as listed:
        harness = RequestHandlerHarness(listed, kind="idempotent")
        serving = threading.Thread(target=lambda: responses.append(harness(client=connection.ours)))
        serving.start()
        assert started.wait(PATIENCE_S)
        go_on.set()
        serving.join(PATIENCE_S)
    assert [(respond.status, respond.body) for respond in responses] == [(200, b"done")]


@pytest.mark.parametrize("sent", [b"", b"GET /next HTTP/1.1\r\n\r\n"])
def test_call_is_aborted_when_client_disconnects_even_with_unread_bytes(connection, sent):
    work = Work(nothing)
    with receivers(ScriptedReceiver(work)) as listed:
        harness = RequestHandlerHarness(listed, kind="idempotent", timeout_ms=LONG_MS)
        connection.theirs.sendall(sent)
        serving = threading.Thread(target=lambda: harness(client=connection.ours))
        serving.start()
        assert work.started.wait(PATIENCE_S)
        connection.theirs.close()
        serving.join(PATIENCE_S)
        assert not serving.is_alive()


def test_half_closed_client_gets_response_without_promise(connection):
    """It cannot be told apart from a client that closed, so its call is aborted; the response it gets is true."""
    work = Work(nothing)
    responses = []
    with receivers(ScriptedReceiver(work)) as listed:
        harness = RequestHandlerHarness(listed, kind="idempotent", timeout_ms=LONG_MS)
        serving = threading.Thread(target=lambda: responses.append(harness(client=connection.ours)))
        serving.start()
        assert work.started.wait(PATIENCE_S)
        connection.theirs.shutdown(socket.SHUT_WR)
        serving.join(PATIENCE_S)
    assert [response.status for response in responses] == [502]


def test_stream_is_aborted_when_pipelining_client_disconnects(connection):
    work = Work(half_of_the_chunks)
    connection.theirs.sendall(b"GET /next HTTP/1.1\r\n\r\n")
    with receivers(ScriptedReceiver(work)) as listed:
        harness = RequestHandlerHarness(listed, kind="stream", timeout_ms=LONG_MS)
        serving = threading.Thread(target=lambda: read(harness(client=connection.ours)))
        serving.start()
        assert work.started.wait(PATIENCE_S)
        connection.theirs.close()
        serving.join(PATIENCE_S)
        assert not serving.is_alive()
