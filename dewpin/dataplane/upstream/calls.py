"""Calls to receivers: sends a request, takes the answer in and tells how the call ended.

urllib3 does the HTTP; its retries, redirects and decoding stay unused. Method, target and body go as they came. An
answer counts only if it names the request that this call sent.
"""

import threading
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from http import HTTPStatus

from urllib3 import HTTPResponse
from urllib3.util import SKIP_HEADER

from dewpin.cluster.errors import NOT_RUN_STATUSES
from dewpin.cluster.receivers import Receiver
from dewpin.dataplane.http11.messages import (
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
from dewpin.dataplane.load_balancing.receiver_load import ServerLoad, parse_server_load
from dewpin.dataplane.metrics import RequestFigures
from dewpin.dataplane.upstream.connection_pool import ReceiverConnections, read_seconds
from dewpin.dataplane.upstream.idle_limit import IdleLimit
from dewpin.dataplane.upstream.outcome import Outcome, StreamCut
from dewpin.dataplane.upstream.receiver_connection import ReceiverConnection
from dewpin.dataplane.upstream.receiver_socket import NothingSent
from dewpin.dataplane.upstream.receiver_stream import TRANSPORT_ERRORS, ReceiverStream, outcome_of_error
from dewpin.dataplane.upstream.response_body import framing_of

CONNECT_SHARE_OF_TIME_LEFT = 0.25
"""A connect may take this share of the request's time, so that another receiver can be tried."""
LEAST_CONNECT_S = 0.001

_LEFT_OUT = frozenset({"content-length", REQUEST_DEADLINE, TARGET_INSTANCE})


@dataclass(frozen=True, slots=True)
class ReceiverAnswer:
    """A receiver's answer; `body` is whole, or empty where a stream carries it."""

    status: int
    reason: str
    headers: Sequence[HeaderField]
    signed: bool
    body: bytes = b""

    @property
    def may_pass_on(self) -> bool:
        """Tell whether this is a receiver's own answer that makes no promise which it does not prove."""
        return self.signed and self.status not in NOT_RUN_STATUSES


@dataclass(frozen=True, slots=True)
class CallResult:
    """How one call ended. `stream` is set for a success whose body is still arriving."""

    outcome: Outcome
    answer: ReceiverAnswer | None = None
    stream: ReceiverStream | None = None
    load: ServerLoad | None = None
    told_wait_s: float | None = None
    misdirected: bool = False


@dataclass(frozen=True, slots=True)
class Call:
    """One call: the request, what replaces its body and headers, and the time by which it has to be over."""

    request: Request
    deadline: float
    repeatable: bool
    streaming: bool = False
    body: bytes | None = None
    replaced_headers: Sequence[HeaderField] = ()

    @property
    def watched_client(self) -> Client | None:
        """Return the client whose leaving ends the call; None where a call under way is better ended by its answer."""
        return self.request.client if self.streaming or self.repeatable else None

    @property
    def has_client_gone(self) -> bool:
        """Tell whether the client has closed its connection, so that nothing may be sent for it any more."""
        client = self.request.client
        return client is not None and client.has_gone()

    @property
    def request_id(self) -> str:
        """Return the id that the answer has to name."""
        return self.request.headers.get(REQUEST_ID) or ""


class Upstream:
    """Makes calls to receivers; may be used from any thread."""

    def __init__(self, clock: Callable[[], float], figures: RequestFigures) -> None:
        self._clock = clock
        self._figures = figures
        self._lock = threading.Lock()
        self._connections: dict[tuple[str, str], ReceiverConnections] = {}
        self._idle_limits: dict[str, IdleLimit] = {}

    def call(self, receiver: Receiver, call: Call) -> CallResult:
        """Send a request to a receiver and return how the call ended; raises nothing where the receiver fails.

        Where a used connection turns out to have ended, the call goes on on a new one: if nothing could be sent, or if
        the receiver seems to have forgotten the connection and the request may run twice.
        A client that leaves ends a call that is `watched_client`'s at once, by closing the connection to the receiver.
        """
        if call.has_client_gone:
            return CallResult(Outcome.CLIENT_GONE)
        connections = self._connections_to(receiver)
        connection = connections.take_idle(call.repeatable, call.request_id)
        if connection is None:
            return self._call_anew(receiver, connections, call)
        result = self._call_on(receiver, connections, connection, call)
        was_forgotten = connections.was_forgotten(connection, result.outcome)
        if result.outcome is Outcome.NEVER_SENT:
            return self._call_anew(receiver, connections, call)
        if not was_forgotten or not call.repeatable:
            return result
        again = self._call_anew(receiver, connections, call)
        return replace(again, outcome=result.outcome) if again.outcome.proves_no_effect else again

    def _call_anew(self, receiver: Receiver, connections: ReceiverConnections, call: Call) -> CallResult:
        """Make a call on a new connection."""
        connection = self._connect(connections, call)
        if connection is None:
            return CallResult(Outcome.NEVER_SENT)
        if call.has_client_gone:
            connection.close()
            return CallResult(Outcome.CLIENT_GONE)
        if call.deadline <= self._clock():
            connection.close()
            return CallResult(Outcome.NEVER_SENT)
        return self._call_on(receiver, connections, connection, call)

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
                limit = self._idle_limits.setdefault(receiver.backend, IdleLimit())
                connections = self._connections[key] = ReceiverConnections(receiver, self._clock, limit)
            return connections

    def _connect(self, connections: ReceiverConnections, call: Call) -> ReceiverConnection | None:
        self._figures.connects += 1
        connect_s = CONNECT_SHARE_OF_TIME_LEFT * (call.deadline - self._clock())
        try:
            return connections.connect(max(LEAST_CONNECT_S, connect_s))
        except OSError:
            return None

    def _call_on(
        self, receiver: Receiver, connections: ReceiverConnections, connection: ReceiverConnection, call: Call
    ) -> CallResult:
        """Make a call on a connection, which is closed where the call fails."""
        try:
            return self._exchange(receiver, connections, connection, call)
        except NothingSent:
            outcome = Outcome.NEVER_SENT
        except StreamCut as cut:
            outcome = cut.outcome
        except TRANSPORT_ERRORS as error:
            outcome = outcome_of_error(error)
        except BaseException:
            connection.close()
            raise
        connection.close()
        return CallResult(outcome)

    def _exchange(
        self, receiver: Receiver, connections: ReceiverConnections, connection: ReceiverConnection, call: Call
    ) -> CallResult:
        """Send the request and read the answer, or its head where a stream follows; raises where that breaks."""
        connection.begin_call(call.request_id, call.deadline, call.watched_client)
        self._send(receiver, connection, call)
        response = connection.getresponse()
        if not is_answer_to(response, call.request, connection.is_first_call):
            if is_refusal(response) and REQUEST_ID not in response.headers:
                self._figures.unnamed_refusals += 1
            raise StreamCut(Outcome.MALFORMED)
        framing = framing_of(call.request.method, response.status, response.headers.getlist)
        stream = ReceiverStream(connection, response, framing, connections.give_back)
        answer = ReceiverAnswer(
            response.status, response.reason or "", tuple(response.headers.items()), SIGNATURE in response.headers
        )
        load = parse_server_load(response.headers.get(SERVER_LOAD))
        if call.streaming and answer.status == HTTPStatus.OK and answer.signed and not is_refusal(response):
            return CallResult(Outcome.SUCCESS, answer, stream, load)
        body = stream.read_all()
        return CallResult(
            outcome=classify(response, answer),
            answer=ReceiverAnswer(answer.status, answer.reason, answer.headers, answer.signed, body),
            load=load,
            told_wait_s=read_seconds(response.headers.get("retry-after")),
            misdirected=response.status == HTTPStatus.MISDIRECTED_REQUEST,
        )

    def _send(self, receiver: Receiver, connection: ReceiverConnection, call: Call) -> None:
        request = call.request
        body = request.body if call.body is None else call.body
        connection.request(
            request.method,
            request.target,
            body=body or None,
            headers=call_headers(call, receiver.id, len(body), call.deadline - self._clock()),
            preload_content=False,
            decode_content=False,
        )


def call_headers(call: Call, receiver_id: str, body_length: int, left_s: float) -> dict[str, str]:
    """Return the headers of a call: the client's own, the time left and the receiver that is meant."""
    request = call.request
    replaced = {name.lower() for name, _ in call.replaced_headers}
    headers: dict[str, str] = {}
    for name, value in request.headers.end_to_end(_LEFT_OUT | replaced):
        headers[name] = f"{headers[name]}, {value}" if name in headers else value
    headers.update(call.replaced_headers)
    for name in ("user-agent", "accept-encoding"):
        if request.headers.get(name) is None:
            headers[name] = SKIP_HEADER
    if body_length or request.headers.has_body_framing:
        headers["Content-Length"] = str(body_length)
    headers["X-Dewpin-Request-Deadline"] = str(max(1, int(left_s * 1000)))
    headers["X-Dewpin-Target-Instance"] = receiver_id
    return headers


def is_answer_to(response: HTTPResponse, request: Request, is_first: bool) -> bool:
    """Tell whether an answer is the one to this request, in a form that may be passed on.

    A refusal without an id counts if it is the first answer on its connection, where nothing late can come before it.
    """
    if "content-encoding" in response.headers or response.status < HTTPStatus.OK:
        return False
    answered_id = response.headers.get(REQUEST_ID)
    if answered_id is None:
        return is_first and is_refusal(response)
    return answered_id == request.headers.get(REQUEST_ID)


def is_refusal(response: HTTPResponse) -> bool:
    """Tell whether an answer proves that the receiver did not run the request."""
    return response.status == HTTPStatus.MISDIRECTED_REQUEST or NOT_EXECUTED in response.headers


def classify(response: HTTPResponse, answer: ReceiverAnswer) -> Outcome:
    """Return the outcome of a call that brought a whole answer."""
    if is_refusal(response):
        return Outcome.NOT_EXECUTED
    if answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR or not answer.may_pass_on:
        return Outcome.ERROR
    return Outcome.SUCCESS
