"""The record of a load test: what clients, receivers and agents saw. It opens no socket."""

from collections import defaultdict

from .records import (
    REJECTION_STATUSES,
    MessageEnd,
    MessageEnding,
    Notice,
    ReceivedCall,
    RetryAfter,
    Rule,
    SenderEvent,
    SenderLifeEvent,
    Submission,
)
from .rule_checker import LEEWAY_MS, RuleChecker
from .scenario import Scenario

NO_RETRY_AFTER = RetryAfter(0.0, 0.0)


class ResultCollector:
    """Records what happens, and has the rules checked.

    Attributes:
        checker: the rules that were broken.
        submissions: by their ids.
        calls: all calls that reached a receiver, in order.
        lags: end and length in ms of each time in which the test itself was late.
        drains_known: (sender, receiver): when the sender was sent an update that the receiver drains or is gone.
        lives: events of each sender's process.
        list_requests: (time, sender, status) of the requests for the endpoint list.
        handshakes: connections to receivers.
        endings: how each message ended; it may still change.
        first_submissions_ms: when each message was submitted first.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.checker = RuleChecker(scenario)
        self.submissions: dict[str, Submission] = {}
        self.calls: list[ReceivedCall] = []
        self.lags: list[tuple[float, float]] = []
        self.drains_known: dict[tuple[int, str], float] = {}
        self.lives: dict[int, list[SenderLifeEvent]] = defaultdict(list)
        self.list_requests: list[tuple[float, int, int]] = []
        self.handshakes = 0
        self.endings: dict[int, MessageEnding] = {}
        self.first_submissions_ms: dict[int, float] = {}
        self._retry_afters: dict[tuple[int, int], RetryAfter] = {}  # by sender and destination

    def record_call(
        self, submission_id: str, receiver: str, destination: int, link_sender: int, at_ms: float
    ) -> ReceivedCall:
        """Record a call whose last byte has arrived.

        `link_sender`: the sender by the link that it came on, which may be one of several; whose message it is says
        more.
        """
        submission = self.submissions.get(submission_id)
        sender = submission.sender if submission else link_sender
        call = ReceivedCall(submission, receiver, sender, at_ms)
        self.calls.append(call)
        if submission is None or submission.destination != destination:
            words = f"a call at {receiver} that nobody handed in there"
            self.checker.report(Rule.ONLY_SUBMITTED_MESSAGES, at_ms, submission, sender, words)
            return call
        drain_known_at_ms = self.drains_known.get((sender, receiver))
        retry_after = self._retry_afters.get((sender, destination), NO_RETRY_AFTER)
        self.checker.check_call(call, submission, drain_known_at_ms, retry_after)
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
        """Record a notice; return the submission that it ends, the first time that it comes."""
        submission = self.submissions.get(submission_id)
        if submission is None or submission.notice:
            return None
        submission.notice = Notice(at_ms, outcome)
        self.checker.check_notice(submission, submission.notice)
        return submission

    def record_lag(self, now_ms: float, lag_ms: float) -> None:
        """Record that the test itself was late."""
        if lag_ms > LEEWAY_MS / 2.0:
            self.lags.append((now_ms, lag_ms))

    def record_life(self, sender: int, at_ms: float, event: SenderEvent) -> None:
        """Record an event of a sender's process."""
        self.lives[sender].append(SenderLifeEvent(at_ms, event))

    def record_ending(self, message: int, end: MessageEnd, at_ms: float) -> None:
        """Record how a message ended."""
        self.endings[message] = MessageEnding(end, at_ms)

    def is_delivered(self, message: int) -> bool:
        """Return whether a message is recorded as delivered."""
        ending = self.endings.get(message)
        return ending is not None and ending.end == MessageEnd.DELIVERED

    def has_pending_submissions(self) -> bool:
        """Return whether a sender owes a submission that it accepted an end."""
        return any(
            submission.accepted_at_ms is not None and submission.delivered_at_ms is None and not submission.notice
            for submission in self.submissions.values()
        )

    def judge(self, end_ms: float) -> None:
        """Check the rules that are judged at the end; `end_ms`: until when the test listened."""
        self.checker.check_end(self.submissions.values(), self.lives, end_ms)
        self.checker.set_uncertain_apart(self.lags)
