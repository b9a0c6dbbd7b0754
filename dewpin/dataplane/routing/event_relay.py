"""Passing a receiver's event stream on to the client, event by event.

Only whole events are passed on. Where the route allows it, a stream that was cut is picked up at another receiver from
the last event that was passed on, within the same answer. The end of the answer is passed on only after the receiver's
body ended properly and, on a retained route, after the turn was stored.
"""

from collections.abc import Callable, Iterator
from typing import Protocol

from dewpin.cluster.errors import TierError
from dewpin.dataplane.http11.event_splitter import Event, EventSplitter
from dewpin.dataplane.http11.messages import BodyBroken
from dewpin.dataplane.programs.turns import OpenTurn
from dewpin.dataplane.upstream.outcome import Outcome
from dewpin.dataplane.upstream.receiver_stream import StreamCut


class EventSource(Protocol):
    """A receiver's body while it arrives."""

    @property
    def ends_by_close(self) -> bool:
        """Tell whether nothing but the end of the connection marks the end of the body."""

    def read_part(self) -> bytes:
        """Return the next bytes, or nothing at the proper end; raises StreamCut."""

    def close(self) -> None:
        """Give up the rest."""


ResumeFrom = Callable[[str | None, Outcome], EventSource | None]
"""Gets the id of the last event passed on and how the stream was cut; returns the source that goes on, or None."""


class EventRelay:
    """The body of an answer: the events of a receiver's stream, or of several that go on from each other."""

    def __init__(
        self,
        source: EventSource,
        resume_from: ResumeFrom | None,
        turn: OpenTurn | None,
        time_left_s: Callable[[], float],
        on_close: Callable[[bool], None],
    ) -> None:
        self._source: EventSource | None = source
        self._resume_from = resume_from
        self._turn = turn
        self._time_left_s = time_left_s
        self._on_close = on_close
        self._splitter = EventSplitter()
        self._last_id: str | None = None
        self._first_part: bytes | None = None
        self._resumed = False
        self._ended = False
        self._closed = False

    def read_first(self) -> None:
        """Wait for the first events, or the end; raises StreamCut if neither comes, and then may not be used."""
        self._first_part = self._read_events()

    def __iter__(self) -> Iterator[bytes]:
        """Return the bytes of whole events as they arrive; raises BodyBroken if the rest cannot be had."""
        try:
            part = self._next_part() if self._first_part is None else self._first_part
            while part:
                yield part
                part = self._next_part()
            if self._turn is not None:
                self._turn.keep(self._time_left_s())
            self._ended = True
        except (StreamCut, TierError) as error:
            raise BodyBroken(str(error)) from error
        finally:
            self.close()

    def close(self) -> None:
        """Close the receiver's connection and settle the turn."""
        if self._closed:
            return
        self._closed = True
        if self._source is not None:
            self._source.close()
        if self._turn is not None:
            self._turn.settle()
        self._on_close(self._ended)

    def _next_part(self) -> bytes:
        """Return the bytes of the next whole events, out of another stream if need be; nothing at the proper end."""
        while True:
            try:
                return self._read_events()
            except StreamCut as cut:
                self._resume(cut)

    def _read_events(self) -> bytes:
        """Return the bytes of the next whole events of the present stream; nothing at its proper end."""
        while self._source is not None:
            part = self._source.read_part()
            if not part:
                return self._end_of(self._source)
            events = [event for event in self._splitter.feed(part) if not self._was_passed_on(event)]
            if events:
                return b"".join([self._pass_on(event) for event in events])
        return b""

    def _end_of(self, source: EventSource) -> bytes:
        """Return what came after the last whole event; a connection that ends in the midst of an event broke off."""
        self._source = None
        rest = self._splitter.take_rest()
        if rest and source.ends_by_close:
            raise StreamCut(Outcome.CLOSED)
        return b"".join([self._pass_on(event) for event in rest])

    def _was_passed_on(self, event: Event) -> bool:
        """Tell whether a resumed stream repeats an event that the client has."""
        if not self._resumed or event.id is None or self._last_id is None:
            return False
        return event.id == self._last_id or (
            event.id.isdecimal() and self._last_id.isdecimal() and int(event.id) <= int(self._last_id)
        )

    def _pass_on(self, event: Event) -> bytes:
        if event.id is not None:
            self._last_id = event.id
        if self._turn is not None and event.data is not None:
            self._turn.count_event(event)
        return event.raw

    def _resume(self, cut: StreamCut) -> None:
        source = self._resume_from(self._last_id, cut.outcome) if self._resume_from else None
        if source is None:
            raise cut
        self._splitter.drop_pending()
        self._resumed = True
        self._source = source
