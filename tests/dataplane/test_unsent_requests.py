"""Requests that are not sent completely: failed connects, and connections that end before or during sending."""

import socket
import threading

import pytest
from dataplane.call_endings import (
    KINDS,
    LONG_BODY,
    RETRIED,
    UNKNOWN_EFFECT,
    SenderHarness,
    check_result,
    chunked,
    respond_and_keep_alive,
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
        result = SenderHarness(kind, [first.receiver, *listed]).send_request()
    check_result(kind, RETRIED, 200, result, second)


@pytest.mark.parametrize("kind", KINDS)
def test_connect_time_out_proves_no_effect(kind):
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    host, port = listener.getsockname()
    pending = [socket.socket() for _ in range(3)]
    for sock in pending:
        sock.setblocking(False)
        sock.connect_ex((host, port))
    unresponsive = Receiver("i-1", SERVICE, f"{host}:{port}", "here", 4, False, 0.0, "v1")
    second = second_receiver()
    with receivers(second) as listed:
        result = SenderHarness(kind, [unresponsive, *listed]).send_request(timeout_ms=2400)
    check_result(kind, RETRIED, 200, result, second)
    for sock in [listener, *pending]:
        sock.close()


@pytest.mark.parametrize("kind", KINDS)
def test_reset_before_request_is_sent_proves_no_effect(kind, monkeypatch):
    was_reset = threading.Event()
    connect = ConnectionPool.connect

    def reset_immediately(sock):
        PeerConnection(sock).reset()
        was_reset.set()

    def connect_and_wait(connections, timeout_s):
        connection = connect(connections, timeout_s)
        if connection.port == int(first.receiver.address.rpartition(":")[2]):
            assert was_reset.wait(PATIENCE_S)
        return connection

    first, second = RawReceiver(reset_immediately), second_receiver()
    monkeypatch.setattr(ConnectionPool, "connect", connect_and_wait)
    with receivers(first, second) as listed:
        result = SenderHarness(kind, listed).send_request()
    check_result(kind, RETRIED, 200, result, second)


@pytest.mark.parametrize("kind", KINDS)
def test_reused_connection_that_cannot_send_is_replaced(kind, monkeypatch):
    """The connection ends between the last check and sending; the call is repeated at the same receiver."""
    monkeypatch.setattr("dewpin.dataplane.upstream.receiver_connection.ReceiverConnection.is_connected", True)
    was_reset = threading.Event()

    def respond_and_reset_idle_connection(connection, received):
        connection.send(chunked(received))
        connection.wait_until_acknowledged()
        connection.reset()
        was_reset.set()
        return True

    first, second = (
        ScriptedReceiver(respond_and_reset_idle_connection, respond_and_keep_alive(chunked), id="i-1"),
        second_receiver(),
    )
    with receivers(first, second) as listed:
        sender = SenderHarness(kind, listed)
        sender.send_request()
        assert was_reset.wait(PATIENCE_S)
        assert sender.send_request() == (200, whole_body(kind), False)
    assert (len(first.requests), first.connections, second.requests) == (2, 2, [])


@pytest.mark.parametrize("kind", KINDS)
def test_reset_after_part_of_request_leaves_effect_unknown(kind):
    def read_head_and_reset(sock):
        read_head(sock)
        PeerConnection(sock).reset()

    first, second = RawReceiver(read_head_and_reset), second_receiver()
    with receivers(first, second) as listed:
        result = SenderHarness(kind, listed).send_request(LONG_BODY)
    check_result(kind, UNKNOWN_EFFECT[KINDS.index(kind)], 200, result, second)
