"""The interfaces between the relay and what carries messages for it, as types. The module holds no state.

A frontend (HTTP today) receives messages from clients and submits them to a `MessageIntake`, the relay. A transport
carries attempts to receivers and reports the result of each once. A notice publisher reports the end of a message that
was not relayed. The relay knows these interfaces and no wire; what implements them knows neither journal nor decisions.

Requests and results are msgspec structs: they are made for each message, and a dataclass costs a start of the process
some 1 ms each.
"""

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Any, NamedTuple, Protocol

import msgspec

Address = tuple[str, int, bytes]
"""Host, port and the receiver's id: a connection belongs to one receiver."""


class SubmitRequest(msgspec.Struct, frozen=True):
    """A message that a client submits. Texts are the bytes that came.

    `remaining_ms`: what is left of the message's lifetime, None for that of its queue class. `is_resubmission`: the
    client has submitted it before, here or elsewhere."""

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
    """Why a message was rejected for good."""

    UNKNOWN_QUEUE_CLASS = "unknown queue class"
    """The settings do not name its queue class or its account."""
    DUPLICATE_MESSAGE_ID = "duplicate message id"
    """A message with this id was accepted before."""


class Accepted(msgspec.Struct, frozen=True):
    """The message is recorded: it will be relayed, or a notice is published."""


class Deferred(msgspec.Struct, frozen=True):
    """The message was not accepted; the client may submit it again after `retry_after_ms` (0: no advice)."""

    retry_after_ms: float


class Rejected(msgspec.Struct, frozen=True):
    """The message was not accepted, and never will be."""

    reason: RejectionReason


SubmitResult = Accepted | Deferred | Rejected


class AttemptResult(msgspec.Struct, frozen=True, array_like=True):
    """What came of an attempt to deliver a message.

    `outcome`: one of core.model; `retry_after_ms`: how long the receiver asks to wait, 0 for no wait; `load_report`:
    what the receiver says of its load; `is_withdrawn`: nothing is owed for the message any more."""

    outcome: str
    retry_after_ms: float
    duration_ms: float
    load_report: dict[str, float]
    is_withdrawn: bool


class AttemptRequest(msgspec.Struct, frozen=True):
    """An attempt that a transport is to make, once.

    `timeout_ms`: for the result. `open_send_window`: asked right before the first byte; the ms within which the last
    one may leave, 0 if the attempt is not to be made any more. `on_finished`: called once with the result, never
    before `Transport.send` returns."""

    address: Address
    message_id: bytes
    idempotency_key: bytes
    body: bytes
    timeout_ms: float
    open_send_window: Callable[[], float]
    on_finished: Callable[[AttemptResult], None]


class EndpointEntry(NamedTuple):
    """One receiver as an endpoint list has it; `state`: one of core.model, `address`: host and port."""

    receiver_id: bytes
    destination: int
    state: str
    address: tuple[str, int]
    zone: str | None
    kind: str | None
    weight: float


class MessageIntake(Protocol):
    """Where a frontend submits messages. `is_draining`: no message is accepted any more."""

    is_draining: bool

    def submit(self, request: SubmitRequest) -> SubmitResult:
        """Accepts the message or not, at once."""


class Frontend(Protocol):
    """What the process asks of a frontend. `clients`: its open connections, a sized collection."""

    clients: Any

    async def open(self, host: str, port: int) -> tuple[str, int]:
        """Listens; the address that it is bound to."""

    def stop(self) -> None:
        """Rejects new messages from now on; requests that have begun are answered."""

    def close(self) -> None:
        """Closes the listener and every connection."""


class Transport(Protocol):
    """What the relay asks of a transport."""

    def send(self, request: AttemptRequest) -> None:
        """Makes an attempt."""

    def cancel_unsent(self, address: Address) -> None:
        """Attempts to this address of which no byte has left end as not sent."""

    def close_idle(self, address: Address) -> None:
        """Closes the idle connections to this address."""


class NoticePublisher(Protocol):
    """Where the end of a message that was not relayed is reported. `unacknowledged`: a sized collection."""

    unacknowledged: Any

    def publish(
        self, message_id: bytes, is_deferred: bool, retry_after_ms: float, on_acknowledged: Callable[[], None]
    ) -> None:
        """Reports it until it is acknowledged, then calls `on_acknowledged` once."""


class EndpointListener(Protocol):
    """Where updates of the endpoint list go; `is_complete`: the list names all receivers that there are."""

    def __call__(self, entries: Sequence[EndpointEntry | tuple[Any, ...]], is_complete: bool) -> None:
        """Takes an update."""
