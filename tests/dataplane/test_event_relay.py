"""Event relay: forwards complete events only, resumes if allowed, and ends the body only after a complete stream."""

import pytest
from dataplane.peers import MemoryStore, configuration, event, request

from dewpin.dataplane.http11.event_splitter import MAX_EVENT_LINES
from dewpin.dataplane.http11.messages import IncompleteBodyError
from dewpin.dataplane.programs.turns import OpenTurn, plan_turn
from dewpin.dataplane.routing.event_relay import EventRelay
from dewpin.dataplane.upstream.outcome import IncompleteResponseError, Outcome


class ScriptedSource:
    """The body of a receiver's response: parts, then the end of the body or an error."""

    def __init__(self, *parts, interruption=None, is_close_delimited=False):
        self._parts = list(parts)
        self._interruption = interruption
        self.is_close_delimited = is_close_delimited
        self.closed = False
        self.event_count = 0
        self.max_pending_bytes = 0
        self.allowed_events = float("inf")

    def account_for(self, event_count, pending_bytes):
        self.event_count += event_count
        self.max_pending_bytes = max(self.max_pending_bytes, pending_bytes)
        if self.event_count > self.allowed_events:
            raise IncompleteResponseError(Outcome.LIMIT_EXCEEDED)

    def read_next(self):
        if self._parts:
            return self._parts.pop(0)
        if self._interruption is not None:
            raise IncompleteResponseError(self._interruption)
        return b""

    def close(self):
        self.closed = True


class Resumptions:
    """Returns sources that continue a stream, and records the arguments."""

    def __init__(self, *sources):
        self._sources = list(sources)
        self.arguments = []

    def __call__(self, last_event_id, interruption):
        self.arguments.append((last_event_id, interruption))
        return self._sources.pop(0) if self._sources else None


def relay(source, resume=None, turn=None):
    closings = []
    event_relay = EventRelay(source, resume, turn, lambda: 1.0, closings.append)
    event_relay.closings = closings
    event_relay.read_first_events()
    return event_relay


def forwarded(event_relay):
    """Return the forwarded parts and whether the body is incomplete."""
    parts = []
    try:
        for part in event_relay:
            parts.append(part)
    except IncompleteBodyError:
        return parts, True
    return parts, False


def test_events_are_forwarded_as_they_arrive():
    event_relay = relay(ScriptedSource(event(1), event(2) + event(3)))
    assert forwarded(event_relay) == ([event(1), event(2) + event(3)], False)
    assert event_relay.closings == [True]


def test_event_is_forwarded_once_complete():
    complete = event(1) + event(2)
    event_relay = relay(ScriptedSource(complete[:5], complete[5:25], complete[25:]))
    parts, is_incomplete = forwarded(event_relay)
    assert b"".join(parts) == complete
    assert not is_incomplete
    assert all(part.endswith(b"\n\n") for part in parts)


def test_bytes_after_last_event_of_complete_body_are_forwarded():
    assert forwarded(relay(ScriptedSource(event(1), b"data: rest"))) == ([event(1), b"data: rest"], False)


def test_body_without_events_is_complete():
    assert forwarded(relay(ScriptedSource())) == ([], False)


def test_interruption_before_first_event_raises_and_forwards_nothing():
    event_relay = EventRelay(
        ScriptedSource(b"id: 1\nda", interruption=Outcome.RESET), Resumptions(), None, lambda: 1.0, print
    )
    with pytest.raises(IncompleteResponseError) as raised:
        event_relay.read_first_events()
    assert raised.value.outcome is Outcome.RESET


def test_interruption_without_resumption_makes_body_incomplete():
    source = ScriptedSource(event(1), b"id: 2\ndata: ha", interruption=Outcome.RESET)
    event_relay = relay(source)
    assert forwarded(event_relay) == ([event(1)], True)
    assert event_relay.closings == [False]


def test_interrupted_stream_is_resumed_after_last_complete_event():
    resume = Resumptions(ScriptedSource(event(2), event(3)))
    event_relay = relay(ScriptedSource(event(1), b"id: 2\ndata: ha", interruption=Outcome.RESET), resume)
    assert forwarded(event_relay) == ([event(1), event(2), event(3)], False)
    assert resume.arguments == [("1", Outcome.RESET)]
    assert event_relay.closings == [True]


def test_stream_can_be_resumed_repeatedly():
    resume = Resumptions(
        ScriptedSource(interruption=Outcome.CLOSED), ScriptedSource(event(2), interruption=Outcome.RESET)
    )
    event_relay = relay(ScriptedSource(event(1), interruption=Outcome.CLOSED), resume)
    assert forwarded(event_relay) == ([event(1), event(2)], True)
    assert [last_event_id for last_event_id, _ in resume.arguments] == ["1", "1", "2"]


