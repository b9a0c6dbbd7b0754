"""Responses of scripted receivers that end a call in each possible way, and what the client has to get then."""

import random
import time
from collections.abc import Callable

from dataplane.peers import (
    END,
    SERVICE,
    MemoryStore,
    PeerConnection,
    ReceivedRequest,
    ScriptedReceiver,
    chunk,
    configuration,
    event,
    full_response,
    head,
    request,
)

from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.http11.messages import IncompleteBodyError
from dewpin.dataplane.membership.cluster_state import ClusterState
from dewpin.dataplane.routing.request_handler import RequestHandler

KINDS = ("idempotent", "resumable", "stream", "non_idempotent")
STREAM_KINDS = ("resumable", "stream")
BODY = b"0123456789abcdef"
EVENTS = 3
SHORT_MS = 500
LONG_BODY = b"x" * (8 * 1024 * 1024)

RETRIED = "repeated"
"""The request is retried, or the stream resumed, at the second receiver; the client gets a complete response."""
FORWARDED = "answered"
"""The client gets the response of the first receiver; the second one gets nothing."""
FAILED = "ended"
"""The client gets a 502 without a promise; the second receiver gets nothing."""
TIMED_OUT = "timed out"
"""The client gets a 504 without a promise at the deadline; the second receiver gets nothing."""
INCOMPLETE = "cut"
"""The client's response is visibly incomplete; the second receiver gets nothing."""

NO_EFFECT = (RETRIED, RETRIED, RETRIED, RETRIED)
COMPLETE = (FORWARDED, FORWARDED, FORWARDED, FORWARDED)
UNKNOWN_EFFECT = (RETRIED, RETRIED, FAILED, FAILED)
INCOMPLETE_BODY = (RETRIED, RETRIED, INCOMPLETE, FAILED)
NO_RESPONSE = (TIMED_OUT, TIMED_OUT, TIMED_OUT, TIMED_OUT)
STALLED_BODY = (TIMED_OUT, INCOMPLETE, INCOMPLETE, TIMED_OUT)
RECEIVER_ERROR = (RETRIED, RETRIED, FORWARDED, FORWARDED)

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def is_stream(got: ReceivedRequest) -> bool:
    return got.line.split()[1].startswith("/stream")


def body_parts(got: ReceivedRequest) -> list[bytes]:
    """Return the events, or the halves of the body, of a proper response."""
    if not is_stream(got):
        return [BODY[:8], BODY[8:]]
    first = int(got.headers.get("last-event-id", "0")) + 1
    return [event(number) for number in range(first, EVENTS + 1)]


def framed(got: ReceivedRequest, *fields: str) -> bytes:
    """Return a proper response with Content-Length."""
    body = b"".join(body_parts(got))
    return head(got, "200 OK", f"Content-Length: {len(body)}", *fields) + b"\r\n" + body


def chunked(got: ReceivedRequest) -> bytes:
    """Return a proper chunked response."""
    chunks = b"".join(chunk(part) for part in body_parts(got))
    return head(got, "200 OK", "Transfer-Encoding: chunked") + b"\r\n" + chunks + END


def unframed(got: ReceivedRequest) -> bytes:
    """Return a proper response whose body ends with the connection."""
    return head(got, "200 OK") + b"\r\n" + b"".join(body_parts(got))


def respond_and_close(make: Callable[[ReceivedRequest], bytes]):
    def script(connection: PeerConnection, got: ReceivedRequest) -> bool:
        connection.send(make(got))
        return True

    return script


def respond_and_keep(make: Callable[[ReceivedRequest], bytes]):
    def script(connection: PeerConnection, got: ReceivedRequest) -> None:
        connection.send(make(got))

    return script


def respond_and_reset(make: Callable[[ReceivedRequest], bytes]):
    """Reset the connection once the caller's system has acknowledged what was sent."""

    def script(connection: PeerConnection, got: ReceivedRequest) -> bool:
        connection.send(make(got))
        connection.wait_until_taken()
        connection.reset()
        return True

    return script


def respond_and_fall_silent(make: Callable[[ReceivedRequest], bytes]):
    def script(connection: PeerConnection, got: ReceivedRequest) -> bool:
        connection.send(make(got))
        connection.wait_for_close()
        return True

    return script


def refusing(status: str, *fields: str):
    return full_response(b"", status, "X-Dewpin-Not-Executed: 1", *fields, signed=False)


