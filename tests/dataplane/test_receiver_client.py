"""Calls to scripted receivers: the request sent, the classification of outcomes and the reuse of connections."""

import threading

import pytest
from dataplane.peers import (
    END,
    PATIENCE_S,
    DisconnectingClient,
    ScriptedReceiver,
    chunk,
    close,
    event,
    full_response,
    head,
    receivers,
    rejection,
    request,
    reset,
    stream,
)

from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.load_balancing.receiver_load import ServerLoad
from dewpin.dataplane.upstream.call import Call
from dewpin.dataplane.upstream.connection_pool import ConnectionPool
from dewpin.dataplane.upstream.outcome import Outcome
from dewpin.dataplane.upstream.receiver_client import CONNECT_SHARE_OF_TIME_LEFT


def test_request_arrives_unchanged_with_time_left_and_target_instance(call):
    peer = ScriptedReceiver(full_response())
    with receivers(peer) as (receiver,):
        result = call(
            receiver,
            ("X-Dewpin-Request-Deadline", "99999"),
            ("X-Dewpin-Target-Instance", "other"),
            ("Connection", "keep-alive, X-Hop"),
            ("X-Hop", "1"),
            ("Keep-Alive", "timeout=1"),
            ("Transfer-Encoding", "chunked"),
            ("Priority", "2"),
            ("X-Many", "a"),
            ("X-Many", "b"),
            method="PATCH",
            target="/a%2f../b//c;d?q=%7E&r=[x]",
            body=b"\x00body",
        )
    assert result.outcome is Outcome.SUCCESS
    (received,) = peer.requests
    assert received.line == "PATCH /a%2f../b//c;d?q=%7E&r=[x] HTTP/1.1"
    assert received.body == b"\x00body"
    deadline = received.headers.pop("x-dewpin-request-deadline")
    assert PATIENCE_S * 1000 - 1000 <= int(deadline) <= PATIENCE_S * 1000
    assert received.headers == {
        "host": "tier.example",
        "x-dewpin-request-id": "r-1",
        "content-length": "5",
        "priority": "2",
        "x-many": "a, b",
        "x-dewpin-target-instance": "i-1",
    }


def test_request_without_body_gets_no_body_headers(call):
    peer = ScriptedReceiver(full_response())
    with receivers(peer) as (receiver,):
        full = request(method="GET", body=b"")
        bare = type(full)(full.method, full.target, type(full.headers)(full.headers.fields[:2]), b"", 0.0)
        call.receiver_client.call(receiver, Call(bare, call.clock() + PATIENCE_S, True))
    assert set(peer.requests[0].headers) == {
        "host",
        "x-dewpin-request-id",
        "x-dewpin-request-deadline",
        "x-dewpin-target-instance",
    }


def test_complete_response_is_returned(call):
    with receivers(ScriptedReceiver(full_response(b"x" * 100_000, "201 Created", "X-Thing: a", "X-Thing: b"))) as (
        receiver,
    ):
        result = call(receiver)
    assert result.outcome is Outcome.SUCCESS
    assert (result.response.status, result.response.reason) == (201, "Created")
    assert result.response.body == b"x" * 100_000
    assert [value for name, value in result.response.headers if name == "X-Thing"] == ["a", "b"]


def test_chunked_body_is_returned(call):
    def respond(connection, received):
        connection.send(
            head(received, "200 OK", "Transfer-Encoding: chunked") + b"\r\n" + chunk(b"ab") + chunk(b"c") + END
        )

    with receivers(ScriptedReceiver(respond)) as (receiver,):
        assert call(receiver).response.body == b"abc"


def raw(data):
    def respond(connection, received):
        connection.send(data.replace(b"ID", received.id.encode()))
        return True

    return respond


SIGNED = b"X-Dewpin-Request-Id: ID\r\nX-Dewpin-Response-Signature: s\r\n"


