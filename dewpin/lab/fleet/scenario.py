"""A fleet run as a typed TOML file: how many of what, how they behave, and what goes wrong when.

It owns the form and its checks. It starts nothing and reads one file.
"""
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

Share = Annotated[float, Meta(ge=0.0, le=1.0)]
Some = Annotated[int, Meta(ge=1, le=2000)]
Positive = Annotated[float, Meta(gt=0.0)]

WHAT = Literal["kill", "stop", "term", "join", "leave", "down", "cold", "hang", "slow", "limit", "cut", "reset", "lag",
               "refuse"]


class Senders(msgspec.Struct, forbid_unknown_fields=True):
    count: Some = 12
    slots: Some = 8
    room: Some = 200
    front_notices_ms: float = 1500.0    # so long clients still go to a sender that died
    to_an_address: Some = 1             # senders that reach a receiver at one address, and share what befalls the way
    command: list[str] = []             # in place of `python -m dewpin run`, for the senders named in `odd`
    odd: list[int] = []


class Receivers(msgspec.Struct, forbid_unknown_fields=True):
    destinations: Some = 3
    each: Some = 4
    zones: list[str] = msgspec.field(default_factory=lambda: ["a", "b"])
    service_ms: Positive = 200.0
    vary: Share = 0.2                   # of the service time, up or down by chance
    at_once: Some = 8                   # calls that one serves at a time
    queue: int = 16                     # and so many more wait
    limit: float = 0.0                  # calls a second that a destination takes from all senders; 0: no limit
    tells_wait: Share = 0.0             # share of its refusals that tell how long to wait
    connections: int = 0                # that a receiver takes, idle ones counted; 0: any number
    cold_from: Share = 0.2
    warm_ms: Positive = 9000.0
    fall_multiple: Positive = 2.0
    fall_ms: Positive = 2000.0
    drain_grace_ms: Positive = 2000.0


class Load(msgspec.Struct, forbid_unknown_fields=True):
    rate: Positive = 40.0               # mails a second in all
    seconds: Positive = 10.0
    lifetime_ms: Positive = 12000.0
    aim_ms: Positive = 2000.0
    window_ms: Positive = 10000.0       # for which a receiver drops repeats of tagged mail
    # effect of each queue class (safe, keyed, unsafe): its share
    classes: dict[str, float] = msgspec.field(default_factory=lambda: {"keyed": 1.0})
    keys: int = 20                      # of once-only mail, whose order is kept
    retries: int = 2                    # hand-ins after a refusal


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """`what` befalls a share of the senders (`senders`) or receivers (`receivers`, `destinations`, `zone`).

    kill: SIGKILL, back after `seconds` (0: never), `folder = false`: on an empty one. stop: SIGSTOP for `seconds`.
    term: SIGTERM, back after `seconds`. join: `times` more receivers a destination. leave: they drain, then are gone.
    down: connections are refused; cold: the same and warm again slowly; hang: calls are taken and never answered.
    slow: calls take `times` as long. limit: a destination's limit times `times`. cut: bytes between the senders and
    receivers named are held, `way` to, from or both. reset: `share` of the calls break. lag: `ms` more each way.
    refuse: discovery turns calls for the list away."""
    at: Annotated[float, Meta(ge=0.0)]
    what: WHAT
    seconds: float = 0.0
    senders: Share = 0.0
    receivers: Share = 0.0
    destinations: Share = 0.0
    zone: str = ""
    folder: bool = True
    times: Positive = 2.0
    way: Literal["to", "from", "both"] = "both"
    share: Share = 0.5
    ms: float = 200.0


class Scenario(msgspec.Struct, forbid_unknown_fields=True):
    name: str = "fleet"
    seed: int = 1
    slack_ms: float = 0.0               # by which a busy machine may make senders late, without breaking a rule
    senders: Senders = msgspec.field(default_factory=Senders)
    receivers: Receivers = msgspec.field(default_factory=Receivers)
    load: Load = msgspec.field(default_factory=Load)
    faults: list[Fault] = []


def read(text: str) -> Scenario:
    """The scenario that a TOML text holds; ValueError says at which key it is faulty."""
    import tomllib
    try:
        return made(tomllib.loads(text))
    except tomllib.TOMLDecodeError as error:
        raise ValueError(f"no TOML: {error}") from None


def made(held: dict[str, Any]) -> Scenario:
    try:
        found = msgspec.convert(held, Scenario)
    except msgspec.ValidationError as error:
        raise ValueError(str(error)) from None
    if set(found.load.classes) - {"safe", "keyed", "unsafe"} or not found.load.classes:
        raise ValueError("load.classes: expected shares for safe, keyed or unsafe")
    for at, fault in enumerate(found.faults):
        if fault.zone and fault.zone not in found.receivers.zones:
            raise ValueError(f"faults[{at}].zone: no such zone")
        if fault.at > found.load.seconds:
            raise ValueError(f"faults[{at}].at: after the end of the load")
    return found


def settings(scenario: Scenario, number: int) -> dict[str, Any]:
    """What a sender's decision module is told, in the platform's form."""
    s, r, load = scenario.senders, scenario.receivers, scenario.load
    services = [{"Name": effect, "Effect": effect, "GoalTime": load.aim_ms, "Deadline": load.lifetime_ms, "Value": 1.0,
                 "LateWorth": 0.4, "Window": load.window_ms, "KeyScope": "all", "ByArrival": effect == "unsafe"}
                for effect in load.classes]
    return {
        "Services": services, "Accounts": [{"Name": "all"}], "Zones": r.zones, "Kinds": ["k"], "Tick": 5.0,
        "Az": number % len(r.zones), "SlotNo": number, "FleetSize": s.count, "RegistryMode": "pushed",
        "FamilyInfo": {"BundleMax": [1], "CallSlots": s.slots, "Decay": "line", "OwnLimits": [False]},
        "Allowed": {"MaxAttempts": 8, "MaxOpen": s.room, "MaxRetryAfter": 2000.0, "RetryAfter": True,
                    "MayDuplicate": False, "ConnectTimeout": 1500.0, "IdleClose": 15000.0},
        "Rules": {"AnswerSlack": 20.0, "ColdFrom": r.cold_from, "DrainGrace": r.drain_grace_ms,
                  "FallMultiple": r.fall_multiple, "OverloadFor": r.fall_ms, "TurnGap": 100.0, "WarmAfter": r.warm_ms}}
