"""Calls to receivers over HTTP connections that are kept and used again.

Connections are urllib3's; its pool, retries, redirects and decoding stay unused: whether a connection may carry a call
depends on how long it was idle, and its pool rewrites targets. A connection is dropped unless its last answer was
whole, and before use where bytes wait on it or where it was idle for longer than the receiver keeps it.
"""

import http.client
import select
import socket
import threading
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any, cast

from urllib3 import HTTPHeaderDict, HTTPResponse
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, ReadTimeoutError
from urllib3.util import SKIP_HEADER

from dewpin.cluster.receivers import Receiver

from .balancing import ServerLoad, parse_server_load
from .messages import (
    NOT_EXECUTED,
    REQUEST_DEADLINE,
    REQUEST_ID,
    SERVER_LOAD,
    SIGNATURE,
    TARGET_INSTANCE,
    Client,
    HeaderField,
    Request,
)
from .outcome import Outcome

FIRST_CONNECT_TIMEOUT_S = 1.0
LEAST_CONNECT_TIMEOUT_S = 0.25
CONNECT_TIMES_ALLOWED = 8.0
"""A connect may take this many times as long as recent ones to the same receiver did."""
CONNECT_TIME_WEIGHT = 0.25
KEEP_ALIVE_MARGIN_S = 0.5
"""A connection is not used in the last part of the time for which the receiver says that it keeps it."""
UNTOLD_KEEP_ALIVE_S = 0.5
"""How long a connection may be idle if the receiver does not tell how long it keeps one."""
UNREPEATABLE_IDLE_S = 0.25
"""How long a connection may have been idle before it carries a request that must not be repeated."""
READ_SIZE = 65536
MISDIRECTED = 421
FIRST_SERVER_ERROR = 500
EVENT_STREAM = "text/event-stream"

_LEFT_OUT_OF_REQUESTS = frozenset({"content-length", REQUEST_DEADLINE, TARGET_INSTANCE})
_TRANSPORT_ERRORS = (OSError, http.client.HTTPException, HTTPError, ValueError)


@dataclass(frozen=True, slots=True)
class ReceiverAnswer:
    """A receiver's answer; `body` is whole, or empty where a stream carries it."""

    status: int
    reason: str
    headers: Sequence[HeaderField]
    signed: bool
    body: bytes = b""


class StreamCut(Exception):
    """A receiver's stream ended before it was whole; `outcome` tells how."""

    def __init__(self, outcome: Outcome) -> None:
        super().__init__(outcome.value)
        self.outcome = outcome


@dataclass(frozen=True, slots=True)
class CallResult:
    """How one call ended. `stream` is set for a success whose body is still arriving."""

    outcome: Outcome
    answer: ReceiverAnswer | None = None
    stream: "ReceiverStream | None" = None
    load: ServerLoad | None = None
    told_wait_s: float | None = None
    misdirected: bool = False


@dataclass(frozen=True, slots=True)
class Call:
    """One call: the request, the body and headers that replace its own, and its bounds."""

    request: Request
    deadline: float
    repeatable: bool
    streaming: bool = False
    body: bytes | None = None
    replaced_headers: Sequence[HeaderField] = ()


@dataclass(slots=True, eq=False)
class _Idle:
    connection: HTTPConnection
    since: float
    keep_alive_s: float


