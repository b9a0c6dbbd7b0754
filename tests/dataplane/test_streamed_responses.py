"""Streams on their way from scripted receivers through the whole request path."""

import threading
from collections.abc import Iterator

import pytest
from dataplane.peers import (
    END,
    PATIENCE_S,
    LeavingClient,
    ScriptedReceiver,
    chunk,
    event,
    receivers,
    refusal,
    stream,
    stream_head,
)
from dataplane.request_handler_harness import Path, header, read


def test_stream_is_forwarded_completely():
    with receivers(ScriptedReceiver(stream(event(1), event(2)))) as listed:
        path = Path(listed, kind="stream")
        answer = path()
        assert answer.status == 200
        assert header(answer, "content-type") == "text/event-stream"
        assert header(answer, "x-dewpin-response-signature") == "signed-r-1"
        assert header(answer, "transfer-encoding") is None
        assert read(answer) == (event(1) + event(2), False)
    assert path.path.metrics.incomplete_streams == 0


def test_events_are_forwarded_before_stream_ends():
    go_on = threading.Event()

    def answer_slowly(connection, got):
        connection.send(stream_head(got) + chunk(event(1)))
        assert go_on.wait(PATIENCE_S)
        connection.send(chunk(event(2)) + END)

    with receivers(ScriptedReceiver(answer_slowly)) as listed:
        answer = Path(listed, kind="stream")()
        parts: Iterator[bytes] = iter(answer.body)
        assert next(parts) == event(1)
        go_on.set()
        assert list(parts) == [event(2)]


def test_non_resumable_stream_that_breaks_is_incomplete():
    peers = [ScriptedReceiver(stream(event(1), whole=False), id=name) for name in ("i-1", "i-2")]
    with receivers(*peers) as listed:
        path = Path(listed, kind="stream")
        assert read(path()) == (event(1), True)
    assert sum(len(peer.requests) for peer in peers) == 1
    assert path.path.metrics.incomplete_streams == 1


def test_stream_that_breaks_before_first_event_gets_502():
    with receivers(ScriptedReceiver(stream(b"id: 1\nda", whole=False))) as listed:
        assert Path(listed, kind="stream")().status == 502


def test_resumable_stream_continues_at_another_receiver_under_first_head():
    def scripts(name):
        first = stream(event(1), event(2), b"id: 3\nda", whole=False)

        def second(connection, got):
            assert got.headers["last-event-id"] == "2"
            stream(event(3), event(4))(connection, got)

        return ScriptedReceiver(
            lambda connection, got: (second if "last-event-id" in got.headers else first)(connection, got), id=name
        )

    peers = [scripts("i-1"), scripts("i-2")]
    with receivers(*peers) as listed:
        path = Path(listed, kind="stream", resumable=True)
        answer = path()
        assert read(answer) == (event(1) + event(2) + event(3) + event(4), False)
    assert [len(peer.requests) for peer in peers] == [1, 1]
    assert peers[0].faults == peers[1].faults == []
    assert path.path.metrics.resumed_streams == 1


def test_resuming_is_bounded_by_attempts():
    peers = [ScriptedReceiver(stream(event(1), whole=False), id=name) for name in ("i-1", "i-2", "i-3")]
    with receivers(*peers) as listed:
        assert read(Path(listed, kind="stream", resumable=True, retries=2)()) == (event(1), True)
    assert sum(len(peer.requests) for peer in peers) == 2


def test_complete_stream_resets_backoff():
    with receivers(ScriptedReceiver(refusal(), stream(event(1)))) as listed:
        path = Path(listed, kind="stream", target_ms=50)
        assert path().status == 503
        load = path.path._shared.balancer._allocator.load_of("i-1")
        assert load.rejections == 1
        path.pauses.append(PATIENCE_S)
        before = load.call_time_s
        assert read(path()) == (event(1), False)
    assert load.rejections == 0
    assert load.call_time_s != before


def test_slots_of_streams_are_released():
    with receivers(ScriptedReceiver(stream(event(1)), capacity=1)) as listed:
        path = Path(listed, kind="stream", target_ms=100)
        for _ in range(5):
            assert read(path()) == (event(1), False)
        for _ in range(5):
            path().body.close()
        assert read(path()) == (event(1), False)


@pytest.mark.parametrize("after_head", [True, False])
def test_client_disconnect_aborts_streaming_call(after_head):
    begun, ended = threading.Event(), threading.Event()

    def answer(connection, got):
        if after_head:
            connection.send(stream_head(got) + chunk(event(1)))
        begun.set()
        if connection.wait_for_close():
            ended.set()

    client = LeavingClient()
    with receivers(ScriptedReceiver(answer)) as listed:
        path = Path(listed, kind="stream", resumable=True)
        serving = threading.Thread(target=lambda: read(path(client=client)))
        serving.start()
        assert begun.wait(PATIENCE_S)
        client.leave()
        assert ended.wait(PATIENCE_S)
        serving.join(PATIENCE_S)
    assert path.path.metrics.attempts == 1
