"""The body of a receiver's answer while it arrives."""

import http.client
from collections.abc import Callable

from urllib3 import HTTPResponse
from urllib3.exceptions import HTTPError

from dewpin.dataplane.upstream.outcome import Outcome
from dewpin.dataplane.upstream.outcome import StreamCut as StreamCut
from dewpin.dataplane.upstream.receiver_connection import ReceiverConnection
from dewpin.dataplane.upstream.response_body import BodyEnd, Framing, read_body

TRANSPORT_ERRORS = (OSError, http.client.HTTPException, HTTPError, ValueError)
"""What urllib3 and the library below it raise where a connection or an answer breaks."""

GiveBack = Callable[[ReceiverConnection, HTTPResponse, Framing], None]
"""Takes the connection back after a whole answer, to keep or to close it."""


class ReceiverStream:
    """A body within the bounds of its call; whoever has it must call `close`."""

    def __init__(
        self, connection: ReceiverConnection, response: HTTPResponse, framing: Framing, give_back: GiveBack
    ) -> None:
        self._connection = connection
        self._response = response
        self._framing = framing
        self._give_back = give_back
        self._parts = read_body(connection.reader, framing)
        self._open = True

    @property
    def ends_by_close(self) -> bool:
        """Tell whether nothing but the end of the connection marks the end of the body."""
        return self._framing.end is BodyEnd.CLOSE

    def read_part(self) -> bytes:
        """Return the bytes that come next, or nothing at the proper end; raises StreamCut."""
        try:
            part = next(self._parts, b"")
        except StreamCut:
            self.close()
            raise
        except TRANSPORT_ERRORS as error:
            self.close()
            raise StreamCut(outcome_of_error(error)) from error
        if not part and self._open:
            self._open = False
            self._response.close()
            self._give_back(self._connection, self._response, self._framing)
        return part

    def read_all(self) -> bytes:
        """Return the whole body; raises StreamCut."""
        parts = []
        while part := self.read_part():
            parts.append(part)
        return b"".join(parts)

    def close(self) -> None:
        """Close the connection, unless the answer was whole and the connection was given back."""
        if self._open:
            self._open = False
            self._response.close()
            self._connection.close()


def outcome_of_error(error: Exception) -> Outcome:
    """Return the outcome of a call that ended with an error after a part of the request was sent."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, http.client.RemoteDisconnected | http.client.IncompleteRead):
            return Outcome.CLOSED
        if isinstance(cause, OSError):
            return Outcome.RESET
        cause = cause.__cause__ or cause.__context__
    return Outcome.MALFORMED
