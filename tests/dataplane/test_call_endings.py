"""Every way a call to a receiver can end against every kind of request: one row per cell of the table in the docs.

The first receiver ends the call in some way; the second one, which comes second because it is in another zone, answers
properly. The requests go through the whole request path; only the pauses between calls are not made.
"""

import contextlib
import random
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass

import pytest
from dataplane.peers import (
    END,
    PATIENCE_S,
    SERVICE,
    MemoryStore,
    PeerConnection,
    ReceivedRequest,
    ScriptedReceiver,
    chunk,
    configuration,
    event,
    head,
    receivers,
    request,
    reset,
    whole,
)

from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.cluster_state import ClusterState
from dewpin.dataplane.messages import BodyBroken
from dewpin.dataplane.receiver_connections import ReceiverConnections
from dewpin.dataplane.request_path import RequestPath

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


@dataclass(frozen=True)
class Ending:
    """How a call ends at the first receiver, and what follows for each kind of request, in the order of `KINDS`."""

    name: str
    script: Callable[[PeerConnection, ReceivedRequest], object]
    follows: tuple[str, str, str, str]
    status: int = 200
    is_bare_end: bool = False


CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

ENDINGS = [
    Ending("reset after the whole request", reset, UNKNOWN, is_bare_end=True),
    Ending("close without an answer", answer_and_close(nothing), UNKNOWN, is_bare_end=True),
    Ending("silence", answer_and_fall_silent(nothing), SILENT),
    Ending("half a head, then the end", answer_and_close(half_a_head), UNKNOWN),
    Ending("half a head, then a reset", answer_and_reset(half_a_head), UNKNOWN),
    Ending("half a head, then silence", answer_and_fall_silent(half_a_head), SILENT),
    Ending("half a status line", answer_and_close(lambda got: b"HTTP/1.1 200"), UNKNOWN),
    Ending("bytes that are no answer", answer_and_close(lambda got: b"no answer at all\r\n\r\n"), UNKNOWN),
    Ending("a line in the head that is no header", answer_and_close(headed(framed, b"no header")), UNKNOWN),
    Ending("an answer to another id", answer_and_keep(of_another), UNKNOWN),
    Ending("an answer without an id", answer_and_keep(of_none), UNKNOWN),
    Ending("an answer with a coding", answer_and_keep(headed(framed, b"Content-Encoding: gzip")), UNKNOWN),
    Ending("a length and chunks", answer_and_keep(headed(framed, b"Transfer-Encoding: chunked")), UNKNOWN),
    Ending("two lengths", answer_and_keep(headed(framed, b"Content-Length: 3")), UNKNOWN),
    Ending("a length that is no number", answer_and_keep(headed(unframed, b"Content-Length: x")), UNKNOWN),
    Ending("an unknown transfer coding", answer_and_close(headed(unframed, b"Transfer-Encoding: gzip")), UNKNOWN),
    Ending("two answers at once", answer_and_keep(twice(framed)), WHOLE),
    Ending("two answers in chunks at once", answer_and_keep(twice(chunked)), WHOLE),
    Ending("garbage after a whole answer", answer_and_keep(behind(framed, b"garbage")), WHOLE),
    Ending("100 Continue before the answer", answer_and_keep(before(CONTINUE, framed)), WHOLE),
    Ending("103 before the answer", answer_and_keep(before(HINTS + HINTS, chunked)), WHOLE),
    Ending("100 Continue and nothing more", answer_and_close(lambda got: CONTINUE), UNKNOWN),
    Ending("an answer without a length", answer_and_close(unframed), WHOLE),
    Ending("an answer without a length, reset at its end", answer_and_reset(unframed), BROKEN_BODY),
    Ending(
        "an answer without a length, silent at its end",
        answer_and_fall_silent(unframed),
        SILENT_BODY,
    ),
    Ending("a body that is too short", answer_and_close(cut_by(7, framed)), BROKEN_BODY),
    Ending("a body that is too short, then a reset", answer_and_reset(cut_by(7, framed)), BROKEN_BODY),
    Ending("a chunk that is cut", answer_and_close(cut_by(9, chunked)), BROKEN_BODY),
    Ending("no last chunk", answer_and_close(cut_by(len(END), chunked)), BROKEN_BODY),
    Ending("half of the last chunk's size", answer_and_close(cut_by(4, chunked)), BROKEN_BODY),
    Ending("a chunk's size that is no number", answer_and_close(changed(chunked, END, b"zz\r\n\r\n")), BROKEN_BODY),
    Ending("a chunk's size below zero", answer_and_close(changed(chunked, END, b"-5\r\n\r\n")), BROKEN_BODY),
    Ending(
        "a chunk longer than its size",
        answer_and_close(changed(chunked, b"\r\n0", b"more\r\n0")),
        BROKEN_BODY,
    ),
    *(
        Ending(f"{status} with proof", refusing(status), PROVED)
        for status in ("503 Full", "429 Too Many", "421 Misdirected Request", "400 Bad Request")
    ),
    Ending("421 without proof", whole(b"", "421 Misdirected Request", signed=False), PROVED),
    Ending("503 without proof", whole(b"", "503 Service Unavailable"), UNKNOWN),
    Ending("429 without proof", whole(b"", "429 Too Many Requests"), UNKNOWN),
    Ending("408 without proof", whole(b"", "408 Request Timeout"), UNKNOWN),
    Ending("an own 500", whole(b"no", "500 Internal Server Error"), OWN_ERROR, status=500),
    Ending("an own 504", whole(b"no", "504 Gateway Timeout"), OWN_ERROR, status=504),
    Ending("an own 404", whole(b"no", "404 Not Found"), WHOLE, status=404),
    Ending("a success without a signature", whole(BODY, signed=False), UNKNOWN),
]


