"""What is recorded of a load test: submissions, calls, the lives of senders. Times are ms since the load began."""

from dataclasses import dataclass, field
from enum import Enum, StrEnum
from typing import Any, NamedTuple

DEFERRED_NOTICE = "handed_back"
"""The outcome of a notice that lets the client submit the message again, as the platform's wire spells it."""

REJECTION_STATUSES = (429, 503)
"""Statuses of a response that prove that the receiver did not execute the call."""


class MessageEnd(StrEnum):
    """How a message ended for its client."""

    DELIVERED = "delivered"
    REJECTED = "refused"
    FAILED = "failed"
    UNKNOWN = "unknown"  # a sender did not answer, and may have accepted it


class Rule(StrEnum):
    """The rules that senders must keep."""

    NO_LOSS = "lost"
    NO_DUPLICATE = "dup"
    NO_CALL_AFTER_DRAIN = "drain"
    NO_CALL_BEFORE_RETRY_AFTER = "wait"
    NO_OVERLOAD_OF_COLD_RECEIVER = "failback"
    ORDER_OF_A_KEY = "order"
    ONLY_SUBMITTED_MESSAGES = "own"


class SenderEvent(Enum):
    """A change in the life of a sender's process."""

    KILLED = "killed"  # or stopped
    FOLDER_LOST = "lost"
    READY = "ready"


class SenderLifeEvent(NamedTuple):
    """A sender's event and its time."""

    at_ms: float
    event: SenderEvent


class MessageEnding(NamedTuple):
    """How a message's last submission ended, and when."""

    end: MessageEnd
    at_ms: float


class RetryAfter(NamedTuple):
    """A response that asked a sender to wait: when it was sent, and until when."""

    sent_at_ms: float
    until_ms: float


class Notice(NamedTuple):
    """A notice: when it came, and its outcome as the wire spells it."""

    at_ms: float
    outcome: str


@dataclass(slots=True, eq=False)
class Submission:
    """One submission of a message to a sender; its id is never used twice.

    Attributes:
        submission_id: the id that the sender sees.
        message: number of the message.
        sender: number of the sender.
        effect: of its queue class: safe, keyed or unsafe.
        ordering_key: messages of one key are delivered in order; empty: none.
        destination: number of the destination.
        submitted_at_ms, expires_at_ms: when it was submitted, and when its lifetime ends.
        order: its place among all submissions.
        accepted_at_ms: when its client received 202.
        delivered_at_ms: when the first status line with 200 was written.
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
    """A call that reached a receiver whole.

    Attributes:
        submission: whose message it carries; None: nobody submitted it.
        receiver: name of the receiver.
        sender: number of the sender.
        at_ms: when its last byte arrived.
        may_have_executed: it was not rejected.
        status: of the response; 0: there was none.
        responded_at_ms: when the response was sent; 0: it was not.
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
    """A broken rule.

    Attributes:
        rule: which one.
        at_ms: when it was seen.
        submission: the submission that it is about, if there is one.
        sender: number of the sender.
        description: what happened.
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
        """Return it in the form of `result.json`."""
        return {
            "rule": self.rule.value,
            "at_ms": round(self.at_ms, 1),
            "mail": self.submission.submission_id if self.submission else "",
            "sender": self.sender,
            "what": self.description,
            "last": self.last_events,
        }


def _last_events(submission: Submission | None, limit: int = 5) -> list[str]:
    """Return the submission's last events up to now, as lines."""
    if submission is None:
        return []
    events = [(submission.submitted_at_ms, "handed in")]
    events += [(call.at_ms, f"called at {call.receiver}: {call.status}") for call in submission.calls]
    if submission.accepted_at_ms is not None:
        events.append((submission.accepted_at_ms, "taken on"))
    if submission.notice:
        events.append((submission.notice.at_ms, submission.notice.outcome))
    return [f"{at_ms:.0f} {words}" for at_ms, words in sorted(events)[-limit:]]
