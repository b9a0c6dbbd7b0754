"""The settings of the dispatcher, checked before the first message.

Settings are passed as a map with the keys of the deployment; this module is the only place that knows these keys.
Values are used as they are, apart from the checks below.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import Any


class Effect(StrEnum):
    """The effect of executing a message twice."""

    SAFE = "safe"  # none: it may be sent again at any time
    KEYED = "keyed"  # none within the window in which receivers know its idempotency key
    UNSAFE = "unsafe"  # harmful: it must not be sent again once it may have been executed


class RetryScope(StrEnum):
    """Which receivers know the idempotency key of an earlier attempt."""

    ALL = "all"
    ZONE = "zone"  # receivers in the zone of the first receiver; any other value means only that receiver


class QueueClass:
    """The settings of a class of messages.

    effect: the effect of a second execution.
    retry_scope: a value of `RetryScope`; any other value means only the same receiver.
    retry_window_ms: how long after the first attempt an idempotency key is known.
    target_ms: latency target.
    lifetime_ms: how long delivery of a message is attempted.
    value: value of a message that is relayed within its target.
    late_value_share: share of the value that remains at the end of the lifetime.
    is_ordered: whether messages of one ordering key are sent one after the other.
    """

    __slots__ = (
        "effect",
        "retry_scope",
        "retry_window_ms",
        "target_ms",
        "lifetime_ms",
        "value",
        "late_value_share",
        "is_ordered",
    )

    def __init__(self, keys: Mapping[str, Any]) -> None:
        """Parse one entry of `Services`."""
        self.effect = Effect(keys["Effect"])
        is_keyed = self.effect is Effect.KEYED
        self.retry_scope: str = keys["KeyScope"] if is_keyed else RetryScope.ALL
        self.retry_window_ms: float = keys["Window"] if is_keyed else 0.0
        self.target_ms: float = keys["GoalTime"]
        self.lifetime_ms: float = keys["Deadline"]
        self.value: float = keys["Value"]
        self.late_value_share: float = keys["LateWorth"]
        self.is_ordered = bool(keys.get("ByArrival"))


class DispatcherSettings:
    """All settings that the dispatcher's decisions depend on.

    classes: queue classes, by index.
    max_attempts: maximum number of attempts per message.
    max_pending: maximum number of pending messages.
    suggests_retry_after, max_retry_after_ms: whether clients are told when to resubmit, and the longest such wait.
    idle_close_ms: time after which idle connections close.
    call_slots: maximum number of calls in flight.
    batch_sizes: per kind of receiver, the maximum number of messages per call.
    value_halves: whether a late message loses half of its value per further latency target; else the loss is linear.
    kinds_with_own_limits: kinds of receivers whose rate and concurrency limits, and outages, are per receiver.
    fleet_size: number of senders that share the destinations.
    clients_mark_retries: whether clients mark messages that they submit again.
    sender_number: this sender's number in the fleet; a random one if the settings have none.
    zone, zone_count: this sender's zone and the number of zones.
    tick_ms: maximum delay of a timer.
    deadline_margin_ms: part of a message's lifetime reserved for a timer and for the response to the client.
    weights_are_limits: whether the weights of receivers in the list are their rate limits.
    cold_capacity_share: capacity of a receiver right after its start, as a share of its full capacity.
    warm_up_ms: time until a receiver reaches full capacity.
    overload_factor, overload_window_ms: a receiver fails if it gets this multiple of its capacity for this long.
    turn_gap_ms: pause before the next message of an ordering key while the previous one may still be processed.
    """

    def __init__(self, keys: Mapping[str, Any], random_sender_number: int) -> None:
        """Parse the settings of a deployment; `random_sender_number` is used if they contain no sender number.

        Raises KeyError if a key is missing or an effect is unknown.
        """
        services, allowed, rules, family = keys["Services"], keys["Allowed"], keys["Rules"], keys["FamilyInfo"]
        own_limit_kinds = (kind for kind, has_own in enumerate(family.get("OwnLimits", ())) if has_own)
        self.kinds_with_own_limits = frozenset(own_limit_kinds)
        self.fleet_size: int = max(1, keys["FleetSize"])
        self.clients_mark_retries: bool = keys.get("Callers", {}).get("MarksRetry", False)
        _check_required_keys(services, allowed, rules, family)
        self.classes = tuple(QueueClass(service) for service in services)
        self.sender_number: float = keys.get("SlotNo", random_sender_number)
        self.zone: Any = keys.get("Az")
        self.zone_count = max(1, len(keys.get("Zones", ())))
        self.weights_are_limits = keys.get("Weights") in ("nominal", "rough")
        self.tick_ms: float = keys["Tick"]
        self.deadline_margin_ms: float = 2.0 * self.tick_ms + 10.0
        self._read_limits(allowed, family)
        self.cold_capacity_share: float = rules["ColdFrom"]
        self.warm_up_ms: float = rules["WarmAfter"]
        self.overload_factor: float = rules["FallMultiple"]
        self.overload_window_ms: float = rules["OverloadFor"]
        self.turn_gap_ms: float = rules.get("TurnGap", 0.0)

    def _read_limits(self, allowed: Mapping[str, Any], family: Mapping[str, Any]) -> None:
        self.max_attempts: int = allowed["MaxAttempts"]
        self.max_pending: int = allowed["MaxOpen"]
        self.suggests_retry_after = bool(allowed.get("RetryAfter"))
        self.max_retry_after_ms: float = allowed.get("MaxRetryAfter", 0.0)
        self.idle_close_ms: float = allowed.get("IdleClose", 0.0)
        self.call_slots: int = family["CallSlots"]
        self.batch_sizes: Sequence[int] = family.get("BundleMax", ())
        self.value_halves = family.get("Decay") == "halves"


def _check_required_keys(
    services: Sequence[Mapping[str, Any]],
    allowed: Mapping[str, Any],
    rules: Mapping[str, Any],
    family: Mapping[str, Any],
) -> None:
    """Check that all required keys are present, so that none is found missing after the first message."""
    for service in services:
        if service["Effect"] not in tuple(Effect):
            raise KeyError(f"Services[].Effect: unknown effect {service['Effect']!r}")
    needed: list[tuple[Mapping[str, Any], str]] = [
        (rules, "DrainGrace ColdFrom WarmAfter FallMultiple OverloadFor"),
        (allowed, "MaxAttempts MaxOpen"),
        (family, "CallSlots"),
    ]
    needed += [(service, "GoalTime Deadline Value LateWorth") for service in services]
    needed += [(service, "Window KeyScope") for service in services if service["Effect"] == Effect.KEYED]
    needed += [(rules, "TurnGap") for service in services if service.get("ByArrival")]
    for keys, names in needed:
        for name in names.split():
            keys[name]  # raises KeyError
