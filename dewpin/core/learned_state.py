"""Exports and restores the learned state of the dispatcher as plain values, for the process that takes over.

The hand-over file keeps the field names of earlier releases, so that processes of two releases can exchange state; the
tables below are the only place that knows both sets of names. Fields of another release that this one does not know
are ignored. Messages and calls are not included; the journal stores them.
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

# Maps names in the hand-over file to attributes of this release, in the order of the file.
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
    """Export the state of a sender that covers all destinations."""
    return {
        "sender": _export(sender, SENDER_FIELDS),
        "crowded": list(sender.full_table_kinds),
        "turned": list(sender.failed_connection_shares.items()),
        "rests": [[key.decode("latin-1") if key else "", until] for key, until in key_order.gaps.items()],  # type: ignore[attr-defined]
    }


def export_queue(queue: DestinationQueue | None) -> dict[str, Any] | None:
    """Export the measurements of a queue, without its messages."""
    return None if queue is None else _export(queue, QUEUE_FIELDS)


def export_limits(limits: DestinationLimits | None) -> dict[str, Any] | None:
    """Export learned limits, without the calls in flight."""
    return None if limits is None else _export(limits, LIMITS_FIELDS)


def export_health(health: ReceiverHealth | None) -> dict[str, Any] | None:
    """Export the health of a receiver, without the calls in flight."""
    return None if health is None else _export(health, HEALTH_FIELDS)


def restore_sender(sender: SenderState, key_order: KeyOrder, exported: Mapping[str, Any]) -> None:
    """Restore the result of `export_sender`; existing entries are kept."""
    _restore(sender, exported["sender"], SENDER_FIELDS)
    sender.full_table_kinds.update(exported["crowded"])
    sender.failed_connection_shares.update(exported.get("turned", ()))
    key_order.gaps.update((key.encode("latin-1"), until) for key, until in exported["rests"])


def restore_queue(queue: DestinationQueue, exported: Mapping[str, Any]) -> None:
    """Restore the result of `export_queue`."""
    _restore(queue, exported, QUEUE_FIELDS)


def restore_limits(owner: Destination | Receiver, exported: Mapping[str, Any]) -> None:
    """Restore the result of `export_limits` for a destination, or for a receiver with limits of its own."""
    if owner.limits is None:
        owner.limits = DestinationLimits()
    _restore(owner.limits, exported, LIMITS_FIELDS)


def restore_health(health: ReceiverHealth, exported: Mapping[str, Any]) -> None:
    """Restore the result of `export_health`."""
    _restore(health, exported, HEALTH_FIELDS)


def _export(source: object, fields: Mapping[str, str]) -> dict[str, Any]:
    return {name: _to_plain(getattr(source, attribute)) for name, attribute in fields.items()}


def _to_plain(value: Any) -> Any:
    if isinstance(value, RateLimiter):
        return _export(value, LIMITER_FIELDS)
    if isinstance(value, SlidingWindowCounter):
        return _export(value, COUNTER_FIELDS)
    return value


def _restore(target: object, exported: Mapping[str, Any], fields: Mapping[str, str]) -> None:
    for name, value in exported.items():
        if name in fields:
            setattr(target, fields[name], _rebuild(value, name) if isinstance(value, dict) else value)


def _rebuild(exported: Mapping[str, Any], name: str) -> RateLimiter | SlidingWindowCounter:
    """Rebuild a limiter or counter from plain values; a slow start is recognized by its field name."""
    if "rate" in exported:
        limiter_type = SlowStart if name == "trickle" else RateLimiter
        limiter = limiter_type.__new__(limiter_type)
        _restore(limiter, exported, LIMITER_FIELDS)
        return limiter
    counter = SlidingWindowCounter.__new__(SlidingWindowCounter)
    _restore(counter, exported, COUNTER_FIELDS)
    return counter