class ReceiverConnections:
    """The idle connections to one receiver; the one used last is taken first."""

    def __init__(self, receiver: Receiver, clock: Callable[[], float]) -> None:
        host, _, port = receiver.address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: list[_Idle] = []
        self._connect_timeout_s = FIRST_CONNECT_TIMEOUT_S
        self._connect_time_s: float | None = None

    def take_idle(self, repeatable: bool) -> HTTPConnection | None:
        """Return a connection that may carry a call now, or None; those that may not be used any more are closed."""
        while True:
            with self._lock:
                if not self._idle:
                    return None
                idle = self._idle[-1]
                age_s = self._clock() - idle.since
                expired = age_s >= idle.keep_alive_s
                if not expired and not repeatable and age_s >= UNREPEATABLE_IDLE_S:
                    return None
                stale = self._idle if expired else [self._idle.pop()]
                if expired:
                    self._idle = []
            if not expired and idle.connection.is_connected:
                return idle.connection
            for each in stale:
                each.connection.close()

    def connect(self, timeout_s: float) -> HTTPConnection:
        """Return a new connection; raises an OSError or HTTPError if none comes up in time."""
        started = self._clock()
        connection = HTTPConnection(self._host, self._port, timeout=min(timeout_s, self._connect_timeout_s))
        connection.connect()
        self._count_connect(self._clock() - started)
        return connection

    def keep(self, connection: HTTPConnection, keep_alive_s: float) -> None:
        """Keep a connection whose last answer was whole."""
        with self._lock:
            self._idle.append(_Idle(connection, self._clock(), keep_alive_s))

    def close_expired(self) -> None:
        """Close the connections that may not be used any more."""
        now = self._clock()
        with self._lock:
            expired = [idle for idle in self._idle if now - idle.since >= idle.keep_alive_s]
            self._idle = [idle for idle in self._idle if now - idle.since < idle.keep_alive_s]
        for idle in expired:
            idle.connection.close()

    def close(self) -> None:
        """Close every idle connection."""
        with self._lock:
            idle, self._idle = self._idle, []
        for each in idle:
            each.connection.close()

    def _count_connect(self, took_s: float) -> None:
        with self._lock:
            if self._connect_time_s is None:
                self._connect_time_s = took_s
            self._connect_time_s += CONNECT_TIME_WEIGHT * (took_s - self._connect_time_s)
            allowed = CONNECT_TIMES_ALLOWED * self._connect_time_s
            self._connect_timeout_s = min(FIRST_CONNECT_TIMEOUT_S, max(LEAST_CONNECT_TIMEOUT_S, allowed))


class ReceiverStream:
    """The body of a receiver's answer while it arrives; whoever has it must call `close`."""

    def __init__(
        self,
        connection: HTTPConnection,
        response: HTTPResponse,
        deadline: float,
        clock: Callable[[], float],
        client: Client | None,
        give_back: Callable[[HTTPConnection, HTTPResponse], None],
    ) -> None:
        self._connection = connection
        self._socket = cast(socket.socket, connection.sock)
        self._response = response
        self._deadline = deadline
        self._clock = clock
        self._client = client
        self._give_back = give_back
        self._parts = self._read_parts()
        self._open = True

    def read_part(self) -> bytes:
        """Return the bytes that come next, or nothing at the proper end; raises StreamCut."""
        try:
            self._await_bytes()
            part = next(self._parts, b"")
        except _TRANSPORT_ERRORS as error:
            self.close()
            raise StreamCut(outcome_of_error(error)) from error
        except StreamCut:
            self.close()
            raise
        if not part:
            self._end()
        return part

    def close(self) -> None:
        """Close the connection, unless the answer was whole and the connection was given back."""
        if self._open:
            self._open = False
            self._response.close()
            self._connection.close()

    def _end(self) -> None:
        if self._open:
            self._open = False
            self._give_back(self._connection, self._response)

    def _read_parts(self) -> Iterator[bytes]:
        if self._response.chunked:
            yield from self._response.read_chunked(decode_content=False)
            return
        if self._response.length_remaining is None:
            raise StreamCut(Outcome.MALFORMED)
        while self._response.length_remaining:
            part = self._response.read1(READ_SIZE, decode_content=False)
            if not part:
                raise StreamCut(Outcome.CLOSED)
            yield part

    def _await_bytes(self) -> None:
        """Wait until the receiver has sent something; raises StreamCut if the client goes away first."""
        left_s = self._deadline - self._clock()
        if left_s <= 0:
            raise StreamCut(Outcome.TIMED_OUT)
        if not self._has_buffered_bytes():
            ended = wait_for_receiver(self._socket, self._client, self._deadline, self._clock)
            if ended is not None:
                raise StreamCut(ended)
        self._socket.settimeout(max(0.001, self._deadline - self._clock()))

    def _has_buffered_bytes(self) -> bool:
        """Tell whether bytes of the answer were read from the socket already, without waiting for more."""
        reader = getattr(getattr(self._response, "_fp", None), "fp", None)
        if reader is None:
            return True
        self._socket.setblocking(False)
        return bool(reader.peek(1))


