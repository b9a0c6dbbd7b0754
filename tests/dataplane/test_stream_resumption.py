"""Streams resumed at another receiver, by the client or within one response."""

import pytest
from dataplane.peers import END, ScriptedReceiver, chunk, event, receivers, reset, stream
from dataplane.request_handler_harness import RequestHandlerHarness, header, read


def stream_from(name, *parts, is_complete=True):
    """Return a script that streams parts with a head and a signature named after the receiver."""

    def respond(connection, received):
        fields = ["HTTP/1.1 200 OK", f"X-Dewpin-Request-Id: {received.id}", f"X-Dewpin-Response-Signature: of-{name}"]
        fields += ["Content-Type: text/event-stream", "Transfer-Encoding: chunked", f"Versions: {name[-1]}", "", ""]
        body = b"".join(chunk(part) for part in parts)
        connection.send("\r\n".join(fields).encode() + body + (END if is_complete else b""))
        return not is_complete

    return respond


def last_event_ids(peer):
    return [received.headers.get("last-event-id") for received in peer.requests]


def test_resumed_response_keeps_head_and_signature_of_the_first_receiver():
    interrupted = ScriptedReceiver(stream_from("i-1", event(1), b"id: 2\nda", is_complete=False), id="i-1")
    healthy = ScriptedReceiver(stream_from("i-2", b"versions: 2\nid: 2\ndata: b\n\n", event(3)), id="i-2", zone="there")
    with receivers(interrupted, healthy) as listed:
        response = RequestHandlerHarness(listed, frozen=True, kind="stream", resumable=True)()
        assert header(response, "x-dewpin-response-signature") == "of-i-1"
        assert header(response, "versions") == "1"
        assert read(response) == (event(1) + b"versions: 2\nid: 2\ndata: b\n\n" + event(3), False)
    assert (last_event_ids(interrupted), last_event_ids(healthy)) == ([None], ["1"])


@pytest.mark.parametrize("again_from", [1, 2, 3])
def test_resumed_stream_does_not_repeat_forwarded_events(again_from):
    interrupted = ScriptedReceiver(stream(event(1), event(2), is_complete=False), id="i-1")
    healthy = ScriptedReceiver(stream(*[event(number) for number in range(again_from, 5)]), id="i-2", zone="there")
    with receivers(interrupted, healthy) as listed:
        response = RequestHandlerHarness(listed, frozen=True, kind="stream", resumable=True)()
        assert read(response) == (b"".join(event(number) for number in range(1, 5)), False)


@pytest.mark.parametrize("resumable", [True, False])
def test_client_can_resume_a_stream_at_any_receiver(resumable):
    peer = ScriptedReceiver(stream(event(13)))
    with receivers(peer) as listed:
        response = RequestHandlerHarness(listed, kind="stream", resumable=resumable)(("Last-Event-Id", "12"))
        assert read(response) == (event(13), False)
    assert last_event_ids(peer) == ["12"]


@pytest.mark.parametrize("first", [reset, stream(b"id: 13\nda", is_complete=False)])
def test_stream_interrupted_before_an_event_is_resumed_from_the_last_event_id_of_the_client(first):
    interrupted = ScriptedReceiver(first, id="i-1")
    healthy = ScriptedReceiver(stream_from("i-2", event(13)), id="i-2", zone="there")
    with receivers(interrupted, healthy) as listed:
        response = RequestHandlerHarness(listed, frozen=True, kind="stream", resumable=True)(("Last-Event-Id", "12"))
        assert header(response, "x-dewpin-response-signature") == "of-i-2"
        assert read(response) == (event(13), False)
    assert (last_event_ids(interrupted), last_event_ids(healthy)) == (["12"], ["12"])


def test_stream_interrupted_later_is_resumed_from_the_last_forwarded_event():
    interrupted = ScriptedReceiver(stream(event(13), event(14), is_complete=False), id="i-1")
    healthy = ScriptedReceiver(stream(event(15)), id="i-2", zone="there")
    with receivers(interrupted, healthy) as listed:
        response = RequestHandlerHarness(listed, frozen=True, kind="stream", resumable=True)(("Last-Event-Id", "12"))
        assert read(response) == (event(13) + event(14) + event(15), False)
    assert (last_event_ids(interrupted), last_event_ids(healthy)) == (["12"], ["14"])


def test_stream_of_a_route_that_is_not_resumable_is_not_resumed():
    interrupted = ScriptedReceiver(stream(event(13), is_complete=False), id="i-1")
    other = ScriptedReceiver(stream(event(14)), id="i-2", zone="there")
    with receivers(interrupted, other) as listed:
        response = RequestHandlerHarness(listed, frozen=True, kind="stream")(("Last-Event-Id", "12"))
        assert read(response) == (event(13), True)
    assert other.requests == []