class Front:
    """A request path over a first and a second receiver; the clock goes on by pauses as well, which are not made."""

    def __init__(self, kind: str, listed: list[Receiver], target_ms: int = 100) -> None:
        self.kind = kind
        self._pauses: list[float] = []
        route = {"kind": "stream", "resumable": kind == "resumable"} if kind in STREAM_KINDS else {"kind": kind}
        state = ClusterState(configuration(retries=2, target_ms=target_ms, **route), {SERVICE: tuple(listed)})
        self.path = RequestPath(state, MemoryStore(), "here", self._clock, self._pauses.append, random.Random(1))
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
        except BodyBroken:
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


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("ending", ENDINGS, ids=lambda ending: ending.name)
def test_what_follows_the_end_of_a_call(ending, kind):
    follows = ending.follows[KINDS.index(kind)]
    first, second = ScriptedReceiver(ending.script, id="i-1"), second_receiver()
    silent = TIMED_OUT in ending.follows
    with receivers(first, second) as listed:
        given = Front(kind, listed).ask(time_ms=SHORT_MS if silent else 5000)
    assert len(first.requests) == 1
    check(kind, follows, ending.status, given, second)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("ending", ENDINGS, ids=lambda ending: ending.name)
def test_what_follows_the_end_of_a_call_on_a_used_connection(ending, kind, monkeypatch):
    """A connection that served a call before proves no more and no less.

    Where it ends without a byte of an answer, what may run twice goes to the same receiver again, on a new connection.
    """
    monkeypatch.setattr("dewpin.dataplane.receiver_connections.FORGOTTEN_WITHIN_S", PATIENCE_S)
    follows = ending.follows[KINDS.index(kind)]
    first, second = ScriptedReceiver(answer_and_keep(chunked), ending.script, id="i-1"), second_receiver()
    silent = TIMED_OUT in ending.follows
    with receivers(first, second) as listed:
        front = Front(kind, listed)
        assert front.ask() == (200, whole_body(kind), False)
        given = front.ask(time_ms=SHORT_MS if silent else 5000)
    goes_on_anew = ending.is_bare_end and follows == REPEATED
    assert (len(first.requests), first.connections) == ((3, 2) if goes_on_anew else (2, 1))
    check(kind, follows, ending.status, given, second)


class RawReceiver:
    """Accepts connections and hands each to a script that reads for itself."""

    def __init__(self, script: Callable[[socket.socket], None], id: str = "i-1") -> None:
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._script = script
        self.connections = 0
        host, port = self._listener.getsockname()
        self.receiver = Receiver(id, SERVICE, f"{host}:{port}", "here", 4, False, 0.0, "v1")
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            sock.settimeout(PATIENCE_S)
            threading.Thread(target=self._script, args=(sock,), daemon=True).start()

    def close(self) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


def read_head(sock: socket.socket) -> ReceivedRequest:
    """Read a head byte by byte, so that nothing of the body is taken."""
    data = b""
    while not data.endswith(b"\r\n\r\n"):
        data += sock.recv(1)
    return ReceivedRequest(data[:-4], b"")