class Upstream:
    """Makes calls to receivers; may be used from any thread."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._connections: dict[tuple[str, str], ReceiverConnections] = {}
        self.connects = 0

    def call(self, receiver: Receiver, call: Call) -> CallResult:
        """Send a request to a receiver and return how the call ended."""
        connections = self._connections_to(receiver)
        connection = connections.take_idle(call.repeatable)
        if connection is None:
            try:
                connection = connections.connect(max(0.001, call.deadline - self._clock()))
            except _TRANSPORT_ERRORS:
                return CallResult(Outcome.NEVER_SENT)
            self.connects += 1
        try:
            result = self._exchange(receiver, connections, connection, call)
        except _TRANSPORT_ERRORS as error:
            result = CallResult(outcome_of_error(error))
        except StreamCut as cut:
            result = CallResult(cut.outcome)
        if result.answer is None:
            connection.close()
        return result

    def retain_only(self, receivers: Sequence[Receiver]) -> None:
        """Close the idle connections to receivers that are listed no more, and those that have expired."""
        listed = {(receiver.id, receiver.address) for receiver in receivers}
        with self._lock:
            gone = [self._connections.pop(key) for key in list(self._connections) if key not in listed]
            kept = list(self._connections.values())
        for connections in gone:
            connections.close()
        for connections in kept:
            connections.close_expired()

    def close(self) -> None:
        """Close every idle connection."""
        self.retain_only(())

    def _connections_to(self, receiver: Receiver) -> ReceiverConnections:
        key = (receiver.id, receiver.address)
        with self._lock:
            connections = self._connections.get(key)
            if connections is None:
                connections = self._connections[key] = ReceiverConnections(receiver, self._clock)
            return connections

    def _exchange(
        self, receiver: Receiver, connections: ReceiverConnections, connection: HTTPConnection, call: Call
    ) -> CallResult:
        client = call.request.client if call.streaming else None
        self._send(receiver, connection, call)
        ended = wait_for_receiver(cast(socket.socket, connection.sock), client, call.deadline, self._clock)
        if ended is not None:
            return CallResult(ended)
        response = connection.getresponse()
        answer = ReceiverAnswer(
            response.status, response.reason or "", tuple(response.headers.items()), SIGNATURE in response.headers
        )
        if not is_answer_to(response, call.request):
            return CallResult(Outcome.MALFORMED)
        load = parse_server_load(response.headers.get(SERVER_LOAD))

        def give_back(used: HTTPConnection, used_response: HTTPResponse) -> None:
            keep_alive_s = kept_alive_s(used_response)
            if used.sock is not None and keep_alive_s > 0:
                connections.keep(used, keep_alive_s)
            else:
                used.close()

        if call.streaming and is_event_stream(response):
            stream = ReceiverStream(connection, response, call.deadline, self._clock, client, give_back)
            return CallResult(Outcome.SUCCESS, answer, stream, load)
        body = self._read_whole(connection, response, call.deadline)
        give_back(connection, response)
        whole = ReceiverAnswer(answer.status, answer.reason, answer.headers, answer.signed, body)
        return CallResult(
            classify(whole, response),
            whole,
            load=load,
            told_wait_s=read_seconds(response.headers.get("retry-after")),
            misdirected=response.status == MISDIRECTED,
        )

    def _send(self, receiver: Receiver, connection: HTTPConnection, call: Call) -> None:
        request = call.request
        body = request.body if call.body is None else call.body
        left_s = call.deadline - self._clock()
        connection.timeout = max(0.001, left_s)
        connection.request(
            request.method,
            request.target,
            body=body or None,
            headers=request_headers(call, receiver.id, len(body), left_s),
            preload_content=False,
            decode_content=False,
        )

    def _read_whole(self, connection: HTTPConnection, response: HTTPResponse, deadline: float) -> bytes:
        if response.chunked:
            return b"".join(response.read_chunked(decode_content=False))
        parts = []
        while True:
            left_s = deadline - self._clock()
            if left_s <= 0:
                raise TimeoutError
            if connection.sock is not None:
                connection.sock.settimeout(left_s)
            part = response.read1(READ_SIZE, decode_content=False)
            if not part:
                break
            parts.append(part)
        if response.length_remaining:
            raise http.client.IncompleteRead(b"", response.length_remaining)
        return b"".join(parts)


def wait_for_receiver(
    receiver: socket.socket, client: Client | None, deadline: float, clock: Callable[[], float]
) -> Outcome | None:
    """Wait until a receiver's socket is readable; return why the wait ended otherwise."""
    poller = select.poll()
    poller.register(receiver, select.POLLIN)
    if client is not None:
        poller.register(client.fileno(), select.POLLIN)
    while True:
        left_s = deadline - clock()
        if left_s <= 0:
            return Outcome.TIMED_OUT
        ready = {descriptor for descriptor, _ in poller.poll(left_s * 1000 + 1)}
        if receiver.fileno() in ready:
            return None
        if client is not None and ready:
            if client.has_gone():
                return Outcome.CLIENT_GONE
            poller.unregister(client.fileno())
            client = None


