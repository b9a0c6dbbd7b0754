"""Answers of scripted receivers that end a call in some way, and what a client is to be given after it."""

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
    head,
    request,
    whole,
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

REPEATED = "repeated"
"""The second receiver gets the request, or the rest of the stream, and the client a whole answer."""
ANSWERED = "answered"
"""The client gets the first receiver's answer; the second one gets nothing."""
ENDED = "ended"
"""The client gets a 502 without a promise; the second receiver gets nothing."""
TIMED_OUT = "timed out"
"""The client gets a 504 without a promise when the time ends; the second receiver gets nothing."""
CUT = "cut"
"""The client's answer breaks off visibly; the second receiver gets nothing."""

PROVED = (REPEATED, REPEATED, REPEATED, REPEATED)
WHOLE = (ANSWERED, ANSWERED, ANSWERED, ANSWERED)
UNKNOWN = (REPEATED, REPEATED, ENDED, ENDED)
BROKEN_BODY = (REPEATED, REPEATED, CUT, ENDED)
SILENT = (TIMED_OUT, TIMED_OUT, TIMED_OUT, TIMED_OUT)
SILENT_BODY = (TIMED_OUT, CUT, CUT, TIMED_OUT)
OWN_ERROR = (REPEATED, REPEATED, ANSWERED, ANSWERED)

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


def is_stream(got: ReceivedRequest) -> bool:
    return got.line.split()[1].startswith("/stream")


def body_parts(got: ReceivedRequest) -> list[bytes]:
    """Return the events, or the halves of the body, that a proper answer brings."""
    if not is_stream(got):
        return [BODY[:8], BODY[8:]]
    first = int(got.headers.get("last-event-id", "0")) + 1
    return [event(number) for number in range(first, EVENTS + 1)]


def framed(got: ReceivedRequest, *fields: str) -> bytes:
    """Return a proper answer with a length."""
    body = b"".join(body_parts(got))
    return head(got, "200 OK", f"Content-Length: {len(body)}", *fields) + b"\r\n" + body


def chunked(got: ReceivedRequest) -> bytes:
    """Return a proper answer in chunks."""
    chunks = b"".join(chunk(part) for part in body_parts(got))
    return head(got, "200 OK", "Transfer-Encoding: chunked") + b"\r\n" + chunks + END


def unframed(got: ReceivedRequest) -> bytes:
    """Return a proper answer that ends with its connection."""
    return head(got, "200 OK") + b"\r\n" + b"".join(body_parts(got))


def answer_and_close(make: Callable[[ReceivedRequest], bytes]):
    def script(connection: PeerConnection, got: ReceivedRequest) -> bool:
        connection.send(make(got))
        return True

    return script


def answer_and_keep(make: Callable[[ReceivedRequest], bytes]):
    def script(connection: PeerConnection, got: ReceivedRequest) -> None:
        connection.send(make(got))

    return script


def answer_and_reset(make: Callable[[ReceivedRequest], bytes]):
    """Reset once the caller has read what was sent, which it tells by waiting for more."""

    def script(connection: PeerConnection, got: ReceivedRequest) -> bool:
        connection.send(make(got))
        connection.wait_until_taken()
        connection.reset()
        return True

    return script


def answer_and_fall_silent(make: Callable[[ReceivedRequest], bytes]):
    def script(connection: PeerConnection, got: ReceivedRequest) -> bool:
        connection.send(make(got))
        connection.wait_for_close()
        return True

    return script


def refusing(status: str, *fields: str):
    return whole(b"", status, "X-Dewpin-Not-Executed: 1", *fields, signed=False)


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
    """Return an answer with the last occurrence of some bytes in its body replaced."""

    def answer(got: ReceivedRequest) -> bytes:
        top, empty_line, body = make(got).partition(b"\r\n\r\n")
        before, found, behind = body.rpartition(old)
        assert found
        return top + empty_line + before + new + behind

    return answer


def headed(make: Callable[[ReceivedRequest], bytes], *fields: bytes) -> Callable[[ReceivedRequest], bytes]:
    """Return an answer with more lines in its head."""
    return lambda got: make(got).replace(b"\r\n\r\n", b"\r\n" + b"\r\n".join(fields) + b"\r\n\r\n", 1)


def before(first: bytes, make: Callable[[ReceivedRequest], bytes]) -> Callable[[ReceivedRequest], bytes]:
    return lambda got: first + make(got)


def behind(make: Callable[[ReceivedRequest], bytes], last: bytes) -> Callable[[ReceivedRequest], bytes]:
    return lambda got: make(got) + last


def twice(make: Callable[[ReceivedRequest], bytes]) -> Callable[[ReceivedRequest], bytes]:
    return lambda got: make(got) * 2


class Front:
    """A request path over a first and a second receiver; the clock goes on by pauses as well, which are not made."""

    def __init__(self, kind: str, listed: list[Receiver], target_ms: int = 100) -> None:
        self.kind = kind
        self._pauses: list[float] = []
        route = {"kind": "stream", "resumable": kind == "resumable"} if kind in STREAM_KINDS else {"kind": kind}
        state = ClusterState(configuration(retries=2, target_ms=target_ms, **route), {SERVICE: tuple(listed)})
        self.path = RequestHandler(state, MemoryStore(), "here", self._clock, self._pauses.append, random.Random(1))
        self._calls = 0

    def _clock(self) -> float:
        return time.monotonic() + sum(self._pauses)

    def ask(self, body: bytes = b"input", time_ms: int = 5000) -> tuple[int, bytes, bool]:
        """Return the status, the body and whether it broke off."""
        self._calls += 1
        asked = request(
            ("X-Dewpin-Request-Deadline", str(time_ms)),
            target="/stream" if self.kind in STREAM_KINDS else "/work",
            body=body,
            now=self._clock(),
            request_id=f"r-{self._calls}",
        )
        answer = self.path.handle(asked)
        if isinstance(answer.body, bytes):
            return answer.status, answer.body, False
        got = b""
        try:
            for part in answer.body:
                got += part
        except IncompleteBodyError:
            return answer.status, got, True
        return answer.status, got, False


def whole_body(kind: str) -> bytes:
    return b"".join(event(number) for number in range(1, EVENTS + 1)) if kind in STREAM_KINDS else BODY


def check(kind, follows, status, given, second):
    """Check what the client was given, and whether the second receiver got the request."""
    got_status, body, broken = given
    assert len(second.requests) == (1 if follows == REPEATED else 0)
    if follows in (REPEATED, ANSWERED):
        expected = (200 if follows == REPEATED else status, False)
        assert (got_status, broken) == expected
        assert body == (whole_body(kind) if got_status == 200 else b"no")
    elif follows == CUT:
        assert (got_status, broken) == (200, True)
        assert whole_body(kind).startswith(body)
    else:
        assert (got_status, broken) == (502 if follows == ENDED else 504, False)


def second_receiver() -> ScriptedReceiver:
    return ScriptedReceiver(answer_and_keep(chunked), id="i-2", zone="there")
