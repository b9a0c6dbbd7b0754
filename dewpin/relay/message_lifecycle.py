"""The life cycle of messages: record, dispatch, send, report, finish, notify.

The relay owns the order of these steps and the single timer that drives them. A message is acknowledged only after it
is in the journal, the first byte of an attempt is sent only after the attempt is in the journal, and the next message
of an ordering key waits until the notice for an earlier one is acknowledged. The relay implements no protocol, and the
dispatcher makes all decisions about messages; the relay asks it through the facade.
"""

import asyncio
from collections.abc import Callable

from ..core.model import Decision, Outcome, Receiver
from ..log import events, log_event, log_internal_error
from ..ports import (
    Accepted,
    AttemptRequest,
    AttemptResult,
    Deferred,
    NoticePublisher,
    Rejected,
    RejectionReason,
    SubmitRequest,
    SubmitResult,
    Transport,
)
from ..spool.handover_log import HandoverLogReader, HandoverLogWriter
from ..spool.journal import Journal
from ..spool.records import MessageRecord, PendingNotice
from .clock import UnixClock
from .facade import Facade, GiveUp
from .lifecycle_log import (
    log_accepted,
    log_attempt_finished,
    log_attempt_postponed,
    log_attempt_started,
    log_given_up,
    log_relayed,
    log_resumed,
    log_retry_scheduled,
)
from .notice_barrier import NoticeBarrier, PostponedAttempt
from .previous_process import PreviousProcess
from .receiver_detachment import DetachmentResult as DetachmentResult
from .receiver_detachment import ReceiverDetachment
from .recent_message_ids import RecentMessageIds

MAX_POSTPONEMENT_MS = 50.0
"""Maximum time that an attempt waits for the acknowledgement of an earlier message's notice."""
MAX_DECISIONS_PER_ITERATION = 200
"""Maximum number of decisions per iteration of the event loop, so that other tasks can run."""
RETRY_AFTER_ERROR_SECONDS = 0.1
MIN_TIMEOUT_MS = 1.0