def request_headers(call: Call, receiver_id: str, body_length: int, left_s: float) -> Any:
    """Return the headers of a call: the client's own, the time left and the receiver that is meant."""
    request = call.request
    replaced = frozenset(name.lower() for name, _ in call.replaced_headers)
    fields = request.headers.end_to_end(_LEFT_OUT_OF_REQUESTS | replaced)
    fields.extend(call.replaced_headers)
    headers = HTTPHeaderDict({"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER})
    for name in ("user-agent", "accept-encoding"):
        if request.headers.get(name) is not None:
            del headers[name]
    for name, value in fields:
        headers.add(name, value)
    if body_length or request.headers.get("content-length") or request.headers.get("transfer-encoding"):
        headers["Content-Length"] = str(body_length)
    headers["X-Dewpin-Request-Deadline"] = str(max(1, int(left_s * 1000)))
    headers["X-Dewpin-Target-Instance"] = receiver_id
    return headers


def is_answer_to(response: HTTPResponse, request: Request) -> bool:
    """Tell whether an answer is the one to this request, in a form that may be passed on."""
    if response.headers.get(REQUEST_ID) != request.headers.get(REQUEST_ID):
        return False
    return "content-encoding" not in response.headers


def classify(answer: ReceiverAnswer, response: HTTPResponse) -> Outcome:
    """Return the outcome of a call that brought a whole answer."""
    if answer.status == MISDIRECTED or NOT_EXECUTED in response.headers:
        return Outcome.NOT_EXECUTED
    if not answer.signed or answer.status >= FIRST_SERVER_ERROR:
        return Outcome.ERROR
    return Outcome.SUCCESS


def is_event_stream(response: HTTPResponse) -> bool:
    """Tell whether a body is to be passed on event by event."""
    if response.status != http.HTTPStatus.OK or SIGNATURE not in response.headers:
        return False
    return response.headers.get("content-type", "").lower().startswith(EVENT_STREAM)


def kept_alive_s(response: HTTPResponse) -> float:
    """Return how long a connection may be idle before its next call; 0 if it must not be used again."""
    if "close" in response.headers.get("connection", "").lower():
        return 0.0
    for parameter in response.headers.get("keep-alive", "").split(","):
        name, _, value = parameter.strip().partition("=")
        told_s = read_seconds(value) if name.strip().lower() == "timeout" else None
        if told_s is not None:
            return max(0.0, told_s - KEEP_ALIVE_MARGIN_S)
    return UNTOLD_KEEP_ALIVE_S


def read_seconds(value: str | None) -> float | None:
    """Read a number of seconds; None if it is absent or not readable."""
    try:
        seconds = float(value) if value is not None else None
    except ValueError:
        return None
    return seconds if seconds is not None and 0 <= seconds < float("inf") else None


def outcome_of_error(error: Exception) -> Outcome:
    """Return the outcome of a call that ended with an error after the request was sent."""
    cause: BaseException | None = error
    while cause is not None:
        if isinstance(cause, http.client.RemoteDisconnected | http.client.IncompleteRead):
            return Outcome.CLOSED
        if isinstance(cause, TimeoutError | ReadTimeoutError):
            return Outcome.TIMED_OUT
        if isinstance(cause, ConnectionError):
            return Outcome.RESET
        cause = cause.__cause__ or cause.__context__
    return Outcome.RESET if isinstance(error, OSError) else Outcome.MALFORMED