@pytest.mark.parametrize("kind", KINDS)
def test_a_refused_connect_proves_that_nothing_ran(kind):
    first, second = ScriptedReceiver(whole(), id="i-1"), second_receiver()
    first.close()
    with receivers(second) as listed:
        given = Front(kind, [first.receiver, *listed]).ask()
    check(kind, REPEATED, 200, given, second)


@pytest.mark.parametrize("kind", KINDS)
def test_a_connect_that_hangs_proves_that_nothing_ran(kind):
    listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    host, port = listener.getsockname()
    waiting = [socket.socket() for _ in range(3)]
    for sock in waiting:
        sock.setblocking(False)
        sock.connect_ex((host, port))
    hanging = Receiver("i-1", SERVICE, f"{host}:{port}", "here", 4, False, 0.0, "v1")
    second = second_receiver()
    with receivers(second) as listed:
        given = Front(kind, [hanging, *listed]).ask(time_ms=2400)
    check(kind, REPEATED, 200, given, second)
    for sock in [listener, *waiting]:
        sock.close()


@pytest.mark.parametrize("kind", KINDS)
def test_a_reset_before_the_request_is_out_proves_that_nothing_ran(kind, monkeypatch):
    gone = threading.Event()
    connect = ReceiverConnections.connect

    def reset_at_once(sock):
        PeerConnection(sock).reset()
        gone.set()

    def connect_and_wait(connections, timeout_s):
        connection = connect(connections, timeout_s)
        if connection.port == int(first.receiver.address.rpartition(":")[2]):
            assert gone.wait(PATIENCE_S)
        return connection

    first, second = RawReceiver(reset_at_once), second_receiver()
    monkeypatch.setattr(ReceiverConnections, "connect", connect_and_wait)
    with receivers(first, second) as listed:
        given = Front(kind, listed).ask()
    check(kind, REPEATED, 200, given, second)


@pytest.mark.parametrize("kind", KINDS)
def test_a_used_connection_on_which_nothing_could_be_sent_gives_way_to_a_new_one(kind, monkeypatch):
    """The end of the connection comes between the last look at it and the sending: the call goes on at its receiver."""
    monkeypatch.setattr("dewpin.dataplane.receiver_connection.ReceiverConnection.is_connected", True)
    gone = threading.Event()

    def answer_and_reset_at_rest(connection, got):
        connection.send(chunked(got))
        connection.wait_until_taken()
        connection.reset()
        gone.set()
        return True

    first, second = ScriptedReceiver(answer_and_reset_at_rest, answer_and_keep(chunked), id="i-1"), second_receiver()
    with receivers(first, second) as listed:
        front = Front(kind, listed)
        front.ask()
        assert gone.wait(PATIENCE_S)
        assert front.ask() == (200, whole_body(kind), False)
    assert (len(first.requests), first.connections, second.requests) == (2, 2, [])


@pytest.mark.parametrize("kind", KINDS)
def test_a_reset_after_a_part_of_the_request_proves_nothing(kind):
    def read_some(sock):
        read_head(sock)
        PeerConnection(sock).reset()

    first, second = RawReceiver(read_some), second_receiver()
    with receivers(first, second) as listed:
        given = Front(kind, listed).ask(LONG_BODY)
    check(kind, UNKNOWN[KINDS.index(kind)], 200, given, second)


EARLY = [
    ("refusal", early_refusal, PROVED, 200),
    ("error", lambda got: head(got, "500 No", "Content-Length: 2") + b"\r\nno", OWN_ERROR, 500),
    ("success", framed, WHOLE, 200),
    ("success behind 100 Continue", lambda got: CONTINUE + framed(got), WHOLE, 200),
]


@pytest.mark.parametrize("then", ["reads on", "resets"])
@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(("name", "make", "follows", "status"), EARLY, ids=[row[0] for row in EARLY])
def test_an_answer_before_the_body_is_read_counts_and_ends_the_connection(name, make, follows, status, kind, then):
    """Whoever reads on later gets the rest of that body or the end of the connection, and no other bytes."""
    answered = threading.Event()
    read_on: list[bytes] = []
    done = threading.Event()

    def answer_early(sock):
        got = read_head(sock)
        sock.sendall(make(got))
        if got.id != "r-1":
            return
        if then == "resets":
            PeerConnection(sock).wait_until_taken()
            PeerConnection(sock).reset()
        else:
            assert answered.wait(PATIENCE_S)
            with contextlib.suppress(ConnectionError):
                while data := sock.recv(1 << 20):
                    read_on.append(data)
        done.set()

    first, second = RawReceiver(answer_early), second_receiver()
    with receivers(first, second) as listed:
        front = Front(kind, listed)
        given = front.ask(LONG_BODY)
        check(kind, follows[KINDS.index(kind)], status, given, second)
        answered.set()
        front.ask(time_ms=SHORT_MS)
        assert done.wait(PATIENCE_S)
    rest = b"".join(read_on)
    assert rest == LONG_BODY[: len(rest)]