def test_forwarded_events_are_not_repeated_after_resumption():
    resume = Resumptions(ScriptedSource(event(9) + event(10), event(11)))
    event_relay = relay(ScriptedSource(event(9), event(10), interruption=Outcome.RESET), resume)
    assert forwarded(event_relay) == ([event(9), event(10), event(11)], False)


def test_closing_early_closes_source_and_settles_once():
    store = MemoryStore()
    turn = open_turn(store)
    source = ScriptedSource(event(1), event(2))
    event_relay = relay(source, turn=turn)
    iterator = iter(event_relay)
    assert next(iterator) == event(1)
    event_relay.close()
    event_relay.close()
    assert source.closed
    assert store.settled == [("r-1", 10)]
    assert event_relay.closings == [False]
    iterator.close()
    assert store.settled == [("r-1", 10)]


def test_unread_relay_settles_when_closed():
    store = MemoryStore()
    event_relay = relay(ScriptedSource(event(1)), turn=open_turn(store))
    event_relay.close()
    assert [turn for turn, _ in store.settled] == ["r-1"]


def open_turn(store, *fields, **route):
    config = configuration("stream", **{"retained": True, **route})
    fields = fields or (("Budget", "100"), ("X-Dewpin-Token-Usage", "30,40"), ("Program", "p"))
    opening_request = request(*fields)
    plan = plan_turn(opening_request, config.routes[0], next(iter(config.services.values())))
    turn = OpenTurn(store, plan, opening_request)
    turn.begin(lambda: 1.0)
    return turn


def test_turn_is_stored_before_end_is_forwarded():
    store = MemoryStore()
    steps = []
    store.on_store_turn = lambda turn: steps.append("stored")
    event_relay = relay(ScriptedSource(event(1, "a"), event(2, "b")), turn=open_turn(store))
    for part in event_relay:
        steps.append(part)
    assert steps == [event(1, "a"), event(2, "b"), "stored"]
    assert store.turns["r-1"].output == b"a\nb\n"
    assert store.turns["r-1"].input == b"input"
    assert store.settled == [("r-1", 20)]


def test_body_is_incomplete_if_turn_cannot_be_stored():
    store = MemoryStore(fails=["store_turn"])
    event_relay = relay(ScriptedSource(event(1)), turn=open_turn(store))
    assert forwarded(event_relay) == ([event(1)], True)
    assert store.settled == [("r-1", 10)]
    assert event_relay.closings == [False]


def test_incomplete_turn_is_not_stored():
    store = MemoryStore()
    event_relay = relay(ScriptedSource(event(1), interruption=Outcome.RESET), turn=open_turn(store))
    assert forwarded(event_relay) == ([event(1)], True)
    assert store.turns == {}
    assert store.settled == [("r-1", 10)]


def test_resumed_turn_is_stored_with_each_event_once():
    store = MemoryStore()
    resume = Resumptions(ScriptedSource(event(1), event(2)))
    event_relay = relay(ScriptedSource(event(1), interruption=Outcome.RESET), resume, open_turn(store))
    assert forwarded(event_relay) == ([event(1), event(2)], False)
    assert store.turns["r-1"].output == b"t1\nt2\n"
    assert store.settled == [("r-1", 20)]


def test_connection_closed_within_event_interrupts_stream():
    truncated_stream = event(1) + event(2)[:-3]
    assert forwarded(relay(ScriptedSource(truncated_stream, is_close_delimited=True))) == ([event(1)], True)
    resume = Resumptions(ScriptedSource(event(2)))
    assert forwarded(relay(ScriptedSource(truncated_stream, is_close_delimited=True), resume)) == (
        [event(1), event(2)],
        False,
    )
    assert resume.arguments == [("1", Outcome.CLOSED)]


def test_connection_closed_after_event_ends_unframed_stream():
    assert forwarded(relay(ScriptedSource(event(1), is_close_delimited=True))) == ([event(1)], False)


def test_source_that_exceeds_a_limit_is_closed_and_resumed_elsewhere():
    """What it holds is released, and its receiver can send no more."""
    endless, other = ScriptedSource(event(1), event(2), event(3)), ScriptedSource(event(2))
    endless.allowed_events = 1
    resume = Resumptions(other)
    assert forwarded(relay(endless, resume)) == ([event(1), event(2)], False)
    assert endless.closed
    assert resume.arguments == [("1", Outcome.LIMIT_EXCEEDED)]


def test_source_that_exceeds_a_limit_before_its_first_event_is_closed():
    endless = ScriptedSource(event(1) + event(2))
    endless.allowed_events = 1
    with pytest.raises(IncompleteResponseError):
        relay(endless)
    assert endless.closed


def test_source_with_an_event_of_too_many_lines_is_closed():
    source = ScriptedSource(b"data: a\n" * (MAX_EVENT_LINES + 1) + b"\n")
    with pytest.raises(IncompleteResponseError):
        relay(source)
    assert source.closed
