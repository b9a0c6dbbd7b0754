"""Requests that are not sent completely: failed connects, connections that end before or during sending."""

import socket
import threading

import pytest
from dataplane.call_endings import (
    KINDS,
    LONG_BODY,
    RETRIED,
    UNKNOWN_EFFECT,
    SenderHarness,
    check,
    chunked,
    respond_and_keep,
    second_receiver,
    whole_body,
)
from dataplane.peers import (
    PATIENCE_S,
    SERVICE,
    PeerConnection,
    RawReceiver,
    ScriptedReceiver,
    full_response,
    read_head,
    receivers,
)

from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.upstream.connection_pool import ConnectionPool


@pytest.mark.parametrize("kind", KINDS)
def test_refused_connect_proves_no_effect(kind):
    first, second = ScriptedReceiver(full_response(), id="i-1"), second_receiver()
    first.close()
    with receivers(second) as listed:
        given = SenderHarness(kind, [first.receiver, *listed]).send_request()
    check(kind, RETRIED, 200, given, second)


@pytest.mark.parametrize("kind", KINDS)
def test_connect_time_out_proves_no_effect(kind):
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    host, port = listener.getsockname()
    waiting = [socket.socket() for _ in range(3)]
    for sock in waiting:
        sock.setblocking(False)
        sock.connect_ex((host, port))
    hanging = Receiver("i-1", SERVICE, f"{host}:{port}", "here", 4, False, 0.0, "v1")
    second = second_receiver()
    with receivers(second) as listed:
        given = SenderHarness(kind, [hanging, *listed]).send_request(time_ms=2400)
    check(kind, RETRIED, 200, given, second)
    for sock in [listener, *waiting]:
        sock.close()


@pytest.mark.parametrize("kind", KINDS)
def test_reset_before_request_is_sent_proves_no_effect(kind, monkeypatch):
    gone = threading.Event()
    connect = ConnectionPool.connect

    def reset_at_once(sock):
        PeerConnection(sock).reset()
        gone.set()

    def connect_and_wait(connections, timeout_s):
        connection = connect(connections, timeout_s)
        if connection.port == int(first.receiver.address.rpartition(":")[2]):
            assert gone.wait(PATIENCE_S)
        return connection

    first, second = RawReceiver(reset_at_once), second_receiver()
    monkeypatch.setattr(ConnectionPool, "connect", connect_and_wait)
    with receivers(first, second) as listed:
        given = SenderHarness(kind, listed).send_request()
    check(kind, RETRIED, 200, given, second)


@pytest.mark.parametrize("kind", KINDS)
def test_reused_connection_that_cannot_send_is_replaced(kind, monkeypatch):
    """The connection ends between the last check and the sending: the call is made again at the same receiver."""
    monkeypatch.setattr("dewpin.dataplane.upstream.receiver_connection.ReceiverConnection.is_connected", True)
    gone = threading.Event()

    def respond_and_reset_at_rest(connection, got):
        connection.send(chunked(got))
        connection.wait_until_taken()
        connection.reset()
        gone.set()
        return True

    first, second = ScriptedReceiver(respond_and_reset_at_rest, respond_and_keep(chunked), id="i-1"), second_receiver()
    with receivers(first, second) as listed:
        sender = SenderHarness(kind, listed)
        sender.send_request()
        assert gone.wait(PATIENCE_S)
        assert sender.send_request() == (200, whole_body(kind), False)
    assert (len(first.requests), first.connections, second.requests) == (2, 2, [])


@pytest.mark.parametrize("kind", KINDS)
def test_reset_after_part_of_request_proves_nothing(kind):
    def read_some(sock):
        read_head(sock)
        PeerConnection(sock).reset()

    first, second = RawReceiver(read_some), second_receiver()
    with receivers(first, second) as listed:
        given = SenderHarness(kind, listed).send_request(LONG_BODY)
    check(kind, UNKNOWN_EFFECT[KINDS.index(kind)], 200, given, second)
