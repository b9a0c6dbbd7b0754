"""What the dispatcher has learned, as plain values for the process that takes over.

The hand-over file keeps the field names of earlier releases, so that processes of two releases understand each other;
the tables below are the only place that knows both spellings. What the other release has and this one does not know is
passed over. Messages and calls are not part of it: they are the journal's.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from .destination_limits import DestinationLimits
from .destination_queue import DestinationQueue
from .key_order import KeyOrder
from .model import Destination, Receiver
from .rate_limiter import RateLimiter
from .receiver_health import ReceiverHealth
from .sender_state import SenderState
from .sliding_window_counter import SlidingWindowCounter
from .slow_start import SlowStart

# Names in the hand-over file and attributes of this release, in the order of the file.
SENDER_FIELDS = {"usual": "usual_call_ms", "recovers": "recovery_share", "began": "started_at"}
COUNTER_FIELDS = {"span": "bucket_ms", "counts": "counts", "marks": "bucket_numbers"}
LIMITER_FIELDS = {
    "rate": "initial_rate",
    "doubles": "growth_ms",
    "made": "created_at",
    "since": "growing_since",
    "next_at": "next_at",
    "goods": "good_answers",
}
QUEUE_FIELDS = {
    "used": "slot_time_ms",
    "used_at": "slot_time_at",
    "arrivals": "arrivals",
    "began": "started_at",
}
LIMITS_FIELDS = {
    "told_until": "retry_after_until",
    "pace": "rate_limiter",
    "good_at": "good_at",
    "failed_at": "failed_at",
    "goods": "good_answers",
    "usual": "usual_call_ms",
    "timeouts": "timeouts",
    "timed_out_at": "timed_out_at",
    "refusals": "rejections",
    "refused_at": "first_rejected_at",
}
HEALTH_FIELDS = {
    "fails": "failures",
    "unanswered": "is_unanswered",
    "good_at": "good_at",
    "refused_at": "rejected_at",
    "failed_at": "failed_at",
    "unreached_at": "connect_failed_at",
    "trickle": "slow_start",
}


def export_sender(sender: SenderState, key_order: KeyOrder) -> dict[str, Any]:
    """What a sender knows over all destinations."""
    return {
        "sender": _export(sender, SENDER_FIELDS),
        "crowded": list(sender.full_table_kinds),
        "turned": list(sender.failed_connection_shares.items()),
        "rests": [[key.decode("latin-1") if key else "", until] for key, until in key_order.gaps.items()],  # type: ignore[attr-defined]
    }


def export_queue(queue: DestinationQueue | None) -> dict[str, Any] | None:
    """What a queue measured, without the messages in it."""
    return None if queue is None else _export(queue, QUEUE_FIELDS)


def export_limits(limits: DestinationLimits | None) -> dict[str, Any] | None:
    """What was learned of limits, without the calls in flight."""
    return None if limits is None else _export(limits, LIMITS_FIELDS)


def export_health(health: ReceiverHealth | None) -> dict[str, Any] | None:
    """The history of a receiver, without the calls in flight."""
    return None if health is None else _export(health, HEALTH_FIELDS)


def restore_sender(sender: SenderState, key_order: KeyOrder, held: Mapping[str, Any]) -> None:
    """Puts what `export_sender` gave in force, beside what is there already."""
    _restore(sender, held["sender"], SENDER_FIELDS)
    sender.full_table_kinds.update(held["crowded"])
    sender.failed_connection_shares.update(held.get("turned", ()))
    key_order.gaps.update((key.encode("latin-1"), until) for key, until in held["rests"])


def restore_queue(queue: DestinationQueue, held: Mapping[str, Any]) -> None:
    """Puts what `export_queue` gave in force."""
    _restore(queue, held, QUEUE_FIELDS)


def restore_limits(owner: Destination | Receiver, held: Mapping[str, Any]) -> None:
    """Puts what `export_limits` gave in force for a destination, or for a receiver with limits of its own."""
    if owner.limits is None:
        owner.limits = DestinationLimits()
    _restore(owner.limits, held, LIMITS_FIELDS)


def restore_health(health: ReceiverHealth, held: Mapping[str, Any]) -> None:
    """Puts what `export_health` gave in force."""
    _restore(health, held, HEALTH_FIELDS)


def _export(part: object, fields: Mapping[str, str]) -> dict[str, Any]:
    return {name: _plain(getattr(part, attribute)) for name, attribute in fields.items()}


def _plain(value: Any) -> Any:
    if isinstance(value, RateLimiter):
        return _export(value, LIMITER_FIELDS)
    if isinstance(value, SlidingWindowCounter):
        return _export(value, COUNTER_FIELDS)
    return value


def _restore(part: object, held: Mapping[str, Any], fields: Mapping[str, str]) -> None:
    for name, value in held.items():
        if name in fields:
            setattr(part, fields[name], _rebuilt(value, name) if isinstance(value, dict) else value)


def _rebuilt(held: Mapping[str, Any], name: str) -> RateLimiter | SlidingWindowCounter:
    """A limiter or a counter from its plain values; a slow start is known by the name of its field."""
    if "rate" in held:
        limiter_type = SlowStart if name == "trickle" else RateLimiter
        limiter = limiter_type.__new__(limiter_type)
        _restore(limiter, held, LIMITER_FIELDS)
        return limiter
    counter = SlidingWindowCounter.__new__(SlidingWindowCounter)
    _restore(counter, held, COUNTER_FIELDS)
    return counter
