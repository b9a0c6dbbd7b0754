"""Computed effects of failures: what is lost, for how long, and the repair traffic."""

from __future__ import annotations

from benchmarks.capacity import design
from benchmarks.capacity.context import Context
from benchmarks.capacity.fit import Estimate
from benchmarks.capacity.roles.store import disk_bytes
from benchmarks.capacity.sheet import Row, format_number
from benchmarks.capacity.target import SECONDS_PER_DAY
from dewpin.cluster.placement import location_of, majority, region_of, replicas

MICROSECONDS = 1e6
SAMPLED_PROGRAMS = 2000
MEASURED_INDEX_ROWS = 256
LEASES = "`dewpin/controlplane/membership/leases.py`"
VIEW = "`dewpin/controlplane/membership/reconfiguration.py`"
SYNC = "`dewpin/controlplane/store/replica_sync.py`"
PLACEMENT = "`dewpin/cluster/placement.py`"
WATCH = "`dewpin/dataplane/membership/cluster_agent.py`"


def majority_within(stores: int, zones: int, regions: int, count: int, of_region: bool) -> float:
    """Return the share of sampled programs that have a majority of their replicas in one zone, or in one region.

    Uses the placement of the tier, with stores spread evenly over the zones and zones over the regions.
    """
    members = tuple(f"store-{number}" for number in range(stores))
    locations = tuple(
        location_of(f"region-{number % zones % regions}", f"zone-{number % zones}") for number in range(stores)
    )
    location_by_member = dict(zip(members, locations, strict=True))
    lost_location = region_of(locations[0]) if of_region else locations[0]
    programs_with_majority = 0
    for key in range(SAMPLED_PROGRAMS):
        replica_locations = [
            location_by_member[member] for member in replicas(f"program-{key}", members, count, locations)
        ]
        replicas_lost = sum(
            (region_of(location) if of_region else location) == lost_location for location in replica_locations
        )
        programs_with_majority += replicas_lost >= majority(count)
    return programs_with_majority / SAMPLED_PROGRAMS


def snapshot(context: Context) -> Estimate:
    """Return the bytes that a starting sender fetches: the system state and the receivers."""
    return context.state_bytes + context.at("receiver-bytes", context.target.receivers)


def index_scan_s(context: Context) -> Estimate:
    """Return the processor seconds of a view change at each source.

    A source scans its whole index once for each store of the next view.
    """
    rows = (
        context.target.programs * context.target.turns_per_program * context.assumed.replicas / context.assumed.stores
    )
    row_us = context.at("index-scan", MEASURED_INDEX_ROWS) / MEASURED_INDEX_ROWS
    return rows * (context.assumed.stores - 1) * row_us / MICROSECONDS


def bytes_per_store(context: Context) -> Estimate:
    """Return the bytes of the file of one store."""
    return disk_bytes(context, context.assumed.replicas) / context.assumed.stores


def copy_s(context: Context) -> Estimate:
    """Return the seconds to copy the data of a lost store."""
    return bytes_per_store(context) / (context.assumed.repair_mb_per_s * 1e6)


def sender_rows(context: Context) -> list[Row]:
    """Return the rows on lost and restarted senders."""
    target = context.target
    return [
        context.row(
            "time until a lost sender's lease is over (its children leave it after a second)",
            f"max({design.LEASE_PERIODS}, {design.LEASE_CYCLES} × {target.control_machines}) × "
            f"{format_number(context.renewal_s)} s",
            lambda: context.lease_s(target.control_machines),
            "s",
            LEASES,
        ),
        context.row(
            "streams broken by a lost sender",
            "streams at once of one sender",
            lambda: context.streams_per_sender,
            "",
            "`dewpin/dataplane/routing/retry.py`: resumable ones go on elsewhere",
        ),
        context.row(
            "streams under way at the restarts of a day, to be drained",
            f"{target.restarts_per_day} × streams at once",
            lambda: target.restarts_per_day * context.streams_per_sender,
            "",
            "`dewpin/dataplane/ingress/server.py` (drain at SIGTERM)",
        ),
        context.row(
            "time that a whole stream needs to drain",
            f"{target.first_token_s} s + {format_number(context.tokens_per_request)} tokens × "
            f"{format_number(target.token_gap_ms)} ms",
            lambda: context.stream_duration_s,
            "s",
            "the platform's grace must be longer, or streams are resumed elsewhere",
        ),
        context.row(
            "bytes of starting senders, a day",
            f"{target.restarts_per_day} × (state + receivers)",
            lambda: target.restarts_per_day * snapshot(context),
            "B",
            WATCH,
        ),
        context.row(
            "bytes from the control servers when a region's senders start at once",
            f"{target.senders} / {target.regions} × (state + receivers): without a lease there is no parent yet",
            lambda: target.senders / target.regions * snapshot(context),
            "B",
            WATCH,
        ),
    ]


