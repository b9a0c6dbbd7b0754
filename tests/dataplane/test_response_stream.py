"""Response streams of scripted receivers: incremental reads, interruptions and the deadline."""

import threading
import time

import pytest
from dataplane.peers import (
    END,
    PATIENCE_S,
    STREAM_FIELDS,
    ScriptedReceiver,
    chunk,
    close,
    event,
    full_response,
    head,
    receivers,
    reset,
    stream_head,
)

from dewpin.dataplane.upstream.outcome import IncompleteResponseError, Outcome


def test_stream_is_read_as_it_arrives_and_connection_reused(call):
    first_read = threading.Event()

    def respond(connection, received):
        connection.send(stream_head(received) + chunk(event(1)))
        assert first_read.wait(PATIENCE_S)
        connection.send(chunk(event(2)) + END)

    peer = ScriptedReceiver(respond, full_response())
    with receivers(peer) as (receiver,):
        result = call(receiver, is_streaming=True)
        assert result.stream.read_next() == event(1)
        first_read.set()
        assert result.stream.read_next() == event(2)
        assert result.stream.read_next() == b""
        result.stream.close()
        assert call(receiver).outcome is Outcome.SUCCESS
    assert peer.connections == 1


def test_chunks_received_together_are_read_without_waiting(call):
    def respond(connection, received):
        connection.send(stream_head(received) + chunk(event(1)) + chunk(event(2)))
        connection.wait_for_close()

    with receivers(ScriptedReceiver(respond)) as (receiver,):
        result = call(receiver, is_streaming=True)
        assert [result.stream.read_next(), result.stream.read_next()] == [event(1), event(2)]
        result.stream.close()


@pytest.mark.parametrize(("ending", "outcome"), [(reset, Outcome.RESET), (close, Outcome.CLOSED)])
def test_stream_whose_connection_breaks_is_incomplete(call, ending, outcome):
    read = threading.Event()

    def respond(connection, received):
        connection.send(stream_head(received) + chunk(event(1)))
        assert read.wait(PATIENCE_S)
        return ending(connection, received)

    with receivers(ScriptedReceiver(respond)) as (receiver,):
        result = call(receiver, is_streaming=True)
        assert result.stream.read_next() == event(1)
        read.set()
        with pytest.raises(IncompleteResponseError) as raised:
            result.stream.read_next()
    assert raised.value.outcome is outcome


def test_stream_with_length_is_complete_only_at_that_length(call):
    body = event(1) + event(2)

    def respond(connection, received):
        connection.send(head(received, "200 OK", f"Content-Length: {len(body)}") + b"\r\n" + body)

    def respond_short(connection, received):
        connection.send(head(received, "200 OK", f"Content-Length: {len(body)}") + b"\r\n" + event(1))
        return True

    def read_all(result):
        parts = b""
        while part := result.stream.read_next():
            parts += part
        return parts

    with receivers(ScriptedReceiver(respond, respond_short)) as (receiver,):
        assert read_all(call(receiver, is_streaming=True)) == body
        with pytest.raises(IncompleteResponseError):
            read_all(call(receiver, is_streaming=True))


def test_closing_stream_closes_connection(call):
    connection_closed = threading.Event()

    def respond(connection, received):
        connection.send(stream_head(received) + chunk(event(1)))
        if connection.wait_for_close():
            connection_closed.set()

    with receivers(ScriptedReceiver(respond)) as (receiver,):
        result = call(receiver, is_streaming=True)
        result.stream.read_next()
        result.stream.close()
        assert connection_closed.wait(PATIENCE_S)


@pytest.mark.parametrize("fields", [STREAM_FIELDS, (*STREAM_FIELDS, "Connection: close")])
def test_stream_ends_at_deadline(call, fields):
    def respond(connection, received):
        connection.send(head(received, "200 OK", *fields) + b"\r\n" + chunk(event(1)))
        connection.wait_for_close()

    with receivers(ScriptedReceiver(respond)) as (receiver,):
        result = call(receiver, is_streaming=True)
        result.stream.read_next()
        call.clock.offset_s += PATIENCE_S
        with pytest.raises(IncompleteResponseError) as raised:
            result.stream.read_next()
    assert raised.value.outcome is Outcome.TIMED_OUT


def test_stream_on_closing_connection_ends_at_deadline(call):
    def respond(connection, received):
        connection.send(head(received, "200 OK", *STREAM_FIELDS, "Connection: close") + b"\r\n" + chunk(event(1)))
        connection.wait_for_close()

    with receivers(ScriptedReceiver(respond)) as (receiver,):
        result = call(receiver, is_streaming=True)
        result.stream.read_next()
        call.clock.offset_s += PATIENCE_S - 0.1
        started = time.monotonic()
        with pytest.raises(IncompleteResponseError) as raised:
            result.stream.read_next()
    assert raised.value.outcome is Outcome.TIMED_OUT
    assert time.monotonic() - started < PATIENCE_S / 2
