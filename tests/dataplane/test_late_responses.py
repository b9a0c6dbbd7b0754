"""Bytes after a response and late copies of one: which request the next response on that connection belongs to."""

import pytest
from dataplane.call_endings import (
    KINDS,
    SenderHarness,
    behind,
    chunked,
    early_refusal,
    framed,
    respond_and_keep,
    second_receiver,
    twice,
    whole_body,
)
from dataplane.peers import ScriptedReceiver, receivers


@pytest.mark.parametrize("kind", KINDS)
def test_late_response_before_the_due_one_is_skipped(kind):
    """A second copy of the first response arrives once the next request was read, before the response that is due."""
    sent = []

    def respond_again_and_then(connection, got):
        connection.send(sent[0] + chunked(got))

    def respond_and_remember(connection, got):
        sent.append(chunked(got))
        connection.send(sent[0])

    first, second = ScriptedReceiver(respond_and_remember, respond_again_and_then, id="i-1"), second_receiver()
    with receivers(first, second) as listed:
        sender = SenderHarness(kind, listed)
        assert sender.send_request() == sender.send_request() == (200, whole_body(kind), False)
    assert (first.connections, second.requests) == (1, [])


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    "extra", [twice(framed), twice(chunked), behind(framed, b"garbage"), behind(chunked, b"HTTP/1.1 2")]
)
def test_connection_with_bytes_after_response_is_not_reused(extra, kind):
    first, second = ScriptedReceiver(respond_and_keep(extra), respond_and_keep(chunked), id="i-1"), second_receiver()
    with receivers(first, second) as listed:
        sender = SenderHarness(kind, listed)
        assert sender.send_request() == sender.send_request() == (200, whole_body(kind), False)
    assert (first.connections, second.requests) == (2, [])


@pytest.mark.parametrize("kind", KINDS)
def test_late_copy_of_rejection_proves_nothing_for_retried_request(kind, monkeypatch):
    """A request is never sent twice on one connection: a late first rejection would look like the second one.

    With one receiver only, the retry goes to the one that rejected the request.
    """
    monkeypatch.setattr("dewpin.dataplane.routing.retry.SAME_RECEIVER_BACKOFF_S", 0.001)
    monkeypatch.setattr("dewpin.dataplane.load_balancing.receiver_load.INITIAL_UNREACHABLE_BACKOFF_S", 0.001)

    def refuse(connection, got):
        connection.send(early_refusal(got))

    def run_behind_a_copy(connection, got):
        copy = early_refusal(got) if first.connections == 1 else b""
        connection.send(copy + chunked(got))

    first = ScriptedReceiver(refuse, run_behind_a_copy, id="i-1")
    with receivers(first) as listed:
        assert SenderHarness(kind, listed, target_ms=5000).send_request() == (200, whole_body(kind), False)
    assert (len(first.requests), first.connections) == (2, 2)
