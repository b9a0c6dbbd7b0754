"""Limits of responses: what one response and one receiver may take, and that a call ends as soon as it is exceeded."""

from http import HTTPStatus

import pytest
from dataplane.peers import STREAM_FIELDS, ScriptedReceiver, chunk, event, full_response, head, receivers, stream
from dataplane.request_handler_harness import RequestHandlerHarness, read

from dewpin.cluster.memory_budget import MemoryBudget
from dewpin.dataplane.upstream import response_limits
from dewpin.dataplane.upstream.outcome import IncompleteResponseError, Outcome
from dewpin.dataplane.upstream.response_limits import CHUNKS, EVENTS, STREAM_BYTES, ReceiverShare, ResponseMeter

SHARE_BYTES = 1_000
HUGE_LENGTH = 10**15
BLOCK = bytes(65_536)


class Clock:
    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def share():
    return ReceiverShare(SHARE_BYTES)


@pytest.fixture
def account():
    return MemoryBudget(10 * SHARE_BYTES).open_account()


@pytest.fixture
def meter(share, clock, account):
    return ResponseMeter(share, clock, account)


def outcome_of(action, *arguments):
    with pytest.raises(IncompleteResponseError) as raised:
        action(*arguments)
    return raised.value.outcome


def test_responses_of_one_receiver_share_its_limit(share, clock, meter):
    other = ResponseMeter(share, clock)
    meter.hold(600)
    other.hold(400)
    assert outcome_of(meter.hold, 601) is Outcome.LIMIT_EXCEEDED
    other.end()
    meter.hold(1_000)
    meter.end()
    assert share.held_bytes == 0


def test_incomplete_response_releases_the_memory_of_its_request(meter, account):
    meter.hold(500)
    assert account.held_bytes == 500
    meter.end()
    assert account.held_bytes == 0


def test_complete_body_stays_charged_to_its_request(meter, account, share):
    meter.hold(500)
    meter.end(is_body_kept=True)
    assert (account.held_bytes, share.held_bytes) == (500, 0)


def test_end_is_idempotent(meter, account, share):
    meter.hold(500)
    meter.end(is_body_kept=True)
    meter.end()
    assert (account.held_bytes, share.held_bytes) == (500, 0)


def test_full_budget_is_no_fault_of_the_receiver(share, clock):
    budget = MemoryBudget(1_000)
    budget.open_account().add(900, has_priority=True)
    meter = ResponseMeter(share, clock, budget.open_account())
    assert outcome_of(meter.hold, 500) is Outcome.NO_MEMORY
    assert share.held_bytes == 0


def test_chunks_are_allowed_by_time_and_by_the_size_of_the_data(meter, clock):
    for _ in range(CHUNKS.burst):
        meter.record_chunk(0)
    assert outcome_of(meter.record_chunk, 0) is Outcome.LIMIT_EXCEEDED
    clock.now = 1.0
    meter.record_chunk(0)


def test_many_chunks_of_ordinary_size_are_within_the_limit(meter):
    for _ in range(10 * CHUNKS.burst):
        meter.record_chunk(response_limits.BYTES_PER_FURTHER_CHUNK)


def test_events_and_bytes_of_a_stream_are_allowed_by_time(meter, clock):
    meter.record_events(EVENTS.burst)
    assert outcome_of(meter.record_events, 1) is Outcome.LIMIT_EXCEEDED
    clock.now = 1.0
    meter.record_events(EVENTS.rate - 1)
    meter.record_chunk(STREAM_BYTES.burst + STREAM_BYTES.rate)
    meter.check_stream_bytes()
    meter.record_chunk(1)
    assert outcome_of(meter.check_stream_bytes) is Outcome.LIMIT_EXCEEDED


def test_response_stalls_if_nothing_arrives_for_a_large_part_of_the_call(meter, clock):
    clock.now = 2.0
    meter.record_chunk(1)
    clock.now = 3.9
    assert not meter.has_stalled()
    clock.now = 4.0
    assert meter.has_stalled()


def send_blocks(connection, block):
    """Send a block until the caller closes the connection; the receiver records that error."""
    while True:
        connection.send(block)


