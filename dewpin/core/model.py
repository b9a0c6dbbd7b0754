"""The types of the dispatcher's interface: messages, receivers, destinations, outcomes and decisions.

The driver of the dispatcher writes the facts that it learns to these objects (changes of the receiver list, load
reports, withdrawn messages, the measurements of an attempt). The dispatcher never changes these facts; it keeps derived
state in the attributes that are marked as its own.

The classes are plain ones with slots: each dataclass would add about 1 ms to the start of a process.

All times are milliseconds, as floats. A name that ends in `_at` or `_until` is a point in time on the driver's clock; a
name that ends in `_ms` is a duration.
"""

from __future__ import annotations

from collections.abc import Hashable
from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple

if TYPE_CHECKING:
    from .destination_limits import DestinationLimits
    from .destination_queue import DestinationQueue
    from .message_state import MessageState
    from .receiver_health import ReceiverHealth

UNSET: Any = None
"""Value of the dispatcher's own attributes until it sets them; None, regardless of the declared type."""


class Decision(StrEnum):
    """The dispatcher's decision on a message."""

    SEND = "send"  # to a receiver, now
    NOT_YET = "not yet"  # stays queued; `Dispatcher.next_due` returns when to ask again
    RELAYED = "relayed"  # finished: a receiver accepted it
    DEFERRED = "deferred"  # given up; the client can safely submit it again
    BOUNCED = "bounced"  # given up permanently, without any guarantee about its effect


class Outcome(StrEnum):
    """How an attempt to deliver a message ended."""

    DELIVERED = "delivered"
    ERROR = "error"  # the receiver answered with an error
    REJECTED = "full"  # the receiver rejected it without processing it
    TIMED_OUT = "timed out"
    CONNECT_FAILED = "unreached"  # no connection was made
    DROPPED = "dropped"  # the connection was lost before the whole request was sent
    RESET = "reset"  # the connection was lost after the whole request was sent
    CANCELLED = "called off"
    NOT_SENT = "unsent"  # no byte of it was sent


class ReceiverState(StrEnum):
    """The state of a receiver in the receiver list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


READY = ReceiverState.READY
"""Bound once for hot loops: looking up an enum member on its class costs ten times as much in Python 3.11."""

NOT_EXECUTED_OUTCOMES = frozenset((Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT, Outcome.DROPPED))
"""Outcomes that prove that a message was not executed."""

LOAD_REPORT_FIELDS = {"x0": "left", "x1": "limit"}
"""Maps field names in load reports to the names that the dispatcher uses."""


class PriorAttempts(NamedTuple):
    """The attempts that an earlier process of the sender made for a message.

    attempts: number of attempts.
    executed_at: send time of the first attempt that may have been executed; None if there was none.
    executed_by: the receiver of that attempt.
    """

    attempts: int = 0
    executed_at: float | None = None
    executed_by: Receiver | None = None


NO_PRIOR_ATTEMPTS = PriorAttempts()


class Destination:
    """An external system with the receivers that serve it.

    destination_id: the driver's identifier.
    receivers: its endpoints, in the order of their first occurrence in the list.
    queue, limits: the dispatcher's own, `UNSET` at first.
    """

    __slots__ = ("destination_id", "limits", "queue", "receivers")

    def __init__(self, destination_id: Any) -> None:
        self.destination_id = destination_id
        self.receivers: list[Receiver] = []
        self.queue: DestinationQueue = UNSET
        self.limits: DestinationLimits = UNSET


class Receiver:
    """One endpoint of a destination; creating it adds it to the destination.

    receiver_id: the driver's identifier; its order breaks ties between receivers.
    kind: index of its kind of receiver in the settings.
    zone: index of its zone; -1 if unknown.
    weight: its weight in the list.
    state: its state in the list.
    address: its network address; the dispatcher does not read it.
    load_report: its latest load report, with the names in `LOAD_REPORT_FIELDS`.
    health, limits: the dispatcher's own, `UNSET` at first.
    """

    __slots__ = (
        "address",
        "destination",
        "health",
        "kind",
        "limits",
        "load_report",
        "receiver_id",
        "state",
        "weight",
        "zone",
    )

    def __init__(
        self,
        receiver_id: Any,
        destination: Destination,
        kind: int = 0,
        zone: int = 0,
        weight: float = 0.0,
        state: str = ReceiverState.READY,
    ) -> None:
        self.receiver_id = receiver_id
        self.destination = destination
        self.kind = kind
        self.zone = zone
        self.weight = weight
        self.state = state
        self.address: Any = None
        self.load_report: dict[str, float] = {}
        self.health: ReceiverHealth = UNSET
        self.limits: DestinationLimits = UNSET
        destination.receivers.append(self)


class Message:
    """A message for one destination.

    message_id: the driver's identifier, of any type; the dispatcher does not read it.
    arrived_at: when it was first submitted, to this sender or to another one.
    expires_at: end of its lifetime.
    queue_class: index of its class in the settings.
    account: index of the account that submitted it.
    ordering_key: messages with the same key may have to keep their order; 0 if it has none.
    prior_attempts: attempts of an earlier process of the sender.
    is_withdrawn: whether the message no longer needs a result.
    retry_after_ms: wait that the response to its latest attempt requested; 0 if none.
    duration_ms: duration of its latest attempt.
    dispatch_state: the dispatcher's own, `UNSET` at first.
    """

    __slots__ = (
        "account",
        "arrived_at",
        "destination",
        "dispatch_state",
        "duration_ms",
        "expires_at",
        "is_withdrawn",
        "message_id",
        "ordering_key",
        "prior_attempts",
        "queue_class",
        "retry_after_ms",
    )

    def __init__(
        self,
        message_id: Any,
        destination: Destination,
        arrived_at: float,
        expires_at: float,
        queue_class: int = 0,
        account: int = 0,
        ordering_key: Hashable = 0,
        prior_attempts: PriorAttempts = NO_PRIOR_ATTEMPTS,
    ) -> None:
        self.message_id = message_id
        self.destination = destination
        self.arrived_at = arrived_at
        self.expires_at = expires_at
        self.queue_class = queue_class
        self.account = account
        self.ordering_key = ordering_key
        self.prior_attempts = prior_attempts
        self.is_withdrawn = False
        self.retry_after_ms = 0.0
        self.duration_ms = 0.0
        self.dispatch_state: MessageState = UNSET
