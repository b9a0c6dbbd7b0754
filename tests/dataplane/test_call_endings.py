"""Every way in which a call to a receiver can end, for every kind of request: one test per cell of the table in docs.

The first receiver ends the call in the given way. The second one, which is in another zone and therefore tried last,
sends complete responses. Requests pass through the whole request handler; only backoffs do not block.
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
    SHORT_TIMEOUT_MS,
    STALLED_BODY,
    TIMED_OUT,
    UNKNOWN_EFFECT,
    SenderHarness,
    check_result,
    chunked,
    close_delimited,
    duplicated,
    length_delimited,
    no_bytes,
    partial_head,
    rejecting,
    respond_and_close,
    respond_and_keep_alive,
    respond_and_reset,
    respond_and_stall,
    second_receiver,
    truncated_by,
    whole_body,
    with_body_replaced,
    with_header_lines,
    with_other_request_id,
    with_prefix,
    with_suffix,
    without_request_id,
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
class CallEnding:
    """How a call ends at the first receiver, and the consequence for each kind of request, in the order of `KINDS`."""

    name: str
    script: Callable[[PeerConnection, ReceivedRequest], object]
    consequences: tuple[str, str, str, str]
    status: int = 200
    ends_without_response: bool = False


EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"

ENDINGS = [
    CallEnding("reset after the complete request", reset, UNKNOWN_EFFECT, ends_without_response=True),
    CallEnding("close without a response", respond_and_close(no_bytes), UNKNOWN_EFFECT, ends_without_response=True),
    CallEnding("no response", respond_and_stall(no_bytes), NO_RESPONSE),
    CallEnding("partial head, then close", respond_and_close(partial_head), UNKNOWN_EFFECT),
    CallEnding("partial head, then reset", respond_and_reset(partial_head), UNKNOWN_EFFECT),
    CallEnding("partial head, then stall", respond_and_stall(partial_head), NO_RESPONSE),
    CallEnding("partial status line", respond_and_close(lambda received: b"HTTP/1.1 200"), UNKNOWN_EFFECT),
    CallEnding("malformed response", respond_and_close(lambda received: b"no answer at all\r\n\r\n"), UNKNOWN_EFFECT),
    CallEnding(
        "malformed header line", respond_and_close(with_header_lines(length_delimited, b"no header")), UNKNOWN_EFFECT
    ),
    CallEnding("response with another request id", respond_and_keep_alive(with_other_request_id), UNKNOWN_EFFECT),
    CallEnding("response without a request id", respond_and_keep_alive(without_request_id), UNKNOWN_EFFECT),
    CallEnding(
        "response with a content coding",
        respond_and_keep_alive(with_header_lines(length_delimited, b"Content-Encoding: gzip")),
        UNKNOWN_EFFECT,
    ),
    CallEnding(
        "Content-Length and chunked",
        respond_and_keep_alive(with_header_lines(length_delimited, b"Transfer-Encoding: chunked")),
        UNKNOWN_EFFECT,
    ),
    CallEnding(
        "two values of Content-Length",
        respond_and_keep_alive(with_header_lines(length_delimited, b"Content-Length: 3")),
        UNKNOWN_EFFECT,
    ),
    CallEnding(
        "Content-Length that is not a number",
        respond_and_keep_alive(with_header_lines(close_delimited, b"Content-Length: x")),
        UNKNOWN_EFFECT,
    ),
    CallEnding(
        "unknown transfer coding",
        respond_and_close(with_header_lines(close_delimited, b"Transfer-Encoding: gzip")),
        UNKNOWN_EFFECT,
    ),
    CallEnding("two responses sent together", respond_and_keep_alive(duplicated(length_delimited)), COMPLETE),
    CallEnding("two chunked responses sent together", respond_and_keep_alive(duplicated(chunked)), COMPLETE),
    CallEnding(
        "garbage after a complete response", respond_and_keep_alive(with_suffix(length_delimited, b"garbage")), COMPLETE
    ),
    CallEnding(
        "100 Continue before the response", respond_and_keep_alive(with_prefix(CONTINUE, length_delimited)), COMPLETE
    ),
    CallEnding(
        "103 Early Hints before the response",
        respond_and_keep_alive(with_prefix(EARLY_HINTS + EARLY_HINTS, chunked)),
        COMPLETE,
    ),
    CallEnding("100 Continue without a final response", respond_and_close(lambda received: CONTINUE), UNKNOWN_EFFECT),
    CallEnding("close-delimited response", respond_and_close(close_delimited), COMPLETE),
    CallEnding("close-delimited response, then reset", respond_and_reset(close_delimited), INCOMPLETE_BODY),
    CallEnding(
        "close-delimited response, then stall",
        respond_and_stall(close_delimited),
        STALLED_BODY,
    ),
    CallEnding("truncated body", respond_and_close(truncated_by(7, length_delimited)), INCOMPLETE_BODY),
    CallEnding("truncated body, then reset", respond_and_reset(truncated_by(7, length_delimited)), INCOMPLETE_BODY),
    CallEnding("truncated chunk", respond_and_close(truncated_by(9, chunked)), INCOMPLETE_BODY),
    CallEnding("missing last chunk", respond_and_close(truncated_by(len(END), chunked)), INCOMPLETE_BODY),
    CallEnding("truncated size of the last chunk", respond_and_close(truncated_by(4, chunked)), INCOMPLETE_BODY),
    CallEnding(
        "chunk size that is not a number",
        respond_and_close(with_body_replaced(chunked, END, b"zz\r\n\r\n")),
        INCOMPLETE_BODY,
    ),
    CallEnding(
        "negative chunk size", respond_and_close(with_body_replaced(chunked, END, b"-5\r\n\r\n")), INCOMPLETE_BODY
    ),
    CallEnding(
        "chunk longer than its size",
        respond_and_close(with_body_replaced(chunked, b"\r\n0", b"more\r\n0")),
        INCOMPLETE_BODY,
    ),
    *(
        CallEnding(f"{status} with proof", rejecting(status), NO_EFFECT)
        for status in ("503 Full", "429 Too Many", "421 Misdirected Request", "400 Bad Request")
    ),
    CallEnding("421 without proof", full_response(b"", "421 Misdirected Request", signed=False), NO_EFFECT),
    CallEnding("503 without proof", full_response(b"", "503 Service Unavailable"), UNKNOWN_EFFECT),
    CallEnding("429 without proof", full_response(b"", "429 Too Many Requests"), UNKNOWN_EFFECT),
    CallEnding("408 without proof", full_response(b"", "408 Request Timeout"), UNKNOWN_EFFECT),
    CallEnding("signed 500", full_response(b"no", "500 Internal Server Error"), RECEIVER_ERROR, status=500),
    CallEnding("signed 504", full_response(b"no", "504 Gateway Timeout"), RECEIVER_ERROR, status=504),
    CallEnding("signed 404", full_response(b"no", "404 Not Found"), COMPLETE, status=404),
    CallEnding("success without a signature", full_response(BODY, signed=False), UNKNOWN_EFFECT),
]


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("ending", ENDINGS, ids=lambda ending: ending.name)
def test_call_ending_has_the_documented_consequence(ending, kind):
    consequence = ending.consequences[KINDS.index(kind)]
    first, second = ScriptedReceiver(ending.script, id="i-1"), second_receiver()
    times_out = TIMED_OUT in ending.consequences
    with receivers(first, second) as listed:
        result = SenderHarness(kind, listed).send_request(timeout_ms=SHORT_TIMEOUT_MS if times_out else 5000)
    assert len(first.requests) == 1
    check_result(kind, consequence, ending.status, result, second)


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("ending", ENDINGS, ids=lambda ending: ending.name)
def test_call_ending_on_reused_connection_has_the_documented_consequence(ending, kind, monkeypatch):
    """The consequences are the same as on a new connection.

    If the connection ends before any byte of a response, an idempotent call is repeated at the same receiver, on a new
    connection.
    """
    monkeypatch.setattr("dewpin.dataplane.upstream.connection_pool.STALE_RESET_WITHIN_S", PATIENCE_S)
    consequence = ending.consequences[KINDS.index(kind)]
    first, second = ScriptedReceiver(respond_and_keep_alive(chunked), ending.script, id="i-1"), second_receiver()
    times_out = TIMED_OUT in ending.consequences
    with receivers(first, second) as listed:
        sender = SenderHarness(kind, listed)
        assert sender.send_request() == (200, whole_body(kind), False)
        result = sender.send_request(timeout_ms=SHORT_TIMEOUT_MS if times_out else 5000)
    is_repeated = ending.ends_without_response and consequence == RETRIED
    assert (len(first.requests), first.connections) == ((3, 2) if is_repeated else (2, 1))
    check_result(kind, consequence, ending.status, result, second)
