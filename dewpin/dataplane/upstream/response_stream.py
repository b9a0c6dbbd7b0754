"""Streams the body of a receiver's response."""

import http.client
from collections.abc import Callable
from io import BytesIO

from urllib3 import HTTPResponse
from urllib3.exceptions import HTTPError

from dewpin.dataplane.upstream.outcome import IncompleteResponseError, Outcome
from dewpin.dataplane.upstream.receiver_connection import ReceiverConnection
from dewpin.dataplane.upstream.response_body import BodyEnd, BodyFraming, read_body

TRANSPORT_ERRORS = (OSError, http.client.HTTPException, HTTPError, ValueError)
"""Exceptions of urllib3 and the libraries below it for a broken connection or an invalid response."""

ReleaseConnection = Callable[[ReceiverConnection, HTTPResponse, BodyFraming], None]
"""Returns a connection to its pool after a complete response."""


class ResponseStream:
    """A body that is read before the deadline of its call; the owner must call `close`."""

    def __init__(
        self,
        connection: ReceiverConnection,
        response: HTTPResponse,
        framing: BodyFraming,
        release_connection: ReleaseConnection,
    ) -> None:
        """Read the body of `response`; the meter of the connection's call accounts for it."""
        self._connection = connection
        self._response = response
        self._framing = framing
        self._release_connection = release_connection
        self._meter = connection.meter
        self._parts = read_body(connection.reader, framing, self._meter)
        self._is_open = True
        self._is_collected = False

    @property
    def is_close_delimited(self) -> bool:
        """Return whether only the end of the connection delimits the body (RFC 9112, 6.3)."""
        return self._framing.end is BodyEnd.CLOSE

    def read_next(self) -> bytes:
        """Return the next bytes, or b"" at the end of a complete body. Raises IncompleteResponseError."""
        try:
            data = next(self._parts, b"")
        except IncompleteResponseError:
            self.close()
            raise
        except TRANSPORT_ERRORS as error:
            self.close()
            raise IncompleteResponseError(outcome_of_error(error)) from error
        if not data and self._is_open:
            self._is_open = False
            self._meter.end(is_body_kept=self._is_collected)
            self._response.close()
            self._release_connection(self._connection, self._response, self._framing)
        return data

    def read_all(self) -> bytes:
        """Return the whole body, collected in one buffer. Raises IncompleteResponseError."""
        self._is_collected = True
        body = BytesIO()
        try:
            self._meter.check_length(self._framing.length)
            while data := self.read_next():
                self._meter.hold(body.tell() + len(data))
                body.write(data)
        except IncompleteResponseError:
            self.close()
            raise
        return body.getvalue()

    def account_for(self, event_count: int, pending_bytes: int) -> None:
        """Account for further complete events and the size of the incomplete one. Raises IncompleteResponseError."""
        self._meter.hold(pending_bytes)
        self._meter.record_events(event_count)

    def has_stalled(self) -> bool:
        """Return whether nothing of the body has arrived for a large part of the call."""
        return self._meter.has_stalled()

    def close(self) -> None:
        """Close the connection unless the response was complete and the connection was released; idempotent."""
        if self._is_open:
            self._is_open = False
            self._meter.end()
            self._response.close()
            self._connection.close()


def outcome_of_error(error: Exception) -> Outcome:
    """Return the outcome of a call that raised one of TRANSPORT_ERRORS after sending part of the request."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, http.client.RemoteDisconnected | http.client.IncompleteRead):
            return Outcome.CLOSED
        if isinstance(cause, OSError):
            return Outcome.RESET
        cause = cause.__cause__ or cause.__context__
    return Outcome.MALFORMED
