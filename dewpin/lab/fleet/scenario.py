"""A load test as a typed TOML file: senders, receivers, how they behave, and which faults are injected when.

The keys of the file are those that it always had; where the code's names differ, `msgspec.field(name=...)` maps them.
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
    """What a fault does; `Fault` says how its fields count."""

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
    """The direction in which a cut link lets no bytes through."""

    TO = "to"
    FROM = "from"
    BOTH = "both"


class Senders(msgspec.Struct, forbid_unknown_fields=True):
    """The senders under test.

    Attributes:
        count: how many there are.
        call_slots: calls that one sender may have in flight.
        max_open_messages: messages that one sender holds at a time.
        discovery_delay_ms: so long clients still go to a sender that died.
        senders_per_address: senders that reach a receiver at one address, and share the faults of that link.
        odd_command: runs in place of `python -m dewpin run` for the senders in `odd_numbers`.
        odd_numbers: senders that run `odd_command`.
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
        destinations: how many destinations there are.
        receivers_per_destination: how many receivers each has.
        zones: names of zones, dealt out to the receivers in turn.
        service_ms: time of one call.
        service_variation: share of the service time that it varies by, up or down by chance.
        concurrency: calls that one receiver serves at a time.
        queue_length: so many more wait.
        rate_limit: calls a second that a destination takes from all senders; 0: no limit.
        retry_after_share: share of the rejections that say how long to wait.
        max_connections: that a receiver takes, idle ones counted; 0: any number.
        cold_capacity: share of its calls that a receiver can serve right after it comes back.
        warm_up_ms: until it can serve them all.
        overload_multiple: so many times what it can bear makes a cold receiver fail again.
        overload_window_ms: in which its calls are counted for that.
        drain_grace_ms: for which calls may still reach a receiver that drains.
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
    """The clients' messages.

    Attributes:
        rate: messages a second in all.
        seconds: how long messages are submitted.
        lifetime_ms: of a message.
        latency_target_ms: the latency target of each queue class.
        repeat_window_ms: for which a receiver drops repeats of a message with an idempotency key.
        class_shares: effect of each queue class (safe, keyed, unsafe) and its share of the messages.
        ordering_keys: how many keys the messages have whose order is kept.
        max_resubmissions: after a rejection.
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

    The receivers are those of a share (`receivers`), of a share of the destinations (`destinations`) or of a zone
    (`zone`). What each kind does:

    - kill: SIGKILL, back after `seconds` (0: never); without `keeps_folder` on an empty folder.
    - stop: SIGSTOP for `seconds`. term: SIGTERM, back after `seconds`.
    - join: `times` more receivers a destination. leave: receivers drain, then are gone.
    - down: connections are refused; cold: the same, and slowly warm again; hang: calls are taken and never answered.
    - slow: calls take `times` as long. limit: a destination's rate limit times `times`.
    - cut: bytes between the senders and receivers are held, in the direction `direction`.
    - reset: the share `share` of the calls ends in a reset. lag: `lag_ms` more each way.
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
        name: for the result.
        seed: of all random draws.
        slack_ms: by which a busy machine may make senders late without breaking a rule.
        senders, receivers, load: what takes part.
        faults: what is injected.
    """

    name: str = "fleet"
    seed: int = 1
    slack_ms: float = 0.0
    senders: Senders = msgspec.field(default_factory=Senders)
    receivers: Receivers = msgspec.field(default_factory=Receivers)
    load: Load = msgspec.field(default_factory=Load)
    faults: list[Fault] = msgspec.field(default_factory=list)


def parse_scenario(text: str) -> Scenario:
    """Return the scenario of a TOML text; ValueError says which key is invalid."""
    try:
        return make_scenario(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise ValueError(f"no TOML: {error}") from None


def make_scenario(tables: dict[str, Any]) -> Scenario:
    """Return the scenario of a file's tables; ValueError says which key is invalid."""
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
    """Return the settings of a sender's decision module in the platform's form."""
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
