"""Event streams from scripted receivers through the request handler."""

import threading
from collections.abc import Iterator

import pytest
from dataplane.peers import (
    END,
    PATIENCE_S,
    DisconnectingClient,
    ScriptedReceiver,
    chunk,
    event,
    receivers,
    rejection,
    stream,
    stream_head,
)
from dataplane.request_handler_harness import RequestHandlerHarness, header, read


def test_stream_is_forwarded_completely():
    with receivers(ScriptedReceiver(stream(event(1), event(2)))) as listed:
        harness = RequestHandlerHarness(listed, kind="stream")
        response = harness()
        assert response.status == 200
        assert header(response, "content-type") == "text/event-stream"
        assert header(response, "x-dewpin-response-signature") == "signed-r-1"
        assert header(response, "transfer-encoding") is None
        assert read(response) == (event(1) + event(2), False)
    assert harness.handler.metrics.incomplete_streams == 0


def test_events_are_forwarded_before_stream_ends():
    proceed = threading.Event()

    def respond_slowly(connection, received):
        connection.send(stream_head(received) + chunk(event(1)))
        assert proceed.wait(PATIENCE_S)
        connection.send(chunk(event(2)) + END)

    with receivers(ScriptedReceiver(respond_slowly)) as listed:
        response = RequestHandlerHarness(listed, kind="stream")()
        parts: Iterator[bytes] = iter(response.body)
        assert next(parts) == event(1)
        proceed.set()
        assert list(parts) == [event(2)]


def test_interrupted_non_resumable_stream_is_incomplete():
    peers = [ScriptedReceiver(stream(event(1), is_complete=False), id=name) for name in ("i-1", "i-2")]
    with receivers(*peers) as listed:
        harness = RequestHandlerHarness(listed, kind="stream")
        assert read(harness()) == (event(1), True)
    assert sum(len(peer.requests) for peer in peers) == 1
    assert harness.handler.metrics.incomplete_streams == 1


def test_stream_interrupted_before_first_event_gets_502():
    with receivers(ScriptedReceiver(stream(b"id: 1\nda", is_complete=False))) as listed:
        assert RequestHandlerHarness(listed, kind="stream")().status == 502


def test_resumable_stream_continues_at_another_receiver_under_first_head():
    def scripts(name):
        first = stream(event(1), event(2), b"id: 3\nda", is_complete=False)

        def second(connection, received):
            assert received.headers["last-event-id"] == "2"
            stream(event(3), event(4))(connection, received)

        return ScriptedReceiver(
            lambda connection, received: (second if "last-event-id" in received.headers else first)(
                connection, received
            ),
            id=name,
        )

    peers = [scripts("i-1"), scripts("i-2")]
    with receivers(*peers) as listed:
        harness = RequestHandlerHarness(listed, kind="stream", resumable=True)
        response = harness()
        assert read(response) == (event(1) + event(2) + event(3) + event(4), False)
    assert [len(peer.requests) for peer in peers] == [1, 1]
    assert peers[0].faults == peers[1].faults == []
    assert harness.handler.metrics.resumed_streams == 1


def test_resuming_is_bounded_by_attempts():
    peers = [ScriptedReceiver(stream(event(1), is_complete=False), id=name) for name in ("i-1", "i-2", "i-3")]
    with receivers(*peers) as listed:
        assert read(RequestHandlerHarness(listed, kind="stream", resumable=True, retries=2)()) == (event(1), True)
    assert sum(len(peer.requests) for peer in peers) == 2


def test_complete_stream_resets_backoff():
    with receivers(ScriptedReceiver(rejection(), stream(event(1)))) as listed:
        harness = RequestHandlerHarness(listed, kind="stream", target_ms=50)
        assert harness().status == 503
        load = harness.handler._shared.balancer._allocator.load_of("i-1")
        assert load.rejections == 1
        harness.backoffs_s.append(PATIENCE_S)
        before = load.call_time_s
        assert read(harness()) == (event(1), False)
    assert load.rejections == 0
    assert load.call_time_s != before


def test_slots_of_streams_are_released():
    with receivers(ScriptedReceiver(stream(event(1)), capacity=1)) as listed:
        harness = RequestHandlerHarness(listed, kind="stream", target_ms=100)
        for _ in range(5):
            assert read(harness()) == (event(1), False)
        for _ in range(5):
            harness().body.close()
        assert read(harness()) == (event(1), False)


@pytest.mark.parametrize("after_head", [True, False])
def test_client_disconnect_aborts_streaming_call(after_head):
    started, ended = threading.Event(), threading.Event()

    def respond(connection, received):
        if after_head:
            connection.send(stream_head(received) + chunk(event(1)))
        started.set()
        if connection.wait_for_close():
            ended.set()

    client = DisconnectingClient()
    with receivers(ScriptedReceiver(respond)) as listed:
        harness = RequestHandlerHarness(listed, kind="stream", resumable=True)
        handling = threading.Thread(target=lambda: read(harness(client=client)))
        handling.start()
        assert started.wait(PATIENCE_S)
        client.disconnect()
        assert ended.wait(PATIENCE_S)
        handling.join(PATIENCE_S)
    assert harness.handler.metrics.attempts == 1
