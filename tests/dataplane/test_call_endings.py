"""Every way a call to a receiver can end against every kind of request: one row per cell of the table in the docs.

The first receiver ends the call in some way; the second one, which comes second because it is in another zone, answers
properly. The requests go through the whole request path; only the pauses between calls are not made.
"""

from collections.abc import Callable
from dataclasses import dataclass

import pytest
from dataplane.call_endings import (
    BODY,
    BROKEN_BODY,
    CONTINUE,
    KINDS,
    OWN_ERROR,
    PROVED,
    REPEATED,
    SHORT_MS,
    SILENT,
    SILENT_BODY,
    TIMED_OUT,
    UNKNOWN,
    WHOLE,
    Front,
    answer_and_close,
    answer_and_fall_silent,
    answer_and_keep,
    answer_and_reset,
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
    second_receiver,
    twice,
    unframed,
    whole_body,
)
from dataplane.peers import END, PATIENCE_S, PeerConnection, ReceivedRequest, ScriptedReceiver, receivers, reset, whole


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


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("ending", ENDINGS, ids=lambda ending: ending.name)
def test_call_ending_has_the_documented_consequence(ending, kind):
    follows = ending.follows[KINDS.index(kind)]
    first, second = ScriptedReceiver(ending.script, id="i-1"), second_receiver()
    silent = TIMED_OUT in ending.follows
    with receivers(first, second) as listed:
        given = Front(kind, listed).ask(time_ms=SHORT_MS if silent else 5000)
    assert len(first.requests) == 1
    check(kind, follows, ending.status, given, second)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("ending", ENDINGS, ids=lambda ending: ending.name)
def test_call_ending_on_reused_connection_has_the_documented_consequence(ending, kind, monkeypatch):
    """A connection that served a call before proves no more and no less.

    Where it ends without a byte of an answer, what may run twice goes to the same receiver again, on a new connection.
    """
    monkeypatch.setattr("dewpin.dataplane.upstream.connection_pool.STALE_RESET_WITHIN_S", PATIENCE_S)
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
