"""Requests end by the time that their client and their route allow, whatever the receiver does."""

import threading

import pytest
from dataplane.peers import PATIENCE_S, ScriptedReceiver, chunk, event, head, receivers, stream_head
from dataplane.test_request_path import Path, read

from dewpin.dataplane.messages import BodyBroken

TIMEOUT_MS = 10 * PATIENCE_S * 1000


class ScriptedClock:
    """A clock that receivers move on; a request that waits for it to go on by itself would outlast the test."""

    def __init__(self):
        self.now_s = 1000.0

    def __call__(self):
        return self.now_s


class Trickle:
    """A script that sends one byte each second for longer than the request may take, then nothing, and does not end."""

    def __init__(self, clock, data):
        self._clock = clock
        self._data = data
        self.let_go = threading.Event()

    def __call__(self, connection, got):
        for byte in self._data(got):
            connection.send(bytes([byte]))
            self._clock.now_s += 1.0
        self.let_go.wait(4 * PATIENCE_S)
        return True


def long_head(got):
    return head(got, "200 OK", "Content-Length: 4", "X-Long: " + "x" * 200)


def long_body(got):
    return head(got, "200 OK", "Content-Length: 900") + b"\r\n" + b"x" * 200


def long_stream(got):
    return stream_head(got) + chunk(event(1)) + chunk(event(2) * 20)


@pytest.mark.parametrize("kind", ["idempotent", "non_idempotent", "stream"])
@pytest.mark.parametrize("data", [long_head, long_body, long_stream])
def test_an_answer_that_trickles_in_ends_at_the_time_allowed(kind, data):
    """Each byte would begin a time-out of the socket anew."""
    clock = ScriptedClock()
    script = Trickle(clock, data)
    ended = []
    with receivers(ScriptedReceiver(script)) as listed:
        path = Path(listed, kind=kind, retries=3, timeout_ms=TIMEOUT_MS)
        path._now = clock

        def ask():
            answer = path()
            ended.append(answer.status == 504 or read(answer)[1])

        asking = threading.Thread(target=ask)
        asking.start()
        asking.join(PATIENCE_S)
        in_time = not asking.is_alive()
        script.let_go.set()
        asking.join(PATIENCE_S)
    assert in_time
    assert ended == [True]
    assert path.path.figures.attempts == 1


def test_a_stream_without_a_pause_is_cut_at_the_time_allowed():
    """Its bytes are there before they are waited for, so that no wait looks at the time."""
    clock = ScriptedClock()
    sent, let_go = threading.Event(), threading.Event()
    parts, timeout_s = 30, 5

    def send_ahead(connection, got):
        connection.send(stream_head(got))
        for number in range(parts):
            connection.send(chunk(event(number, "x" * 20_000)))
        sent.set()
        let_go.wait(PATIENCE_S)

    with receivers(ScriptedReceiver(send_ahead)) as listed:
        path = Path(listed, kind="stream", resumable=True, timeout_ms=timeout_s * 1000)
        path._now = clock
        answer = path()
        assert sent.wait(PATIENCE_S)
        with pytest.raises(BodyBroken):
            for _ in answer.body:
                clock.now_s += 1.0
        let_go.set()
    assert clock.now_s <= 1000.0 + timeout_s + 1.0