def responds_without_end(first, block, status, fields):
    def respond(connection, received):
        connection.send(head(received, status, *fields) + first)
        send_blocks(connection, block)

    return respond


FORMS = {
    "header_line": ([], b"X-Padding: ", b"a" * 65_536),
    "header_lines": ([], b"", b"X-Padding: a\r\n" * 4_000),
    "interim_responses": ([], b"\r\n", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2_000),
    "chunk_size": (["Transfer-Encoding: chunked"], b"\r\n", b"a" * 65_536),
    "chunk": (["Transfer-Encoding: chunked"], b"\r\n7fffffff\r\n", BLOCK),
    "one_byte_chunks": (["Transfer-Encoding: chunked"], b"\r\n", b"1\r\na\r\n" * 10_000),
    "trailers": (["Transfer-Encoding: chunked"], b"\r\n0\r\n", b"a: b\r\n" * 10_000),
    "declared_length": ([f"Content-Length: {HUGE_LENGTH}"], b"\r\n", BLOCK),
    "no_length": ([], b"\r\n", BLOCK),
}


@pytest.mark.parametrize("status", ["200 OK", "500 Internal Server Error"])
@pytest.mark.parametrize("form", FORMS)
def test_call_ends_without_its_deadline(call, form, status):
    fields, first, block = FORMS[form]
    with receivers(ScriptedReceiver(responds_without_end(first, block, status, fields))) as (receiver,):
        result = call(receiver, timeout_s=60.0)
    assert result.outcome in (Outcome.LIMIT_EXCEEDED, Outcome.MALFORMED)


EVENT_FORMS = {
    "pieces": b"7\r\ndata: a\r\n" * 5_000,
    "lines": chunk(b"data: a\n" * 8_000),
    "events": chunk(event(1)) * 3_000,
    "large_events": chunk(b"data: " + b"a" * 65_536 + b"\n\n"),
}


@pytest.mark.parametrize("form", EVENT_FORMS)
def test_stream_ends_without_its_deadline(form):
    peer = ScriptedReceiver(responds_without_end(b"\r\n", EVENT_FORMS[form], "200 OK", STREAM_FIELDS))
    with receivers(peer) as listed:
        response = RequestHandlerHarness(listed, kind="stream", timeout_ms=60_000)()
        _, is_incomplete = read(response)
    assert response.status == HTTPStatus.BAD_GATEWAY or is_incomplete


@pytest.mark.parametrize("form", FORMS)
def test_idempotent_request_is_served_by_another_receiver(form):
    fields, first, block = FORMS[form]
    faulty = ScriptedReceiver(responds_without_end(first, block, "200 OK", fields), id="i-1")
    sound = ScriptedReceiver(full_response(), id="i-2", zone="there")
    with receivers(faulty, sound) as listed:
        assert RequestHandlerHarness(listed)().body == b"done"


def test_stream_after_an_endless_one_goes_to_another_receiver():
    """The end of a stream that is not resumable must count against its receiver, too."""
    endless = responds_without_end(b"\r\n", EVENT_FORMS["events"], "200 OK", STREAM_FIELDS)
    faulty = ScriptedReceiver(endless, id="i-1")
    sound = ScriptedReceiver(stream(event(1)), id="i-2", zone="there")
    with receivers(faulty, sound) as listed:
        handler = RequestHandlerHarness(listed, kind="stream")
        _, is_incomplete = read(handler())
        assert is_incomplete
        for _ in range(5):
            assert read(handler()) == (event(1), False)


def test_long_late_response_is_not_skipped_without_end(call):
    """The response to an earlier call, sent again, must not occupy the next call until its deadline."""

    def answer_twice(connection, received):
        connection.send(head(received, "200 OK", "Content-Length: 2") + b"\r\nhi")
        later = connection.read_request()
        if later is None:
            return True
        connection.send(head(received, "200 OK", f"Content-Length: {HUGE_LENGTH}") + b"\r\n")
        send_blocks(connection, BLOCK)

    with receivers(ScriptedReceiver(answer_twice)) as (receiver,):
        assert call(receiver).outcome is Outcome.SUCCESS
        assert call(receiver, timeout_s=60.0).outcome is Outcome.LIMIT_EXCEEDED