class Relay:
    """Manages all messages of a sender.

    `is_draining`: whether new messages are no longer accepted. `may_start_attempts`: whether attempts may start.
    `attempts_in_flight`: number of attempts without a known result, including postponed ones and those of the previous
    process. `handover_log`: set once the next process owns the journal; later events of this process are written to it.
    `end_counts`: number of finished messages by queue class and final decision."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        facade: Facade,
        journal: Journal,
        transport: Transport,
        notices: NoticePublisher,
    ) -> None:
        self.clock = UnixClock(loop)
        self.facade = facade
        self.journal = journal
        self.transport = transport
        self.notices = notices
        self.is_draining = False
        self.may_start_attempts = True
        self.attempts_in_flight = 0
        self.notice_barrier = NoticeBarrier()
        self.handover_log: HandoverLogWriter | None = None
        self._previous_process: PreviousProcess | None = None
        self._detachment = ReceiverDetachment(facade.endpoints, transport, lambda: self.record_store, self.wake)
        self.end_counts: dict[bytes, dict[Decision, int]] = {
            queue_class: dict.fromkeys((Decision.RELAYED, Decision.DEFERRED, Decision.BOUNCED), 0)
            for queue_class in facade.queue_class_indexes
        }
        self._loop = loop
        self._recent_ids = RecentMessageIds(facade.longest_lifetime_ms)
        self._timer: asyncio.TimerHandle | None = None
        self._is_wake_scheduled = False

    @property
    def record_store(self) -> Journal | HandoverLogWriter:
        """Storage for messages: the journal, or the hand-over log once the next process owns the journal."""
        return self.handover_log or self.journal

    @property
    def attempts_at_previous_process(self) -> int:
        """Number of attempts that the previous process has in flight."""
        return self._previous_process.attempt_count if self._previous_process is not None else 0

    # -- start and submission ---------------------------------------------------------------------------------

    def resume(
        self, handover_reader: HandoverLogReader | None = None, serials_in_flight: set[int] | None = None
    ) -> None:
        """Resume the messages that an earlier process left in the journal.

        `handover_reader`: the log in which the previous process reports the results of its attempts in flight; without
        it those attempts are lost and may have been executed. `serials_in_flight`: serial numbers of the messages of
        those attempts; None if the previous process did not report them."""
        now_ms = self.clock.now_ms()
        if handover_reader is None:
            self.journal.assume_attempts_executed()
        else:
            self._previous_process = PreviousProcess(handover_reader, self)
        for message_id in self.journal.finished_ids:
            self._recent_ids.add(message_id, now_ms)
        for record in list(self.journal.pending.values()):
            self._recent_ids.add(record.message_id, now_ms)
            if record.in_flight and serials_in_flight is not None and record.serial not in serials_in_flight:
                # the journal does not record the end of an attempt that may have been executed
                record.finish_attempt(may_have_executed=True)
            self._resume_message(record, now_ms)
        self.wake()

    def _resume_message(self, record: MessageRecord, now_ms: float) -> None:
        if record.pending_notice:
            self._publish_notice(record, record.pending_notice)
            return
        if not self.facade.is_known_class(record.queue_class, record.account):
            log_event(events.UNKNOWN_QUEUE_CLASS, message=record.message_id, queue_class=record.queue_class)
            self._give_up(record, Decision.BOUNCED, 0.0)
            return
        log_resumed(record, now_ms)
        if record.in_flight:
            self.attempts_in_flight += 1
            receiver = self.facade.adopt_attempt(record, now_ms)
            assert self._previous_process is not None  # without a previous process, no attempt is in flight
            self._previous_process.add_attempt(record, receiver)
        else:
            self.facade.add_message(record, now_ms)

    def submit(self, request: SubmitRequest) -> SubmitResult:
        """Accept, defer or reject a message immediately.

        An exception of the dispatcher is passed on; the message is then not accepted."""
        if not self.facade.is_known_class(request.queue_class, request.account):
            return Rejected(RejectionReason.UNKNOWN_QUEUE_CLASS)
        result = self._try_accept(request)
        if isinstance(result, Rejected):
            self.end_counts[request.queue_class][Decision.BOUNCED] += 1
        elif isinstance(result, Deferred):
            self.end_counts[request.queue_class][Decision.DEFERRED] += 1
        return result

    def _try_accept(self, request: SubmitRequest) -> SubmitResult:
        self.consume_handover_log()  # an earlier message of the key may have been submitted to the previous process
        now_ms = self.clock.now_ms()
        if self.is_draining:
            return Deferred(0.0)
        if request.message_id in self._recent_ids:
            return Rejected(RejectionReason.DUPLICATE_MESSAGE_ID)
        if (retry_after_ms := self.facade.overload_retry_after_ms(request.destination, now_ms)) is not None:
            return Deferred(retry_after_ms)
        record = self._new_record(request, now_ms)
        store = self.record_store
        if not store.accept(record):
            log_event(events.JOURNAL_FULL, bytes=store.size_bytes, messages=len(store.pending))
            return Deferred(0.0)
        if self.handover_log:  # the next process owns the message from now on
            self._recent_ids.add(record.message_id, now_ms)
            log_event(events.MESSAGE_ACCEPTED_FOR_NEXT, message=record.message_id)
            return Accepted()
        try:
            self.facade.add_message(record, now_ms)
        except Exception:
            self.journal.finish(record)  # the client gets an error, so the message needs no result
            raise
        log_accepted(record, now_ms)
        self._recent_ids.add(record.message_id, now_ms)
        self.wake()
        return Accepted()

    def _new_record(self, request: SubmitRequest, now_ms: float) -> MessageRecord:
        remaining_ms = self.facade.lifetime_ms(request.queue_class)
        if request.remaining_ms is not None:
            remaining_ms = min(request.remaining_ms, remaining_ms)
        first_submitted_at_ms = self.facade.first_submitted_at_ms(
            request.queue_class, remaining_ms, request.is_resubmission, now_ms
        )
        return MessageRecord(
            request.message_id,
            request.queue_class,
            request.account,
            request.ordering_key,
            request.destination,
            request.idempotency_key,
            request.body,
            first_submitted_at_ms,
            now_ms + remaining_ms,
        )

    # -- dispatch and attempts --------------------------------------------------------------------------------

    def wake(self) -> None:
        """Schedule a dispatch after a change, once for all changes in this iteration of the event loop."""
        if not self._is_wake_scheduled:
            self._is_wake_scheduled = True
            self._loop.call_soon(self._dispatch_due)

    def _dispatch_due(self) -> None:
        self._is_wake_scheduled = False
        if self._timer:
            self._timer.cancel()
            self._timer = None
        now_ms = self.clock.now_ms()
        try:
            for _ in range(MAX_DECISIONS_PER_ITERATION):
                wait_ms = self.facade.time_until_due_ms(now_ms) if self.may_start_attempts else None
                if wait_ms is None:
                    return
                if wait_ms > 0.0:
                    self._timer = self._loop.call_later(wait_ms / 1000.0, self.wake)
                    return
                decision = self.facade.decide_due(now_ms)
                if isinstance(decision, GiveUp):
                    self._give_up(decision.record, decision.ending, decision.retry_after_ms)
                elif decision:
                    self._start_attempt(decision.record, decision.receiver, decision.timeout_ms, now_ms)
            self.wake()  # let other callbacks run first
        except Exception:  # an error must neither end the process nor repeat without a pause
            log_internal_error("relay")
            self._timer = self._loop.call_later(RETRY_AFTER_ERROR_SECONDS, self.wake)

    def _start_attempt(self, record: MessageRecord, receiver: Receiver, timeout_ms: float, now_ms: float) -> None:
        if not self.notice_barrier.blocks(record.ordering_key):
            self.attempts_in_flight += 1
            self._send(record, receiver, timeout_ms)
            return
        postponement_ms = min(timeout_ms, MAX_POSTPONEMENT_MS)
        timer = self._loop.call_later(postponement_ms / 1000.0, self._drop_postponed_attempt, record, receiver)
        self.notice_barrier.postpone(PostponedAttempt(record, receiver, now_ms + timeout_ms, timer))
        log_attempt_postponed(record, receiver)
        self.attempts_in_flight += 1

    def _send(self, record: MessageRecord, receiver: Receiver, timeout_ms: float) -> None:
        self.transport.send(
            AttemptRequest(
                receiver.address,
                record.message_id,
                record.idempotency_key,
                record.body,
                timeout_ms,
                self._send_window_opener(record, receiver, timeout_ms),
                lambda result: self.handle_result(record, receiver, result),
            )
        )

    def _send_window_opener(self, record: MessageRecord, receiver: Receiver, timeout_ms: float) -> Callable[[], float]:
        """Return a function that the transport calls right before the first byte of an attempt.

        It records the attempt and returns the ms within which the last byte must be sent, or 0 if the attempt must not
        be sent. A connection may be established long after the decision: by then the retry window may have ended, the
        receiver may have requested a wait, this process may be stopping, or the next one may own the message. The
        attempt is recorded only now because a recorded attempt counts as possibly executed, also if the process is
        killed while it connects."""

        def open_send_window() -> float:
            now_ms = self.clock.now_ms()
            window_ms = self.facade.send_window_ms(record, receiver, now_ms) if self.may_start_attempts else 0.0
            if window_ms <= 0.0 or not self.journal.start_attempt(record, receiver.receiver_id, now_ms):
                return 0.0
            log_attempt_started(record, receiver, timeout_ms)
            return window_ms

        return open_send_window

    def _drop_postponed_attempt(self, record: MessageRecord, receiver: Receiver) -> None:
        """End a postponed attempt as not sent: the notice of an earlier message was not acknowledged in time."""
        self.notice_barrier.drop(record)
        self.handle_result(record, receiver, AttemptResult(Outcome.NOT_SENT, 0.0, 0.0, {}, False))

    def handle_result(self, record: MessageRecord, receiver: Receiver, result: AttemptResult) -> None:
        """Handle the result of an attempt of this process or of the previous one."""
        self.attempts_in_flight -= 1
        if self.handover_log:
            self.handover_log.finish_attempt(record, result)
            if result.retry_after_ms > 0.0:
                self._cancel_unsent_under_same_limits(receiver)
            return
        try:
            self._record_result(record, receiver, result)
            self._continue_after_result(record, receiver, result)
        except Exception:
            log_internal_error("outcome", message=record.message_id)
        self.wake()

    def _record_result(self, record: MessageRecord, receiver: Receiver, result: AttemptResult) -> None:
        may_have_executed = self.facade.may_have_executed(result.outcome)
        log_attempt_finished(record, receiver, result, may_have_executed)
        self.journal.finish_attempt(record, may_have_executed)

    def _continue_after_result(self, record: MessageRecord, receiver: Receiver, result: AttemptResult) -> None:
        """Finish the message, or leave it with the dispatcher for a retry."""
        follow_up = self.facade.report_result(record, result, self.clock.now_ms())
        if follow_up.ending == Decision.RELAYED:
            log_relayed(record)
            # a withdrawn message was not delivered
            self.end_counts[record.queue_class][Decision.RELAYED] += result.outcome == Outcome.DELIVERED
            self.journal.finish(record)
            self.facade.forget_message(record)
        elif follow_up.ending:
            self._give_up(record, follow_up.ending, follow_up.retry_after_ms)
        else:
            log_retry_scheduled(record, self.facade.backoff_ms(record, self.clock.now_ms()))
        if follow_up.closes_idle_connections:
            self.transport.close_idle(receiver.address)
        if result.retry_after_ms > 0.0:
            self._cancel_unsent_under_same_limits(receiver)

    def _cancel_unsent_under_same_limits(self, receiver: Receiver) -> None:
        for address in self.facade.addresses_under_same_limits(receiver):
            self.transport.cancel_unsent(address)

    # -- finished messages and notices ------------------------------------------------------------------------

    def _give_up(self, record: MessageRecord, ending: Decision, retry_after_ms: float) -> None:
        log_given_up(record, ending, retry_after_ms)
        if record.queue_class in self.end_counts:
            self.end_counts[record.queue_class][ending] += 1
        notice = PendingNotice(ending == Decision.DEFERRED, retry_after_ms)
        self.journal.give_up(record, notice)
        self.facade.forget_message(record)
        self._publish_notice(record, notice)

    def _publish_notice(self, record: MessageRecord, notice: PendingNotice) -> None:
        self.notice_barrier.add_notice(record.ordering_key)
        self.notices.publish(
            record.message_id,
            notice.is_deferred,
            notice.retry_after_ms,
            lambda: self._handle_notice_acknowledged(record),
        )

    def _handle_notice_acknowledged(self, record: MessageRecord) -> None:
        log_event(events.NOTICE_ACKNOWLEDGED, message=record.message_id)
        self.journal.finish(record)
        now_ms = self.clock.now_ms()
        for attempt in self.notice_barrier.acknowledge_notice(record.ordering_key):
            self._send(attempt.record, attempt.receiver, max(MIN_TIMEOUT_MS, attempt.timeout_at_ms - now_ms))

    # -- hand-over between two processes of one sender --------------------------------------------------------

    def hand_over(self, handover_log: HandoverLogWriter) -> None:
        """Leave journal and decisions to the next process; later events of this process go to the hand-over log."""
        self.may_start_attempts = False
        self.attempts_in_flight -= self.notice_barrier.drop_all()  # these attempts were never sent
        self.handover_log = handover_log

    def consume_handover_log(self, is_writer_gone: bool = False) -> None:
        """Handle the new entries of the previous process; see `PreviousProcess.consume_log`."""
        if self._previous_process is not None:
            self._previous_process.consume_log(is_writer_gone)
            if is_writer_gone:
                self._previous_process = None

    def handle_accepted_elsewhere(self, record: MessageRecord) -> None:
        """Take over a message that the previous process has accepted."""
        if record.message_id in self._recent_ids:
            return  # already read before this process was killed, but not marked as consumed
        now_ms = self.clock.now_ms()
        self._recent_ids.add(record.message_id, now_ms)
        self.journal.accept(record, already_accepted=True)
        self.facade.add_message(record, now_ms)
        log_accepted(record, now_ms)
        self.wake()

    # -- receivers that operators detach ----------------------------------------------------------------------

    def detach(self, receiver_id: bytes) -> DetachmentResult:
        """Stop new attempts to this receiver, regardless of the endpoint list, until it is attached again."""
        return self._detachment.detach(receiver_id)

    def attach(self, receiver_id: bytes) -> DetachmentResult:
        """Apply the state of this receiver in the endpoint list again."""
        return self._detachment.attach(receiver_id)
