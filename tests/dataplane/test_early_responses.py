"""Responses that arrive before the request was sent or read completely."""

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
    SHORT_MS,
    SenderHarness,
    check,
    early_refusal,
    framed,
    second_receiver,
    unframed,
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
    ("refusal", early_refusal, NO_EFFECT, 200),
    ("error", lambda got: head(got, "500 No", "Content-Length: 2") + b"\r\nno", RECEIVER_ERROR, 500),
    ("success", framed, COMPLETE, 200),
    ("success behind 100 Continue", lambda got: CONTINUE + framed(got), COMPLETE, 200),
]


@pytest.mark.parametrize("then", ["reads on", "resets"])
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(("name", "make", "follows", "status"), EARLY, ids=[row[0] for row in EARLY])
def test_response_before_body_was_read_counts_and_closes_connection(name, make, follows, status, kind, then):
    """A receiver that reads on gets the rest of that body or the end of the connection, and no other bytes."""
    answered = threading.Event()
    read_on: list[bytes] = []
    done = threading.Event()

    def respond_early(sock):
        got = read_head(sock)
        sock.sendall(make(got))
        if got.id != "r-1":
            return
        if then == "resets":
            PeerConnection(sock).wait_until_taken()
            PeerConnection(sock).reset()
        else:
            assert answered.wait(PATIENCE_S)
            with contextlib.suppress(ConnectionError):
                while data := sock.recv(1 << 20):
                    read_on.append(data)
        done.set()

    first, second = RawReceiver(respond_early), second_receiver()
    with receivers(first, second) as listed:
        sender = SenderHarness(kind, listed)
        given = sender.send_request(LONG_BODY)
        check(kind, follows[KINDS.index(kind)], status, given, second)
        answered.set()
        sender.send_request(time_ms=SHORT_MS)
        assert done.wait(PATIENCE_S)
    rest = b"".join(read_on)
    assert rest == LONG_BODY[: len(rest)]


@pytest.mark.parametrize("kind", KINDS)
def test_reset_early_response_without_length_is_incomplete(kind):
    """The reset may be detected while sending the rest of the body; reading then ends as at a close."""

    def respond_early(sock):
        sock.sendall(unframed(read_head(sock)))
        PeerConnection(sock).wait_until_taken()
        PeerConnection(sock).reset()

    first, second = RawReceiver(respond_early), second_receiver()
    with receivers(first, second) as listed:
        given = SenderHarness(kind, listed).send_request(LONG_BODY)
    check(kind, INCOMPLETE_BODY[KINDS.index(kind)], 200, given, second)


@pytest.mark.parametrize("kind", KINDS)
def test_receiver_that_waits_for_rest_of_body_gets_it(kind):
    """The head of a response may arrive early and its body only once the request was read completely."""

    def respond_head_first(sock):
        got = read_head(sock)
        data = framed(got)
        split = data.index(b"\r\n\r\n") + 4
        sock.sendall(data[:split])
        left = int(got.headers["content-length"])
        while left:
            left -= len(sock.recv(min(left, 1 << 20)))
        sock.sendall(data[split:])

    first, second = RawReceiver(respond_head_first), second_receiver()
    with receivers(first, second) as listed:
        given = SenderHarness(kind, listed).send_request(LONG_BODY)
    check(kind, FORWARDED, 200, given, second)
