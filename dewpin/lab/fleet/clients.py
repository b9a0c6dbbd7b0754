"""Simulated clients: they submit messages at random times, and resubmit those that a sender rejects."""

import random
from collections.abc import Sequence

from .http_connection import HttpResponse, request_once
from .load_clock import LoadClock
from .records import DEFERRED_NOTICE, MessageOutcome, Submission
from .result_collector import ResultCollector
from .scenario import Scenario
from .sender_process import SenderProcess
from .timeline import Timeline

RESPONSE_TIMEOUT_SECONDS = 0.4
MIN_RETRY_PAUSE_MS = 200.0
RETRY_PAUSE_FACTORS = (1.0, 1.5)


class Clients:
    """Submits the messages of the load. Arrival times are drawn in advance and do not depend on responses."""

    def __init__(
        self,
        scenario: Scenario,
        collector: ResultCollector,
        clock: LoadClock,
        timeline: Timeline,
        senders: Sequence[SenderProcess],
        random_source: random.Random,
    ) -> None:
        self._load = scenario.load
        self._destination_count = scenario.receivers.destinations
        self._collector = collector
        self._clock = clock
        self._timeline = timeline
        self._senders = senders
        self._random = random_source
        self._submission_counts: dict[int, int] = {}  # by number of the message

    def schedule_submissions(self) -> None:
        """Schedule the first submission of each message."""
        load = self._load
        effects, shares = list(load.class_shares), list(load.class_shares.values())
        at_ms, message = 0.0, 0
        while (at_ms := at_ms + self._random.expovariate(load.rate / 1000.0)) < load.seconds * 1000.0:
            effect = self._random.choices(effects, shares)[0]
            destination = self._random.randrange(self._destination_count)
            key = f"k{destination}.{self._random.randrange(load.ordering_keys)}" if effect == "unsafe" else ""
            expires_at_ms = at_ms + load.lifetime_ms
            self._timeline.schedule(
                at_ms, self._submit, message, effect, destination, key, expires_at_ms, self._random.random()
            )
            message += 1

    async def _submit(
        self, message: int, effect: str, destination: int, key: str, expires_at_ms: float, sender_choice: float
    ) -> None:
        """Submit a message once, to the sender selected by `sender_choice`, a number from 0 to 1."""
        at_ms = self._clock.now_ms()
        self._collector.first_submissions_ms.setdefault(message, at_ms)
        count = self._submission_counts[message] = self._submission_counts.get(message, 0) + 1
        listed = [sender for sender in self._senders if sender.is_listed]
        if key:  # all messages of a key go to one sender while it runs
            sender_choice = random.Random(key).random()
        if not listed or at_ms > expires_at_ms:
            self._collector.record_outcome(message, MessageOutcome.REJECTED, at_ms)
            return
        sender = listed[int(sender_choice * len(listed))]
        submission = Submission(
            submission_id=f"{message}-{count}",
            message=message,
            sender=sender.number,
            effect=effect,
            ordering_key=key,
            destination=destination,
            submitted_at_ms=at_ms,
            expires_at_ms=expires_at_ms,
            order=self._timeline.scheduled_count,
        )
        self._collector.submissions[submission.submission_id] = submission
        response = await request_once(sender.address, _format_request(submission), RESPONSE_TIMEOUT_SECONDS)
        self._handle_response(submission, response)

    def _handle_response(self, submission: Submission, response: HttpResponse | None) -> None:
        now_ms = self._clock.now_ms()
        if response and response.status in (200, 202):
            submission.accepted_at_ms = now_ms
            if submission.delivered_at_ms is not None:
                self.handle_delivery(submission)
            return
        if response is None and submission.effect == "unsafe":
            # It may have been accepted, so whether it was executed is unknown.
            self._collector.record_outcome(submission.message, MessageOutcome.UNKNOWN, now_ms)
            return
        retry_after_ms = float(response.fields.get("retry-after", 0.0)) * 1000.0 if response else 0.0
        self._schedule_resubmission(submission, retry_after_ms)

    def _schedule_resubmission(self, submission: Submission, retry_after_ms: float) -> None:
        now_ms = self._clock.now_ms()
        message = submission.message
        if self._submission_counts[message] > self._load.max_resubmissions:
            self._collector.record_outcome(message, MessageOutcome.REJECTED, now_ms)
            return
        at_ms = now_ms + max(retry_after_ms, MIN_RETRY_PAUSE_MS) * self._random.uniform(*RETRY_PAUSE_FACTORS)
        self._timeline.schedule(
            at_ms,
            self._submit,
            message,
            submission.effect,
            submission.destination,
            submission.ordering_key,
            submission.expires_at_ms,
            self._random.random(),
        )

    def handle_delivery(self, submission: Submission) -> None:
        """Record that a receiver responded with 200 to a call of this submission."""
        if submission.accepted_at_ms is not None and not self._collector.is_delivered(submission.message):
            delivered_at_ms = submission.delivered_at_ms or self._clock.now_ms()
            self._collector.record_outcome(submission.message, MessageOutcome.DELIVERED, delivered_at_ms)

    def handle_notice(self, submission: Submission, outcome: str, retry_after_ms: float) -> None:
        """Handle a notice that ends this submission."""
        if submission.accepted_at_ms is None or self._collector.is_delivered(submission.message):
            return
        if outcome == DEFERRED_NOTICE:
            self._schedule_resubmission(submission, retry_after_ms)
        else:
            self._collector.record_outcome(submission.message, MessageOutcome.FAILED, self._clock.now_ms())


def _format_request(submission: Submission) -> bytes:
    query = f"?about={submission.ordering_key}" if submission.ordering_key else ""
    lifetime_seconds = (submission.expires_at_ms - submission.submitted_at_ms) / 1000.0
    return (
        f"POST /api{query} HTTP/1.1\r\nHost: x\r\nReq-Id: {submission.submission_id}\r\n"
        f"Req-Kind: {submission.effect}\r\nReq-Owner: all\r\nReq-Deadline: {lifetime_seconds:.3f}\r\n"
        f"Idempotency-Key: {submission.message}\r\nX-Consignee: dest={submission.destination}\r\n"
        f"Content-Length: 4\r\n\r\nmail"
    ).encode()
