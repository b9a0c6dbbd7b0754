"""The settings of a sender as the dispatcher reads them, checked before the first message.

Settings come as a map in the spelling of the deployment; this module is the only place that knows its keys. Values are
taken as they are.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Any


class Effect(StrEnum):
    """What happens if a message is executed twice."""

    SAFE = "safe"  # nothing: it may be sent again at any time
    KEYED = "keyed"  # nothing within the window in which receivers know its idempotency key
    UNSAFE = "unsafe"  # harm: it must not be sent again once it may have been executed


class RetryScope(StrEnum):
    """Which receivers know the idempotency key of an earlier attempt."""

    ALL = "all"
    ZONE = "zone"  # those of the zone of the receiver that had it; any other word stands for that receiver alone


@dataclass(slots=True, frozen=True)
class QueueClass:
    """The settings of a class of messages.

    effect: what a second execution does.
    retry_scope: a value of `RetryScope`, or another word for the same receiver only.
    retry_window_ms: for so long after the first attempt an idempotency key is known.
    target_ms: latency target.
    lifetime_ms: how long a message of the class is tried.
    value: the worth of a message that is relayed within its target.
    late_value_share: share of the value that is left at the end of the lifetime.
    is_ordered: messages of one ordering key are sent one after the other.
    """

    effect: Effect
    retry_scope: str
    retry_window_ms: float
    target_ms: float
    lifetime_ms: float
    value: float
    late_value_share: float
    is_ordered: bool

    @classmethod
    def from_map(cls, keys: Mapping[str, Any]) -> QueueClass:
        """Reads one entry of `Services`."""
        is_keyed = keys["Effect"] == Effect.KEYED
        return cls(
            effect=Effect(keys["Effect"]),
            retry_scope=keys["KeyScope"] if is_keyed else RetryScope.ALL,
            retry_window_ms=keys["Window"] if is_keyed else 0.0,
            target_ms=keys["GoalTime"],
            lifetime_ms=keys["Deadline"],
            value=keys["Value"],
            late_value_share=keys["LateWorth"],
            is_ordered=bool(keys.get("ByArrival")),
        )


@dataclass(slots=True, frozen=True)
class DispatcherSettings:
    """Everything that the dispatcher's decisions depend on beside what it sees.

    classes: the queue classes, by their index.
    max_attempts: attempts of one message.
    max_pending: messages that may be pending at once.
    suggests_retry_after, max_retry_after_ms: whether clients are told when to submit again, and the longest such wait.
    idle_close_ms: idle connections close after this time.
    call_slots: calls that may be in flight at once.
    batch_sizes: by kind of receiver, how many messages one call may carry.
    value_halves: a late message loses half of its value with each further latency target; else it loses it evenly.
    kinds_with_own_limits: kinds of receivers that have rate and concurrency limits, and outages, of their own.
    fleet_size: senders that share the destinations.
    clients_mark_retries: messages that are submitted again are marked as such.
    slot_number: this sender's number in the fleet; None if it has none.
    zone, zone_count: this sender's zone and how many there are.
    tick_ms: the longest delay of a timer.
    weights_are_limits: the weights of receivers in the list stand for their rate limits.
    cold_capacity_share: capacity of a receiver right after its start, as a share of its full one.
    warm_up_ms: how long it takes to reach full capacity.
    overload_factor, overload_window_ms: a receiver fails if it gets so many times its capacity for so long.
    turn_gap_ms: pause before the next message of an ordering key where work may still be going on.
    """

    classes: tuple[QueueClass, ...]
    max_attempts: int
    max_pending: int
    suggests_retry_after: bool
    max_retry_after_ms: float
    idle_close_ms: float
    call_slots: int
    batch_sizes: Sequence[int]
    value_halves: bool
    kinds_with_own_limits: frozenset[int]
    fleet_size: int
    clients_mark_retries: bool
    slot_number: Any
    zone: Any
    zone_count: int
    tick_ms: float
    weights_are_limits: bool
    cold_capacity_share: float
    warm_up_ms: float
    overload_factor: float
    overload_window_ms: float
    turn_gap_ms: float

    @property
    def deadline_margin_ms(self) -> float:
        """What a timer and the answer to the client may need of a message's lifetime."""
        return 2.0 * self.tick_ms + 10.0

    @classmethod
    def from_map(cls, keys: Mapping[str, Any]) -> DispatcherSettings:
        """Reads the settings of a deployment.

        Raises KeyError if a key is missing or an effect is unknown.
        """
        services, allowed, rules, family = keys["Services"], keys["Allowed"], keys["Rules"], keys["FamilyInfo"]
        own_limits = frozenset(kind for kind, has_own in enumerate(family.get("OwnLimits", ())) if has_own)
        fleet_size = max(1, keys["FleetSize"])
        marks_retries = keys.get("Callers", {}).get("MarksRetry", False)
        _check(services, allowed, rules, family)
        return cls(
            classes=tuple(QueueClass.from_map(service) for service in services),
            max_attempts=allowed["MaxAttempts"],
            max_pending=allowed["MaxOpen"],
            suggests_retry_after=bool(allowed.get("RetryAfter")),
            max_retry_after_ms=allowed.get("MaxRetryAfter", 0.0),
            idle_close_ms=allowed.get("IdleClose", 0.0),
            call_slots=family["CallSlots"],
            batch_sizes=family.get("BundleMax", ()),
            value_halves=family.get("Decay") == "halves",
            kinds_with_own_limits=own_limits,
            fleet_size=fleet_size,
            clients_mark_retries=marks_retries,
            slot_number=keys.get("SlotNo"),
            zone=keys.get("Az"),
            zone_count=max(1, len(keys.get("Zones", ()))),
            tick_ms=keys["Tick"],
            weights_are_limits=keys.get("Weights") in ("nominal", "rough"),
            cold_capacity_share=rules["ColdFrom"],
            warm_up_ms=rules["WarmAfter"],
            overload_factor=rules["FallMultiple"],
            overload_window_ms=rules["OverloadFor"],
            turn_gap_ms=rules.get("TurnGap", 0.0),
        )


def _check(
    services: Sequence[Mapping[str, Any]],
    allowed: Mapping[str, Any],
    rules: Mapping[str, Any],
    family: Mapping[str, Any],
) -> None:
    """Asks for what each rule needs, so that nothing is found missing after the first message."""
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
