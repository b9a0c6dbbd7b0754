"""Every way a call to a receiver can end against every kind of request: one row per cell of the table in the docs.

The first receiver ends the call in some way; the second one, which comes second because it is in another zone, answers
properly. The requests go through the whole request handler; only backoffs do not block.
"""

from collections.abc import Callable
from dataclasses import dataclass

import pytest
from dataplane.call_endings import (
    BODY,
    COMPLETE,
    CONTINUE,
    INCOMPLETE_BODY,
    KINDS,
    NO_EFFECT,
    NO_RESPONSE,
    RECEIVER_ERROR,
    RETRIED,
    SHORT_MS,
    STALLED_BODY,
    TIMED_OUT,
    UNKNOWN_EFFECT,
    SenderHarness,
    before,
    behind,
    changed,
    check,
    chunked,
    cut_by,
    framed,
    half_a_head,
    headed,
    nothing,
    of_another,
    of_none,
    refusing,
    respond_and_close,
    respond_and_fall_silent,
    respond_and_keep,
    respond_and_reset,
    second_receiver,
    twice,
    unframed,
    whole_body,
)
from dataplane.peers import (
    END,
    PATIENCE_S,
    PeerConnection,
    ReceivedRequest,
    ScriptedReceiver,
    full_response,
    receivers,
    reset,
)


@dataclass(frozen=True)
class Ending:
    """How a call ends at the first receiver, and what follows for each kind of request, in the order of `KINDS`."""

    name: str
    script: Callable[[PeerConnection, ReceivedRequest], object]
    follows: tuple[str, str, str, str]
    status: int = 200
    is_bare_end: bool = False


HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

