"""The rules that senders must keep, judged from what clients, receivers and agents saw, never from a sender's word."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from itertools import pairwise

from .records import (
    DEFERRED_NOTICE,
    Notice,
    ReceivedCall,
    RetryAfter,
    Rule,
    SenderEvent,
    SenderLifeEvent,
    Submission,
    Violation,
)
from .scenario import Scenario

END_SLACK_MS = 350.0  # over a message's lifetime until its end must be known
RESTART_SLACK_MS = 1500.0  # after a sender is ready again, for the messages in its folder
LEEWAY_MS = 100.0  # for calls that were on their way as a retry-after was sent, or an update
MAX_VIOLATIONS = 200


class RuleChecker:
    """Finds broken rules.

    Attributes:
        violations: those that were found, at most `MAX_VIOLATIONS`.
        uncertain_violations: those that were seen while the test itself was late, so that what it saw may have been
            earlier.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.violations: list[Violation] = []
        self.uncertain_violations: list[Violation] = []
        self._scenario = scenario
        self._leeway_ms = LEEWAY_MS + scenario.slack_ms

    def report(self, rule: Rule, at_ms: float, submission: Submission | None, sender: int, description: str) -> None:
        """Record a broken rule."""
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(Violation(rule, at_ms, submission, sender, description))

    # -- as it happens ------------------------------------------------------------------------------------------------

    def check_call(
        self, call: ReceivedCall, submission: Submission, drain_known_at_ms: float | None, retry_after: RetryAfter
    ) -> None:
        """Check a call against what its sender knew, and against the submission's earlier calls.

        Args:
            call: the call.
            submission: whose message it carries.
            drain_known_at_ms: when its sender was sent an update that the receiver drains or is gone.
            retry_after: the last one of the destination to its sender.
        """
        at_ms = call.at_ms
        grace_ms = self._scenario.receivers.drain_grace_ms
        if drain_known_at_ms is not None and at_ms > drain_known_at_ms + grace_ms + self._leeway_ms:
            words = f"a call to {call.receiver} {at_ms - drain_known_at_ms:.0f} ms after its end was told"
            self.report(Rule.NO_CALL_AFTER_DRAIN, at_ms, submission, call.sender, words)
        if retry_after.sent_at_ms + self._leeway_ms < at_ms < retry_after.until_ms:
            words = f"a call {retry_after.until_ms - at_ms:.0f} ms before a told wait is over"
            self.report(Rule.NO_CALL_BEFORE_RETRY_AFTER, at_ms, submission, call.sender, words)
        self._check_duplicate(call, submission)

    def _check_duplicate(self, call: ReceivedCall, submission: Submission) -> None:
        earlier = [other for other in submission.calls if other.may_have_executed]
        if not earlier:
            return
        window_ms = self._scenario.load.repeat_window_ms
        if submission.effect == "unsafe":
            words = "a further call of once-only mail that may have run"
        elif submission.effect == "keyed" and call.at_ms > earlier[0].at_ms + window_ms + self._leeway_ms:
            words = "a further call of tagged mail outside its window"
        else:
            return
        self.report(Rule.NO_DUPLICATE, call.at_ms, submission, call.sender, words)

    def check_notice(self, submission: Submission, notice: Notice) -> None:
        """Check that a message that may have been executed is not given back to be submitted again."""
        may_have_executed = any(call.may_have_executed for call in submission.calls)
        if notice.outcome == DEFERRED_NOTICE and submission.effect == "unsafe" and may_have_executed:
            words = "once-only mail that may have run was handed back"
            self.report(Rule.NO_DUPLICATE, notice.at_ms, submission, submission.sender, words)

    # -- at the end ---------------------------------------------------------------------------------------------------

    def check_end(
        self,
        submissions: Iterable[Submission],
        lives: Mapping[int, Sequence[SenderLifeEvent]],
        end_ms: float,
    ) -> None:
        """Check that each accepted message has an end, and the order within each key.

        `lives`: the events of each sender's process; `end_ms`: until when the test listened.
        """
        submissions = list(submissions)
        for submission in submissions:
            if submission.accepted_at_ms is None or submission.delivered_at_ms is not None or submission.notice:
                continue
            due_ms = self._end_due_ms(submission, lives[submission.sender])
            if due_ms is not None and due_ms < end_ms:
                words = "taken on, and neither delivered nor given up in time"
                self.report(Rule.NO_LOSS, due_ms, submission, submission.sender, words)
        self._check_order(submissions)

    def set_uncertain_apart(self, lags: Iterable[tuple[float, float]]) -> None:
        """Set apart what was seen while the test itself was late; `lags`: the end and the length of each such time."""
        lags = list(lags)
        for violation in list(self.violations):
            at_ms = round(violation.at_ms, 1)
            if any(ended_ms - lag_ms - LEEWAY_MS <= at_ms <= ended_ms + LEEWAY_MS for ended_ms, lag_ms in lags):
                self.violations.remove(violation)
                self.uncertain_violations.append(violation)

    def _check_order(self, submissions: list[Submission]) -> None:
        by_key: dict[tuple[int, str], list[Submission]] = defaultdict(list)
        for submission in submissions:
            if submission.ordering_key and submission.accepted_at_ms is not None:
                by_key[submission.sender, submission.ordering_key].append(submission)
        for (sender, _), of_one_key in by_key.items():
            of_one_key.sort(key=lambda submission: submission.order)
            for before, after in pairwise(of_one_key):
                if before.calls and after.calls and after.calls[0].at_ms < before.calls[-1].at_ms:
                    words = f"called before {before.submission_id} was over"
                    self.report(Rule.ORDER_OF_A_KEY, after.calls[0].at_ms, after, sender, words)

    def _end_due_ms(self, submission: Submission, life: Sequence[SenderLifeEvent]) -> float | None:
        """Return when the end of a message must be known at the latest; None: it is excused."""
        slack_ms = self._scenario.slack_ms
        due_ms = submission.expires_at_ms + END_SLACK_MS + slack_ms
        for at_ms, event in life:
            if event == SenderEvent.FOLDER_LOST and at_ms >= submission.submitted_at_ms:
                return None
            if event == SenderEvent.KILLED and submission.submitted_at_ms <= at_ms <= due_ms:
                due_ms = float("inf")
            if event == SenderEvent.READY and due_ms == float("inf"):
                due_ms = max(submission.expires_at_ms + END_SLACK_MS, at_ms + RESTART_SLACK_MS) + slack_ms
        return None if due_ms == float("inf") else due_ms
