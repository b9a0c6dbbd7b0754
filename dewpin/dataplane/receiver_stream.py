"""The body of a receiver's answer while it arrives."""

import http.client
from collections.abc import Callable, Iterator

from urllib3 import HTTPResponse
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, InvalidChunkLength, ProtocolError, ReadTimeoutError

from .outcome import Outcome
from .receiver_socket import StreamCut

READ_SIZE = 65536
LEAST_TIMEOUT_S = 0.001

TRANSPORT_ERRORS = (OSError, http.client.HTTPException, HTTPError, ValueError)
"""What urllib3 and the library below it raise where a connection or an answer breaks."""


class BodyReader:
    """Reads the parts of a body as they arrive; the connection's socket bounds the waits."""

    def __init__(self, response: HTTPResponse) -> None:
        self._response = response
        self._parts = self._read_parts()

    def read_part(self) -> bytes:
        """Return the bytes that come next, or nothing at the proper end; raises StreamCut."""
        try:
            return next(self._parts, b"")
        except TRANSPORT_ERRORS as error:
            raise StreamCut(outcome_of_error(error)) from error

    def read_all(self) -> bytes:
        """Return the whole body; raises StreamCut."""
        parts = []
        while part := self.read_part():
            parts.append(part)
        return b"".join(parts)

    def _read_parts(self) -> Iterator[bytes]:
        response = self._response
        if response.chunked:
            yield from response.read_chunked(decode_content=False)
            return
        if response.length_remaining is None:
            raise StreamCut(Outcome.MALFORMED)
        while response.length_remaining:
            part = response.read1(READ_SIZE, decode_content=False)
            if not part:
                raise StreamCut(Outcome.CLOSED)
            yield part
        response.read1(READ_SIZE, decode_content=False)


class ReceiverStream:
    """A receiver's stream; whoever has it must call `close`."""

    def __init__(
        self,
        connection: HTTPConnection,
        response: HTTPResponse,
        give_back: Callable[[HTTPConnection, HTTPResponse], None],
    ) -> None:
        self._connection = connection
        self._response = response
        self._give_back = give_back
        self._reader = BodyReader(response)
        self._open = True

    def read_part(self) -> bytes:
        """Return the bytes that come next, or nothing at the proper end; raises StreamCut."""
        try:
            part = self._reader.read_part()
        except StreamCut:
            self.close()
            raise
        if not part and self._open:
            self._open = False
            self._give_back(self._connection, self._response)
        return part

    def close(self) -> None:
        """Close the connection, unless the answer was whole and the connection was given back."""
        if self._open:
            self._open = False
            self._response.close()
            self._connection.close()


def outcome_of_error(error: Exception) -> Outcome:
    """Return the outcome of a call that ended with an error after the request was sent."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, InvalidChunkLength):
            return Outcome.MALFORMED
        if isinstance(cause, http.client.RemoteDisconnected | http.client.IncompleteRead):
            return Outcome.CLOSED
        if isinstance(cause, TimeoutError | ReadTimeoutError):
            return Outcome.TIMED_OUT
        if isinstance(cause, ConnectionError):
            return Outcome.RESET
        cause = cause.__cause__ or cause.__context__
    if isinstance(error, ProtocolError):
        return Outcome.CLOSED
    return Outcome.RESET if isinstance(error, OSError) else Outcome.MALFORMED