ENDINGS = [
    Ending("reset after the whole request", reset, UNKNOWN_EFFECT, is_bare_end=True),
    Ending("close without an answer", respond_and_close(nothing), UNKNOWN_EFFECT, is_bare_end=True),
    Ending("silence", respond_and_fall_silent(nothing), NO_RESPONSE),
    Ending("half a head, then the end", respond_and_close(half_a_head), UNKNOWN_EFFECT),
    Ending("half a head, then a reset", respond_and_reset(half_a_head), UNKNOWN_EFFECT),
    Ending("half a head, then silence", respond_and_fall_silent(half_a_head), NO_RESPONSE),
    Ending("half a status line", respond_and_close(lambda got: b"HTTP/1.1 200"), UNKNOWN_EFFECT),
    Ending("bytes that are no answer", respond_and_close(lambda got: b"no answer at all\r\n\r\n"), UNKNOWN_EFFECT),
    Ending("a line in the head that is no header", respond_and_close(headed(framed, b"no header")), UNKNOWN_EFFECT),
    Ending("an answer to another id", respond_and_keep(of_another), UNKNOWN_EFFECT),
    Ending("an answer without an id", respond_and_keep(of_none), UNKNOWN_EFFECT),
    Ending("an answer with a coding", respond_and_keep(headed(framed, b"Content-Encoding: gzip")), UNKNOWN_EFFECT),
    Ending("a length and chunks", respond_and_keep(headed(framed, b"Transfer-Encoding: chunked")), UNKNOWN_EFFECT),
    Ending("two lengths", respond_and_keep(headed(framed, b"Content-Length: 3")), UNKNOWN_EFFECT),
    Ending("a length that is no number", respond_and_keep(headed(unframed, b"Content-Length: x")), UNKNOWN_EFFECT),
    Ending(
        "an unknown transfer coding", respond_and_close(headed(unframed, b"Transfer-Encoding: gzip")), UNKNOWN_EFFECT
    ),
    Ending("two answers at once", respond_and_keep(twice(framed)), COMPLETE),
    Ending("two answers in chunks at once", respond_and_keep(twice(chunked)), COMPLETE),
    Ending("garbage after a whole answer", respond_and_keep(behind(framed, b"garbage")), COMPLETE),
    Ending("100 Continue before the answer", respond_and_keep(before(CONTINUE, framed)), COMPLETE),
    Ending("103 before the answer", respond_and_keep(before(HINTS + HINTS, chunked)), COMPLETE),
    Ending("100 Continue and nothing more", respond_and_close(lambda got: CONTINUE), UNKNOWN_EFFECT),
    Ending("an answer without a length", respond_and_close(unframed), COMPLETE),
    Ending("an answer without a length, reset at its end", respond_and_reset(unframed), INCOMPLETE_BODY),
    Ending(
        "an answer without a length, silent at its end",
        respond_and_fall_silent(unframed),
        STALLED_BODY,
    ),
    Ending("a body that is too short", respond_and_close(cut_by(7, framed)), INCOMPLETE_BODY),
    Ending("a body that is too short, then a reset", respond_and_reset(cut_by(7, framed)), INCOMPLETE_BODY),
    Ending("a chunk that is cut", respond_and_close(cut_by(9, chunked)), INCOMPLETE_BODY),
    Ending("no last chunk", respond_and_close(cut_by(len(END), chunked)), INCOMPLETE_BODY),
    Ending("half of the last chunk's size", respond_and_close(cut_by(4, chunked)), INCOMPLETE_BODY),
    Ending(
        "a chunk's size that is no number", respond_and_close(changed(chunked, END, b"zz\r\n\r\n")), INCOMPLETE_BODY
    ),
    Ending("a chunk's size below zero", respond_and_close(changed(chunked, END, b"-5\r\n\r\n")), INCOMPLETE_BODY),
    Ending(
        "a chunk longer than its size",
        respond_and_close(changed(chunked, b"\r\n0", b"more\r\n0")),
        INCOMPLETE_BODY,
    ),
    *(
        Ending(f"{status} with proof", refusing(status), NO_EFFECT)
        for status in ("503 Full", "429 Too Many", "421 Misdirected Request", "400 Bad Request")
    ),
    Ending("421 without proof", full_response(b"", "421 Misdirected Request", signed=False), NO_EFFECT),
    Ending("503 without proof", full_response(b"", "503 Service Unavailable"), UNKNOWN_EFFECT),
    Ending("429 without proof", full_response(b"", "429 Too Many Requests"), UNKNOWN_EFFECT),
    Ending("408 without proof", full_response(b"", "408 Request Timeout"), UNKNOWN_EFFECT),
    Ending("an own 500", full_response(b"no", "500 Internal Server Error"), RECEIVER_ERROR, status=500),
    Ending("an own 504", full_response(b"no", "504 Gateway Timeout"), RECEIVER_ERROR, status=504),
    Ending("an own 404", full_response(b"no", "404 Not Found"), COMPLETE, status=404),
    Ending("a success without a signature", full_response(BODY, signed=False), UNKNOWN_EFFECT),
]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("ending", ENDINGS, ids=lambda ending: ending.name)
def test_call_ending_has_the_documented_consequence(ending, kind):
    follows = ending.follows[KINDS.index(kind)]
    first, second = ScriptedReceiver(ending.script, id="i-1"), second_receiver()
    silent = TIMED_OUT in ending.follows
    with receivers(first, second) as listed:
        given = SenderHarness(kind, listed).send_request(time_ms=SHORT_MS if silent else 5000)
    assert len(first.requests) == 1
    check(kind, follows, ending.status, given, second)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("ending", ENDINGS, ids=lambda ending: ending.name)
def test_call_ending_on_reused_connection_has_the_documented_consequence(ending, kind, monkeypatch):
    """A reused connection proves no more and no less.

    If it ends without a byte of a response, an idempotent call is made again at the same receiver, on a new connection.
    """
    monkeypatch.setattr("dewpin.dataplane.upstream.connection_pool.STALE_RESET_WITHIN_S", PATIENCE_S)
    follows = ending.follows[KINDS.index(kind)]
    first, second = ScriptedReceiver(respond_and_keep(chunked), ending.script, id="i-1"), second_receiver()
    silent = TIMED_OUT in ending.follows
    with receivers(first, second) as listed:
        sender = SenderHarness(kind, listed)
        assert sender.send_request() == (200, whole_body(kind), False)
        given = sender.send_request(time_ms=SHORT_MS if silent else 5000)
    goes_on_anew = ending.is_bare_end and follows == RETRIED
    assert (len(first.requests), first.connections) == ((3, 2) if goes_on_anew else (2, 1))
    check(kind, follows, ending.status, given, second)
