"""Scripted responses that end a call in each possible way, and the result that the client must get."""

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
SHORT_TIMEOUT_MS = 500
LONG_BODY = b"x" * (8 * 1024 * 1024)

RETRIED = "retried"
"""The request is retried, or the stream resumed, at the second receiver; the client gets a complete response."""
FORWARDED = "forwarded"
"""The client gets the response of the first receiver; the second receiver gets no request."""
FAILED = "failed"
"""The client gets a 502, which leaves the effect unknown; the second receiver gets no request."""
TIMED_OUT = "timed out"
"""The client gets a 504 at the deadline, which leaves the effect unknown; the second receiver gets no request."""
INCOMPLETE = "incomplete"
"""The client's response is detectably incomplete; the second receiver gets no request."""

NO_EFFECT = (RETRIED, RETRIED, RETRIED, RETRIED)
COMPLETE = (FORWARDED, FORWARDED, FORWARDED, FORWARDED)
UNKNOWN_EFFECT = (RETRIED, RETRIED, FAILED, FAILED)
INCOMPLETE_BODY = (RETRIED, RETRIED, INCOMPLETE, FAILED)
NO_RESPONSE = (TIMED_OUT, TIMED_OUT, TIMED_OUT, TIMED_OUT)
STALLED_BODY = (TIMED_OUT, INCOMPLETE, INCOMPLETE, TIMED_OUT)
RECEIVER_ERROR = (RETRIED, RETRIED, FORWARDED, FORWARDED)

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def is_stream(received: ReceivedRequest) -> bool:
    return received.line.split()[1].startswith("/stream")


def body_parts(received: ReceivedRequest) -> list[bytes]:
    """Return the events, or the two halves of the body, of a complete response."""
    if not is_stream(received):
        return [BODY[:8], BODY[8:]]
    first = int(received.headers.get("last-event-id", "0")) + 1
    return [event(number) for number in range(first, EVENTS + 1)]


def length_delimited(received: ReceivedRequest, *fields: str) -> bytes:
    """Return a complete response with Content-Length."""
    body = b"".join(body_parts(received))
    return head(received, "200 OK", f"Content-Length: {len(body)}", *fields) + b"\r\n" + body


def chunked(received: ReceivedRequest) -> bytes:
    """Return a complete response with the chunked transfer coding."""
    chunks = b"".join(chunk(part) for part in body_parts(received))
    return head(received, "200 OK", "Transfer-Encoding: chunked") + b"\r\n" + chunks + END


def close_delimited(received: ReceivedRequest) -> bytes:
    """Return a complete response whose body is delimited by the end of the connection."""
    return head(received, "200 OK") + b"\r\n" + b"".join(body_parts(received))


def respond_and_close(build: Callable[[ReceivedRequest], bytes]):
    def script(connection: PeerConnection, received: ReceivedRequest) -> bool:
        connection.send(build(received))
        return True

    return script


def respond_and_keep_alive(build: Callable[[ReceivedRequest], bytes]):
    def script(connection: PeerConnection, received: ReceivedRequest) -> None:
        connection.send(build(received))

    return script


def respond_and_reset(build: Callable[[ReceivedRequest], bytes]):
    """Reset the connection once the caller's kernel has acknowledged the bytes that were sent."""

    def script(connection: PeerConnection, received: ReceivedRequest) -> bool:
        connection.send(build(received))
        connection.wait_until_acknowledged()
        connection.reset()
        return True

    return script


def respond_and_stall(build: Callable[[ReceivedRequest], bytes]):
    def script(connection: PeerConnection, received: ReceivedRequest) -> bool:
        connection.send(build(received))
        connection.wait_for_close()
        return True

    return script


def rejecting(status: str, *fields: str):
    return full_response(b"", status, "X-Dewpin-Not-Executed: 1", *fields, signed=False)


def early_rejection(received: ReceivedRequest) -> bytes:
    return head(received, "503 Full", "X-Dewpin-Not-Executed: 1", "Content-Length: 0", signed=False) + b"\r\n"


def no_bytes(received: ReceivedRequest) -> bytes:
    return b""


def partial_head(received: ReceivedRequest) -> bytes:
    return head(received, "200 OK")