def early_refusal(got: ReceivedRequest) -> bytes:
    return head(got, "503 Full", "X-Dewpin-Not-Executed: 1", "Content-Length: 0", signed=False) + b"\r\n"


def nothing(got: ReceivedRequest) -> bytes:
    return b""


def half_a_head(got: ReceivedRequest) -> bytes:
    return head(got, "200 OK")


def of_another(got: ReceivedRequest) -> bytes:
    return framed(got).replace(got.id.encode(), b"another")


def of_none(got: ReceivedRequest) -> bytes:
    return framed(got).replace(b"X-Dewpin-Request-Id: " + got.id.encode() + b"\r\n", b"")


def cut_by(count: int, make: Callable[[ReceivedRequest], bytes]) -> Callable[[ReceivedRequest], bytes]:
    return lambda got: make(got)[:-count]


def changed(make: Callable[[ReceivedRequest], bytes], old: bytes, new: bytes) -> Callable[[ReceivedRequest], bytes]:
    """Return a response with the last occurrence of some bytes in its body replaced."""

    def respond(got: ReceivedRequest) -> bytes:
        top, empty_line, body = make(got).partition(b"\r\n\r\n")
        before, found, behind = body.rpartition(old)
        assert found
        return top + empty_line + before + new + behind

    return respond


def headed(make: Callable[[ReceivedRequest], bytes], *fields: bytes) -> Callable[[ReceivedRequest], bytes]:
    """Return a response with more lines in its head."""
    return lambda got: make(got).replace(b"\r\n\r\n", b"\r\n" + b"\r\n".join(fields) + b"\r\n\r\n", 1)


def before(first: bytes, make: Callable[[ReceivedRequest], bytes]) -> Callable[[ReceivedRequest], bytes]:
    return lambda got: first + make(got)


def behind(make: Callable[[ReceivedRequest], bytes], last: bytes) -> Callable[[ReceivedRequest], bytes]:
    return lambda got: make(got) + last


def twice(make: Callable[[ReceivedRequest], bytes]) -> Callable[[ReceivedRequest], bytes]:
    return lambda got: make(got) * 2


class SenderHarness:
    """A request handler with two receivers; backoffs advance its clock and do not block."""

    def __init__(self, kind: str, listed: list[Receiver], target_ms: int = 100) -> None:
        self.kind = kind
        self._pauses: list[float] = []
        route = {"kind": "stream", "resumable": kind == "resumable"} if kind in STREAM_KINDS else {"kind": kind}
        state = ClusterState(configuration(retries=2, target_ms=target_ms, **route), {SERVICE: tuple(listed)})
        self.handler = RequestHandler(state, MemoryStore(), "here", self._clock, self._pauses.append, random.Random(1))
        self._calls = 0

    def _clock(self) -> float:
        return time.monotonic() + sum(self._pauses)

    def send_request(self, body: bytes = b"input", time_ms: int = 5000) -> tuple[int, bytes, bool]:
        """Return the status, the body and whether the body is incomplete."""
        self._calls += 1
        asked = request(
            ("X-Dewpin-Request-Deadline", str(time_ms)),
            target="/stream" if self.kind in STREAM_KINDS else "/work",
            body=body,
            now=self._clock(),
            request_id=f"r-{self._calls}",
        )
        response = self.handler.handle(asked)
        if isinstance(response.body, bytes):
            return response.status, response.body, False
        got = b""
        try:
            for part in response.body:
                got += part
        except IncompleteBodyError:
            return response.status, got, True
        return response.status, got, False


def whole_body(kind: str) -> bytes:
    return b"".join(event(number) for number in range(1, EVENTS + 1)) if kind in STREAM_KINDS else BODY


def check(kind, follows, status, given, second):
    """Check what the client got, and whether the second receiver got the request."""
    got_status, body, broken = given
    assert len(second.requests) == (1 if follows == RETRIED else 0)
    if follows in (RETRIED, FORWARDED):
        expected = (200 if follows == RETRIED else status, False)
        assert (got_status, broken) == expected
        assert body == (whole_body(kind) if got_status == 200 else b"no")
    elif follows == INCOMPLETE:
        assert (got_status, broken) == (200, True)
        assert whole_body(kind).startswith(body)
    else:
        assert (got_status, broken) == (502 if follows == FAILED else 504, False)


def second_receiver() -> ScriptedReceiver:
    return ScriptedReceiver(respond_and_keep(chunked), id="i-2", zone="there")
