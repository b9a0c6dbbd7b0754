"""Forwards the server-sent events of a receiver to the client.

Only complete events are forwarded. If the route allows it, an interrupted stream is resumed at another receiver after
the last forwarded event, within the same response. The end of the response is sent only once the receiver's body is
complete and, on a route that retains turns, the turn is stored, so that the end of the response confirms both to the
client.
"""

from collections.abc import Callable, Iterator
from typing import Protocol

from dewpin.cluster.errors import TierError
from dewpin.cluster.memory_budget import MemoryBudgetExceededError
from dewpin.dataplane.http11.event_splitter import Event, EventSplitter, TooManyLinesError
from dewpin.dataplane.http11.messages import IncompleteBodyError
from dewpin.dataplane.programs.turns import OpenTurn
from dewpin.dataplane.upstream.outcome import IncompleteResponseError, Outcome


class EventSource(Protocol):
    """The body of a receiver's response, read incrementally."""

    @property
    def is_close_delimited(self) -> bool:
        """Return whether only the end of the connection delimits the body (RFC 9112, 6.3)."""

    def read_next(self) -> bytes:
        """Return the next bytes, or b"" at the end of a complete body. Raises IncompleteResponseError."""

    def account_for(self, event_count: int, pending_bytes: int) -> None:
        """Account for further complete events and the size of the incomplete one. Raises IncompleteResponseError."""

    def close(self) -> None:
        """Stop reading and discard the rest of the body."""


ResumeStream = Callable[[str | None, Outcome], EventSource | None]
"""Records that a stream was interrupted. Takes the id of the last forwarded event and the outcome of the stream;
returns a new source, or None if the stream cannot be resumed."""


class EventRelay:
    """A response body made of the events of one stream, or of several streams if it is resumed.

    The owner must call `close`, unless it iterates over the relay to the end, which closes it as well.
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
            source: the first stream.
            resume_stream: called once for each stream that is interrupted; None if no stream is ever resumed.
            turn: the conversation turn that counts and stores the events, if the request opens one.
            time_left_s: returns the seconds until the request's deadline.
            on_close: called once, with True if the whole body was forwarded.
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
        """Wait for the first complete events or the end of the body.

        Raises IncompleteResponseError if the stream is interrupted before; the relay must not be used after that.
        """
        self._first_events = self._read_events()

    def __iter__(self) -> Iterator[bytes]:
        """Yield the bytes of complete events as they arrive. Raises IncompleteBodyError if the stream ends early."""
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
        """Close the receiver's stream and settle the turn; idempotent."""
        if self._is_closed:
            return
        self._is_closed = True
        if self._source is not None:
            self._source.close()
        if self._turn is not None:
            self._turn.settle()
        self._on_close(self._is_complete)

    def _next_events(self) -> bytes:
        """Return the next complete events, resuming the stream if necessary; b"" at the end of the body."""
        while True:
            try:
                return self._read_events()
            except IncompleteResponseError as error:
                self._resume(error)

    def _read_events(self) -> bytes:
        """Return the next complete events of the current source, which is closed on failure; b"" at its end."""
        source = self._source
        try:
            return self._read_from_source()
        except IncompleteResponseError:
            if source is not None:
                source.close()
            raise

    def _read_from_source(self) -> bytes:
        while self._source is not None:
            data = self._source.read_next()
            if not data:
                return self._finish(self._source)
            events = self._split(data)
            self._source.account_for(len(events), self._splitter.pending_bytes)
            new_events = [event for event in events if not self._was_forwarded(event)]
            if new_events:
                return b"".join([self._forward(event) for event in new_events])
        return b""

    def _split(self, data: bytes) -> list[Event]:
        """Return the events that the next bytes complete. Raises IncompleteResponseError."""
        try:
            return self._splitter.feed(data)
        except TooManyLinesError as error:
            raise IncompleteResponseError(Outcome.LIMIT_EXCEEDED) from error

    def _finish(self, source: EventSource) -> bytes:
        """Return the bytes after the last complete event.

        If only the end of the connection delimits the body, such bytes mean that the stream was interrupted.
        """
        self._source = None
        remaining = self._flush()
        if remaining and source.is_close_delimited:
            raise IncompleteResponseError(Outcome.CLOSED)
        return b"".join([self._forward(event) for event in remaining])

    def _flush(self) -> list[Event]:
        """Return the bytes after the last complete event as an event. Raises IncompleteResponseError."""
        try:
            return self._splitter.flush()
        except TooManyLinesError as error:
            raise IncompleteResponseError(Outcome.LIMIT_EXCEEDED) from error

    def _was_forwarded(self, event: Event) -> bool:
        """Return whether a resumed stream repeats an event that was already forwarded."""
        if not self._is_resumed or event.id is None or self._last_event_id is None:
            return False
        return event.id == self._last_event_id or (
            event.id.isdecimal() and self._last_event_id.isdecimal() and int(event.id) <= int(self._last_event_id)
        )

    def _forward(self, event: Event) -> bytes:
        if event.id is not None:
            self._last_event_id = event.id
        if self._turn is not None and event.data is not None:
            self._record_event(self._turn, event)
        return event.raw

    def _record_event(self, turn: OpenTurn, event: Event) -> None:
        """Record an event of a turn. Raises IncompleteResponseError if it does not fit into the memory budget."""
        try:
            turn.record_event(event)
        except MemoryBudgetExceededError as error:
            raise IncompleteResponseError(Outcome.NO_MEMORY) from error

    def _resume(self, error: IncompleteResponseError) -> None:
        source = self._resume_stream(self._last_event_id, error.outcome) if self._resume_stream else None
        if source is None:
            raise error
        self._splitter.discard_pending()
        self._is_resumed = True
        self._source = source
