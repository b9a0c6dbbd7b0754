"""Clients that close their connection: what is under way for them ends, and nothing more is sent."""

import socket
import threading
import time

import pytest
from dataplane.peers import (
    PATIENCE_S,
    STREAM_FIELDS,
    LeavingClient,
    ScriptedReceiver,
    chunk,
    head,
    receivers,
    request,
    reset,
    whole,
)
from dataplane.request_handler_harness import Path, read

from dewpin.dataplane.ingress.client_connection import ClientConnection
from dewpin.dataplane.upstream.call import Call

LONG_MS = 10 * PATIENCE_S * 1000
"""A time that no test waits for: what ends sooner has ended by the client's leaving."""


@pytest.fixture
def client():
    leaving = LeavingClient()
    yield leaving
    leaving.ours.close()


class Work:
    """A script that begins to answer, tells so, and notes when the caller closes the connection."""

    def __init__(self, begin):
        self._begin = begin
        self.begun = threading.Event()
        self.ended = False

    def __call__(self, connection, got):
        self._begin(connection, got)
        self.begun.set()
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
        path = Path(listed, kind="idempotent", retries=3, timeout_ms=LONG_MS)
        serving = threading.Thread(target=lambda: path(client=client))
        serving.start()
        assert work.begun.wait(PATIENCE_S)
        client.leave()
        serving.join(PATIENCE_S)
        assert not serving.is_alive()
    assert len(peer.requests) == 1


@pytest.mark.parametrize("begin", [nothing, half_a_body])
def test_non_idempotent_call_continues_when_client_disconnects(begin, client):
    begun, go_on = threading.Event(), threading.Event()

    def work(connection, got):
        begin(connection, got)
        begun.set()
        assert go_on.wait(PATIENCE_S)
        connection.send(b" done" if begin is half_a_body else head(got, "200 OK", "Content-Length: 4") + b"\r\ndone")

    answers = []
    with receivers(ScriptedReceiver(work)) as listed:
        path = Path(listed, kind="non_idempotent")
        serving = threading.Thread(target=lambda: answers.append(path(client=client)))
        serving.start()
        assert begun.wait(PATIENCE_S)
        client.leave()
        go_on.set()
        serving.join(PATIENCE_S)
    assert [answer.status for answer in answers] == [200]


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "stream"])
def test_request_of_disconnected_client_is_not_sent(kind, client):
    peer = ScriptedReceiver(whole())
    client.leave()
    with receivers(peer) as listed:
        path = Path(listed, kind=kind)
        assert path(client=client).status == 503
    assert peer.requests == []
    assert path.path.metrics.attempts == 0


def test_client_that_disconnects_during_backoff_gets_no_retry(client):
    peers = [ScriptedReceiver(reset, id=name) for name in ("i-1", "i-2")]
    with receivers(*peers) as listed:
        path = Path(listed, kind="idempotent", retries=3)
        tools = path.path._shared
        path.path._shared = type(tools)(
            tools.balancer,
            tools.receiver_client,
            tools.clock,
            lambda seconds: client.leave(),
            tools.randomness,
            tools.metrics,
        )
        assert path(client=client).status == 502
    assert sum(len(peer.requests) for peer in peers) == 1


MOST_CALLS = 4
"""The calls that a receiver with one slot is given by a patient route."""


def test_client_that_disconnects_while_request_is_queued_ends_the_wait(client):
    begun, go_on = threading.Semaphore(0), threading.Event()

    def hold(connection, got):
        begun.release()
        assert go_on.wait(PATIENCE_S)
        whole()(connection, got)

    peer = ScriptedReceiver(hold, capacity=1)
    with receivers(peer) as listed:
        path = Path(listed, target_ms=LONG_MS, timeout_ms=LONG_MS)
        serving = [threading.Thread(target=path) for _ in range(MOST_CALLS)]
        for each in serving:
            each.start()
            assert begun.acquire(timeout=PATIENCE_S)
        waiting = threading.Thread(target=lambda: path(client=client))
        waiting.start()
        client.leave()
        waiting.join(PATIENCE_S)
        gave_up = not waiting.is_alive()
        go_on.set()
        for each in [*serving, waiting]:
            each.join(PATIENCE_S)
    assert gave_up
    assert len(peer.requests) == MOST_CALLS


