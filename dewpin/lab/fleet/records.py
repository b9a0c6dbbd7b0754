"""Records of a load test: submissions, calls, events of senders. Times are in ms since the start of the load."""

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import Any, NamedTuple

DEFERRED_NOTICE = "handed_back"
"""The outcome in a notice that asks the client to submit the message again, as sent to the platform."""

REJECTION_STATUSES = (429, 503)
"""Statuses of responses that guarantee that the receiver did not execute the call."""


class MessageOutcome(StrEnum):
    """The outcome of a message for its client."""

    DELIVERED = "delivered"
    REJECTED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"  # the sender did not respond and may have accepted it


class Rule(StrEnum):
    """The rules that senders must follow."""

    NO_LOSS = "lost"
    NO_DUPLICATE = "dup"
    NO_CALL_AFTER_DRAIN = "drain"
    NO_CALL_BEFORE_RETRY_AFTER = "wait"
    NO_OVERLOAD_OF_COLD_RECEIVER = "failback"
    KEY_ORDER = "order"
    ONLY_SUBMITTED_MESSAGES = "own"


class SenderEvent(Enum):
    """An event of a sender's process."""

    KILLED = "killed"  # or terminated or suspended
    FOLDER_LOST = "lost"
    READY = "ready"


class TimedSenderEvent(NamedTuple):
    """An event of a sender's process, and its time."""

    at_ms: float
    event: SenderEvent


class MessageResult(NamedTuple):
    """The outcome of a message's last submission, and its time."""

    end: MessageOutcome
    at_ms: float


class RetryAfter(NamedTuple):
    """A retry-after delay requested from a sender: when the response was sent, and the end of the delay."""

    sent_at_ms: float
    until_ms: float


class Notice(NamedTuple):
    """A notice: its time of arrival, and its outcome as on the wire."""

    at_ms: float
    outcome: str


@dataclass(slots=True, eq=False)
class Submission:
    """One submission of a message to a sender; its id is unique.

    Attributes:
        submission_id: the id sent to the sender.
        message: number of the message.
        sender: number of the sender.
        effect: effect of its queue class: safe, keyed or unsafe.
        ordering_key: messages with the same key are delivered in order; empty: unordered.
        destination: number of the destination.
        submitted_at_ms, expires_at_ms: start and end of its lifetime.
        order: its position among all submissions.
        accepted_at_ms: when its client received 200 or 202.
        delivered_at_ms: when a receiver first responded with 200.
        notice: the notice that ended it.
        calls: its calls that reached a receiver.
    """

    submission_id: str
    message: int
    sender: int
    effect: str
    ordering_key: str
    destination: int
    submitted_at_ms: float
    expires_at_ms: float
    order: int
    accepted_at_ms: float | None = None
    delivered_at_ms: float | None = None
    notice: Notice | None = None
    calls: "list[ReceivedCall]" = field(default_factory=list)


@dataclass(slots=True, eq=False)
class ReceivedCall:
    """A call that reached a receiver completely.

    Attributes:
        submission: the submission of its message; None: unknown.
        receiver: name of the receiver.
        sender: number of the sender.
        at_ms: when its last byte arrived.
        may_have_executed: whether the receiver may have executed it; False once it was rejected.
        status: status of the response; 0: no response.
        responded_at_ms: when the response was sent; 0: no response.
    """

    submission: Submission | None
    receiver: str
    sender: int
    at_ms: float
    may_have_executed: bool = True
    status: int = 0
    responded_at_ms: float = 0.0


@dataclass(slots=True, eq=False)
class Violation:
    """A violation of a rule.

    Attributes:
        rule: the violated rule.
        at_ms: when the violation was observed.
        submission: the submission concerned, if any.
        sender: number of the sender.
        description: what happened.
        last_events: the latest events of the submission when the violation was observed.
    """

    rule: Rule
    at_ms: float
    submission: Submission | None
    sender: int
    description: str
    last_events: list[str] = field(init=False)

    def __post_init__(self) -> None:
        self.last_events = _last_events(self.submission)

    def to_json(self) -> dict[str, Any]:
        """Return the violation in the format of `result.json`."""
        return {
            "rule": self.rule.value,
            "at_ms": round(self.at_ms, 1),
            "mail": self.submission.submission_id if self.submission else "",
            "sender": self.sender,
            "what": self.description,
            "last": self.last_events,
        }


def _last_events(submission: Submission | None, limit: int = 5) -> list[str]:
    """Return the latest events of a submission as lines of text."""
    if submission is None:
        return []
    events = [(submission.submitted_at_ms, "submitted")]
    events += [(call.at_ms, f"call to {call.receiver}: status {call.status}") for call in submission.calls]
    if submission.accepted_at_ms is not None:
        events.append((submission.accepted_at_ms, "accepted"))
    if submission.notice:
        events.append((submission.notice.at_ms, submission.notice.outcome))
    return [f"{at_ms:.0f} {text}" for at_ms, text in sorted(events)[-limit:]]