def with_other_request_id(received: ReceivedRequest) -> bytes:
    return length_delimited(received).replace(received.id.encode(), b"another")


def without_request_id(received: ReceivedRequest) -> bytes:
    return length_delimited(received).replace(b"X-Dewpin-Request-Id: " + received.id.encode() + b"\r\n", b"")


def truncated_by(count: int, build: Callable[[ReceivedRequest], bytes]) -> Callable[[ReceivedRequest], bytes]:
    return lambda received: build(received)[:-count]


def with_body_replaced(
    build: Callable[[ReceivedRequest], bytes], old: bytes, new: bytes
) -> Callable[[ReceivedRequest], bytes]:
    """Replace the last occurrence of some bytes in the body of a response."""

    def respond(received: ReceivedRequest) -> bytes:
        response_head, empty_line, body = build(received).partition(b"\r\n\r\n")
        before, separator, after = body.rpartition(old)
        assert separator
        return response_head + empty_line + before + new + after

    return respond


def with_header_lines(build: Callable[[ReceivedRequest], bytes], *fields: bytes) -> Callable[[ReceivedRequest], bytes]:
    """Add lines to the head of a response."""
    return lambda received: build(received).replace(b"\r\n\r\n", b"\r\n" + b"\r\n".join(fields) + b"\r\n\r\n", 1)


def with_prefix(prefix: bytes, build: Callable[[ReceivedRequest], bytes]) -> Callable[[ReceivedRequest], bytes]:
    return lambda received: prefix + build(received)


def with_suffix(build: Callable[[ReceivedRequest], bytes], suffix: bytes) -> Callable[[ReceivedRequest], bytes]:
    return lambda received: build(received) + suffix


def duplicated(build: Callable[[ReceivedRequest], bytes]) -> Callable[[ReceivedRequest], bytes]:
    return lambda received: build(received) * 2


class SenderHarness:
    """A request handler with scripted receivers; backoffs advance its clock instead of blocking."""

    def __init__(self, kind: str, listed: list[Receiver], target_ms: int = 100) -> None:
        self.kind = kind
        self._backoffs: list[float] = []
        route = {"kind": "stream", "resumable": kind == "resumable"} if kind in STREAM_KINDS else {"kind": kind}
        state = ClusterState(configuration(retries=2, target_ms=target_ms, **route), {SERVICE: tuple(listed)})
        self.handler = RequestHandler(
            state, MemoryStore(), "here", self._clock, self._backoffs.append, random.Random(1)
        )
        self._calls = 0

    def _clock(self) -> float:
        return time.monotonic() + sum(self._backoffs)

    def send_request(self, body: bytes = b"input", timeout_ms: int = 5000) -> tuple[int, bytes, bool]:
        """Return the status, the body and whether the body is incomplete."""
        self._calls += 1
        client_request = request(
            ("X-Dewpin-Request-Deadline", str(timeout_ms)),
            target="/stream" if self.kind in STREAM_KINDS else "/work",
            body=body,
            now=self._clock(),
            request_id=f"r-{self._calls}",
        )
        response = self.handler.handle(client_request)
        if isinstance(response.body, bytes):
            return response.status, response.body, False
        received = b""
        try:
            for part in response.body:
                received += part
        except IncompleteBodyError:
            return response.status, received, True
        return response.status, received, False


def whole_body(kind: str) -> bytes:
    return b"".join(event(number) for number in range(1, EVENTS + 1)) if kind in STREAM_KINDS else BODY


def check_result(kind, consequence, status, result, second):
    """Check the client's result, and whether the second receiver got the request."""
    actual_status, body, is_incomplete = result
    assert len(second.requests) == (1 if consequence == RETRIED else 0)
    if consequence in (RETRIED, FORWARDED):
        expected = (200 if consequence == RETRIED else status, False)
        assert (actual_status, is_incomplete) == expected
        assert body == (whole_body(kind) if actual_status == 200 else b"no")
    elif consequence == INCOMPLETE:
        assert (actual_status, is_incomplete) == (200, True)
        assert whole_body(kind).startswith(body)
    else:
        assert (actual_status, is_incomplete) == (502 if consequence == FAILED else 504, False)


def second_receiver() -> ScriptedReceiver:
    return ScriptedReceiver(respond_and_keep_alive(chunked), id="i-2", zone="there")