@pytest.mark.parametrize(
    ("script", "outcome"),
    [
        (rejection(), Outcome.NOT_EXECUTED),
        (
            full_response(b"", "429 Too Many Requests", "X-Dewpin-Not-Executed: 1", signed=False),
            Outcome.NOT_EXECUTED,
        ),
        (full_response(b"", "421 Misdirected Request", signed=False), Outcome.NOT_EXECUTED),
        (full_response(b"", "500 Internal Server Error"), Outcome.ERROR),
        (full_response(b"", "503 Service Unavailable"), Outcome.ERROR),
        (full_response(b"", "429 Too Many Requests"), Outcome.ERROR),
        (full_response(b"", signed=False), Outcome.ERROR),
        (full_response(b"", "404 Not Found"), Outcome.SUCCESS),
        (full_response(b"", "404 Not Found", signed=False), Outcome.ERROR),
        (reset, Outcome.RESET),
        (close, Outcome.CLOSED),
        (raw(b"garbage that is no answer\r\n\r\n"), Outcome.MALFORMED),
        (raw(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n" + SIGNED + b"\r\nshort"), Outcome.CLOSED),
        (raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + SIGNED + b"\r\n5\r\nhe"), Outcome.CLOSED),
        (raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + SIGNED + b"\r\nzz\r\nhe"), Outcome.MALFORMED),
        (raw(b"HTTP/1.1 200 OK\r\n" + SIGNED + b"\r\nno length"), Outcome.SUCCESS),
        (raw(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + SIGNED.replace(b"ID", b"x") + b"\r\n"), Outcome.MALFORMED),
        (raw(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Dewpin-Response-Signature: s\r\n\r\n"), Outcome.MALFORMED),
        (
            raw(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nContent-Encoding: gzip\r\n" + SIGNED + b"\r\n"),
            Outcome.MALFORMED,
        ),
        (raw(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nX-Dewpin-Not-Executed: 1\r\n\r\n"), Outcome.NOT_EXECUTED),
    ],
)
def test_call_ending_is_classified(call, script, outcome):
    with receivers(ScriptedReceiver(script)) as (receiver,):
        assert call(receiver).outcome is outcome


def test_rejection_without_id_proves_nothing_on_reused_connection(call):
    rejection_without_id = raw(b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\nX-Dewpin-Not-Executed: 1\r\n\r\n")
    with receivers(ScriptedReceiver(full_response(), rejection_without_id)) as (receiver,):
        call(receiver)
        assert call(receiver).outcome is Outcome.MALFORMED
    assert call.metrics.rejections_without_id == 1


@pytest.mark.parametrize(("is_idempotent", "is_streaming"), [(True, False), (True, True), (False, True)])
@pytest.mark.parametrize(
    "started", [b"", b"HTTP/1.1 200 OK\r\nContent-", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfi"]
)
def test_call_ends_at_once_when_watched_client_disconnects(call, is_idempotent, is_streaming, started):
    started_call, ended = threading.Event(), threading.Event()

    def respond(connection, received):
        connection.send(started.replace(b"\r\n\r\n", f"\r\nX-Dewpin-Request-Id: {received.id}\r\n\r\n".encode()))
        started_call.set()
        if connection.wait_for_close():
            ended.set()

    client = DisconnectingClient()
    with receivers(ScriptedReceiver(respond)) as (receiver,):
        results = []
        options = {"is_idempotent": is_idempotent, "is_streaming": is_streaming, "client": client}
        calling = threading.Thread(target=lambda: results.append(call(receiver, **options)))
        calling.start()
        assert started_call.wait(PATIENCE_S)
        client.disconnect()
        assert ended.wait(PATIENCE_S)
        calling.join(PATIENCE_S)
    assert [result.outcome for result in results] == [Outcome.CLIENT_DISCONNECTED]


def test_non_idempotent_call_continues_to_its_response_when_client_disconnects(call):
    started_call, disconnected = threading.Event(), threading.Event()

    def respond(connection, received):
        started_call.set()
        assert disconnected.wait(PATIENCE_S)
        full_response()(connection, received)

    client = DisconnectingClient()
    with receivers(ScriptedReceiver(respond)) as (receiver,):
        results = []
        calling = threading.Thread(target=lambda: results.append(call(receiver, is_idempotent=False, client=client)))
        calling.start()
        assert started_call.wait(PATIENCE_S)
        client.disconnect()
        disconnected.set()
        calling.join(PATIENCE_S)
    assert [result.outcome for result in results] == [Outcome.SUCCESS]


@pytest.mark.parametrize("is_idempotent", [True, False])
def test_call_for_disconnected_client_sends_nothing(call, is_idempotent):
    peer = ScriptedReceiver(full_response())
    client = DisconnectingClient()
    client.disconnect()
    with receivers(peer) as (receiver,):
        assert call(receiver, is_idempotent=is_idempotent, client=client).outcome is Outcome.CLIENT_DISCONNECTED
    assert (peer.requests, call.metrics.connects) == ([], 0)


def test_nothing_is_sent_if_client_disconnects_during_connect(call, monkeypatch):
    peer = ScriptedReceiver(full_response())
    client = DisconnectingClient()
    connect = ConnectionPool.connect

    def disconnect_and_connect(pool, timeout_s):
        client.disconnect()
        return connect(pool, timeout_s)

    monkeypatch.setattr(ConnectionPool, "connect", disconnect_and_connect)
    with receivers(peer) as (receiver,):
        assert call(receiver, client=client).outcome is Outcome.CLIENT_DISCONNECTED
    assert peer.requests == []


def test_client_that_sends_more_is_not_disconnected(call):
    client = DisconnectingClient()
    client.client_end.send(b"GET / HTTP/1.1")
    with receivers(ScriptedReceiver(full_response())) as (receiver,):
        assert call(receiver, client=client).outcome is Outcome.SUCCESS


def test_call_without_response_times_out_at_deadline(call):
    def stay_silent(connection, received):
        connection.wait_for_close()

    with receivers(ScriptedReceiver(stay_silent)) as (receiver,):
        assert call(receiver, timeout_s=0.1).outcome is Outcome.TIMED_OUT


def test_refused_connect_is_not_sent(call):
    peer = ScriptedReceiver(full_response())
    peer.close()
    assert call(peer.receiver).outcome is Outcome.NOT_SENT
    assert call.metrics.connects == 1


def test_reported_load_and_retry_after_are_returned(call):
    fields = ("X-Dewpin-Server-Load: 3,1,8", "Retry-After: 0.25")
    with receivers(ScriptedReceiver(rejection(*fields))) as (receiver,):
        result = call(receiver)
    assert result.load == ServerLoad(3, 1, 8)
    assert result.retry_after_s == 0.25


def test_connection_is_reused(call):
    peer = ScriptedReceiver(full_response())
    with receivers(peer) as (receiver,):
        for _ in range(3):
            assert call(receiver).outcome is Outcome.SUCCESS
    assert (peer.connections, call.metrics.connects) == (1, 1)


@pytest.mark.parametrize(
    "first",
    [
        full_response(b"", "200 OK", "Connection: close"),
        full_response(b"", "200 OK", "Keep-Alive: timeout=0"),
        raw(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Dewpin-Request-Id: x\r\n\r\n"),
    ],
)
def test_closing_or_mismatched_connection_is_not_reused(call, first):
    peer = ScriptedReceiver(first, full_response())
    with receivers(peer) as (receiver,):
        call(receiver)
        assert call(receiver).outcome is Outcome.SUCCESS
    assert peer.connections == 2


def test_connection_with_unread_bytes_is_not_reused(call):
    sent = threading.Event()

    def respond_and_send_more(connection, received):
        full_response(b"done")(connection, received)
        assert read.wait(PATIENCE_S)
        connection.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
        sent.set()

    read = threading.Event()
    peer = ScriptedReceiver(respond_and_send_more, full_response())
    with receivers(peer) as (receiver,):
        call(receiver)
        read.set()
        assert sent.wait(PATIENCE_S)
        assert call(receiver).outcome is Outcome.SUCCESS
    assert peer.connections == 2


@pytest.mark.parametrize(
    ("fields", "is_idempotent", "idle_s", "used_again"),
    [
        (["Keep-Alive: timeout=5"], True, 4.7, True),
        (["Keep-Alive: timeout=5"], True, 4.9, False),
        (["Keep-Alive: timeout=5, max=100"], False, 1.9, True),
        (["Keep-Alive: timeout=5"], False, 2.1, False),
        (["Keep-Alive: timeout=2"], False, 1.5, True),
        (["Keep-Alive: timeout=2"], False, 1.6, False),
        ([], True, 0.4, True),
        ([], True, 0.6, False),
        ([], False, 0.3, True),
        ([], False, 0.45, False),
    ],
)
def test_connection_is_reused_within_idle_limit(call, fields, is_idempotent, idle_s, used_again):
    peer = ScriptedReceiver(full_response(b"", "200 OK", *fields))
    with receivers(peer) as (receiver,):
        call(receiver)
        call.clock.offset_s += idle_s
        call(receiver, is_idempotent=is_idempotent)
    assert peer.connections == (1 if used_again else 2)


def test_call_that_needs_new_connection_keeps_newer_idle_ones(call):
    barrier = threading.Barrier(2)

    def respond_together(connection, received):
        barrier.wait(PATIENCE_S)
        full_response(b"", "200 OK", "Keep-Alive: timeout=5")(connection, received)

    peer = ScriptedReceiver(respond_together, respond_together, full_response(b"", "200 OK", "Keep-Alive: timeout=5"))
    with receivers(peer) as (receiver,):
        threads = [threading.Thread(target=call, args=(receiver,)) for _ in range(2)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(PATIENCE_S)
        call.clock.offset_s += 4.3
        call(receiver, is_idempotent=False)
        pool = call.receiver_client._pool_of(receiver)
        assert peer.connections == 3
        assert len(pool._idle) == 2
        acquired = [pool.acquire_idle(is_idempotent=True) for _ in range(3)]
        assert acquired[2] is None
        for connection in acquired[:2]:
            connection.close()


def test_connections_to_removed_receivers_are_closed(call):
    connection_closed = threading.Event()

    def respond_and_watch(connection, received):
        full_response()(connection, received)
        if connection.wait_for_close():
            connection_closed.set()

    with receivers(ScriptedReceiver(respond_and_watch)) as (receiver,):
        call(receiver)
        call.receiver_client.retain_only([receiver])
        assert not connection_closed.is_set()
        call.receiver_client.retain_only([])
        assert connection_closed.wait(PATIENCE_S)


def test_other_receiver_at_same_address_gets_own_connections(call):
    peer = ScriptedReceiver(full_response())
    with receivers(peer) as (receiver,):
        call(receiver)
        other = Receiver("i-2", *[getattr(receiver, name) for name in receiver.__slots__[1:]])
        call(other)
    assert peer.connections == 2
    assert peer.requests[1].headers["x-dewpin-target-instance"] == "i-2"


def test_connect_takes_only_share_of_time_left(call, monkeypatch):
    timeouts_s = []

    def connect(pool, timeout_s):
        timeouts_s.append(timeout_s)
        raise TimeoutError

    monkeypatch.setattr(ConnectionPool, "connect", connect)
    assert call(Receiver("i-1", "s", "127.0.0.1:9", "here", 1, False, 0.0, "v1"), timeout_s=2.0).outcome is (
        Outcome.NOT_SENT
    )
    assert timeouts_s[0] <= 2.0 * CONNECT_SHARE_OF_TIME_LEFT


def test_error_of_streaming_call_has_complete_body(call):
    with receivers(ScriptedReceiver(full_response(b"no", "500 Internal Server Error"), stream(event(1)))) as (
        receiver,
    ):
        result = call(receiver, is_streaming=True)
        assert (result.outcome, result.stream, result.response.body) == (Outcome.ERROR, None, b"no")
