"""A stand-in client of the tier: single requests, streams, and programs (conversations of several turns)."""

import http.client
import secrets
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from types import TracebackType

from dewpin.cluster.rpc import split_address

from .protocol import BUDGET, PREVIOUS, PROGRAM, REQUEST_DEADLINE, REQUEST_ID, SIGNATURE, TOKEN_USAGE

REQUEST_DEADLINE_MS = 8_000
SOCKET_TIMEOUT_S = 15.0
MAX_LINE_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request of a client.

    fields: header fields in addition to those of every request.
    id: request id; generated if it is None.
    """

    host: str
    path: str
    body: bytes = b""
    method: str = "POST"
    fields: Mapping[str, str] | None = None
    id: str | None = None


@dataclass(frozen=True, slots=True)
class ClientResponse:
    """A complete response; the names of header fields are in lower case."""

    request_id: str
    status: int
    fields: Mapping[str, str]
    body: bytes

    @property
    def is_served(self) -> bool:
        """Return whether a receiver executed the request: its signature is in the response."""
        return self.status == http.HTTPStatus.OK and SIGNATURE.lower() in self.fields

    @property
    def event_data(self) -> list[str]:
        """Return the data of each event."""
        return [data for _, data in parse_events(self.body)]


class StreamingResponse:
    """A response whose body is read event by event; a context manager that closes its connection."""

    def __init__(self, sender: str, request: ClientRequest) -> None:
        """Send the request and read the header of the response. Raises OSError or HTTPException."""
        self.request_id = request.id or secrets.token_hex(8)
        self._connection = http.client.HTTPConnection(*split_address(sender), timeout=SOCKET_TIMEOUT_S)
        fields = {
            "Host": request.host,
            REQUEST_ID: self.request_id,
            REQUEST_DEADLINE: str(REQUEST_DEADLINE_MS),
            **(request.fields or {}),
        }
        self._connection.request(request.method, request.path, request.body or None, fields)
        self._response = self._connection.getresponse()
        self.status = self._response.status
        self.fields = {name.lower(): value for name, value in self._response.getheaders()}

    def read_event(self) -> tuple[int, str] | None:
        """Return the id and data of the next event, None at the end. Raises HTTPException if the body is incomplete."""
        lines = []
        while line := self._response.readline(MAX_LINE_BYTES):
            if not line.strip():
                break
            lines.append(line)
        return next(parse_events(b"".join(lines) + b"\n"), None) if lines else None

    def read_rest(self) -> ClientResponse:
        """Read the rest of the body. Raises HTTPException if it is incomplete."""
        return ClientResponse(self.request_id, self.status, self.fields, self._response.read())

    def close(self) -> None:
        """Close the connection."""
        self._connection.close()

    def __enter__(self) -> "StreamingResponse":
        """Return the response; its connection is closed after the block."""
        return self

    def __exit__(
        self, error_type: type[BaseException] | None, error: BaseException | None, traceback: TracebackType | None
    ) -> None:
        """Close the connection."""
        self.close()


def send(sender: str, request: ClientRequest) -> ClientResponse:
    """Send a request to a sender and return the complete response. Raises OSError or HTTPException."""
    with StreamingResponse(sender, request) as response:
        return response.read_rest()


class ProgramClient:
    """A program: a conversation of turns that share a token budget.

    id: id of the program.
    last_turn_id: id of the last turn that was served; None before the first.
    """

    def __init__(self, host: str, path: str, budget: int, max_tokens: int) -> None:
        self.id = secrets.token_hex(4)
        self.last_turn_id: str | None = None
        self._host = host
        self._path = path
        self._budget = budget
        self._max_tokens = max_tokens

    def next_request(self, text: bytes, fields: Mapping[str, str] | None = None) -> ClientRequest:
        """Return the request of the next turn; its body is only the new input."""
        turn_fields = {
            PROGRAM: self.id,
            BUDGET: str(self._budget),
            TOKEN_USAGE: f"{len(text.split())},{self._max_tokens}",
            **(fields or {}),
        }
        if self.last_turn_id is not None:
            turn_fields[PREVIOUS] = self.last_turn_id
        return ClientRequest(self._host, self._path, text, fields=turn_fields)

    def run_turn(self, sender: str, text: bytes) -> ClientResponse:
        """Send the next turn; if it is served, the following turn refers to it."""
        response = send(sender, self.next_request(text))
        if response.is_served:
            self.last_turn_id = response.request_id
        return response


def parse_events(body: bytes) -> Iterator[tuple[int, str]]:
    """Yield the id and the data of each event."""
    for block in body.decode().split("\n\n"):
        fields = dict(line.split(": ", 1) for line in block.splitlines() if ": " in line)
        if "id" in fields:
            yield int(fields["id"]), fields.get("data", "")
