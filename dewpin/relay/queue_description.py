"""Describes destination queues as plain values, for `dewpin status`. The keys are those of its JSON output."""

from typing import Any

from ..core.model import Receiver


def queue_size(queue: Any) -> int:
    """Return the number of messages of a queue that wait for a slot or are in flight."""
    size: int = queue.waiting + queue.in_flight
    return size


def describe_queue(queue: Any, now_ms: float) -> dict[str, Any]:
    """Return a queue as plain values, with the keys of `dewpin status`: waiting messages, calls in flight, and the
    limits of each of its receivers."""
    return {
        "destination": queue.destination.destination_id,
        "waiting": queue.waiting,
        "out": queue.in_flight,
        "rate": round(queue.arrival_rate(now_ms), 3),
        "receivers": [_describe_receiver(receiver, now_ms) for receiver in queue.destination.receivers],
    }


def _describe_receiver(receiver: Receiver, now_ms: float) -> dict[str, Any]:
    health, limits = receiver.health, receiver.limits or receiver.destination.limits
    description = {
        "receiver": receiver.receiver_id.decode("latin-1"),
        "state": receiver.state,
        "health": "unknown",
        "out": 0,
        "failures": 0,
        "usual_ms": None,
        "wait_ms": 0.0,
        "pace": None,
        "trickle": None,
    }
    if health:
        description |= {
            "out": health.in_flight,
            "failures": health.failures,
            "health": "set aside" if health.slow_start else "failing" if health.failures else "well",
            "trickle": round(health.slow_start.rate_at(now_ms), 3) if health.slow_start else None,
        }
    if limits:
        description |= {
            "wait_ms": round(max(0.0, limits.retry_after_until - now_ms), 1),
            "usual_ms": None if limits.usual_call_ms is None else round(limits.usual_call_ms, 1),
            "pace": round(limits.rate_limiter.rate_at(now_ms), 3) if limits.rate_limiter else None,
        }
    return description
