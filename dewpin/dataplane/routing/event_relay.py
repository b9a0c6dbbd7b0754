"""Forwards the event stream of a receiver to the client, event by event.

Only complete events are forwarded. If the route allows it, a stream that broke off is resumed at another receiver from
the last event that was forwarded, within the same response. The end of the response is forwarded only after the
receiver's body has ended properly and, on a route that retains turns, after the turn was stored: a client that sees the
end can rely on both.
"""

from collections.abc import Callable, Iterator
from typing import Protocol

from dewpin.cluster.errors import TierError
from dewpin.dataplane.http11.event_splitter import Event, EventSplitter
from dewpin.dataplane.http11.messages import IncompleteBodyError
from dewpin.dataplane.programs.turns import OpenTurn
from dewpin.dataplane.upstream.outcome import IncompleteResponseError, Outcome


class EventSource(Protocol):
    """The body of a receiver's response while it arrives."""

    @property
    def ends_by_close(self) -> bool:
        """Return whether nothing but the end of the connection marks the end of the body."""

    def read_next(self) -> bytes:
        """Return the next bytes, or none at the proper end; raises IncompleteResponseError."""

    def close(self) -> None:
        """Abandon the rest."""


ResumeStream = Callable[[str | None, Outcome], EventSource | None]
"""Given the id of the last forwarded event and how the stream broke off; returns the source that continues, or None."""


class EventRelay:
    """The body of a response: the events of one receiver's stream, or of several that continue each other.

    Whoever has a relay must call `close`; iterating over it to the end does so too.
    """

    def __init__(
        self,
        source: EventSource,
        resume_stream: ResumeStream | None,
        turn: OpenTurn | None,
        time_left_s: Callable[[], float],
        on_close: Callable[[bool], None],
    ) -> None:
        """Create a relay.

        Args:
            source: the stream to begin with.
            resume_stream: finds the stream that continues one that broke off; None if the route does not allow it.
            turn: the turn that counts and stores the events, if the request is one.
            time_left_s: returns the time until the request's deadline.
            on_close: called once, with whether the whole body was forwarded.
        """
        self._source: EventSource | None = source
        self._resume_stream = resume_stream
        self._turn = turn
        self._time_left_s = time_left_s
        self._on_close = on_close
        self._splitter = EventSplitter()
        self._last_event_id: str | None = None
        self._first_events: bytes | None = None
        self._is_resumed = False
        self._is_complete = False
        self._is_closed = False

    def read_first_events(self) -> None:
        """Wait for the first events, or the end.

        Raises IncompleteResponseError if neither arrives; the relay must not be used then.
        """
        self._first_events = self._read_events()

    def __iter__(self) -> Iterator[bytes]:
        """Return the bytes of complete events as they arrive; raises IncompleteBodyError if the stream breaks off."""
        try:
            events = self._next_events() if self._first_events is None else self._first_events
            while events:
                yield events
                events = self._next_events()
            if self._turn is not None:
                self._turn.store(self._time_left_s())
            self._is_complete = True
        except (IncompleteResponseError, TierError) as error:
            raise IncompleteBodyError(str(error)) from error
        finally:
            self.close()

    def close(self) -> None:
        """Close the receiver's stream and settle the turn; may be called more than once."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._source is not None:
            self._source.close()
        if self._turn is not None:
            self._turn.settle()
        self._on_close(self._is_complete)

    def _next_events(self) -> bytes:
        """Return the bytes of the next complete events, after resuming the stream if needed; none at the proper end."""
        while True:
            try:
                return self._read_events()
            except IncompleteResponseError as error:
                self._resume(error)

    def _read_events(self) -> bytes:
        """Return the bytes of the next complete events of the current source; none at its proper end."""
        while self._source is not None:
            data = self._source.read_next()
            if not data:
                return self._finish(self._source)
            events = [event for event in self._splitter.feed(data) if not self._was_forwarded(event)]
            if events:
                return b"".join([self._forward(event) for event in events])
        return b""

    def _finish(self, source: EventSource) -> bytes:
        """Return what followed the last complete event; a connection that ends within an event broke off."""
        self._source = None
        remaining = self._splitter.flush()
        if remaining and source.ends_by_close:
            raise IncompleteResponseError(Outcome.CLOSED)
        return b"".join([self._forward(event) for event in remaining])

    def _was_forwarded(self, event: Event) -> bool:
        """Return whether a resumed stream repeats an event that the client already has."""
        if not self._is_resumed or event.id is None or self._last_event_id is None:
            return False
        return event.id == self._last_event_id or (
            event.id.isdecimal() and self._last_event_id.isdecimal() and int(event.id) <= int(self._last_event_id)
        )

    def _forward(self, event: Event) -> bytes:
        if event.id is not None:
            self._last_event_id = event.id
        if self._turn is not None and event.data is not None:
            self._turn.record_event(event)
        return event.raw

    def _resume(self, error: IncompleteResponseError) -> None:
        source = self._resume_stream(self._last_event_id, error.outcome) if self._resume_stream else None
        if source is None:
            raise error
        self._splitter.discard_pending()
        self._is_resumed = True
        self._source = source
