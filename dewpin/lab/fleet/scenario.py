"""A load test as a typed TOML file: senders, receivers, their behaviour, and the faults to inject.

The keys of the file are part of its format; `msgspec.field(name=...)` maps those that differ from the attributes.
"""

import tomllib
from enum import StrEnum
from typing import Annotated, Any

import msgspec
from msgspec import Meta

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Count = Annotated[int, Meta(ge=1, le=2000)]
PositiveNumber = Annotated[float, Meta(gt=0.0)]

EFFECTS = ("safe", "keyed", "unsafe")


class FaultKind(StrEnum):
    """The kinds of faults; `Fault` describes their effects and the fields that they use."""

    KILL = "kill"
    STOP = "stop"
    TERM = "term"
    JOIN = "join"
    LEAVE = "leave"
    DOWN = "down"
    COLD = "cold"
    HANG = "hang"
    SLOW = "slow"
    LIMIT = "limit"
    CUT = "cut"
    RESET = "reset"
    LAG = "lag"
    REFUSE = "refuse"


class CutDirection(StrEnum):
    """The directions in which a link can be cut."""

    TO = "to"
    FROM = "from"
    BOTH = "both"


class Senders(msgspec.Struct, forbid_unknown_fields=True):
    """The senders under test.

    Attributes:
        count: number of senders.
        call_slots: maximum calls in flight of one sender.
        max_open_messages: maximum messages that one sender holds.
        discovery_delay_ms: time for which clients still use a sender that has ended.
        senders_per_address: number of senders that share an address of each receiver, and the faults of that link.
        odd_command: run instead of `python -m dewpin run` by the senders in `odd_numbers`.
        odd_numbers: numbers of the senders that run `odd_command`.
    """

    count: Count = 12
    call_slots: Count = msgspec.field(name="slots", default=8)
    max_open_messages: Count = msgspec.field(name="room", default=200)
    discovery_delay_ms: float = msgspec.field(name="front_notices_ms", default=1500.0)
    senders_per_address: Count = msgspec.field(name="to_an_address", default=1)
    odd_command: list[str] = msgspec.field(name="command", default_factory=list)
    odd_numbers: list[int] = msgspec.field(name="odd", default_factory=list)


class Receivers(msgspec.Struct, forbid_unknown_fields=True):
    """The receivers.

    Attributes:
        destinations: number of destinations.
        receivers_per_destination: number of receivers of each destination.
        zones: names of zones, assigned to the receivers in turn.
        service_ms: service time of a call.
        service_variation: maximum random deviation of the service time, as a share of it.
        concurrency: calls that a receiver serves at the same time.
        queue_length: calls that wait beyond those.
        rate_limit: calls per second that a destination accepts from all senders; 0: no limit.
        retry_after_share: share of the rate limit rejections that have a Retry-After.
        max_connections: maximum connections of a receiver, idle ones included; 0: no limit.
        cold_capacity: share of its full capacity that a receiver has right after a recovery.
        warm_up_ms: time until it has its full capacity.
        overload_multiple: multiple of its current capacity at which a cold receiver fails again.
        overload_window_ms: window in which calls are counted for that.
        drain_grace_ms: time in which calls may still reach a draining receiver.
    """

    destinations: Count = 3
    receivers_per_destination: Count = msgspec.field(name="each", default=4)
    zones: list[str] = msgspec.field(default_factory=lambda: ["a", "b"])
    service_ms: PositiveNumber = 200.0
    service_variation: Share = msgspec.field(name="vary", default=0.2)
    concurrency: Count = msgspec.field(name="at_once", default=8)
    queue_length: int = msgspec.field(name="queue", default=16)
    rate_limit: float = msgspec.field(name="limit", default=0.0)
    retry_after_share: Share = msgspec.field(name="tells_wait", default=0.0)
    max_connections: int = msgspec.field(name="connections", default=0)
    cold_capacity: Share = msgspec.field(name="cold_from", default=0.2)
    warm_up_ms: PositiveNumber = msgspec.field(name="warm_ms", default=9000.0)
    overload_multiple: PositiveNumber = msgspec.field(name="fall_multiple", default=2.0)
    overload_window_ms: PositiveNumber = msgspec.field(name="fall_ms", default=2000.0)
    drain_grace_ms: PositiveNumber = 2000.0


