"""The results of a load test, as observed by clients, receivers and agents. Free of I/O."""

from collections import defaultdict

from .records import (
    REJECTION_STATUSES,
    MessageOutcome,
    MessageResult,
    Notice,
    ReceivedCall,
    RetryAfter,
    Rule,
    SenderEvent,
    Submission,
    TimedSenderEvent,
)
from .rule_checker import TIMING_TOLERANCE_MS, RuleChecker
from .scenario import Scenario

NO_RETRY_AFTER = RetryAfter(0.0, 0.0)


class ResultCollector:
    """Records events, and passes them to the rule checker.

    Attributes:
        checker: finds violations of the rules.
        submissions: all submissions by id.
        calls: all calls that reached a receiver, in order of arrival.
        lags: end and duration in ms of each lag of the test itself.
        drain_notified_ms: by (sender, receiver): when the sender was sent the update that the receiver drains or left.
        sender_events: events of the process of each sender.
        list_requests: (time, sender, status) of each request for the endpoint list.
        handshakes: number of connections opened to receivers.
        message_results: result of each message by its number; may still change.
        first_submissions_ms: time of the first submission of each message.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.checker = RuleChecker(scenario)
        self.submissions: dict[str, Submission] = {}
        self.calls: list[ReceivedCall] = []
        self.lags: list[tuple[float, float]] = []
        self.drain_notified_ms: dict[tuple[int, str], float] = {}
        self.sender_events: dict[int, list[TimedSenderEvent]] = defaultdict(list)
        self.list_requests: list[tuple[float, int, int]] = []
        self.handshakes = 0
        self.message_results: dict[int, MessageResult] = {}
        self.first_submissions_ms: dict[int, float] = {}
        self._retry_afters: dict[tuple[int, int], RetryAfter] = {}  # by sender and destination

    def record_call(
        self, submission_id: str, receiver: str, destination: int, link_sender: int, at_ms: float
    ) -> ReceivedCall:
        """Record a call whose last byte has arrived.

        `link_sender`: the first sender that uses the link of the call. Several senders may share a link, so the sender
        of the submission takes precedence.
        """
        submission = self.submissions.get(submission_id)
        sender = submission.sender if submission else link_sender
        call = ReceivedCall(submission, receiver, sender, at_ms)
        self.calls.append(call)
        if submission is None or submission.destination != destination:
            description = f"call to {receiver} without a submission to its destination"
            self.checker.report(Rule.ONLY_SUBMITTED_MESSAGES, at_ms, submission, sender, description)
            return call
        drain_notified_at_ms = self.drain_notified_ms.get((sender, receiver))
        retry_after = self._retry_afters.get((sender, destination), NO_RETRY_AFTER)
        self.checker.check_call(call, submission, drain_notified_at_ms, retry_after)
        submission.calls.append(call)
        return call

    def record_response(
        self, call: ReceivedCall, status: int, retry_after_ms: float, destination: int, at_ms: float
    ) -> None:
        """Record the response to a call."""
        call.status = status
        call.responded_at_ms = at_ms
        call.may_have_executed = status not in REJECTION_STATUSES
        if retry_after_ms > 0.0:
            self._retry_afters[call.sender, destination] = RetryAfter(at_ms, at_ms + retry_after_ms)
        if status == 200 and call.submission and call.submission.delivered_at_ms is None:
            call.submission.delivered_at_ms = at_ms

    def record_notice(self, submission_id: str, outcome: str, at_ms: float) -> Submission | None:
        """Record a notice; return the submission that it ends, or None if unknown or already ended by a notice."""
        submission = self.submissions.get(submission_id)
        if submission is None or submission.notice:
            return None
        submission.notice = Notice(at_ms, outcome)
        self.checker.check_notice(submission, submission.notice)
        return submission

    def record_lag(self, now_ms: float, lag_ms: float) -> None:
        """Record a lag of the test itself, unless it is small."""
        if lag_ms > TIMING_TOLERANCE_MS / 2.0:
            self.lags.append((now_ms, lag_ms))

    def record_sender_event(self, sender: int, at_ms: float, event: SenderEvent) -> None:
        """Record an event of a sender's process."""
        self.sender_events[sender].append(TimedSenderEvent(at_ms, event))

    def record_outcome(self, message: int, outcome: MessageOutcome, at_ms: float) -> None:
        """Record the outcome of a message."""
        self.message_results[message] = MessageResult(outcome, at_ms)

    def is_delivered(self, message: int) -> bool:
        """Return whether a message is recorded as delivered."""
        result = self.message_results.get(message)
        return result is not None and result.end == MessageOutcome.DELIVERED

    def has_pending_submissions(self) -> bool:
        """Return whether an accepted submission has neither been delivered nor ended by a notice."""
        return any(
            submission.accepted_at_ms is not None and submission.delivered_at_ms is None and not submission.notice
            for submission in self.submissions.values()
        )

    def check_end(self, end_ms: float) -> None:
        """Check the rules that can only be checked at the end; `end_ms`: end of the recorded time."""
        self.checker.check_end(self.submissions.values(), self.sender_events, end_ms)
        self.checker.separate_uncertain(self.lags)
