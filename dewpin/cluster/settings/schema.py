"""The fields of a settings file as typed dictionaries; `check_shape` validates against these types."""

from typing import NotRequired, TypedDict


class RawLimits(TypedDict):
    """The resource limits of the process on its machine, as written in the file."""

    cpu_share: NotRequired[float]
    cpus: NotRequired[float]
    memory_mb: NotRequired[float]
    max_fds: NotRequired[int]
    link_mbps: NotRequired[float]
    disk_mb: NotRequired[float]


class RawFaultTolerance(TypedDict):
    """The failures to tolerate at the same time, as written in the file."""

    machines: NotRequired[int]
    zones: NotRequired[int]
    regions: NotRequired[int]


class RawBounds(TypedDict):
    """The time bounds that the system must meet, as written in the file."""

    seed_lag_s: NotRequired[float]
    addr_reuse_s: NotRequired[float]
    contact_ms: NotRequired[float]
    ack_ms: NotRequired[float]
    catch_up_s: NotRequired[float]
    drain_ms: NotRequired[float]
    grace_s: NotRequired[float]
    loss_slack_ms: NotRequired[float]
    config_apply_ms: NotRequired[float]
    downgrade_ms: NotRequired[float]
    skew_ms: NotRequired[float]
    recovery_s: NotRequired[float]
    pass_ms: NotRequired[float]
    again_s: NotRequired[float]
    finish_s: NotRequired[float]
    settle_ms: NotRequired[float]


class RawCloud(TypedDict):
    """Access to the platform's list of receivers, as written in the file."""

    address: str
    rate_per_s: NotRequired[float]
    max_lag_ms: NotRequired[float]


class RawSettings(TypedDict):
    """The complete settings file."""

    node_name: str
    role: NotRequired[str]
    machine_class: NotRequired[str]
    serves: list[str]
    ip: str
    zone: str
    region: NotRequired[str]
    port_range: list[int]
    seeds: NotRequired[list[str]]
    bootstrap: NotRequired[bool]
    counts_for_quorum: NotRequired[bool]
    data_dir: NotRequired[str]
    heartbeat_ms: NotRequired[float]
    contracts: NotRequired[list[str]]
    log_level: NotRequired[str]
    zones: NotRequired[dict[str, str]]
    listen: NotRequired[dict[str, str]]
    limits: NotRequired[RawLimits]
    fault_tolerance: NotRequired[RawFaultTolerance]
    bounds: NotRequired[RawBounds]
    cloud: NotRequired[RawCloud]