class Load(msgspec.Struct, forbid_unknown_fields=True):
    """The messages of the clients.

    Attributes:
        rate: total messages per second.
        seconds: time in which messages are submitted.
        lifetime_ms: lifetime of a message.
        latency_target_ms: latency target of each queue class.
        repeat_window_ms: time in which a receiver drops repetitions of a message with an idempotency key.
        class_shares: shares of the messages by effect of their queue class (safe, keyed, unsafe).
        ordering_keys: number of ordering keys per destination.
        max_resubmissions: maximum resubmissions of a message after rejections.
    """

    rate: PositiveNumber = 40.0
    seconds: PositiveNumber = 10.0
    lifetime_ms: PositiveNumber = 12000.0
    latency_target_ms: PositiveNumber = msgspec.field(name="aim_ms", default=2000.0)
    repeat_window_ms: PositiveNumber = msgspec.field(name="window_ms", default=10000.0)
    class_shares: dict[str, float] = msgspec.field(name="classes", default_factory=lambda: {"keyed": 1.0})
    ordering_keys: int = msgspec.field(name="keys", default=20)
    max_resubmissions: int = msgspec.field(name="retries", default=2)


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """A fault that is injected into a share of the senders or of the receivers.

    The receivers are a share of all (`receivers`), those of a share of the destinations (`destinations`), or those of a
    zone (`zone`). Effects of each kind:

    - kill: SIGKILL, restart after `seconds` (0: none); without `keeps_folder` the state folder is emptied first.
    - stop: SIGSTOP for `seconds`. term: SIGTERM, restart after `seconds`.
    - join: `times` more receivers per destination. leave: receivers drain, then leave the list.
    - down: connections are refused; cold: the same, followed by a warm-up; hang: calls are accepted and never answered.
    - slow: service times are multiplied by `times`. limit: the rate limits of destinations are multiplied by `times`.
    - cut: data between the senders and receivers is held, in the direction `direction`.
    - reset: the share `share` of the calls ends with a reset. lag: `lag_ms` of additional delay each way.
    - refuse: discovery rejects requests for the endpoint list.
    """

    at_seconds: Annotated[float, Meta(ge=0.0)] = msgspec.field(name="at")
    kind: FaultKind = msgspec.field(name="what")
    seconds: float = 0.0
    senders: Share = 0.0
    receivers: Share = 0.0
    destinations: Share = 0.0
    zone: str = ""
    keeps_folder: bool = msgspec.field(name="folder", default=True)
    times: PositiveNumber = 2.0
    direction: CutDirection = msgspec.field(name="way", default=CutDirection.BOTH)
    share: Share = 0.5
    lag_ms: float = msgspec.field(name="ms", default=200.0)


class Scenario(msgspec.Struct, forbid_unknown_fields=True):
    """A load test.

    Attributes:
        name: name in the result.
        seed: seed of all random numbers.
        slack_ms: additional tolerance of the rules for senders that are late on a busy machine.
        senders, receivers, load: the parties and the load.
        faults: the faults to inject.
    """

    name: str = "fleet"
    seed: int = 1
    slack_ms: float = 0.0
    senders: Senders = msgspec.field(default_factory=Senders)
    receivers: Receivers = msgspec.field(default_factory=Receivers)
    load: Load = msgspec.field(default_factory=Load)
    faults: list[Fault] = msgspec.field(default_factory=list)


def parse_scenario(text: str) -> Scenario:
    """Parse a scenario in TOML. Raises ValueError, which names the invalid key."""
    try:
        return make_scenario(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise ValueError(f"invalid TOML: {error}") from None


def make_scenario(tables: dict[str, Any]) -> Scenario:
    """Create a scenario from the tables of its file. Raises ValueError, which names the invalid key."""
    try:
        scenario = msgspec.convert(tables, Scenario)
    except msgspec.ValidationError as error:
        raise ValueError(str(error)) from None
    classes = scenario.load.class_shares
    if set(classes) - set(EFFECTS) or not classes:
        raise ValueError("load.classes: expected shares for safe, keyed or unsafe")
    for index, fault in enumerate(scenario.faults):
        if fault.zone and fault.zone not in scenario.receivers.zones:
            raise ValueError(f"faults[{index}].zone: no such zone")
        if fault.at_seconds > scenario.load.seconds:
            raise ValueError(f"faults[{index}].at: after the end of the load")
    return scenario


def platform_settings(scenario: Scenario, sender_number: int) -> dict[str, Any]:
    """Return the settings of a sender's dispatcher in the platform's format."""
    senders, receivers, load = scenario.senders, scenario.receivers, scenario.load
    services = [
        {
            "Name": effect,
            "Effect": effect,
            "GoalTime": load.latency_target_ms,
            "Deadline": load.lifetime_ms,
            "Value": 1.0,
            "LateWorth": 0.4,
            "Window": load.repeat_window_ms,
            "KeyScope": "all",
            "ByArrival": effect == "unsafe",
        }
        for effect in load.class_shares
    ]
    return {
        "Services": services,
        "Accounts": [{"Name": "all"}],
        "Zones": receivers.zones,
        "Kinds": ["k"],
        "Tick": 5.0,
        "Az": sender_number % len(receivers.zones),
        "SlotNo": sender_number,
        "FleetSize": senders.count,
        "RegistryMode": "pushed",
        "FamilyInfo": {"BundleMax": [1], "CallSlots": senders.call_slots, "Decay": "line", "OwnLimits": [False]},
        "Allowed": {
            "MaxAttempts": 8,
            "MaxOpen": senders.max_open_messages,
            "MaxRetryAfter": 2000.0,
            "RetryAfter": True,
            "MayDuplicate": False,
            "ConnectTimeout": 1500.0,
            "IdleClose": 15000.0,
        },
        "Rules": {
            "AnswerSlack": 20.0,
            "ColdFrom": receivers.cold_capacity,
            "DrainGrace": receivers.drain_grace_ms,
            "FallMultiple": receivers.overload_multiple,
            "OverloadFor": receivers.overload_window_ms,
            "TurnGap": 100.0,
            "WarmAfter": receivers.warm_up_ms,
        },
    }
