"""Splitting streams into events, and parsing the fields of events."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dewpin.dataplane.http11.event_splitter import MAX_EVENT_LINES, EventSplitter, TooManyLinesError, parse_event


@pytest.mark.parametrize(
    ("raw", "event_id", "data"),
    [
        (b"id: 1\ndata: word\n\n", "1", b"word"),
        (b"data:word\nid:1\n\n", "1", b"word"),
        (b"data:  word\n\n", None, b" word"),
        (b"versions: 4\nid: 12\ndata: a b\n\n", "12", b"a b"),
        (b"versions:4\nid: 12\ndata: a b\n\n", "12", b"a b"),
        (b"data: one\ndata: two\n\n", None, b"one\ntwo"),
        (b"data:\n\n", None, b""),
        (b"data\n\n", None, b""),
        (b"id: 3\r\ndata: word\r\n\r\n", "3", b"word"),
        (b": a comment\n\n", None, None),
        (b"event: end\nid: 9\n\n", "9", None),
        (b"data: a: b\n\n", None, b"a: b"),
    ],
)
def test_fields_of_event_are_parsed(raw, event_id, data):
    event = parse_event(raw)
    assert (event.raw, event.id, event.data) == (raw, event_id, data)


def test_event_is_returned_once_complete():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: wo") == []
    assert splitter.feed(b"rd\n") == []
    assert [event.data for event in splitter.feed(b"\nid: 2\nda")] == [b"word"]
    assert splitter.feed(b"ta: x\n\n")[0].id == "2"


def test_flush_returns_rest_of_complete_body_as_event():
    splitter = EventSplitter()
    splitter.feed(b"data: last")
    assert [event.data for event in splitter.flush()] == [b"last"]
    assert splitter.flush() == []


STREAM = b"versions: 2\nid: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\ndata: d\n\n"


@given(st.lists(st.integers(0, len(STREAM)), max_size=8))
def test_events_are_independent_of_read_sizes(cuts):
    positions = [0, *sorted(cuts), len(STREAM)]
    splitter = EventSplitter()
    events = []
    for start, end in zip(positions, positions[1:], strict=False):
        events += splitter.feed(STREAM[start:end])
    assert b"".join(event.raw for event in events) == STREAM
    assert [event.data for event in events] == [b"a", b"b", None, b"c\nd"]


@pytest.mark.parametrize("separator", [b"\n\n", b"\r\n\r\n", b"\n\r\n", b"\r\n\n"])
def test_events_are_the_same_however_their_bytes_arrive(separator):
    body = b"".join(b"id: %d\ndata: text%b" % (number, separator) for number in range(5))
    whole = EventSplitter().feed(body)
    assert len(whole) == 5
    for size in (1, 2, 3, 4, 5, 7):
        splitter = EventSplitter()
        pieces = [body[start : start + size] for start in range(0, len(body), size)]
        assert [event for piece in pieces for event in splitter.feed(piece)] == whole
        assert splitter.pending_bytes == 0


def test_event_with_too_many_lines_is_rejected():
    splitter = EventSplitter()
    splitter.feed(b"data: a\n" * MAX_EVENT_LINES)
    with pytest.raises(TooManyLinesError):
        splitter.feed(b"data: a\n\n")