@pytest.mark.parametrize("kind", KINDS)
def test_an_early_answer_without_a_length_that_is_reset_is_not_whole(kind):
    """The reset may be met by sending the rest of the body; what is read then ends as if the connection were closed."""

    def answer_early(sock):
        sock.sendall(unframed(read_head(sock)))
        PeerConnection(sock).wait_until_taken()
        PeerConnection(sock).reset()

    first, second = RawReceiver(answer_early), second_receiver()
    with receivers(first, second) as listed:
        given = Front(kind, listed).ask(LONG_BODY)
    check(kind, BROKEN_BODY[KINDS.index(kind)], 200, given, second)


@pytest.mark.parametrize("kind", KINDS)
def test_an_answer_that_waits_for_the_rest_of_the_body_gets_it(kind):
    """The head of an answer may come early and its body only once the request was read whole."""

    def answer_head_first(sock):
        got = read_head(sock)
        data = framed(got)
        split = data.index(b"\r\n\r\n") + 4
        sock.sendall(data[:split])
        left = int(got.headers["content-length"])
        while left:
            left -= len(sock.recv(min(left, 1 << 20)))
        sock.sendall(data[split:])

    first, second = RawReceiver(answer_head_first), second_receiver()
    with receivers(first, second) as listed:
        given = Front(kind, listed).ask(LONG_BODY)
    check(kind, ANSWERED, 200, given, second)


@pytest.mark.parametrize("kind", KINDS)
def test_a_late_answer_in_the_place_of_the_next_is_skipped(kind):
    """One answer too many comes once the next request is read; the answer that is due follows it."""
    sent = []

    def answer_again_and_then(connection, got):
        connection.send(sent[0] + chunked(got))

    def answer_and_remember(connection, got):
        sent.append(chunked(got))
        connection.send(sent[0])

    first, second = ScriptedReceiver(answer_and_remember, answer_again_and_then, id="i-1"), second_receiver()
    with receivers(first, second) as listed:
        front = Front(kind, listed)
        assert front.ask() == front.ask() == (200, whole_body(kind), False)
    assert (first.connections, second.requests) == (1, [])


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize(
    "extra", [twice(framed), twice(chunked), behind(framed, b"garbage"), behind(chunked, b"HTTP/1.1 2")]
)
def test_a_connection_with_bytes_behind_an_answer_is_not_used_again(extra, kind):
    first, second = ScriptedReceiver(answer_and_keep(extra), answer_and_keep(chunked), id="i-1"), second_receiver()
    with receivers(first, second) as listed:
        front = Front(kind, listed)
        assert front.ask() == front.ask() == (200, whole_body(kind), False)
    assert (first.connections, second.requests) == (2, [])


@pytest.mark.parametrize("kind", KINDS)
def test_a_late_copy_of_a_refusal_is_no_proof_for_the_request_sent_again(kind, monkeypatch):
    """The same request never goes twice on one connection: a copy of its first refusal would look like the second's.

    With one receiver only, the repeat goes to the one that refused.
    """
    monkeypatch.setattr("dewpin.dataplane.retry.REPEAT_PAUSE_S", 0.001)
    monkeypatch.setattr("dewpin.dataplane.receiver_load.FIRST_FAILURE_WAIT_S", 0.001)

    def refuse(connection, got):
        connection.send(early_refusal(got))

    def run_behind_a_copy(connection, got):
        copy = early_refusal(got) if first.connections == 1 else b""
        connection.send(copy + chunked(got))

    first = ScriptedReceiver(refuse, run_behind_a_copy, id="i-1")
    with receivers(first) as listed:
        assert Front(kind, listed, target_ms=5000).ask() == (200, whole_body(kind), False)
    assert (len(first.requests), first.connections) == (2, 2)