def store_rows(context: Context) -> list[Row]:
    """Return the rows on a lost store: detection, copy, and further failures during the copy."""
    target, assumed = context.target, context.assumed
    stores = assumed.stores
    machines = target.senders + stores + target.control_machines
    return [
        context.row(
            "time until a lost store leaves the view, a successor there / none",
            f"{format_number(design.REPLACEMENT_TIMEOUT_S)} s / {format_number(design.REMOVAL_TIMEOUT_S)} s",
            lambda: design.REMOVAL_TIMEOUT_S,
            "s",
            VIEW,
        ),
        context.row(
            "bytes copied for a lost store",
            f"its share: bytes of files / {stores}; each body is fetched from one source",
            lambda: bytes_per_store(context),
            "B",
            SYNC,
        ),
        context.row(
            "time of that copy",
            f"/ {format_number(assumed.repair_mb_per_s)} MB/s (assumed)",
            lambda: copy_s(context) / 60,
            "min",
            SYNC,
        ),
        context.row(
            "rows of the index read by all sources together, each change of the view",
            f"every store of the next view scans every source: ({stores} − 1) × turns at all replicas",
            lambda: (stores - 1) * target.programs * target.turns_per_program * assumed.replicas,
            "",
            f"{SYNC}, `store.py`",
        ),
        context.row(
            "processor time of that at each source",
            f"turns at all replicas / {stores} × ({stores} − 1) × index-scan a row",
            lambda: index_scan_s(context),
            "s",
            f"{SYNC}, `store.py`",
        ),
        context.row(
            "other stores lost during that copy, mean",
            f"{target.failures_per_day}/day × ({stores} − 1) of {machines} machines × the copy's time",
            lambda: target.failures_per_day / SECONDS_PER_DAY * (stores - 1) / machines * copy_s(context),
            "",
            VIEW,
        ),
    ]


def zone_loss_rows(context: Context) -> list[Row]:
    """Return the rows on the loss of a zone or region: programs without a majority, load, copies."""
    target, assumed = context.target, context.assumed
    stores = assumed.stores
    stores_per_zone = stores // target.zones
    return [
        context.row(
            "programs without a majority when a zone is lost",
            f"{stores_per_zone} of {stores} stores in the zone: share of {SAMPLED_PROGRAMS} sampled programs with "
            f"≥ {assumed.replicas // 2 + 1} of {assumed.replicas} replicas there",
            lambda: majority_within(stores, target.zones, target.regions, assumed.replicas, of_region=False),
            "share",
            PLACEMENT,
            0.0,
        ),
        context.row(
            "programs without a majority when a region is lost",
            f"{stores // target.regions} of {stores} stores in the region; the same sample",
            lambda: majority_within(stores, target.zones, target.regions, assumed.replicas, of_region=True),
            "share",
            PLACEMENT,
            0.0,
        ),
        context.row(
            "load on the other senders when a zone is lost",
            f"{target.senders} / ({target.senders} − {target.senders} / {target.zones})",
            lambda: 1 / (1 - 1 / target.zones),
            "times",
            "the platform's entry",
        ),
        context.row(
            "bytes copied after a lost zone",
            f"{stores_per_zone} stores × their share",
            lambda: stores_per_zone * bytes_per_store(context),
            "B",
            SYNC,
        ),
    ]


def register_loss_rows(context: Context) -> list[Row]:
    """Return the rows on the register members that remain after the loss of a zone or region."""
    target = context.target
    members = target.control_machines
    majority_size = majority(members)
    return [
        context.row(
            "members of the register after a lost zone or rack, one member a zone",
            f"{members} − 1, majority {majority_size}",
            lambda: members - 1,
            "",
            "`dewpin/consensus`",
        ),
        context.row(
            "members of the register after a lost region, members 2 + 2 + 1",
            f"{members} − 2, majority {majority_size}",
            lambda: members - 2,
            "",
            "`dewpin/consensus`",
        ),
    ]


def region_partition_rows(context: Context) -> list[Row]:
    """Return the rows on a region that is partitioned off for an hour, and on replicas in other regions."""
    target, assumed = context.target, context.assumed
    stores = assumed.stores
    partition_turns = target.requests_per_s / target.regions * target.region_partition_s
    return [
        context.row(
            "turns refused in an hour with one region cut off",
            f"{target.requests_per_s:,}/s / {target.regions} × {target.region_partition_s:,} s: the cut-off "
            "region holds "
            "too few replicas, but for its own share of the row above",
            lambda: (
                partition_turns
                * (1 - majority_within(stores, target.zones, target.regions, assumed.replicas, of_region=True))
            ),
            "",
            "`dewpin/dataplane/programs/store_client.py`",
        ),
        context.row(
            "bytes to catch up after that hour",
            f"turns of the two other regions for replicas behind the cut: {target.requests_per_s:,}/s × "
            f"{target.regions - 1}/{target.regions} × {format_number(context.turn_bytes / 1000)} kB × "
            f"{target.region_partition_s:,} s"
            f" × {assumed.replicas} / {target.regions}",
            lambda: (
                target.requests_per_s
                * (target.regions - 1)
                / target.regions
                * context.turn_bytes
                * target.region_partition_s
                * assumed.replicas
                / target.regions
            ),
            "B",
            "to be built: hinted handoff (today a sender offers a turn for seconds only)",
        ),
        context.row(
            "time added to a first token by replicas in other regions",
            f"{assumed.ledger_rounds_to_reserve} rounds to reserve × {format_number(assumed.region_round_trip_ms)} ms",
            lambda: assumed.ledger_rounds_to_reserve * assumed.region_round_trip_ms,
            "ms",
            "`dewpin/dataplane/programs/store_client.py`",
            target.first_token_s * 1000,
        ),
    ]


def location_rows(context: Context) -> list[Row]:
    """Return all rows on racks, zones and regions."""
    return [
        *zone_loss_rows(context),
        *register_loss_rows(context),
        *region_partition_rows(context),
    ]
