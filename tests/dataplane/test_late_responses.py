"""Bytes after a response and late duplicates: responses must be matched to the right request on a connection."""

import pytest
from dataplane.call_endings import (
    KINDS,
    SenderHarness,
    chunked,
    duplicated,
    early_rejection,
    length_delimited,
    respond_and_keep_alive,
    second_receiver,
    whole_body,
    with_suffix,
)
from dataplane.peers import ScriptedReceiver, receivers


@pytest.mark.parametrize("kind", KINDS)
def test_late_response_before_the_expected_one_is_skipped(kind):
    """A duplicate of the first response arrives after the next request was read, before the expected response."""
    sent = []

    def respond_after_duplicate(connection, received):
        connection.send(sent[0] + chunked(received))

    def respond_and_record(connection, received):
        sent.append(chunked(received))
        connection.send(sent[0])

    first, second = ScriptedReceiver(respond_and_record, respond_after_duplicate, id="i-1"), second_receiver()
    with receivers(first, second) as listed:
        sender = SenderHarness(kind, listed)
        assert sender.send_request() == sender.send_request() == (200, whole_body(kind), False)
    assert (first.connections, second.requests) == (1, [])


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    "extra",
    [
        duplicated(length_delimited),
        duplicated(chunked),
        with_suffix(length_delimited, b"garbage"),
        with_suffix(chunked, b"HTTP/1.1 2"),
    ],
)
def test_connection_with_bytes_after_response_is_not_reused(extra, kind):
    first, second = (
        ScriptedReceiver(respond_and_keep_alive(extra), respond_and_keep_alive(chunked), id="i-1"),
        second_receiver(),
    )
    with receivers(first, second) as listed:
        sender = SenderHarness(kind, listed)
        assert sender.send_request() == sender.send_request() == (200, whole_body(kind), False)
    assert (first.connections, second.requests) == (2, [])


@pytest.mark.parametrize("kind", KINDS)
def test_late_copy_of_rejection_proves_nothing_for_retried_request(kind, monkeypatch):
    """A request is never sent twice on one connection: a late first rejection would look like the second one.

    With a single receiver, the retry goes to the receiver that rejected the request.
    """
    monkeypatch.setattr("dewpin.dataplane.routing.retry.SAME_RECEIVER_BACKOFF_S", 0.001)
    monkeypatch.setattr("dewpin.dataplane.load_balancing.receiver_load.INITIAL_UNREACHABLE_BACKOFF_S", 0.001)

    def reject(connection, received):
        connection.send(early_rejection(received))

    def respond_after_duplicate_rejection(connection, received):
        duplicate = early_rejection(received) if first.connections == 1 else b""
        connection.send(duplicate + chunked(received))

    first = ScriptedReceiver(reject, respond_after_duplicate_rejection, id="i-1")
    with receivers(first) as listed:
        assert SenderHarness(kind, listed, target_ms=5000).send_request() == (200, whole_body(kind), False)
    assert (len(first.requests), first.connections) == (2, 2)