def test_connection_established_after_client_disconnected_carries_nothing(client):
    peer = ScriptedReceiver(whole())
    with receivers(peer) as (receiver,):
        path = Path([receiver], kind="idempotent")
        receiver_client = path.path._shared.receiver_client
        asked = request(now=path._clock(), client=client)
        connections = receiver_client._pool_of(receiver)
        connect = connections.connect
        connections.connect = lambda timeout_s: (connect(timeout_s), client.leave())[0]
        receiver_client.call(receiver, Call(asked, path._clock() + PATIENCE_S, is_idempotent=True))
    assert peer.requests == []


class Connection:
    """A client's connection as the ingress has it."""

    def __init__(self):
        listener = socket.create_server(("127.0.0.1", 0))
        self.theirs = socket.create_connection(listener.getsockname())
        ours, _ = listener.accept()
        listener.close()
        self.ours = ClientConnection(ours, 0, time.monotonic)


@pytest.fixture
def connection():
    made = Connection()
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
    begun, go_on = threading.Event(), threading.Event()

    def answer(receiving, got):
        begun.set()
        assert go_on.wait(PATIENCE_S)
        whole(b"done")(receiving, got)

    answers = []
    connection.theirs.sendall(b"GET /next HTTP/1.1\r\n\r\n")
    with receivers(ScriptedReceiver(answer)) as listed:
        path = Path(listed, kind="idempotent")
        serving = threading.Thread(target=lambda: answers.append(path(client=connection.ours)))
        serving.start()
        assert begun.wait(PATIENCE_S)
        go_on.set()
        serving.join(PATIENCE_S)
    assert [(answer.status, answer.body) for answer in answers] == [(200, b"done")]


@pytest.mark.parametrize("sent", [b"", b"GET /next HTTP/1.1\r\n\r\n"])
def test_call_is_aborted_when_client_disconnects_even_with_unread_bytes(connection, sent):
    work = Work(nothing)
    with receivers(ScriptedReceiver(work)) as listed:
        path = Path(listed, kind="idempotent", timeout_ms=LONG_MS)
        connection.theirs.sendall(sent)
        serving = threading.Thread(target=lambda: path(client=connection.ours))
        serving.start()
        assert work.begun.wait(PATIENCE_S)
        connection.theirs.close()
        serving.join(PATIENCE_S)
        assert not serving.is_alive()


def test_half_closed_client_gets_response_without_promise(connection):
    """Nothing tells it apart from one that closed, so its call ends; it gets an answer that is true."""
    work = Work(nothing)
    answers = []
    with receivers(ScriptedReceiver(work)) as listed:
        path = Path(listed, kind="idempotent", timeout_ms=LONG_MS)
        serving = threading.Thread(target=lambda: answers.append(path(client=connection.ours)))
        serving.start()
        assert work.begun.wait(PATIENCE_S)
        connection.theirs.shutdown(socket.SHUT_WR)
        serving.join(PATIENCE_S)
    assert [answer.status for answer in answers] == [502]


def test_stream_is_aborted_when_pipelining_client_disconnects(connection):
    work = Work(half_of_the_chunks)
    connection.theirs.sendall(b"GET /next HTTP/1.1\r\n\r\n")
    with receivers(ScriptedReceiver(work)) as listed:
        path = Path(listed, kind="stream", timeout_ms=LONG_MS)
        serving = threading.Thread(target=lambda: read(path(client=connection.ours)))
        serving.start()
        assert work.begun.wait(PATIENCE_S)
        connection.theirs.close()
        serving.join(PATIENCE_S)
        assert not serving.is_alive()
