"""The settings of a sender as the dispatcher reads them, checked before the first message.

Settings come as a map in the spelling of the deployment; this module is the only place that knows its keys. Values are
taken as they are.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
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
        """Reads one entry of `Services`."""
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
    sender_number: this sender's number in the fleet; one that was drawn if the settings have none.
    zone, zone_count: this sender's zone and how many there are.
    tick_ms: the longest delay of a timer.
    deadline_margin_ms: what a timer and the answer to the client may need of a message's lifetime.
    weights_are_limits: the weights of receivers in the list stand for their rate limits.
    cold_capacity_share: capacity of a receiver right after its start, as a share of its full one.
    warm_up_ms: how long it takes to reach full capacity.
    overload_factor, overload_window_ms: a receiver fails if it gets so many times its capacity for so long.
    turn_gap_ms: pause before the next message of an ordering key where work may still be going on.
    """

    def __init__(self, keys: Mapping[str, Any], drawn_number: int) -> None:
        """Reads the settings of a deployment; `drawn_number` stands in for a number of the sender.

        Raises KeyError if a key is missing or an effect is unknown.
        """
        services, allowed, rules, family = keys["Services"], keys["Allowed"], keys["Rules"], keys["FamilyInfo"]
        own_limits = (kind for kind, has_own in enumerate(family.get("OwnLimits", ())) if has_own)
        self.kinds_with_own_limits = frozenset(own_limits)
        self.fleet_size: int = max(1, keys["FleetSize"])
        self.clients_mark_retries: bool = keys.get("Callers", {}).get("MarksRetry", False)
        _check(services, allowed, rules, family)
        self.classes = tuple(QueueClass(service) for service in services)
        self.sender_number: float = keys.get("SlotNo", drawn_number)
        self.zone: Any = keys.get("Az")
        self.zone_count = max(1, len(keys.get("Zones", ())))
        self.weights_are_limits = keys.get("Weights") in ("nominal", "rough")
        self.tick_ms: float = keys["Tick"]
        self.deadline_margin_ms: float = 2.0 * self.tick_ms + 10.0
        self._read_allowances(allowed, family)
        self.cold_capacity_share: float = rules["ColdFrom"]
        self.warm_up_ms: float = rules["WarmAfter"]
        self.overload_factor: float = rules["FallMultiple"]
        self.overload_window_ms: float = rules["OverloadFor"]
        self.turn_gap_ms: float = rules.get("TurnGap", 0.0)

    def _read_allowances(self, allowed: Mapping[str, Any], family: Mapping[str, Any]) -> None:
        self.max_attempts: int = allowed["MaxAttempts"]
        self.max_pending: int = allowed["MaxOpen"]
        self.suggests_retry_after = bool(allowed.get("RetryAfter"))
        self.max_retry_after_ms: float = allowed.get("MaxRetryAfter", 0.0)
        self.idle_close_ms: float = allowed.get("IdleClose", 0.0)
        self.call_slots: int = family["CallSlots"]
        self.batch_sizes: Sequence[int] = family.get("BundleMax", ())
        self.value_halves = family.get("Decay") == "halves"


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
