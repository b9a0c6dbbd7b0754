"""A call to a receiver and its result."""

from collections.abc import Sequence
from dataclasses import dataclass

from dewpin.cluster.errors import NOT_RUN_STATUSES
from dewpin.dataplane.http11.messages import REQUEST_ID, Client, HeaderField, Request
from dewpin.dataplane.load_balancing.receiver_load import ServerLoad
from dewpin.dataplane.upstream.outcome import Outcome
from dewpin.dataplane.upstream.response_stream import ResponseStream


@dataclass(frozen=True, slots=True)
class ReceiverResponse:
    """The response of a receiver; `body` is complete, or empty if the body is streamed."""

    status: int
    reason: str
    headers: Sequence[HeaderField]
    is_signed: bool
    body: bytes = b""

    @property
    def is_forwardable(self) -> bool:
        """Return whether the response is signed and its status does not claim that the request was not executed."""
        return self.is_signed and self.status not in NOT_RUN_STATUSES


@dataclass(frozen=True, slots=True)
class CallResult:
    """The result of one call.

    Attributes:
        outcome: how the call ended.
        response: the response, if a valid one was received.
        stream: the rest of the body, if the call succeeded and its body is still arriving; the caller must close it.
        load: the load that the receiver reported.
        retry_after_s: the delay that the receiver requested.
        is_misdirected: the receiver responded with 421 (Misdirected Request).
    """

    outcome: Outcome
    response: ReceiverResponse | None = None
    stream: ResponseStream | None = None
    load: ServerLoad | None = None
    retry_after_s: float | None = None
    is_misdirected: bool = False


@dataclass(frozen=True, slots=True)
class Call:
    """One call to a receiver.

    Attributes:
        request: the client's request.
        deadline: time by which the call must end, in seconds of the monotonic clock.
        is_idempotent: whether the request may be executed more than once.
        is_streaming: whether the body of a successful response is returned as a stream.
        body: replaces the body of the request, if given.
        replaced_headers: header fields that replace those of the same names.
    """

    request: Request
    deadline: float
    is_idempotent: bool
    is_streaming: bool = False
    body: bytes | None = None
    replaced_headers: Sequence[HeaderField] = ()

    @property
    def watched_client(self) -> Client | None:
        """Return the client whose disconnect aborts the call; None if the call must run to completion."""
        return self.request.client if self.is_streaming or self.is_idempotent else None

    @property
    def has_client_disconnected(self) -> bool:
        """Return whether the client has disconnected, in which case nothing may be sent for it."""
        client = self.request.client
        return client is not None and client.has_disconnected()

    @property
    def request_id(self) -> str:
        """Return the request id, which the response must repeat."""
        return self.request.headers.get(REQUEST_ID) or ""
