"""The target fleet of the serving tier, and assumptions where the target sets no figure."""

from __future__ import annotations

from dataclasses import dataclass

SECONDS_PER_DAY = 86_400


@dataclass(frozen=True)
class Target:
    """The target figures that the operators listed (issue 42)."""

    senders: int = 350
    receivers: int = 770
    accelerators: int = 3_100
    requests_per_s: int = 1_600
    tokens_per_s: int = 520_000
    first_token_s: float = 1.2
    token_gap_ms: float = 77.0
    share_in_time: float = 0.95
    programs: int = 24_000
    turns_per_program: int = 100
    tokens_per_program: int = 500_000
    tenants: int = 240
    models: int = 7
    regions: int = 3
    zones: int = 9
    changes_per_day: int = 850
    change_in_force_s: float = 14.0
    control_processor_share: float = 0.016
    control_memory_bytes: float = 128e6
    control_bytes_per_s: float = 10e3
    control_machines: int = 5
    failures_per_day: int = 6
    restarts_per_day: int = 150
    days_between_rack_losses: int = 45
    zone_losses_per_year: int = 1
    region_partition_s: int = 3_600


@dataclass(frozen=True)
class Assumptions:
    """Assumptions where the operators' list sets no figure. The page shows each of them by its name."""

    routes_a_tenant_and_model: int = 1
    bytes_a_token: int = 4
    tokens_an_event: int = 1
    stores: int = 27
    replicas: int = 3
    replicas_of_two_losses: int = 5
    drain_bound_s: float = 4.0
    list_entries_a_restart: int = 3
    ledger_rounds_to_reserve: int = 2
    ledger_rounds_to_settle: int = 1
    most_share_of_a_store: float = 0.5
    disk_of_a_store_gb: float = 100.0
    region_round_trip_ms: float = 80.0
    repair_mb_per_s: float = 20.0


TARGET = Target()
ASSUMED = Assumptions()
