"""Responses that arrive before the request is sent or read completely."""

import contextlib
import threading

import pytest
from dataplane.call_endings import (
    COMPLETE,
    CONTINUE,
    FORWARDED,
    INCOMPLETE_BODY,
    KINDS,
    LONG_BODY,
    NO_EFFECT,
    RECEIVER_ERROR,
    SHORT_TIMEOUT_MS,
    SenderHarness,
    check_result,
    close_delimited,
    early_rejection,
    length_delimited,
    second_receiver,
)
from dataplane.peers import (
    PATIENCE_S,
    PeerConnection,
    RawReceiver,
    head,
    read_head,
    receivers,
)

EARLY = [
    ("rejection", early_rejection, NO_EFFECT, 200),
    ("error", lambda received: head(received, "500 No", "Content-Length: 2") + b"\r\nno", RECEIVER_ERROR, 500),
    ("success", length_delimited, COMPLETE, 200),
    ("success after 100 Continue", lambda received: CONTINUE + length_delimited(received), COMPLETE, 200),
]


@pytest.mark.parametrize("then", ["reads on", "resets"])
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(("name", "make", "follows", "status"), EARLY, ids=[row[0] for row in EARLY])
def test_response_before_body_was_read_counts_and_closes_connection(name, make, follows, status, kind, then):
    """A receiver that reads on gets the rest of the body or the end of the connection, and no other bytes."""
    response_checked = threading.Event()
    received_later: list[bytes] = []
    receiver_finished = threading.Event()

    def respond_early(sock):
        received = read_head(sock)
        sock.sendall(make(received))
        if received.id != "r-1":
            return
        if then == "resets":
            PeerConnection(sock).wait_until_acknowledged()
            PeerConnection(sock).reset()
        else:
            assert response_checked.wait(PATIENCE_S)
            with contextlib.suppress(ConnectionError):
                while data := sock.recv(1 << 20):
                    received_later.append(data)
        receiver_finished.set()

    first, second = RawReceiver(respond_early), second_receiver()
    with receivers(first, second) as listed:
        sender = SenderHarness(kind, listed)
        result = sender.send_request(LONG_BODY)
        check_result(kind, follows[KINDS.index(kind)], status, result, second)
        response_checked.set()
        sender.send_request(timeout_ms=SHORT_TIMEOUT_MS)
        assert receiver_finished.wait(PATIENCE_S)
    rest = b"".join(received_later)
    assert rest == LONG_BODY[: len(rest)]


@pytest.mark.parametrize("kind", KINDS)
def test_reset_early_response_without_length_is_incomplete(kind):
    """The reset may be detected while sending the rest of the body; reading then ends as after a close."""

    def respond_early(sock):
        sock.sendall(close_delimited(read_head(sock)))
        PeerConnection(sock).wait_until_acknowledged()
        PeerConnection(sock).reset()

    first, second = RawReceiver(respond_early), second_receiver()
    with receivers(first, second) as listed:
        result = SenderHarness(kind, listed).send_request(LONG_BODY)
    check_result(kind, INCOMPLETE_BODY[KINDS.index(kind)], 200, result, second)


@pytest.mark.parametrize("kind", KINDS)
def test_receiver_that_waits_for_rest_of_body_receives_it(kind):
    """The head of a response may arrive early, and its body only after the receiver has read the whole request."""

    def respond_head_first(sock):
        received = read_head(sock)
        data = length_delimited(received)
        head_end = data.index(b"\r\n\r\n") + 4
        sock.sendall(data[:head_end])
        remaining = int(received.headers["content-length"])
        while remaining:
            remaining -= len(sock.recv(min(remaining, 1 << 20)))
        sock.sendall(data[head_end:])

    first, second = RawReceiver(respond_head_first), second_receiver()
    with receivers(first, second) as listed:
        result = SenderHarness(kind, listed).send_request(LONG_BODY)
    check_result(kind, FORWARDED, 200, result, second)
