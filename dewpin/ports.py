"""The interfaces between the relay and the components that transport its messages, as stateless types.

A frontend (currently HTTP) receives messages from clients and submits them to a `MessageIntake`, the relay. A transport
sends attempts to receivers and reports the result of each once. A notice publisher reports the end of each message that
was not relayed. The relay depends only on these interfaces and on no protocol; their implementations know neither the
journal nor the dispatcher.

Requests and results are msgspec structs, as they are created for each message and each dataclass would add about 1 ms
to the start of a process.
"""

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Any, NamedTuple, Protocol

import msgspec

Address = tuple[str, int, bytes]
"""Host, port and receiver id; the id is included because a connection belongs to one receiver."""


class SubmitRequest(msgspec.Struct, frozen=True):
    """A message that a client submits. Text fields contain the bytes as received.

    `remaining_ms`: remaining lifetime of the message, None for the lifetime of its queue class. `is_resubmission`:
    whether the client has submitted it before, to this sender or to another one."""

    message_id: bytes
    queue_class: bytes
    account: bytes
    ordering_key: bytes
    destination: bytes
    idempotency_key: bytes
    body: bytes
    remaining_ms: float | None
    is_resubmission: bool = False


class RejectionReason(Enum):
    """Why a message was rejected permanently."""

    UNKNOWN_QUEUE_CLASS = "unknown queue class"
    """The settings do not define its queue class or its account."""
    DUPLICATE_MESSAGE_ID = "duplicate message id"
    """A message with this id has already been accepted."""


class Accepted(msgspec.Struct, frozen=True):
    """The message is recorded and will either be relayed or end with a published notice."""


class Deferred(msgspec.Struct, frozen=True):
    """The message was not accepted; the client may submit it again after `retry_after_ms` (0: not specified)."""

    retry_after_ms: float


class Rejected(msgspec.Struct, frozen=True):
    """The message was not accepted, and submitting it again will not be accepted either."""

    reason: RejectionReason


SubmitResult = Accepted | Deferred | Rejected


class AttemptResult(msgspec.Struct, frozen=True, array_like=True):
    """The result of an attempt to deliver a message.

    `outcome`: an `Outcome` of core.model; `retry_after_ms`: wait that the receiver requested, 0 if none; `load_report`:
    the receiver's load figures by name; `is_withdrawn`: whether the message no longer needs a result."""

    outcome: str
    retry_after_ms: float
    duration_ms: float
    load_report: dict[str, float]
    is_withdrawn: bool


class AttemptRequest(msgspec.Struct, frozen=True):
    """An attempt that a transport makes once.

    `timeout_ms`: time until a result is reported at the latest. `open_send_window`: called right before the first byte
    is sent; returns the ms within which the last byte may be sent, 0 if the attempt must no longer be sent.
    `on_finished`: called once with the result, never before `Transport.send` returns."""

    address: Address
    message_id: bytes
    idempotency_key: bytes
    body: bytes
    timeout_ms: float
    open_send_window: Callable[[], float]
    on_finished: Callable[[AttemptResult], None]


class EndpointEntry(NamedTuple):
    """A receiver in an endpoint list. `state`: a `ReceiverState` of core.model; `address`: host and port."""

    receiver_id: bytes
    destination: int
    state: str
    address: tuple[str, int]
    zone: str | None
    kind: str | None
    weight: float


class MessageIntake(Protocol):
    """The interface to which a frontend submits messages. `is_draining`: whether messages are no longer accepted."""

    is_draining: bool

    def submit(self, request: SubmitRequest) -> SubmitResult:
        """Accept, defer or reject the message immediately."""


class Frontend(Protocol):
    """The interface of a frontend for the process. `clients`: its open connections, a sized collection."""

    clients: Any

    async def open(self, host: str, port: int) -> tuple[str, int]:
        """Start listening; return the bound address."""

    def stop(self) -> None:
        """Reject new messages from now on; requests that have started to arrive still get a response."""

    def close(self) -> None:
        """Close the listener and all connections."""


class Transport(Protocol):
    """The interface of a transport for the relay."""

    def send(self, request: AttemptRequest) -> None:
        """Start an attempt."""

    def cancel_unsent(self, address: Address) -> None:
        """End attempts to this address of which no byte was sent, with the outcome `NOT_SENT`."""

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to this address."""


class NoticePublisher(Protocol):
    """The interface that reports the end of messages that were not relayed.

    `unacknowledged`: the notices without an acknowledgement, a sized collection."""

    unacknowledged: Any

    def publish(
        self, message_id: bytes, is_deferred: bool, retry_after_ms: float, on_acknowledged: Callable[[], None]
    ) -> None:
        """Send a notice repeatedly until it is acknowledged, then call `on_acknowledged` once."""


class EndpointListener(Protocol):
    """Receives updates of the endpoint list. `is_complete`: whether the entries are the complete list."""

    def __call__(self, entries: Sequence[EndpointEntry | tuple[Any, ...]], is_complete: bool) -> None:
        """Apply an update."""
