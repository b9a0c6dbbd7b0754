"""Streams the body of a receiver's response."""

import http.client
from collections.abc import Callable
from io import BytesIO

from urllib3 import HTTPResponse
from urllib3.exceptions import HTTPError

from dewpin.cluster.memory_budget import UNCOUNTED_MEMORY, MemoryBudgetExceededError
from dewpin.dataplane.http11.messages import RequestMemory
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
        memory: RequestMemory = UNCOUNTED_MEMORY,
    ) -> None:
        """Read the body of `response`; what `read_all` collects is charged to `memory`."""
        self._connection = connection
        self._response = response
        self._framing = framing
        self._release_connection = release_connection
        self._memory = memory
        self._parts = read_body(connection.reader, framing)
        self._is_open = True

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
            self._response.close()
            self._release_connection(self._connection, self._response, self._framing)
        return data

    def read_all(self) -> bytes:
        """Return the whole body, collected in one buffer. Raises IncompleteResponseError."""
        body = BytesIO()
        while data := self.read_next():
            self._charge(len(data))
            body.write(data)
        return body.getvalue()

    def _charge(self, count: int) -> None:
        try:
            self._memory.add(count, has_priority=True)
        except MemoryBudgetExceededError as error:
            self.close()
            raise IncompleteResponseError(Outcome.NO_MEMORY) from error

    def close(self) -> None:
        """Close the connection unless the response was complete and the connection was released; idempotent."""
        if self._is_open:
            self._is_open = False
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
