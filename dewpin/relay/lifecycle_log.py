"""Log events of the message life cycle; `log/events.py` describes them."""

from ..core.model import Decision, Receiver
from ..log import events, log_event
from ..ports import AttemptResult
from ..spool.records import MessageRecord


def log_accepted(record: MessageRecord, now_ms: float) -> None:
    """Log that a message was accepted, here or by the previous process."""
    log_event(
        events.MESSAGE_ACCEPTED,
        message=record.message_id,
        serial=record.serial,
        queue_class=record.queue_class,
        destination=record.destination,
        key=record.ordering_key,
        bytes=len(record.body),
        lifetime_ms=record.expires_at_ms - now_ms,
    )


def log_resumed(record: MessageRecord, now_ms: float) -> None:
    """Log that a message of an earlier process was resumed."""
    log_event(
        events.MESSAGE_RESUMED,
        message=record.message_id,
        serial=record.serial,
        queue_class=record.queue_class,
        destination=record.destination,
        key=record.ordering_key,
        attempt=record.attempts,
        lifetime_ms=record.expires_at_ms - now_ms,
    )


def log_attempt_postponed(record: MessageRecord, receiver: Receiver) -> None:
    """Log that an attempt waits for the acknowledgement of a notice."""
    log_event(
        events.ATTEMPT_POSTPONED,
        message=record.message_id,
        receiver=receiver.receiver_id,
        key=record.ordering_key,
    )


def log_attempt_started(record: MessageRecord, receiver: Receiver, timeout_ms: float) -> None:
    """Log that an attempt was recorded and its first byte is about to be sent."""
    log_event(
        events.ATTEMPT_STARTED,
        message=record.message_id,
        attempt=record.attempts,
        receiver=receiver.receiver_id,
        destination=record.destination,
        timeout_ms=timeout_ms,
    )


def log_attempt_finished(
    record: MessageRecord, receiver: Receiver, result: AttemptResult, may_have_executed: bool
) -> None:
    """Log the result of an attempt, before it is recorded."""
    log_event(
        events.ATTEMPT_FINISHED,
        message=record.message_id,
        attempt=record.attempts + (record.in_flight is None),  # an unsent attempt is not counted
        receiver=receiver.receiver_id,
        destination=record.destination,
        outcome=result.outcome,
        may_have_executed=may_have_executed,
        took_ms=result.duration_ms,
        retry_after_ms=result.retry_after_ms,
    )


def log_retry_scheduled(record: MessageRecord, backoff_ms: float) -> None:
    """Log that a message waits for its next attempt."""
    log_event(events.RETRY_SCHEDULED, message=record.message_id, attempt=record.attempts, retry_after_ms=backoff_ms)


def log_relayed(record: MessageRecord) -> None:
    """Log the end of a message that was delivered or withdrawn."""
    log_event(events.MESSAGE_ENDED, message=record.message_id, ending=Decision.RELAYED, attempt=record.attempts)


def log_given_up(record: MessageRecord, ending: Decision, retry_after_ms: float) -> None:
    """Log the end of a message that was deferred or bounced."""
    log_event(
        events.MESSAGE_ENDED,
        message=record.message_id,
        ending=ending,
        attempt=record.attempts,
        retry_after_ms=retry_after_ms,
    )
